// Versions of the configuration in virtual time: real holders at all nodes, real seats with disks. Membership isn't what is
// tested: the fleet begins joined, with links as membership's rings have them, and a change of view is seen by all after
// silence and settle. With versions.membership=true real membership is played below, for fleets of some 120.
//
// In reach is a node that is up, with a majority of seats on its side of a cut, for the whole 10 s, and that isn't still recovering
// from a lost disk. A change counts from when the first seat knows it agreed on; it is in force where it or a later version is.
{
  name: 'config-scale',
  about: 'A thousand changes in a minute and more around it, while messages are lost, seats and nodes die, a zone is lost and a region cut off.',
  nodes: 1300,
  seconds: 210,
  calm: 25,
  versions: {
    seats: 5,
    regions: 7,
    zones: 15,
    far: '80 ms',
    tenants: 5000,
    callers: 3,
    old: '10 %',
    changes: [
      { at: '1 s', 'for': '208 s', every: '2 s' },
      { at: '30 s', 'for': '60 s', every: '60 ms' },
      { at: '198 s', new: true },
    ],
  },
  faults: [
    { kind: 'loss', at: '0 s', 'for': '210 s', part: '5 %' },
    { kind: 'kill', who: 'one', at: '5 s', every: '2 s', 'for': '7 s' },
    { kind: 'kill', who: 'one', shape: 'forgets', at: '10 s', every: '70 s', 'for': '5 s' },
    { kind: 'kill', who: 'seat', at: '12 s', every: '27 s', 'for': '8 s' },
    { kind: 'kill', who: 'zone', at: '95 s', 'for': '30 s' },
    { kind: 'kill', who: 'seats', at: '180 s', 'for': '12 s' },
    { kind: 'cut', who: 'region', at: '115 s', 'for': '60 s' },
  ],
  claims: [
    { name: '99 in 100 changes are in force at every node in reach within 10 s', measure: 'in_force', least: 0.99 },
    { name: 'and every one at all nodes within 10 s of the last healing', measure: 'healed_s', most: 10 },
    { name: 'no version that was acknowledged is lost', measure: 'lost', most: 0 },
    { name: 'nor has two contents', measure: 'two_contents', most: 0 },
    { name: 'nor goes back on any node', measure: 'gone_back', most: 0 },
    { name: 'all changes are answered', measure: 'unanswered', most: 0 },
    { name: 'all nodes are at one digest in the end', measure: 'digests', most: 1 },
    { name: "what an older build can't take is stopped", measure: 'stops', least: 1 },
    { name: 'no node sets a sound one aside', measure: 'lies', most: 0 },
    { name: 'idle', measure: 'idle_bytes', most: 500 },
    { name: "a node keeps to its bytes over 15 s, also from a lost disk, beside membership's 1.25 kB/s", measure: 'window_bytes', most: 19750 },
  ],
}
