local cores = { load: '100 %', 'for': '500 ms' };
{
  name: 'reduce', forms_known: true, spare: true,
  levels: [
    { name: 'plain-catalogue', reduce: { catalogue: { form: 'catalogue-plain', work: '45 %', value: '80 %' } },
      enter: [cores], exit: { load: '85 %', 'for': '5 s' } },
    { name: 'no-catalogue', refuse: ['catalogue'], enter: [cores], exit: { load: '85 %', 'for': '5 s' } },
    { name: 'hold-only', refuse: ['catalogue', 'delivery-quote'], enter: [cores], exit: { load: '85 %', 'for': '5 s' } },
  ],
}
