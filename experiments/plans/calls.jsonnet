// Also enters on runs that stand at calls.
local base = import 'reduce.jsonnet';
base { name: 'calls', levels: [l { enter+: [{ calls: '20 %', 'for': '500 ms' }] } for l in base.levels] }
