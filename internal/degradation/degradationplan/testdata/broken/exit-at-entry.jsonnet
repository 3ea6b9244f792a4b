// line 15 | 100 % is not below the 100 % of enter.0 | lower it
{
  name: 'sound',
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
      exit: { load: '100 %', 'for': '5 s' },
    },
  ],
}
