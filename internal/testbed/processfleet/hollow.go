package processfleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"time"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/testbed/hollow"
)

const (
	defaultZones = 3          // zones where a scenario names none
	rollGap      = 1 * second // between the notice to drain and the new start in a roll; shorter where steps are
	fewShown     = 12         // names in one line of a timeline
)

// abbreviate shortens a list of names.
func abbreviate(who []string) []string {
	if len(who) > fewShown {
		return append(slices.Clone(who[:fewShown]), fmt.Sprintf("and %d more", len(who)-fewShown))
	}
	return who
}

// checkHollow says what can't be played together with hollow nodes, or nothing.
func (n *Scenario) checkHollow() string {
	switch {
	case n.Hollow < 0 || n.Hollow > n.Nodes || n.Nodes > hollow.MaxNodes:
		return fmt.Sprintf("%d of %d nodes can't be hollow", n.Hollow, n.Nodes)
	case n.Hollow > 0 && !n.Processes:
		return "hollow nodes have real sockets: set processes: true"
	case n.Hollow == 0 && (n.Tokens > 0 || n.Wanted > 0):
		return "tokens and wanted are loads on hollow nodes, and there are none"
	case (n.Tokens > 0 || n.Wanted > 0) && n.Council == 0:
		return "tokens and wanted need a council"
	case n.Wanted > 0 && n.Calls == 0:
		return "wanted needs calls, the limit"
	}
	return ""
}

// isHollow says whether a node is; the first ones are whole.
func (n *Scenario) isHollow(i int) bool { return i >= n.Nodes-n.Hollow }

func (n *Scenario) layout() hollow.Layout {
	return hollow.Layout{Regions: n.Regions, Zones: cmp.Or(n.Zones, defaultZones), Racks: n.Racks}
}

// nodesOfPlace draws a rack, zone or region, and keeps its nodes of a list.
func (n *Scenario) nodesOfPlace(kind string, chance *rand.Rand, list []int) []int {
	l := n.layout()
	of := map[string]func(i int) int{"rack": l.Rack, "zone": l.Zone, "region": l.Region}[kind]
	if len(list) == 0 {
		return nil
	}
	drawn := of(list[chance.Intn(len(list))])
	return slices.DeleteFunc(list, func(i int) bool { return of(i) != drawn })
}

// rollingRestart drains and starts each of some nodes once, some at a time.
func (n *Scenario) rollingRestart(d fleetDriver, f *Fault, at, end int64, chance *rand.Rand, up []bool) (spans []*faultSpan, actions []scheduledAction) {
	var list []int
	if f.Who == "" {
		list = chance.Perm(n.Nodes)
	} else {
		list = n.selectNodes(f.Who, chance, func(int) bool { return true })
	}
	step := int64(f.For) / int64(f.Steps)
	for k := range f.Steps {
		s := &faultSpan{kind: "leave", from: at + int64(k)*step, concerned: map[string]bool{}, back: true,
			nodes: list[k*len(list)/f.Steps : (k+1)*len(list)/f.Steps]}
		s.to = s.from + min(rollGap, step/2)
		if s.to >= end || len(s.nodes) == 0 {
			continue
		}
		for _, i := range s.nodes {
			s.concerned[name(i)] = true
		}
		spans = append(spans, s)
		actions = append(actions, n.beginFault(d, s, *f, chance, up)...)
	}
	return spans, actions
}

// startAll starts nodes, hollow ones with one command.
func startAll(d fleetDriver, nodes []int, over configfile.Time) error {
	if p, is := d.(*processes); is && p.fleet != nil {
		var some []int
		nodes, some = p.partition(nodes)
		if len(some) > 0 {
			p.fleet.StartOver(time.Duration(over), some...)
		}
	}
	for _, i := range nodes {
		if err := d.start(i); err != nil {
			return err
		}
	}
	return nil
}

// endAll kills nodes, or has them drain.
func endAll(d fleetDriver, nodes []int, drain bool, up []bool) {
	for _, i := range nodes {
		up[i] = false
	}
	if p, is := d.(*processes); is && p.fleet != nil {
		var some []int
		if nodes, some = p.partition(nodes); len(some) > 0 && drain {
			p.fleet.Leave(some...)
		} else if len(some) > 0 {
			p.fleet.Kill(some...)
		}
	}
	for _, i := range nodes {
		if drain {
			d.leave(i)
		} else {
			d.kill(i)
		}
	}
}

