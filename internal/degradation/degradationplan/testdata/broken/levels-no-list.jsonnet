// line 4 | is a object | write a array
{
  name: 'sound',
  levels: {},
}
