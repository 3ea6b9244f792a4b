package server

import (
	"math"
	"runtime"
	"runtime/debug"
	"slices"
)

// descriptorShares says how the descriptors are parted: among dispatchers' connections, those of them that are about to
// close, and links to the catalogue.
func (c *Config) descriptorShares() (connections, closing, links int) {
	links, closing = max(minLinkDescriptors, c.Sockets/linkDescriptorDivisor), max(minClosingDescriptors, c.Sockets/closingDescriptorDivisor)
	connections = c.Sockets - reservedDescriptors - links - closing
	if c.Fleet != nil {
		connections -= fleetDescriptors + c.maxStreams()
	}
	return max(1, connections), closing, links
}

// maxStreams is how many streams to peers the node may have.
func (c *Config) maxStreams() int {
	switch {
	case c.Fleet == nil || c.Fleet.Council == nil:
		return 0
	case slices.Contains(c.Fleet.Council.Seats, c.Name):
		return min(maxReplicaStreams, c.Fleet.Terms.MaxMembers, max(maxNodeStreams, c.Sockets/4))
	}
	return maxNodeStreams
}

// Limit tells the runtime of the cores and memory that the config allows, for programs that are nothing
// but this node. Where the configuration is taken in service, most of the heap are tables that live on: with the usual growth as
// much again would be garbage.
func (c *Config) Limit() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(c.MemoryMB) * (1 << 20)))
	if c.Fleet != nil && c.Fleet.Configuration != nil {
		debug.SetGCPercent(inServiceGCPercent)
	}
}
