local base = import 'base.libsonnet';
{
  name: 'levels-fleet',
  about: '250 nodes, 1,400 invocations a second at their peak, a release and a crash; work is scaled so that this is 125 % of the cores.',
  seeds: 1,
  day: base.day() {
    nodes: 250, length: '90 s', rate: 1120, load: { shape: 'step', low: '60 %', high: '125 %', at: '20 s' }, slots: 2,
    operations: [
      op { work: t[0], call: '100 ms', objective: t[1], timeout: t[2] }
      for op in super.operations
      for t in [{ catalogue: ['1000 ms', '6 s', '15 s'], 'delivery-quote': ['1480 ms', '8.5 s', '20 s'], hold: ['620 ms', '4 s', '9 s'] }[op.name]]
    ],
    callers: [c for k in std.range(1, 10) for c in base.callers],
    faults: [{ kind: 'release', at: '40 s', 'for': '20 s', part: '30 %' }, { kind: 'kill', at: '65 s', 'for': '10 s', part: '10 %' }],
  },
  variants: { ladder: { plan: 'plans/reduce.jsonnet' }, module: {} },
  claims: [
    { name: 'no rule broken', variant: 'ladder', measure: 'broken', most: 0 },
    { name: 'nodes do not step as one', variant: 'ladder', measure: 'at_once', most: 0.5 },
  ],
}
