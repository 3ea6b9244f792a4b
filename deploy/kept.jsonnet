// Results of tokened invocations kept on a disk that lasts, for installations that have one. `run` in balancer.toml
// has none: there tokens are kept in memory only, where an operation is tokened.
//     topazpost check --keep deploy/kept.jsonnet CONFIG.json
{
  token: 'dedupe',
  durability: 'batched',
  folder: '/var/lib/topazpost/kept',
  trouble: 'refuse',
  memory: '32 MiB',
  result: '4 KiB',
  size: '256 MiB',
  segment: '8 MiB',
  gather: '2 ms',
}
