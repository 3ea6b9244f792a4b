package processfleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"topazpost/internal/fleet/membership"
)

// faultSpan is one fault as it was done.
type faultSpan struct {
	kind, shape string
	nodes       []int
	concerned   map[string]bool // by name
	from, to    int64           // to is the scenario's end where it never ended
	back        bool
	healed      int64 // ns from the healing of a cut to one view of all
}

// Outcome is the outcome of a scenario on one seed.
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

// measureViews compares the changes of views with the faults. A loss of a node that a fault and the machine together stalled
// for longer than a fleet bears is counted apart, with its return; stalls is nil where no machine has a part in it.
func (n *Scenario) measureViews(o *Outcome, events []Event, spans []*faultSpan, start int64, stalls *stallRecorder) {
	v := &viewMeasurement{scenario: n, spans: spans, stalls: stalls, starving: map[observation]bool{},
		cutChanges: map[cutObservation]int{}, events: map[observation][]*Event{}}
	for k := range events {
		v.add(&events[k], start)
	}
	for _, s := range spans {
		if s.kind == "kill" || s.kind == "pause" || s.kind == "leave" {
			v.addFault(s)
		}
	}
	v.write(o.Measures)
	for _, s := range spans {
		o.Measures["healed_s"] = max(o.Measures["healed_s"], seconds(s.healed))
	}
	o.Measures["changes"] = float64(len(events))
	o.Timeline = timeline(events, spans, start)
}

// maxBornePause is the longest pause that must not lead to a loss, in ns.
const maxBornePause = 3_000 * ms

// observation is a node and a member of its view.
type observation struct {
	node int
	who  string
}

// cutObservation is an observation during a cut.
type cutObservation struct {
	observation
	span *faultSpan
}

// viewMeasurement collects what changes of views show of faults.
type viewMeasurement struct {
	scenario   *Scenario
	spans      []*faultSpan
	stalls     *stallRecorder
	starving   map[observation]bool // lost by a stall and not back yet
	cutChanges map[cutObservation]int
	events     map[observation][]*Event

	detected, returned             []float64 // seconds from a fault to its loss in a view, and from its end to the return
	losses, returns                int
	missed, wrong, others, starved int
	maxCutChanges                  int
}

// add takes a change of a view; those before start are only remembered.
func (v *viewMeasurement) add(e *Event, start int64) {
	o := observation{e.Node, e.Who}
	v.events[o] = append(v.events[o], e)
	if e.At < start || e.Cause == membership.Isolated || e.Cause == membership.Reconnected {
		return
	}
	switch e.Cause {
	case membership.Lost, membership.Departed:
		v.losses++
	case membership.Returned, membership.Replaced, membership.Joined:
		v.returns++
	}
	starved := v.isStarved(e)
	switch {
	case v.isExplained(e):
	case starved:
		v.starved++
	default:
		v.others++
		if e.Cause == membership.Lost {
			v.wrong++
		}
	}
	for _, s := range v.spans {
		if s.kind == "cut" && e.At >= s.from && e.At < s.to {
			key := cutObservation{o, s}
			v.cutChanges[key]++
			v.maxCutChanges = max(v.maxCutChanges, v.cutChanges[key])
		}
	}
}

// isExplained returns whether a change is about a node that a fault concerned, or by one that it cut off.
func (v *viewMeasurement) isExplained(e *Event) bool {
	for _, s := range v.spans {
		if e.At < s.from || e.At > s.to+faultAftermath || s.kind == "loss" || s.kind == "pause" && s.to-s.from <= maxBornePause {
			continue
		}
		if s.concerned[e.Who] || s.concerned[name(e.Node)] {
			return true
		}
	}
	return false
}

// isStarved returns whether a change is the loss of a node that stalled for too long, or its return.
func (v *viewMeasurement) isStarved(e *Event) bool {
	o := observation{e.Node, e.Who}
	switch e.Cause {
	case membership.Lost:
		i, err := strconv.Atoi(strings.TrimPrefix(e.Who, "n"))
		v.starving[o] = v.stalls != nil && err == nil && v.stalls.of(i, e.At-silence-settle-probe, e.At) >= borne
		return v.starving[o]
	case membership.Returned:
		starving := v.starving[o]
		delete(v.starving, o)
		return starving
	}
	return false
}

