// line 7 | is listed under refuse too | remove it from refuse or from reduce
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
