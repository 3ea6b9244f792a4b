local base = import 'base.libsonnet';
{
  name: 'levels-step',
  about: 'A step from 60 to 130 % that stays, on machines of one speed.',
  seeds: 10,
  day: base.day() { length: '90 s', models: [base.models[1] { speed: 1 }], load: { shape: 'step', low: '60 %', high: '130 %', at: '30 s' } },
  variants: { ladder: { plan: 'plans/reduce.jsonnet' }, strict: { plan: 'plans/strict.jsonnet' } },
  claims: [
    { name: 'every node answers within 3 s', variant: 'ladder', measure: 'reached_s', most: 3 },
    { name: 'the mildest rung that fits: the second', variant: 'ladder', measure: 'top', least: 1, most: 2 },
    { name: 'few changes follow', variant: 'ladder', measure: 'changes', most: 3 },
    { name: 'no rule broken', variant: 'ladder', measure: 'broken', most: 0 },
  ],
}
