{
  name: 'members-kill',
  about: 'Nodes of processes are killed one after the other, and come back.',
  processes: true,
  nodes: 24,
  seconds: 60,
  seeds: 1,
  faults: [{ kind: 'kill', at: '3 s', every: '12 s', 'for': '8 s' }],
  claims: [
    { name: 'a death is known to every survivor within 5 s (p99)', measure: 'known_s', most: 5 },
    { name: 'to all of them', measure: 'missed', most: 0 },
    { name: 'with no other change of view', measure: 'others', most: 0 },
    { name: 'back in all views within 5 s', measure: 'back_s', most: 5 },
    { name: 'all views equal in the end', measure: 'agree_s', most: 10 },
  ],
}
