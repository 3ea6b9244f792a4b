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
