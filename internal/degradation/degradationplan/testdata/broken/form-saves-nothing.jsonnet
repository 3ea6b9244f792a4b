// line 7 | leaves 100 % of the work | work must be above 0 % and below 100 %
{
  forms_known: true,
  levels: [
    {
      name: 'no-photos',
      reduce: { catalogue: { form: 'plain', work: '100 %', value: '80 %' } },
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
