local base = import 'base.libsonnet';
{
  name: 'levels-idle',
  about: 'A drop to idle from the highest rung.',
  seeds: 10,
  day: base.day() { length: '90 s', load: { shape: 'drop', high: '240 %', low: '3 %', at: '60 s' } },
  variants: { ladder: { plan: 'plans/reduce.jsonnet' }, strict: { plan: 'plans/strict.jsonnet' } },
  claims: [
    { name: 'the highest rung was reached', variant: 'ladder', measure: 'top', least: 3 },
    { name: 'full service within 5 s of the drop', variant: 'ladder', measure: 'full_s', most: 5 },
    { name: 'the same where levels are strict', variant: 'strict', measure: 'full_s', most: 5 },
    { name: 'no rule broken', variant: 'ladder', measure: 'broken', most: 0 },
  ],
}
