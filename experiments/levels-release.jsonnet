local base = import 'base.libsonnet';
{
  name: 'levels-release',
  about: 'A release, a crash, a drain and another plan in the middle of a level, at 120 %.',
  seeds: 5,
  day: base.day() {
    nodes: 8, length: '120 s', load: { shape: 'constant', high: '120 %' },
    faults: [
      { kind: 'adopt', at: '30 s', part: '100 %' }, { kind: 'release', at: '45 s', 'for': '20 s', part: '50 %' },
      { kind: 'kill', at: '80 s', 'for': '10 s', part: '25 %' }, { kind: 'slow', at: '95 s', 'for': '15 s', part: '25 %', by: 5 },
    ],
  },
  variants: { ladder: { plan: 'plans/reduce.jsonnet', next: 'plans/refuse.jsonnet' }, module: {} },
  claims: [
    { name: 'no rule broken', variant: 'ladder', measure: 'broken', most: 0 },
    { name: 'not below the module without levels', variant: 'ladder', over: 'module', measure: 'value', least: -0.01 },
  ],
}
