package processfleet

import (
	"math/rand"
	"slices"
	"sort"
	"strings"
)

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
				spans = append(spans, more...)
				actions = append(actions, steps...)
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
