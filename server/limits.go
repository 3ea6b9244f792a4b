package server

import (
	"math"
	"runtime"
	"runtime/debug"
	"slices"
)

const (
	memoryLimitShare   = 0.6 // of the memory limit that the runtime aims at; the rest is for stacks and the kernel
	inServiceGCPercent = 40  // of the heap that may be garbage where the configuration is distributed by the fleet

	reservedDescriptors      = 14 // files, listening socket, executor link, two reports
	linkDescriptorDivisor    = 8  // share of the descriptors for catalogue links, one for each call in flight
	minLinkDescriptors       = 4
	closingDescriptorDivisor = 16 // share of the descriptors for connections that wait for their peer to close
	minClosingDescriptors    = 4
	streamDescriptorDivisor  = 4 // share of the descriptors for a replica's streams
)

// descriptorShares divides the descriptors among dispatchers' connections, connections that are about to close, and links to
// the catalogue.
func (c *Config) descriptorShares() (connections, closing, links int) {
	links = max(minLinkDescriptors, c.Sockets/linkDescriptorDivisor)
	closing = max(minClosingDescriptors, c.Sockets/closingDescriptorDivisor)
	connections = c.Sockets - reservedDescriptors - links - closing
	if c.Fleet != nil {
		connections -= fleetDescriptors + c.maxStreams()
	}
	return max(1, connections), closing, links
}

// maxStreams is how many streams to fleet peers the node may have open.
func (c *Config) maxStreams() int {
	switch {
	case !c.hasConsensus():
		return 0
	case slices.Contains(c.Fleet.ConsensusGroup.Replicas, c.Name):
		return min(maxReplicaStreams, c.Fleet.Membership.MaxMembers, max(maxNodeStreams, c.Sockets/streamDescriptorDivisor))
	default:
		return maxNodeStreams
	}
}

// hasConsensus reports whether the fleet has a consensus group.
func (c *Config) hasConsensus() bool { return c.Fleet != nil && c.Fleet.ConsensusGroup != nil }

// Limit applies the limits on cores and memory to the Go runtime, for programs that are nothing but this node. Where the
// fleet distributes the configuration, most of the heap is long-lived tables, and the collector runs at a lower growth.
func (c *Config) Limit() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(c.MemoryMB) * (1 << 20)))
	if c.Fleet != nil && c.Fleet.ConfigSync != nil {
		debug.SetGCPercent(inServiceGCPercent)
	}
}
