{
  name: 'quota-hard',
  about: 'Each run of a token makes one call; the fleet may have twelve in hand, leased to its nodes by a council, through kills, pauses and cuts.',
  processes: true,
  storm: true,
  nodes: 7,
  council: 3,
  calls: 12,
  seconds: 90,
  calm: 10,
  fleet: { probe: '100 ms', silence: '1 s', settle: '200 ms' },
  faults: [
    { kind: 'kill', at: '5 s', every: '9 s', 'for': '1 s' },
    { kind: 'pause', at: '8 s', every: '7 s', 'for': '2 s' },
    { kind: 'pause', at: '12 s', every: '20 s', 'for': '5 s' },
    { kind: 'cut', shape: 'from', at: '20 s', every: '30 s', 'for': '5 s' },
    { kind: 'cut', shape: 'halves', who: 'n0 n5 n6', at: '34 s', every: '30 s', 'for': '5 s' },
  ],
  claims: [
    { name: 'the ledger of calls never sees the limit exceeded', measure: 'calls_over', most: 0 },
    { name: 'and it is used', measure: 'calls_most', least: 12 },
    { name: 'no token runs twice', measure: 'twice', most: 0 },
  ],
}
