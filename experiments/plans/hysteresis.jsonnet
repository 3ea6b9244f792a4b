// A baseline: fixed thresholds with hysteresis, nothing learnt, nothing held.
(import 'reduce.jsonnet') { name: 'hysteresis', hold: '0 s', hold_most: '0 s', bridges: 0, spread: '0 %' }
