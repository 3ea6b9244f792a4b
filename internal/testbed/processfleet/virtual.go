package processfleet

import (
	"encoding/json"
	"fmt"
	"strconv"

	"topazpost/internal/configfile"
	"topazpost/internal/testbed/virtualfleet"
)

// virtual is a fleet in virtual time.
type virtual struct{ *virtualfleet.Fleet }

func newVirtual(n *Scenario, seed int64) (*virtual, error) {
	m := virtualfleet.New(seed, n.Nodes, min(n.Contacts, n.Nodes))
	for field, to := range map[string]*int64{"probe": &m.Membership.ProbeInterval, "silence": &m.Membership.LinkTimeout, "settle": &m.Membership.SuspicionTimeout,
		"forget": &m.Membership.ForgetTimeout} {
		if value, set := n.Fleet[field]; set {
			var t configfile.Time
			if err := json.Unmarshal([]byte(strconv.Quote(value)), &t); err != nil {
				return nil, fmt.Errorf("fleet.%s: %w", field, err)
			}
			*to = int64(t)
		}
	}
	return &virtual{m}, nil
}

func (v *virtual) now() int64 { return v.Now }

func (v *virtual) run(until int64) { v.Run(until) }

func (v *virtual) start(i int) error {
	if !v.Nodes[i].Up {
		v.Nodes[i].Start()
	}
	return nil
}

func (v *virtual) kill(i int) { v.Nodes[i].Kill() }

func (v *virtual) leave(i int) { v.Nodes[i].Leave() }

func (v *virtual) pause(i int, stop bool) {
	if stop {
		v.Nodes[i].Pause(1 << 60)
	} else {
		v.Nodes[i].Resume()
	}
}

func (v *virtual) cut(from, to int) { v.Cut(from, to) }

func (v *virtual) heal() { v.RemoveCuts() }

func (v *virtual) lose(part float64) { v.LossRate = part }

func (v *virtual) sent() (sum int64) {
	for _, n := range v.Nodes {
		sum += int64(n.Bytes)
	}
	return sum
}

func (v *virtual) viewEvents() (list []Event) {
	for i, n := range v.Nodes {
		for _, c := range n.Changes {
			list = append(list, Event{At: c.At, Node: i, Cause: c.Cause, Who: c.Member, Hash: c.Hash, Size: c.Size})
		}
	}
	return list
}

func (v *virtual) lastEvents() []Event {
	list := make([]Event, len(v.Nodes))
	for i, n := range v.Nodes {
		if k := len(n.Changes); k > 0 {
			c := n.Changes[k-1]
			list[i] = Event{At: c.At, Node: i, Cause: c.Cause, Who: c.Member, Hash: c.Hash, Size: c.Size}
		}
	}
	return list
}

func (v *virtual) close() {}
