package processfleet

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"

	"topazpost/internal/fleet/configsync"
)

// trouble is a fault with when it begins, or ends.
type activeFault struct {
	at int64
	do func() error
}

// playFaults does all faults, and heals all.
func (f *processVersions) playFaults(start, end int64) error {
	var list []activeFault
	for _, fault := range f.scenario.Faults {
		for at := start + int64(fault.At); at < end; at += int64(fault.Every) {
			list = append(list, activeFault{at, func() error { return f.begin(&fault, &list) }})
			if fault.Every <= 0 {
				break
			}
		}
	}
	for f.p.now() < end {
		slices.SortStableFunc(list, func(a, b activeFault) int { return cmp.Compare(a.at, b.at) })
		if len(list) == 0 || list[0].at >= end {
			break
		}
		next := list[0]
		list = list[1:]
		if next.at > f.p.now() {
			f.p.run(next.at)
		}
		if err := next.do(); err != nil {
			return err
		}
	}
	f.p.run(end)
	f.p.lose(0)
	f.p.heal()
	var down []int
	for i, up := range f.up {
		if !up {
			down = append(down, i)
		}
	}
	f.isolate(nil)
	return f.startSome(down)
}

func (f *processVersions) startSome(list []int) error {
	if err := startAll(f.p, list, 0); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.p.now()
	for _, i := range list {
		f.up[i] = true
		f.lives[i]++
		f.has[i] = configsync.Revision{}
		f.began[i] = now
	}
	f.updateReachable(now)
	return nil
}

// isolate notes who is cut off from all others, nobody where it is healed. There is one cut at a time.
func (f *processVersions) isolate(nodes []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.apart)
	for _, i := range nodes {
		f.apart[f.members[i]] = true
	}
	f.updateReachable(f.p.now())
}

// begin does a fault, and lays its end.
func (f *processVersions) begin(fault *Fault, list *[]activeFault) error {
	var nodes []int
	n, p := f.scenario, f.p
	f.mu.Lock()
	perm := f.chance.Perm(n.Nodes)
	for _, i := range perm {
		if f.up[i] && !f.apart[f.members[i]] {
			nodes = append(nodes, i)
		}
	}
	f.mu.Unlock()
	layout, seat := n.layout(), func(i int) bool { return i < f.terms.Seats }
	switch fault.Who {
	case "seat", "seats":
		if nodes = slices.DeleteFunc(nodes, func(i int) bool { return !seat(i) }); fault.Who == "seat" {
			nodes = nodes[:min(1, len(nodes))]
		}
	case "zone", "region":
		nodes = n.nodesOfPlace(fault.Who, f.chance, nodes)
	default:
		nodes = slices.DeleteFunc(nodes, seat)
		nodes = nodes[:min(1, len(nodes))]
	}
	back := p.now() + int64(fault.For)
	switch fault.Kind {
	case "loss":
		p.lose(float64(fault.Part))
		*list = append(*list, activeFault{back, func() error { p.lose(0); return nil }})
	case "cut":
		var out []int
		for _, i := range perm {
			if !slices.Contains(nodes, i) {
				out = append(out, i)
			}
		}
		cutAll(p, nodes, out)
		cutAll(p, out, nodes)
		f.isolate(nodes)
		f.logLockedf("FAULT %d nodes of %s cut off", len(nodes), layout.Name(nodes[0]))
		*list = append(*list, activeFault{back, func() error { p.heal(); f.isolate(nil); return nil }})
	case "kill":
		f.mu.Lock()
		for _, i := range nodes {
			f.up[i] = false
			f.lives[i]++
			f.empty[i] = f.empty[i] || fault.Shape == "forgets"
		}
		f.updateReachable(p.now())
		f.mu.Unlock()
		endAll(p, nodes, false, make([]bool, n.Nodes))
		for _, i := range nodes {
			if fault.Shape == "forgets" {
				os.RemoveAll(filepath.Join(p.folder, "configuration-"+name(i)))
			}
		}
		if len(nodes) > 0 {
			f.logLockedf("FAULT %d killed: %s %s", len(nodes), name(nodes[0]), fault.Shape)
		}
		*list = append(*list, activeFault{back, func() error { return f.startSome(nodes) }})
	}
	return nil
}
