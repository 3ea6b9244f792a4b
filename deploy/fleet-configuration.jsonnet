// A fleet that takes operations, tenants and limits in service, from three seats that serve nothing: docs/operate/configuration.md.
//     topazpost seat --name s1 deploy/fleet-configuration.jsonnet
//     topazpost check --fleet deploy/fleet-configuration.jsonnet CONFIG.json
(import 'fleet.jsonnet')(bind='127.0.0.1:7946') {
  zone: 'a',
  council: { seats: ['s1', 's2', 's3'], folder: '/var/lib/topazpost/seat-{name}' },
  configuration: { folder: '/var/lib/topazpost/configuration-{name}' },
}
