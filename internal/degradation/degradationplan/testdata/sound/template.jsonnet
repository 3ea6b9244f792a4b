local hot = { load: '105 %', 'for': '1 s' };
local level(name, refuse) = { name: name, refuse: refuse, enter: [hot], exit: { load: '80 %', 'for': '4 s' } };
{ spare: true, levels: [level('a', ['catalogue']), level('b', ['catalogue', 'delivery-quote'])] }
