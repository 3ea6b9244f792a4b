// Levels of meubles-rennes: only refusals, as the executor there knows no reduced forms. Not on in `run`; see
// docs/design/levels.md for what it measured.
local full = { load: '100 %', 'for': '500 ms' };
local fits = { load: '85 %', 'for': '5 s' };
{
  name: 'meubles-rennes',
  spare: true,
  levels: [
    { name: 'no-catalogue', refuse: ['catalogue'], enter: [full], exit: fits },
    { name: 'hold-only', refuse: ['catalogue', 'delivery-quote'], enter: [full], exit: fits },
  ],
}
