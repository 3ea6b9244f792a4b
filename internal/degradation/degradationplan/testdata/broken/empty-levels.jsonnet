// line 4 | has 0, 1 at the least | add one
{
  name: 'sound',
  levels: [],
}
