// line 2 | misses levels | add it
{
  name: 'sound',
}
