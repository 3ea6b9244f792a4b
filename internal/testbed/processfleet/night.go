// Package processfleet plays a night of faults on a fleet: in virtual time, or on built daemons whose links run through
// relays on loopback. Both are judged by the same measures of the views that nodes told.
package processfleet

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/membership"
)

const (
	ms       = int64(1_000_000)
	second   = 1_000 * ms
	look     = 20 * ms    // between looks at what is waited for
	after    = 6 * second // past a fault's end in which a change may still be of it
	idleFor  = 5 * second // before the first fault in which traffic is that of an idle fleet
	shown    = 40         // lines of the timeline that are printed
	toldMost = 20_000     // changes of views that a timeline has one by one
	// of what a node that falls out again and again is held back by: as in package membership
	fallsMost = 5
	pardon    = 60 * second
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

// fleetDriver is a fleet that faults can be done to.
type fleetDriver interface {
	now() int64
	run(until int64)
	start(i int) error
	kill(i int)
	leave(i int)
	pause(i int, stop bool)
	cut(from, to int)
	heal()
	lose(part float64)
	sent() int64 // bytes, of all
	viewEvents() []Event
	lastEvents() []Event // the last one of each node
	close()
}

// Read reads a night with some of its values changed. It says no where the file is no night but another experiment.
func Read(path string, changed map[string]string) (n *Scenario, is bool, err error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, false, err
	}
	var kind struct{ Nodes int }
	if json.Unmarshal(file.JSON, &kind); kind.Nodes == 0 {
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

// faultSpan is one fault as it was done.
type faultSpan struct {
	kind, shape string
	nodes       []int
	concerned   map[string]bool // by name
	from, to    int64           // to is the night's end where it never ended
	back        bool
	healed      int64 // ns from the healing of a cut to one view of all
}

// Outcome is what a night came to on one seed.
type Outcome struct {
	Seed     int64
	Measures map[string]float64
	Timeline []string
	History  []Told // of a storm
	Failed   string // why it could not be played to its end
}

type scheduledAction struct {
	at int64
	do func() error
}

// playSeed does all faults to a fleet and measures what its views told.
func (n *Scenario) playSeed(d fleetDriver, seed int64) *Outcome {
	o := &Outcome{Seed: seed, Measures: map[string]float64{}}
	began := time.Now()
	all, up := make([]int, n.Nodes), make([]bool, n.Nodes)
	for i := range up {
		all[i], up[i] = i, true
	}
	p, storming := d.(*processes)
	if p != nil {
		defer p.measureHollow(o)
	}
	if err := startAll(d, all, n.JoinOver); err != nil {
		o.Failed = err.Error()
		return o
	}
	o.Measures["joined_s"] = seconds(n.runUntilAgreed(d, int64(n.Join*1e9), up))
	if o.Measures["joined_s"] < 0 {
		o.Failed = "the fleet did not come to one view"
		return o
	}
	if p != nil {
		p.loadHollow()
	}
	if storming = storming && n.Storm; storming {
		p.retryStorm.begin(p)
	}
	var still *stallRecorder
	if p != nil && slices.ContainsFunc(n.Faults, func(f Fault) bool { return f.Kind == "pause" }) {
		still = p.still
		go still.watch(p)
	}
	start := d.now()
	idle, idleAt := d.sent(), start
	spans, actions := n.drawFaults(d, start, rand.New(rand.NewSource(seed)), up)
	worst, last, lastAt := 0.0, d.sent(), d.now()
	for k, a := range actions {
		for d.now() < a.at {
			d.run(min(a.at, d.now()+second))
			if k == 0 && d.now() > a.at-idleFor {
				o.Measures["idle_bytes"] = float64(d.sent()-idle) / float64(n.Nodes) / (float64(d.now()-idleAt) / 1e9)
			} else if k == 0 {
				idle, idleAt = d.sent(), d.now()
			}
			if now := d.now(); now-lastAt >= second {
				worst, last, lastAt = max(worst, float64(d.sent()-last)/float64(n.Nodes)/(float64(now-lastAt)/1e9)), d.sent(), now
			}
		}
		if err := a.do(); err != nil {
			o.Failed = err.Error()
			return o
		}
	}
	healed := d.now()
	d.lose(0)
	d.heal()
	if storming {
		p.retryStorm.awaitResults(n)
		defer p.retryStorm.measure(o, p, spans, start)
	}
	o.Measures["worst_bytes"] = worst
	o.Measures["agree_s"] = seconds(n.runUntilAgreed(d, int64(n.Calm*1e9), up))
	d.run(healed + int64(n.Calm*1e9))
	if o.Measures["agree_s"] < 0 {
		o.Measures["agree_s"] = math.Inf(1)
	}
	o.Measures["pace"] = float64(d.now()) / float64(max(1, time.Since(began)))
	n.measureViews(o, d.viewEvents(), spans, start, still)
	return o
}

func seconds(ns int64) float64 {
	if ns < 0 {
		return -1
	}
	return float64(ns) / 1e9
}

// runUntilAgreed runs on runUntilAgreed all that are up hold one view of just them.
func (n *Scenario) runUntilAgreed(d fleetDriver, most int64, up []bool) int64 {
	for start := d.now(); d.now()-start < most; d.run(d.now() + look) {
		if agreed(d.lastEvents(), up) {
			return d.now() - start
		}
	}
	return -1
}

func agreed(last []Event, up []bool) bool {
	count, hash, first := 0, uint64(0), true
	for _, u := range up {
		if u {
			count++
		}
	}
	for i, u := range up {
		if !u {
			continue
		}
		if last[i].Size != count && count > 1 || !first && last[i].Hash != hash {
			return false
		}
		hash, first = last[i].Hash, false
	}
	return true
}

// drawFaults lays the faults out in time, each with those whom it concerns.
func (n *Scenario) drawFaults(d fleetDriver, start int64, chance *rand.Rand, up []bool) (spans []*faultSpan, actions []scheduledAction) {
	end := start + int64(n.Seconds*1e9)
	for k := range n.Kills {
		at := start + int64(n.Seconds*1e9*(float64(k)+0.2+0.6*chance.Float64())/float64(n.Kills))
		i, s := k%n.Nodes, &faultSpan{kind: "kill", from: at, to: at + ms, back: true, concerned: map[string]bool{name(k % n.Nodes): true}}
		spans = append(spans, s)
		actions = append(actions, scheduledAction{at, func() error { d.kill(i); return d.start(i) }})
	}
	for _, f := range n.Faults {
		for at := start + int64(f.At); at < end; at += int64(f.Every) {
			if f.Kind == "roll" {
				more, steps := n.rollingRestart(d, &f, at, end, chance, up)
				spans, actions = append(spans, more...), append(actions, steps...)
				if f.Every <= 0 {
					break
				}
				continue
			}
			s := &faultSpan{kind: f.Kind, shape: f.Shape, from: at, to: at + int64(f.For), concerned: map[string]bool{}}
			if f.Kind == "pause" { // nobody is left standing still
				s.to = min(s.to, end-ms)
			}
			s.back = f.For > 0 && s.to < end
			if !s.back {
				s.to = end
			}
			s.nodes = n.selectNodes(f.Who, chance, func(i int) bool {
				return f.Kind == "cut" || f.Kind == "loss" || (f.Kind != "pause" || !n.isHollow(i)) && isUndisturbed(spans, i, s.from, s.to)
			})
			for _, i := range s.nodes {
				s.concerned[name(i)] = true
			}
			spans = append(spans, s)
			actions = append(actions, n.beginFault(d, s, f, chance, up)...)
			if f.Every <= 0 {
				break
			}
		}
	}
	sort.SliceStable(actions, func(a, b int) bool { return actions[a].at < actions[b].at })
	return spans, append(actions, scheduledAction{end, func() error { return nil }})
}

// selectNodes draws nodes, those that may be taken: one that another fault has in hand is left to it.
func (n *Scenario) selectNodes(text string, chance *rand.Rand, may func(i int) bool) (list []int) {
	for _, i := range chance.Perm(n.Nodes) {
		if may(i) {
			list = append(list, i)
		}
	}
	if rest, one := strings.CutPrefix(text, "one of "); one {
		list = slices.DeleteFunc(list, func(i int) bool { return !slices.Contains(strings.Fields(rest), name(i)) })
		text = "one"
	}
	switch text {
	case "", "one":
		return list[:min(1, len(list))]
	case "third":
		return list[:min(n.Nodes/3, len(list))]
	case "half":
		return list[:min(n.Nodes/2, len(list))]
	case "rack", "zone", "region":
		return n.nodesOfPlace(text, chance, list)
	}
	return slices.DeleteFunc(list, func(i int) bool { return !slices.Contains(strings.Split(text, " "), name(i)) })
}

// beginFault is what a fault does, and what ends it.
func (n *Scenario) beginFault(d fleetDriver, s *faultSpan, f Fault, chance *rand.Rand, up []bool) []scheduledAction {
	each := func(do func(i int)) func() error {
		return func() error {
			for _, i := range s.nodes {
				do(i)
			}
			return nil
		}
	}
	var begin, end func() error
	switch s.kind {
	case "kill", "leave":
		begin = func() error {
			endAll(d, s.nodes, s.kind == "leave", up)
			return nil
		}
		end = func() error {
			for _, i := range s.nodes {
				up[i] = true
			}
			return startAll(d, s.nodes, 0)
		}
	case "pause":
		begin = each(func(i int) { d.pause(i, true) })
		end = each(func(i int) { d.pause(i, false) })
	case "loss":
		begin = func() error { d.lose(float64(f.Part)); return nil }
		end = func() error { d.lose(0); return nil }
	case "cut":
		begin = func() error {
			n.drawCut(d, s, chance)
			return nil
		}
		end = func() error {
			if d.heal(); n.Storm { // other faults go on meanwhile, and none may last longer for it
				return nil
			}
			s.healed = n.runUntilAgreed(d, int64(n.Calm*1e9), up)
			if s.healed < 0 {
				s.healed = 1_000 * second
			}
			return nil
		}
	}
	list := []scheduledAction{{s.from, begin}}
	if s.back {
		list = append(list, scheduledAction{s.to, end})
	}
	return list
}

// drawCut cuts links in a shape, and tells whom that concerns.
func (n *Scenario) drawCut(d fleetDriver, s *faultSpan, chance *rand.Rand) {
	within := map[int]bool{}
	for _, i := range s.nodes {
		within[i] = true
	}
	var in, out []int
	for i := range n.Nodes {
		if within[i] {
			in = append(in, i)
		} else {
			out = append(out, i)
		}
	}
	if s.shape == "pair" {
		d.cut(s.nodes[0], (s.nodes[0]+1+chance.Intn(n.Nodes-1))%n.Nodes)
		s.concerned = map[string]bool{} // others stand in: nobody's membership depends on one link
		return
	}
	if s.shape != "to" {
		cutAll(d, in, out)
	}
	if s.shape != "from" && s.shape != "half" {
		cutAll(d, out, in)
	}
	if s.shape == "half" || s.shape == "halves" {
		for i := range n.Nodes {
			s.concerned[name(i)] = true
		}
	}
}

// measureViews holds what views told against the faults. A loss of one that a fault and the machine together kept standing still
// for longer than a fleet bears is counted apart, with its return; still is nil where no machine has a part in it.
func (n *Scenario) measureViews(o *Outcome, events []Event, spans []*faultSpan, start int64, still *stallRecorder) {
	bound := 3_000 * ms // a pause up to it must be borne
	var known, back []float64
	missed, wrong, others, most, losses, returns := 0, 0, 0, 0, 0, 0
	excused := func(e *Event) bool { // the change is about one that a fault concerned, or by one that it cut off
		for _, s := range spans {
			if e.At < s.from || e.At > s.to+after || s.kind == "loss" || s.kind == "pause" && s.to-s.from <= bound {
				continue
			}
			if s.concerned[e.Who] || s.concerned[name(e.Node)] {
				return true
			}
		}
		return false
	}
	type about struct {
		node int
		who  string
		span *faultSpan
	}
	type concern struct {
		node int
		who  string
	}
	starving, starved := map[concern]bool{}, 0
	starves := func(e *Event) bool {
		c := concern{e.Node, e.Who}
		switch e.Cause {
		case membership.Lost:
			i, err := strconv.Atoi(strings.TrimPrefix(e.Who, "n"))
			starving[c] = still != nil && err == nil && still.of(i, e.At-silence-settle-probe, e.At) >= borne
			return starving[c]
		case membership.Returned:
			defer delete(starving, c)
			return starving[c]
		}
		return false
	}
	changes, of := map[about]int{}, map[concern][]*Event{}
	for k := range events {
		e := &events[k]
		of[concern{e.Node, e.Who}] = append(of[concern{e.Node, e.Who}], e)
		if e.At < start || e.Cause == membership.Isolated || e.Cause == membership.Reconnected {
			continue
		}
		switch e.Cause {
		case membership.Lost, membership.Departed:
			losses++
		case membership.Returned, membership.Replaced, membership.Joined:
			returns++
		}
		if starves(e) && !excused(e) {
			starved++
		} else if !excused(e) {
			others++
			if e.Cause == membership.Lost {
				wrong++
			}
		}
		for _, s := range spans {
			if s.kind == "cut" && e.At >= s.from && e.At < s.to {
				key := about{e.Node, e.Who, s}
				changes[key]++
				most = max(most, changes[key])
			}
		}
	}
	for _, s := range spans {
		if s.kind != "kill" && s.kind != "pause" && s.kind != "leave" {
			continue
		}
		for _, victim := range s.nodes {
			for i := range n.Nodes {
				if s.concerned[name(i)] || !isUndisturbed(spans, i, s.from, s.to) {
					continue
				}
				gone, returned := int64(-1), int64(-1)
				told := of[concern{i, name(victim)}] // not all events: a large fleet has a million
				for _, e := range told {
					if e.At < s.from || e.At > s.to+2*after {
						continue
					}
					switch e.Cause {
					case membership.Lost, membership.Departed:
						if gone < 0 && e.At < s.to+after/2 {
							gone = e.At - s.from
						}
					case membership.Returned, membership.Replaced, membership.Joined:
						if e.At >= s.to && returned < 0 {
							returned = e.At - s.to
						}
					}
				}
				long := s.to-s.from >= 5*second
				if s.kind != "pause" && long {
					if gone < 0 {
						missed++
					} else {
						known = append(known, seconds(gone))
					}
				}
				if gone >= 0 && s.back {
					if returned < 0 {
						returned = 1_000 * second
					} else {
						returned -= blockedTime(values(told), spans, s, i, name(victim), s.to, s.to+returned)
					}
					back = append(back, seconds(returned))
				}
			}
		}
	}
	m := o.Measures
	m["known_s"], m["known_worst_s"], m["back_s"] = quantile(known, 0.99), quantile(known, 1), quantile(back, 1)
	if still != nil {
		m["starved"] = float64(starved)
	}
	m["losses"], m["returns"] = float64(losses), float64(returns)
	m["missed"], m["wrong"], m["others"], m["cut_changes"] = float64(missed), float64(wrong), float64(others), float64(most)
	for _, s := range spans {
		m["healed_s"] = max(m["healed_s"], seconds(s.healed))
	}
	m["changes"] = float64(len(events))
	o.Timeline = timeline(events, spans, start)
}

// isUndisturbed says whether a node was up and ran all through a time, and some before.
func isUndisturbed(spans []*faultSpan, i int, from, to int64) bool {
	for _, s := range spans {
		if (s.kind == "kill" || s.kind == "leave" || s.kind == "pause" || s.kind == "cut") && s.concerned[name(i)] &&
			s.from < to+after && s.to+after > from {
			return false
		}
	}
	return true
}

func values(events []*Event) (list []Event) {
	for _, e := range events {
		list = append(list, *e)
	}
	return list
}

// blockedTime is how much of a time a node could not be back at another: other faults than s concerned one of the two, or it had
// fallen out there again and again, and is let in after 1, 2, 4, 8 s then (docs/design/membership.md).
func blockedTime(events []Event, spans []*faultSpan, s *faultSpan, by int, who string, from, to int64) (sum int64) {
	falls, fell := 0, int64(0)
	for k := range events {
		switch e := &events[k]; {
		case e.Node != by || e.Who != who || e.At >= to:
		case e.Cause == membership.Joined: // another life of the node that looks
			falls = 0
		case e.Cause == membership.Lost:
			if e.At-fell > pardon {
				falls = 0
			}
			falls, fell = min(falls+1, fallsMost), e.At
		}
	}
	heldTo := int64(0)
	if falls > 1 {
		heldTo = fell + second<<(falls-2)
	}
	for at := from; at < to; {
		until, held := to, false
		if at < heldTo {
			until, held = min(until, heldTo), true
		}
		for _, o := range spans {
			if o == s || o.kind == "loss" || !o.concerned[who] && !o.concerned[name(by)] {
				continue
			}
			if at < o.from {
				until = min(until, o.from)
			} else if at < o.to {
				until, held = min(until, o.to), true
			}
		}
		if held {
			sum += until - at
		}
		at = until
	}
	return sum
}

// quantile of no values is 0: nothing was to be known.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(math.Ceil(part*float64(len(values))))-1)]
}

func timeline(events []Event, spans []*faultSpan, start int64) (lines []string) {
	type line struct {
		at   int64
		text string
	}
	var all []line
	for _, s := range spans {
		who := slices.Sorted(maps.Keys(s.concerned))
		all = append(all, line{s.from, fmt.Sprintf("FAULT %s %s %v for %.1f s", s.kind, s.shape, abbreviate(who), seconds(s.to-s.from))})
	}
	if len(events) > toldMost { // of a large fleet: how many there were in each second
		type in struct {
			second int64
			cause  membership.Cause
		}
		counts := map[in]int{}
		for _, e := range events {
			counts[in{e.At / second, e.Cause}]++
		}
		for k, times := range counts {
			if k.second*second >= start {
				all = append(all, line{k.second * second, fmt.Sprintf("%d changes of views: %s", times, membership.CauseNames[k.cause])})
			}
		}
		events = nil
	}
	for _, e := range events {
		if e.At >= start {
			all = append(all, line{e.At, fmt.Sprintf("%s: %s %s, view of %d %016x", name(e.Node), e.Who, membership.CauseNames[e.Cause], e.Size, e.Hash)})
		}
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
	for _, l := range all {
		lines = append(lines, fmt.Sprintf("%9.3f %s", float64(l.at-start)/1e9, l.text))
	}
	return lines
}

// Verdict says whether a claim held on all seeds.
type Verdict struct {
	Name  string  `json:"name"`
	Held  bool    `json:"held"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
}

// Result is a night on all its seeds.
type Result struct {
	Scenario *Scenario  `json:"-"`
	Name     string     `json:"experiment"`
	Outcomes []*Outcome `json:"-"`
	Verdicts []Verdict  `json:"claims"`
	Measures []map[string]float64
}

// Run plays a night on seeds, one after the other. Program is the built daemon, for nights on processes; their logs
// and timelines are left in folder, if it is not empty.
func (n *Scenario) Run(seeds []int64, program, folder string) (*Result, error) {
	r := &Result{Scenario: n, Name: n.Name}
	for _, seed := range seeds {
		o, err := n.runSeed(seed, program, folder)
		if err != nil {
			return nil, err
		}
		r.Outcomes = append(r.Outcomes, o)
		if o.Failed != "" {
			return nil, fmt.Errorf("%s, seed %d: %s", n.Name, seed, o.Failed)
		}
		for k, v := range o.Measures {
			if math.IsInf(v, 0) {
				o.Measures[k] = 1e9
			}
		}
		r.Measures = append(r.Measures, o.Measures)
		if folder != "" {
			path := filepath.Join(folder, fmt.Sprintf("%s-%d.timeline", n.Name, seed))
			if err := os.WriteFile(path, []byte(strings.Join(o.Timeline, "\n")+"\n"), 0o600); err != nil {
				return nil, err
			}
		}
	}
	for _, c := range n.Claims {
		v := Verdict{Name: c.Name, Held: true}
		for k, o := range r.Outcomes {
			value, known := o.Measures[c.Measure]
			if !known {
				return nil, fmt.Errorf("%s: claim %q: no measure is named %q", n.Name, c.Name, c.Measure)
			}
			if c.Most != nil {
				if v.Bound = *c.Most; k == 0 || value > v.Value {
					v.Value = value
				}
				v.Held = v.Held && value <= v.Bound
			}
			if c.Least != nil {
				if v.Bound = *c.Least; k == 0 || value < v.Value {
					v.Value = value
				}
				v.Held = v.Held && value >= v.Bound
			}
		}
		r.Verdicts = append(r.Verdicts, v)
	}
	return r, nil
}

// runSeed plays a night on runSeed seed. The files of processes are left in a folder, if there is runSeed.
func (n *Scenario) runSeed(seed int64, program, folder string) (*Outcome, error) {
	if n.Versions != nil && !n.Processes {
		return n.playVersionsInVirtualTime(seed), nil
	}
	if !n.Processes {
		d, err := newVirtual(n, seed)
		if err != nil {
			return nil, err
		}
		return n.playSeed(d, seed), nil
	}
	if v := n.Versions; v != nil { // its seats are the first nodes, each a process that serves nothing
		n.Council, n.Regions, n.Zones = v.Seats, v.Regions, v.Zones
	}
	if folder == "" {
		temporary, err := os.MkdirTemp("", "rig")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(temporary)
		folder = temporary
	}
	folder = filepath.Join(folder, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	d, err := newProcesses(n, seed, program, folder)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.beginHollow(); err != nil {
		return nil, err
	}
	if n.Versions != nil {
		return n.playVersionsOnProcesses(d, seed), nil
	}
	return n.playSeed(d, seed), nil
}

// Held says whether every claim did.
func (r *Result) Held() bool {
	return !slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return !v.Held })
}

// Print writes the measures of each seed and the verdicts; the start of the timeline where a claim broke.
func (r *Result) Print(to io.Writer) error {
	how := "in virtual time"
	if r.Scenario.Processes {
		how = "on processes"
	}
	if r.Scenario.Hollow > 0 {
		how = fmt.Sprintf("on processes, %d of them hollow", r.Scenario.Hollow)
	}
	fmt.Fprintf(to, "%s, %d nodes %s, %g s, simulated faults\n", r.Name, r.Scenario.Nodes, how, r.Scenario.Seconds)
	for _, o := range r.Outcomes {
		fmt.Fprintf(to, "seed %d:", o.Seed)
		for _, k := range slices.Sorted(maps.Keys(o.Measures)) {
			fmt.Fprintf(to, " %s %.4g", k, o.Measures[k])
		}
		fmt.Fprintln(to)
	}
	for _, v := range r.Verdicts {
		fmt.Fprintf(to, "%s  %s: %.4g, bound %.4g\n", map[bool]string{true: "held  ", false: "BROKEN"}[v.Held], v.Name, v.Value, v.Bound)
	}
	if !r.Held() {
		for _, o := range r.Outcomes {
			fmt.Fprintln(to, strings.Join(o.Timeline[:min(shown, len(o.Timeline))], "\n"))
		}
	}
	return nil
}

// JSON writes the result as one line.
func (r *Result) JSON(to io.Writer) error { return json.NewEncoder(to).Encode(r) }
