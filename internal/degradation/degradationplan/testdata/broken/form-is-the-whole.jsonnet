// line 7 | has the complete operation as its reduced form | use the name that the executor has
{
  forms_known: true,
  levels: [
    {
      name: 'no-photos',
      reduce: { catalogue: { form: 'catalogue', work: '40 %', value: '80 %' } },
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
