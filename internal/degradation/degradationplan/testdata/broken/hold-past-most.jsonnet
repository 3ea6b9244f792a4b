// line 4 | is shorter than hold | make it at least as long
{
  hold: '30 s',
  hold_most: '20 s',
  levels: [
    {
      name: 'no-photos',
      refuse: ['catalogue'],
      enter: [{ load: '100 %', 'for': '1 s' }],
      exit: { load: '85 %', 'for': '5 s' },
    },
    {
      name: 'hold-only',
      refuse: ['catalogue', 'delivery-quote'],
      enter: [{ load: '100 %', 'for': '1 s' }, { wait: '80 %', 'for': '500 ms' }],
      exit: { load: '85 %', 'for': '5 s' },
    },
  ],
}
