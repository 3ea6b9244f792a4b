// line 7 | requires an executor that supports reduced forms | set forms_known: true
{
  name: 'sound',
  levels: [
    {
      name: 'no-photos',
      reduce: { catalogue: { form: 'plain', work: '40 %', value: '80 %' } },
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
