// For those to whom hold is worth all else: what a level refuses is never served, and levels come before the cores are full.
local early = { load: '94 %', 'for': '500 ms' };
local base = import 'reduce.jsonnet';
base { name: 'strict', spare: false, levels: [l { enter: [early], exit: { load: '80 %', 'for': '5 s' } } for l in base.levels] }