// addFault takes a fault that ended processes or paused them, as all undisturbed nodes saw it.
func (v *viewMeasurement) addFault(s *faultSpan) {
	for _, victim := range s.nodes {
		for i := range v.scenario.Nodes {
			if !s.concerned[name(i)] && isUndisturbed(v.spans, i, s.from, s.to) {
				v.addVictim(s, victim, i)
			}
		}
	}
}

// addVictim takes a fault of a victim as a node saw it.
func (v *viewMeasurement) addVictim(s *faultSpan, victim, node int) {
	events := v.events[observation{node, name(victim)}] // not all events: a large fleet has a million
	gone, returned := lossAndReturn(s, events)
	if s.kind != "pause" && s.to-s.from >= 5*second {
		if gone < 0 {
			v.missed++
		} else {
			v.detected = append(v.detected, seconds(gone))
		}
	}
	if gone < 0 || !s.back {
		return
	}
	if returned < 0 {
		returned = 1_000 * second
	} else {
		returned -= blockedTime(values(events), v.spans, s, node, name(victim), s.to, s.to+returned)
	}
	v.returned = append(v.returned, seconds(returned))
}

// lossAndReturn returns the time from the start of a fault to its loss in a view, and from its end to the return; -1 for none.
func lossAndReturn(s *faultSpan, events []*Event) (gone, returned int64) {
	gone = -1
	returned = -1
	for _, e := range events {
		if e.At < s.from || e.At > s.to+2*faultAftermath {
			continue
		}
		switch e.Cause {
		case membership.Lost, membership.Departed:
			if gone < 0 && e.At < s.to+faultAftermath/2 {
				gone = e.At - s.from
			}
		case membership.Returned, membership.Replaced, membership.Joined:
			if e.At >= s.to && returned < 0 {
				returned = e.At - s.to
			}
		}
	}
	return gone, returned
}

// write writes the measures.
func (v *viewMeasurement) write(m map[string]float64) {
	m["known_s"] = quantile(v.detected, 0.99)
	m["known_worst_s"] = quantile(v.detected, 1)
	m["back_s"] = quantile(v.returned, 1)
	if v.stalls != nil {
		m["starved"] = float64(v.starved)
	}
	m["losses"] = float64(v.losses)
	m["returns"] = float64(v.returns)
	m["missed"] = float64(v.missed)
	m["wrong"] = float64(v.wrong)
	m["others"] = float64(v.others)
	m["cut_changes"] = float64(v.maxCutChanges)
}

// isUndisturbed returns whether a node was up and ran all through a time, and some before.
func isUndisturbed(spans []*faultSpan, i int, from, to int64) bool {
	for _, s := range spans {
		if (s.kind == "kill" || s.kind == "leave" || s.kind == "pause" || s.kind == "cut") && s.concerned[name(i)] &&
			s.from < to+faultAftermath && s.to+faultAftermath > from {
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

// blockedTime is how much of a time a node could not be back at another: other faults than s concerned one of the two, or flap
// damping kept it out there for 1, 2, 4 or 8 s (docs/design/membership.md).
func blockedTime(events []Event, spans []*faultSpan, s *faultSpan, by int, who string, from, to int64) (sum int64) {
	dampedUntil := dampingEnd(events, by, who, to)
	for at := from; at < to; {
		until := to
		blocked := false
		if at < dampedUntil {
			until = min(until, dampedUntil)
			blocked = true
		}
		for _, o := range spans {
			if o == s || o.kind == "loss" || !o.concerned[who] && !o.concerned[name(by)] {
				continue
			}
			if at < o.from {
				until = min(until, o.from)
			} else if at < o.to {
				until = min(until, o.to)
				blocked = true
			}
		}
		if blocked {
			sum += until - at
		}
		at = until
	}
	return sum
}

// dampingEnd returns until when a node keeps out another that it lost repeatedly before a time, 0 where it doesn't.
func dampingEnd(events []Event, by int, who string, before int64) int64 {
	flaps := 0
	lostAt := int64(0)
	for k := range events {
		switch e := &events[k]; {
		case e.Node != by || e.Who != who || e.At >= before:
		case e.Cause == membership.Joined: // another incarnation of the node that observes
			flaps = 0
		case e.Cause == membership.Lost:
			if e.At-lostAt > flapDecay {
				flaps = 0
			}
			flaps = min(flaps+1, maxFlaps)
			lostAt = e.At
		}
	}
	if flaps <= 1 {
		return 0
	}
	return lostAt + second<<(flaps-2)
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
	if len(events) > maxTimelineChanges { // of a large fleet: how many there were in each second
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