// cutAll has nothing of some nodes come to others.
func cutAll(d fleetDriver, from, to []int) {
	if p, is := d.(*processes); is {
		p.links.cutAll(p.scenario.Nodes, from, to)
		if p.fleet != nil {
			p.fleet.Cut(from, to)
		}
		return
	}
	for _, a := range from {
		for _, b := range to {
			d.cut(a, b)
		}
	}
}

// partition parts nodes in whole and hollow ones.
func (p *processes) partition(nodes []int) (whole, some []int) {
	for _, i := range nodes {
		if p.scenario.isHollow(i) {
			some = append(some, i)
		} else {
			whole = append(whole, i)
		}
	}
	return whole, some
}

// beginHollow starts the processes of hollow nodes, none of which is up yet. The built topazlab stands beside the daemon.
func (p *processes) beginHollow() error {
	n := p.scenario
	if n.Hollow == 0 {
		return nil
	}
	var whole, contacts []int
	for i := range n.Nodes - n.Hollow {
		whole = append(whole, i)
	}
	for i := range min(n.Contacts, n.Nodes) {
		contacts = append(contacts, i)
	}
	config, err := json.Marshal(p.config(-1))
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "hollow.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.hollowLog = log
	p.fleet, err = hollow.Start(context.Background(), filepath.Join(filepath.Dir(p.program), "topazlab"), hollow.Options{Nodes: n.Hollow, Whole: whole,
		Block: p.block, Contacts: contacts, Layout: n.layout(), Fleet: p.fleetFile(), Config: config, Seed: p.seed, Events: p.fromHollow, Idle: true, Log: log})
	return err
}

// loadHollow begins the load of hollow nodes once the fleet has formed, and has each change of a view reported.
func (p *processes) loadHollow() {
	p.joined = time.Now().Unix()
	if p.fleet == nil {
		return
	}
	p.fleet.ReportAllEvents(true)
	p.fleet.Tokens(p.scenario.Tokens)
	p.fleet.Calls(p.scenario.Wanted)
}

// fromHollow takes changes of views of hollow nodes.
func (p *processes) fromHollow(_ int, events []hollow.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := p.began.UnixNano()
	for _, x := range events {
		i := int(x[hollow.EventNode])
		if i >= len(p.lastOfNode) {
			continue
		}
		e := Event{At: int64(x[hollow.EventAt])*ms - began, Node: i, Cause: membership.Cause(x[hollow.EventCause]), Who: name(int(x[hollow.EventWho])),
			Size: int(x[hollow.EventSize]), Hash: x[hollow.EventHash]}
		p.events = append(p.events, e)
		p.lastOfNode[i] = e
	}
}

// measureHollow tells what hollow nodes cost and did: all of the play in the worst second, loads from the time that all had joined.
func (p *processes) measureHollow(o *Outcome) {
	if p.fleet == nil {
		return
	}
	m := o.Measures
	list := p.fleet.Sample()
	var lines []byte
	for k := range list {
		s := &list[k]
		if text, err := json.Marshal(s); err == nil {
			lines = append(append(lines, text...), '\n')
		}
		m["hollow_worst_bytes"] = max(m["hollow_worst_bytes"], s.PerNode)
		m["hollow_node_worst_bytes"] = max(m["hollow_node_worst_bytes"], float64(s.WorstSent))
		m["hollow_cpu_worst_ms"] = max(m["hollow_cpu_worst_ms"], 1e3*s.CPUPerNode)
		m["hollow_late_s"] = max(m["hollow_late_s"], s.Late)
		m["hollow_resident_mb"] = max(m["hollow_resident_mb"], float64(s.Peak)/(1<<20))
		m["hollow_changes"] += float64(s.Changes)
		m["hollow_dropped"] += float64(s.Dropped)
		m["hollow_flooded"] += float64(s.Flooded)
		m["hollow_refused"] += float64(s.Refused)
		if s.Unix <= p.joined || p.joined == 0 {
			continue
		}
		m["tokens_wanted"] += float64(s.Tokens.Wanted)
		m["tokens_kept"] += float64(s.Tokens.Kept)
		m["tokens_turned_away"] += float64(s.Tokens.TurnedAway)
		m["tokens_begin_worst_ms"] = max(m["tokens_begin_worst_ms"], s.Tokens.BeginMost)
		m["hollow_calls_most"] = max(m["hollow_calls_most"], float64(s.Calls.InHand))
	}
	if err := p.fleet.Err(); err != nil && o.Failed == "" {
		o.Failed = err.Error()
	}
	if err := os.WriteFile(filepath.Join(p.folder, "hollow.seconds"), lines, 0o600); err != nil && o.Failed == "" {
		o.Failed = err.Error()
	}
}
