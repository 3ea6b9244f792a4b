// line 0 | is a number | write it with its unit
local level(n) = { name: n, refuse: ['catalogue'], enter: [{ load: 1 }], exit: { load: '5 %' } };
std.foldl(function(a, b) a + b, [{ levels: [level('a')] }], {})
