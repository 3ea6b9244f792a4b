// line 9 | names no signal | name one of load, wait, lag
{
  name: 'sound',
  levels: [
    {
      name: 'no-photos',
      refuse: ['catalogue'],
      enter: [{ load: '100 %', 'for': '1 s' }],
      exit: { 'for': '5 s' },
    },
    {
      name: 'hold-only',
      refuse: ['catalogue', 'delivery-quote'],
      enter: [{ load: '100 %', 'for': '1 s' }, { wait: '80 %', 'for': '500 ms' }],
      exit: { load: '85 %', 'for': '5 s' },
    },
  ],
}
