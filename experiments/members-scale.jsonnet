{
  name: 'members-scale',
  about: 'A herd of joins, a lost zone, a roll and half of the fleet killed, in virtual time.',
  nodes: 300,
  seconds: 120,
  calm: 20,
  faults: [
    { kind: 'kill', at: '30 s', 'for': '10 s', who: 'third' },
    { kind: 'leave', at: '60 s', every: '2 s', 'for': '1 s' },
    { kind: 'kill', at: '90 s', 'for': '12 s', who: 'half' },
  ],
  claims: [
    { name: 'a herd of joins is one view within 20 s', measure: 'joined_s', most: 20 },
    { name: 'under 4 kB a second and node while nothing changes', measure: 'idle_bytes', most: 4000 },
    { name: 'a death is known to every survivor within 5 s (p99)', measure: 'known_s', most: 5 },
    { name: 'to all of them', measure: 'missed', most: 0 },
    { name: 'with no other change of view', measure: 'others', most: 0 },
    { name: 'back in all views within 10 s', measure: 'back_s', most: 10 },
    { name: 'all views equal in the end', measure: 'agree_s', most: 10 },
    { name: 'one simulated second costs under one real second', measure: 'pace', least: 1 },
  ],
}
