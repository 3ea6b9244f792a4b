local cuts = [
  { shape: 'pair' }, { shape: 'from' }, { shape: 'to' }, { shape: 'both' }, { shape: 'half', who: 'half' },
  { shape: 'halves', who: 'half' }, { shape: 'from', who: 'third' }, { shape: 'halves', who: 'n1 n4' },
];
{
  name: 'members-cuts',
  about: 'Links are cut for 60 s, in one direction or both, between pairs, of one node, of halves; healed for 30 s between.',
  processes: true,
  nodes: 12,
  seconds: 90 * std.length(cuts),
  calm: 30,
  faults: [{ kind: 'cut', at: '%d s' % (90 * k + 5), 'for': '60 s' } + cuts[k] for k in std.range(0, std.length(cuts) - 1)],
  claims: [
    { name: 'one change of view at the most for each node that a cut concerns', measure: 'cut_changes', most: 1 },
    { name: 'none for others', measure: 'others', most: 0 },
    { name: 'all views equal within 10 s of each healing', measure: 'healed_s', most: 10 },
    { name: 'and in the end', measure: 'agree_s', most: 10 },
  ],
}
