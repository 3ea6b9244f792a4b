// line 2 | max stack frames exceeded | calls itself
local f(x) = f(x + 1) + 1;
{ name: f(0) }
