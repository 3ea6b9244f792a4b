// Package hollow runs many hollow nodes in few processes: the real code of what nodes do among themselves, on real sockets of
// loopback, without dispatchers and executors. Fleet is what other programs start and command them by.
package hollow

import (
	"fmt"
	"net/netip"
)

// Port is the port of peers, on loopback addresses that only the test bed uses.
const Port = 7946

// MaxNodes is the most nodes of a fleet that one block of addresses holds.
const MaxNodes = nodesPerColumn * 250

const (
	nodesPerColumn   = 100 // nodes under one third byte of an address
	addressesPerNode = 2   // one where a node listens for peers, one where a relay stands before a whole daemon
)

// Layout places nodes round robin: node i in zone i mod Zones, a zone in region zone mod Regions, and racks within zones.
type Layout struct {
	Regions int `json:"regions,omitempty"`
	Zones   int `json:"zones,omitempty"`
	Racks   int `json:"racks,omitempty"` // of all zones together
}

// Zone is the number of a node's zone.
func (l *Layout) Zone(i int) int { return i % max(1, l.Zones) }

// Region is the number of a node's region.
func (l *Layout) Region(i int) int { return l.Zone(i) % max(1, l.Regions) }

// Rack is the number of a node's rack: each zone has an equal part of them.
func (l *Layout) Rack(i int) int {
	zones := max(1, l.Zones)
	each := max(1, l.Racks/zones)
	return l.Zone(i)*each + i/zones%each
}

// Name is the zone that a node announces to its peers.
func (l *Layout) Name(i int) string {
	if l.Regions > 1 {
		return fmt.Sprintf("g%dz%d", l.Region(i), l.Zone(i))
	}
	return fmt.Sprint("z", l.Zone(i))
}

// Bind is the address on which node i of a block of loopback addresses listens for peers, Relayed where a relay stands before it.
func Bind(block, i int) netip.Addr { return address(block, i, 0) }

// Relayed is the address at which a relay stands before node i.
func Relayed(block, i int) netip.Addr { return address(block, i, 1) }

func address(block, i, k int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(block), byte(1 + i/nodesPerColumn), byte(1 + addressesPerNode*(i%nodesPerColumn) + k)})
}

// At is an address with the port of peers.
func At(a netip.Addr) string { return netip.AddrPortFrom(a, Port).String() }

// NodeName is the name of node i.
func NodeName(i int) string { return fmt.Sprint("n", i) }
