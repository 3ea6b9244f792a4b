local base = import 'base.libsonnet';
{
  name: 'levels-swing',
  about: 'Load that swings from 70 to 130 % with a period of 30 s, for ten minutes.',
  seeds: 10,
  day: base.day() { length: '600 s', load: { shape: 'swing', low: '70 %', high: '130 %', period: '30 s' } },
  variants: {
    module: {}, pool: { decider: 'pool' }, ladder: { plan: 'plans/reduce.jsonnet' }, refuse: { plan: 'plans/refuse.jsonnet' },
    strict: { plan: 'plans/strict.jsonnet' }, hysteresis: { plan: 'plans/hysteresis.jsonnet' },
  },
  claims: [
    { name: 'one change of level a swing at the most', variant: 'ladder', measure: 'changes_per_swing', most: 1 },
    { name: 'the same where levels only refuse', variant: 'refuse', measure: 'changes_per_swing', most: 1 },
    { name: 'beats plain rejection on each seed', variant: 'ladder', over: 'pool', measure: 'value', least: 0.01 },
    { name: 'refusals beat plain rejection on each seed', variant: 'refuse', over: 'pool', measure: 'value', least: 0.01 },
    { name: 'not below the module without levels', variant: 'ladder', over: 'module', measure: 'value', least: -0.005 },
    { name: 'refusals not below it either', variant: 'refuse', over: 'module', measure: 'value', least: -0.005, mean: true },
    { name: 'hold within its objective, strict levels', variant: 'strict', measure: 'in_objective', operation: 'hold', least: 0.99 },
    { name: 'no rule broken', variant: 'ladder', measure: 'broken', most: 0 },
  ],
}
