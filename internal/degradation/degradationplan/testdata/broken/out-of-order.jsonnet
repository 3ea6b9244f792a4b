// line 11 | is less restrictive than levels.0 | order levels from the least to the most restrictive
{
  name: 'sound',
  levels: [
    {
      name: 'no-photos',
      refuse: ['catalogue', 'delivery-quote', 'hold'],
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
