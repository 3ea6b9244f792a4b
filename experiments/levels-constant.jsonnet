local base = import 'base.libsonnet';
{
  name: 'levels-constant',
  about: 'A load that stays; day.load.high=130 % sets another one.',
  seeds: 10,
  day: base.day() { load: { shape: 'constant', high: '110 %' } },
  variants: {
    module: {}, pool: { decider: 'pool' }, ladder: { plan: 'plans/reduce.jsonnet' }, refuse: { plan: 'plans/refuse.jsonnet' },
    strict: { plan: 'plans/strict.jsonnet' },
  },
  claims: [
    { name: 'beats plain rejection on each seed', variant: 'ladder', over: 'pool', measure: 'value', least: 0.01 },
    { name: 'refusals beat plain rejection on each seed', variant: 'refuse', over: 'pool', measure: 'value', least: 0.01 },
    { name: 'not below the module without levels', variant: 'ladder', over: 'module', measure: 'value', least: -0.005 },
    { name: 'refusals not below it either', variant: 'refuse', over: 'module', measure: 'value', least: -0.005 },
    { name: 'hold within its objective, strict levels', variant: 'strict', measure: 'in_objective', operation: 'hold', least: 0.99 },
    { name: 'no rule broken', variant: 'ladder', measure: 'broken', most: 0 },
  ],
}
