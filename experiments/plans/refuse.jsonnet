local cores = { load: '100 %', 'for': '500 ms' };
{
  name: 'refuse', spare: true,
  levels: [
    { name: 'no-catalogue', refuse: ['catalogue'], enter: [cores], exit: { load: '85 %', 'for': '5 s' } },
    { name: 'hold-only', refuse: ['catalogue', 'delivery-quote'], enter: [cores], exit: { load: '85 %', 'for': '5 s' } },
  ],
}
