local base = import 'base.libsonnet';
{
  name: 'levels-ledger',
  about: 'A ledger that is forty times slower for a minute: pressure without busy cores. The plan also climbs on calls.',
  seeds: 5,
  day: base.day() { length: '150 s', load: { shape: 'constant', high: '60 %' }, faults: [{ kind: 'ledger', at: '40 s', 'for': '60 s', by: 40 }] },
  variants: { ladder: { plan: 'plans/calls.jsonnet' }, module: {} },
  claims: [
    { name: 'the ladder is not climbed to its end', variant: 'ladder', measure: 'top', most: 2 },
    { name: 'it does not flap', variant: 'ladder', measure: 'changes', most: 12 },
    { name: 'no rule broken', variant: 'ladder', measure: 'broken', most: 0 },
  ],
}
