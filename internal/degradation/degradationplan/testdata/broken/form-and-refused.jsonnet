// line 7 | is refused by the same level | take it out of refuse or out of reduce
{
  forms_known: true,
  levels: [
    {
      name: 'no-photos',
      refuse: ['catalogue'], reduce: { catalogue: { form: 'plain', work: '40 %', value: '80 %' } },
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
