// line 11 | gives each operation the same form and value as levels.0 (no-photos) | remove one
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
      refuse: ['catalogue'],
      enter: [{ load: '100 %', 'for': '1 s' }, { wait: '80 %', 'for': '500 ms' }],
      exit: { load: '85 %', 'for': '5 s' },
    },
  ],
}
