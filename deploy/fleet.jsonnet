// A fleet whose nodes talk to each other, for installations that allow it; `run` in balancer.toml has none, as that
// platform bars talk among instances. Each node has its own bind address; the rest is alike on all.
//     topazpost check --fleet deploy/fleet.jsonnet example/config.json
function(bind='127.0.0.1:7946', zone='')
  {
    fleet: 'mobilier',
    bind: bind,
    zone: zone,
    seeds: ['127.0.0.1:7946', '127.0.0.2:7946', '127.0.0.3:7946'],
    probe: '500 ms',
    silence: '3.5 s',
    settle: '400 ms',
    forget: '1 h',
    members: 512,
  }
