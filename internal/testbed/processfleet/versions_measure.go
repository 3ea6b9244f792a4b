package processfleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"

	"topazpost/internal/fleet/configsync"
)

// mean is what a node that is no seat spent in a second of a time, both ways.
func (f *virtualVersions) mean(from, to int64) float64 {
	sum := 0
	for _, m := range f.members {
		for s := from / second; s < to/second && int(s) < len(m.spent) && !m.seat; s++ {
			sum += m.spent[s]
		}
	}
	return float64(sum) / float64(len(f.members)-len(f.seats)) / seconds(to-from)
}

func (f *virtualVersions) measure(x map[string]float64) {
	f.measureInForce(x)
	f.measureBytes(x)
	x["gone_back"] = float64(f.back)
	x["two_contents"] = float64(f.forked)
	x["stops"] = float64(f.stops)
	x["refusals"] = float64(f.refused)
	x["put_s"], x["recovered_s"], x["recoveries"] = quantile(f.puts, 0.99), quantile(f.recovers, 1), float64(len(f.recovers))
	x["changes"] = float64(len(f.changes))
	x["versions"] = float64(f.last.Head.Newest)
	unanswered, lost, invalidResponses, digests := 0, 0, 0, map[configsync.Revision]int{}
	for _, c := range f.changes {
		switch r := f.records[c.version]; {
		case c.version == 0:
			unanswered++
		case r == nil || c.version > f.last.Head.Newest || !slices.ContainsFunc(r.Changes, func(i configsync.Item) bool {
			return i.Part == c.item.Part && i.Name == c.item.Name
		}):
			lost++
		}
	}
	for _, r := range f.last.Log { // where the final order differs from what was agreed on before
		if before := f.records[r.Version]; before == nil || before.Digest != r.Digest || before.Caller != r.Caller {
			lost++
		}
	}
	for k, m := range f.members {
		mark, content := m.life.holder.Revision(), m.life.holder.Content()
		if digests[mark]++; content.Digest() != mark.Digest {
			digests[configsync.Revision{}]++
		}
		if (k*rebuilt)%len(f.members) < rebuilt { // from its items
			again, err := (&configsync.Content{}).Apply(slices.Collect(content.All))
			if err != nil || again.Digest() != mark.Digest {
				digests[configsync.Revision{}]++
			}
		}
		invalidResponses += m.life.holder.Counters.InvalidResponses
	}
	x["unanswered"] = float64(unanswered)
	x["lost"] = float64(lost)
	x["lies"] = float64(invalidResponses)
	x["digests"] = float64(len(digests))
	if f.settled() != "" {
		x["digests"]++
	}
}

// measureInForce says of each change whether it was in force in time at all that were in reach meanwhile.
func (f *virtualVersions) measureInForce(x map[string]float64) {
	by := map[uint64]int{}
	for _, c := range f.changes {
		if c.version > 0 && !c.isNew {
			by[c.version]++
		}
	}
	var times []float64
	all, good, pairs, late := 0, 0, 0, 0
	for _, version := range slices.Sorted(maps.Keys(by)) {
		at, missed, who := f.agreedAt[version], 0, []string{}
		for _, m := range f.members {
			k := sort.Search(len(m.out), func(k int) bool { return m.out[k].to >= at })
			if k < len(m.out) && m.out[k].from <= at+inForce {
				continue
			}
			took := math.Inf(1)
			for k := max(0, sort.Search(len(m.held), func(k int) bool { return m.held[k].at > at })-1); k < len(m.held); k++ {
				if m.held[k].version >= version {
					took = max(0, seconds(m.held[k].at-at))
					break
				}
			}
			times = append(times, took)
			if pairs++; took > seconds(inForce) {
				if missed++; missed <= lateNamed {
					who = append(who, fmt.Sprintf("%s (%.1f s)", m.Name, took))
				}
			}
		}
		if all, late = all+by[version], late+missed; missed == 0 {
			good += by[version]
		} else {
			f.logf("version %d, agreed on at %.3f s, was not in time at %d nodes: %s", version, seconds(at-f.start), missed, strings.Join(who, ", "))
		}
	}
	x["in_force"] = float64(good) / float64(max(1, all))
	x["in_force_nodes"] = 1 - float64(late)/float64(max(1, pairs))
	x["pairs"] = float64(pairs)
	x["in_force_half_s"], x["in_force_s"], x["in_force_worst_s"] = quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1)
}

// measureBytes are those of letters of the configuration and, at seats, of the council; both ways.
func (f *virtualVersions) measureBytes(x map[string]float64) {
	from := int(f.start / second)
	for s := from; s < int(f.Now/second); s++ {
		x["worst_bytes"] = max(x["worst_bytes"], f.mean(int64(s)*second, int64(s+1)*second))
	}
	for _, m := range f.members {
		for s := from; s < len(m.spent); s++ {
			sum := 0
			for _, b := range m.spent[s:min(len(m.spent), s+window)] {
				sum += b
			}
			if per := float64(sum) / window; m.seat {
				x["seat_window_bytes"] = max(x["seat_window_bytes"], per)
			} else {
				x["window_bytes"] = max(x["window_bytes"], per)
				x["worst_node_bytes"] = max(x["worst_node_bytes"], float64(m.spent[s]))
			}
		}
	}
}
