// Package processfleet plays fault scenarios on a fleet: in virtual time, or on built daemons whose links run through
// relays on loopback. Both are judged by the same measures of the views that nodes reported.
package processfleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/membership"
)

const (
	ms                 = int64(1_000_000)
	second             = 1_000 * ms
	pollInterval       = 20 * ms    // between looks at what is waited for
	faultAftermath     = 6 * second // past a fault's end in which a change may still be of it
	idlePeriod         = 5 * second // before the first fault in which traffic is that of an idle fleet
	shownLines         = 40         // lines of the timeline that are printed
	maxTimelineChanges = 20_000     // changes of views that a timeline has one by one
	// of what a node that falls out again and again is held back by: as in package membership
	maxFlaps  = 5
	flapDecay = 60 * second
)

// Scenario is an experiment on a fleet, as it is written.
type Scenario struct {
	Name, About string
	Processes   bool
	Storm       bool              // of repeats of tokens, by callers that go to any node
	Kills       int               // of all nodes in turn, at drawn moments, each started again at once
	Calls       int               // that may be in hand fleet-wide, one of each run; without it runs make none
	Share       bool              // each node has its fixed part of them, and no leases
	Longest     configfile.Time   // run of a storm, 30 ms without it
	Timeout     configfile.Time   // client timeout in a storm, 5 s without it
	Cores       int               // of each node, 8 without it
	Council     int               // seats that agree on claims of tokens
	Keep        map[string]string // of the file of kept results; none without it
	Nodes       int
	Hollow      int             // of them: what nodes do among themselves, many to a process; the first ones stay whole
	Regions     int             // zones are dealt to them in turn
	Zones       int             // nodes are dealt to them in turn, 3 without it
	Racks       int             // of all zones together
	Tokens      float64         // that hollow nodes claim a second, all together
	Wanted      int             // calls that hollow nodes want at a time, all together
	Join        float64         // seconds in which all must be in one view before the faults begin, 60 without it
	JoinOver    configfile.Time `json:"join_over"` // over which hollow nodes are started; at once without it
	Contacts    int             // nodes that are seeds
	Seconds     float64
	Calm        float64 // seconds at the end without faults
	Seeds       int
	Fleet       map[string]string // of the fleet's file
	Versions    *Versions         // of the configuration, instead of views
	Faults      []Fault
	Claims      []Claim
}

// Fault is a trouble: kill, pause, leave, cut, loss, roll. Who are one, third, half, rack, zone, region, or names; a cut has a
// shape: pair, from (nobody hears them), to (they hear nobody), both, halves (each half hears its own), half (one half is not
// heard). A roll drains and starts each of those once, in so many steps over its time.
type Fault struct {
	Kind, Who, Shape string
	At, For, Every   configfile.Time
	Steps            int
	Part             configfile.Part // of datagrams that are lost
}

// Claim bounds a measure.
type Claim struct {
	Name, Measure string
	Least, Most   *float64
}

// Event is a change of one node's view.
type Event struct {
	At    int64 // ns since the start
	Node  int
	Cause membership.Cause
	Who   string
	Hash  uint64
	Size  int
}

// Read reads a scenario with some of its values changed; isScenario is false where the file is another kind of experiment.
func Read(path string, changed map[string]string) (n *Scenario, isScenario bool, err error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, false, err
	}
	var kind struct{ Nodes int }
	_ = json.Unmarshal(file.JSON, &kind) // a file of another shape is no scenario
	if kind.Nodes == 0 {
		return nil, false, nil
	}
	for _, at := range slices.Sorted(maps.Keys(changed)) {
		if err := file.Set(at, changed[at]); err != nil {
			return nil, true, err
		}
	}
	n = &Scenario{Contacts: 3, Seeds: 1, Calm: 15, Seconds: 60, Join: 60}
	if err := file.Into(n); err != nil {
		return nil, true, err
	}
	for k, f := range n.Faults {
		if !slices.Contains([]string{"kill", "pause", "leave", "cut", "loss", "roll"}, f.Kind) {
			return nil, true, file.At([]string{"faults", fmt.Sprint(k), "kind"}, fmt.Sprintf("%q is no fault", f.Kind), "choose kill, pause, leave, cut, loss or roll")
		}
		if f.Kind == "roll" && (f.Steps < 1 || f.For <= 0) {
			return nil, true, file.At([]string{"faults", fmt.Sprint(k), "steps"}, "a roll without them has no pace", "say in how many steps and, by for, over how long all are restarted")
		}
	}
	if wrong := n.checkHollow(); wrong != "" {
		return nil, true, file.At([]string{"hollow"}, wrong, "see docs/operate/rig.md")
	}
	return n, true, nil
}
