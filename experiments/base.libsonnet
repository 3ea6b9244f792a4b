// What the experiments share: three operations, two kinds of machine, four habits of dispatchers.
{
  operations(forms):: [
    { name: 'catalogue', share: '54 %', work: '28 ms', call: '5 ms', calls: 1, objective: '170 ms', timeout: '430 ms', value: 1 }
    + (if forms then { form: 'catalogue-plain', form_work: '45 %', form_value: '80 %' } else {}),
    { name: 'delivery-quote', share: '28 %', work: '41 ms', objective: '240 ms', timeout: '610 ms', value: 2 },
    { name: 'hold', share: '18 %', work: '17 ms', call: '5 ms', calls: 1.5, objective: '100 ms', timeout: '260 ms', value: 5 },
  ],
  models: [
    { cores: 6, speed: 0.6, cold_from: '22 %', warm_after: '18 s', crowdFrom: 3, crowding: 0.1, most: 6 },
    { cores: 6, speed: 1.3, cold_from: '22 %', warm_after: '18 s', crowdFrom: 3, crowding: 0.1, most: 6 },
  ],
  callers: [
    { tries: 3, backoff: '5 ms', heeds: true },
    { tries: 1, heeds: true },
    { tries: 2, backoff: '10 ms', heeds: true, by_subject: true },
    { tries: 2, backoff: '5 ms' },
  ],
  day(forms=true):: {
    nodes: 4, length: '120 s', models: $.models, operations: $.operations(forms), reading: '25 %', callers: $.callers,
    slots: 2, subjects: 3000,
  },
}
