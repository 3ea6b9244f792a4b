// Package hollow runs many hollow nodes in few processes: the real code of what nodes do among themselves, on real sockets of
// loopback, without dispatchers and executors. Fleet is what other programs start and command them by.
package hollow

import (
	"fmt"
	"net/netip"
)

const (
	Port             = 7946 // of peers, on loopback addresses of the laboratory's own
	nodesPerColumn   = 100  // nodes under one third byte of an address
	MaxNodes         = nodesPerColumn * 250
	addressesPerNode = 2 // addresses: where a node hears its peers, and where a relay stands before a whole one
)

// Layout places nodes round robin: node i in zone i mod Zones, a zone in region zone mod Regions, and racks within zones.
type Layout struct {
	Regions int `json:"regions,omitempty"`
	Zones   int `json:"zones,omitempty"`
	Racks   int `json:"racks,omitempty"` // of all zones together
}

// Zone is the number of a node's zone, Region that of its region, Rack that of its rack.
func (l *Layout) Zone(i int) int { return i % max(1, l.Zones) }

// Region is the number of a node's region.
func (l *Layout) Region(i int) int { return l.Zone(i) % max(1, l.Regions) }

// Rack is the number of a node's rack: each zone has an equal part of them.
func (l *Layout) Rack(i int) int {
	zones := max(1, l.Zones)
	each := max(1, l.Racks/zones)
	return l.Zone(i)*each + i/zones%each
}

// Name is what nodes tell each other as their zone.
func (l *Layout) Name(i int) string {
	if l.Regions > 1 {
		return fmt.Sprintf("g%dz%d", l.Region(i), l.Zone(i))
	}
	return fmt.Sprint("z", l.Zone(i))
}

// Bind is the address on which node i of a block of loopback addresses hears its peers, Relayed where a relay stands before it.
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
