package capacity

// bound is one of the code, for the test.
type bound struct {
	file, name string
	value      float64
}

var bounds = []bound{
	{"internal/fleet/fleetconfig/membership.go", "maxMembers", membersMost},
	{"internal/fleet/fleetconfig/membership.go", "defaultMaxMembers", membersUsual},
	{"internal/fleet/fleetconfig/consensusgroup.go", "defaultTableBytes", tableUsual},
	{"internal/fleet/fleetconfig/consensusgroup.go", "maxTableBytes", tableMost},
	{"server/streams.go", "maxReplicaStreams", streamsSeat},
	{"server/datagrams.go", "maxDatagramsPerSecond", sourceRate},
	{"server/datagrams.go", "maxRateLimitedSenders", sourcesMost},
	{"internal/node/connections.go", "idleTimeout", idleWaitS * 1e9},
}
