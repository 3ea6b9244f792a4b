{
  name: 'takeover-kill',
  about: 'Repeats of tokens at any node of a fleet whose nodes, those of its council too, are killed one after the other.',
  processes: true,
  storm: true,
  nodes: 7,
  council: 3,
  seconds: 60,
  calm: 8,
  faults: [{ kind: 'kill', at: '2 s', every: '3 s', 'for': '1 s' }],
  claims: [
    { name: 'no token runs twice', measure: 'twice', most: 0 },
    { name: 'every invocation has one answer, that of its token, or a broken connection', measure: 'wrong_answers', most: 0 },
    { name: 'none goes without', measure: 'lost', most: 0 },
    { name: 'repeats get what was kept, at any node', measure: 'kept', least: 1 },
    { name: 'tokens whose caller lost its node are answered later', measure: 'answered_later', least: 1 },
  ],
}
