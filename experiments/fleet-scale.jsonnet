{
  name: 'fleet-scale',
  about: 'The fleet of two years from now on real sockets: 1,300 nodes in 7 regions and 15 zones, 30 of them whole daemons. A herd of joins, a lost rack and zone, a region cut for a minute, a roll of some. It wants a machine with nothing beside it.',
  processes: true,
  nodes: 1300,
  hollow: 1270,
  regions: 7,
  zones: 15,
  racks: 60,
  council: 5,
  tokens: 200,
  join: 240,
  join_over: '0 s',
  seconds: 130,
  calm: 60,
  // So many nodes share the cores of one machine, and stand still for some hundred ms again and again: timings of a fleet whose
  // nodes have a machine each (500 ms, 3.5 s, 400 ms) are stretched, or links are doubted without end.
  fleet: { probe: '2 s', silence: '16 s', settle: '2 s' },
  faults: [
    { kind: 'kill', who: 'rack', at: '6 s', 'for': '36 s' },
    { kind: 'kill', who: 'zone', at: '6 s', 'for': '36 s' },
    { kind: 'cut', shape: 'halves', who: 'region', at: '56 s', 'for': '60 s' },
    { kind: 'roll', who: 'rack', steps: 3, at: '118 s', 'for': '10 s' },
  ],
  claims: [
    { name: 'a herd of joins is one view', measure: 'joined_s', most: 240 },
    { name: 'nobody is lost that no fault concerns', measure: 'wrong', most: 0 },
    { name: 'all views equal in the end', measure: 'agree_s', most: 60 },
    { name: 'tokens are claimed and kept meanwhile', measure: 'tokens_kept', least: 1000 },
  ],
}
