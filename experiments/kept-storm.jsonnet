{
  name: 'kept-storm',
  about: 'Repeats of tokens on one daemon with a store, killed and started again at seeded moments.',
  processes: true,
  storm: true,
  nodes: 1,
  seconds: 60,
  kills: 20,
  calm: 1,
  keep: { durability: 'batched' },
  claims: [
    { name: 'no token runs twice', measure: 'twice', most: 0 },
    { name: 'every invocation has one answer, that of its token, or a broken connection', measure: 'wrong_answers', most: 0 },
    { name: 'none goes without', measure: 'lost', most: 0 },
    { name: 'the store stays under its bound', measure: 'store_bytes', most: 64 * 1024 * 1024 },
    { name: 'repeats get what was kept', measure: 'kept', least: 1 },
  ],
}
