{
  name: 'members-pause',
  about: 'Processes are stopped for up to 3 s, one or a third of them, while a fifth of all datagrams is lost; once for 8 s.',
  processes: true,
  nodes: 24,
  seconds: 600,
  faults: [
    { kind: 'loss', at: '0 s', part: '20 %' },
    { kind: 'pause', at: '2 s', every: '13 s', 'for': '0.5 s' },
    { kind: 'pause', at: '5 s', every: '13 s', 'for': '3 s' },
    { kind: 'pause', at: '10 s', every: '39 s', 'for': '3 s', who: 'third' },
    { kind: 'pause', at: '70 s', every: '150 s', 'for': '8 s' },
  ],
  claims: [
    { name: 'nobody is lost who was not stopped for longer than 3 s', measure: 'wrong', most: 0 },
    { name: 'who was is back in all views within 5 s', measure: 'back_s', most: 5 },
    { name: 'all views equal in the end', measure: 'agree_s', most: 10 },
  ],
}
