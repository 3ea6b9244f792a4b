local base = import 'base.libsonnet';
{
  name: 'levels-morning',
  about: 'A load from a file: a batch of school desks goes online, twice.',
  seeds: 5,
  day: base.day() { load: { shape: 'recorded', file: 'morning.csv' } },
  variants: { module: {}, ladder: { plan: 'plans/reduce.jsonnet' } },
  claims: [
    { name: 'not below the module without levels', variant: 'ladder', over: 'module', measure: 'value', least: -0.005 },
    { name: 'no rule broken', variant: 'ladder', measure: 'broken', most: 0 },
  ],
}
