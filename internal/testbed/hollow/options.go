package hollow

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/netip"
	"time"
)

// Options are what a fleet is started with. Only Nodes is needed.
type Options struct {
	Nodes           int // hollow ones
	Processes       int // 0: one for each 110 nodes
	Seats           int // of the council: the first nodes of the fleet. 0 for none
	TokensPerSecond float64
	Calls           int            // wanted at a time, of a limit Limit; needs seats
	Limit           int            // of calls in hand fleet-wide, 0 for none
	Fleet           map[string]any // further fields of the fleet's file: probe, silence, settle...
	Config          []byte         // configuration of a node without its name; nil for one operation and no tenant
	Layout          Layout
	JoinOver        time.Duration // over which the starts are spread; 0 for a herd
	Seed            int64
	Events          func(process int, events []Event) // called with changes of views; must not block
	Log             io.Writer                         // stderr of the processes, nil for this one's

	Whole    []int // nodes that the caller runs itself behind relays; the others of 0 to Nodes+len(Whole)-1 are hollow
	Block    int   // of loopback addresses that the caller has reserved, 0 to have one chosen
	Contacts []int // seeds, nil for the first three
	Idle     bool  // starts no node yet
}

// FleetFields are those of the fleet's file that all nodes of a fleet share.
func FleetFields(o *Options, total int) map[string]any {
	fields := map[string]any{"fleet": "rig"}
	if total > 400 { // of 512 that are usual, with lost ones
		fields["members"] = min(total+total/8, 1_500)
	}
	if o.Seats > 0 {
		var seats []string
		for i := range o.Seats {
			seats = append(seats, NodeName(i))
		}
		council := map[string]any{"seats": seats}
		if o.Limit > 0 {
			council["calls"] = map[string]any{"limit": o.Limit, "hold": "500 ms", "lease": "3 s"}
		}
		fields["council"] = council
	}
	maps.Copy(fields, o.Fleet)
	return fields
}

// DefaultConfig is the configuration of a node with one operation and no tenant.
func DefaultConfig() []byte {
	text, err := json.Marshal(map[string]any{"listen": "127.0.0.1:0", "executor": "127.0.0.1:1", "control": "127.0.0.1:1", "catalog": "127.0.0.1:1",
		"seed": "8c1f30d27a5be964", "stop_ms": 3_000, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": defaultSockets},
		"settings": map[string]any{"grades": []any{map[string]any{"name": "hold", "aim": 2_000, "give_up": 5_000, "importance": 1,
			"effect": "deduplicated", "window": 10_000}},
			"family_info": map[string]any{"n_cores": 8, "memory_kb": 400_000, "blowup": 4, "entry_kb": 1, "class_calls": []bool{false},
				"below": "off", "calls_out": 0, "calls_over": 1_000, "linger": 0, "advert": "off", "gauges": []string{"cpu_busy", "runnable"}},
			"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 500},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}})
	if err != nil {
		panic(err) // of constants
	}
	return text
}

// Reserve takes a block of loopback addresses that nobody has, until held is closed. Two fleets at once must not choose alike,
// so the chance is not from a seed.
func Reserve() (block int, held io.Closer, err error) {
	first := rand.Intn(numBlocks)
	for k := range numBlocks {
		block = firstBlock + (first+k)%numBlocks
		if held, err = net.Listen("tcp", At(netip.AddrFrom4([4]byte{127, byte(block), 0, 1}))); err == nil {
			return block, held, nil
		}
	}
	return 0, nil, fmt.Errorf("hollow: no block of loopback addresses is free: %w", err)
}
