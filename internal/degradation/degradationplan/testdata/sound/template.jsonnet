local hot = { load: '105 %', 'for': '1 s' };
local rung(name, refuse) = { name: name, refuse: refuse, enter: [hot], exit: { load: '80 %', 'for': '4 s' } };
{ spare: true, levels: [rung('a', ['catalogue']), rung('b', ['catalogue', 'delivery-quote'])] }
