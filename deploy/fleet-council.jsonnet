// A fleet whose tokens are claimed from a council of three of its nodes, so that what a lost node held is run by another,
// once. Needs an operation with the effect "deduplicated". Deaths are known sooner than in fleet.jsonnet: within 1.3 s.
//     topazpost check --fleet deploy/fleet-council.jsonnet CONFIG.json
(import 'fleet.jsonnet')(bind='127.0.0.1:7946') {
  probe: '100 ms',
  silence: '1 s',
  settle: '200 ms',
  council: { seats: ['n1', 'n2', 'n3'], table: '4 MiB',
             // Calls in hand at the dependency, of all nodes together, in the place of each node's fixed share.
             calls: { limit: 90, version: 1, hold: '1 s', lease: '4 s' } },
}
