package processfleet

import (
	"bytes"
	"slices"

	"topazpost/internal/fleet/configsync"
)

// measurePolled measures what was asked for. Bytes are those that holders count, as they estimate them.
func (f *processVersions) measurePolled(x map[string]float64, start int64) {
	f.measureInForce(x)
	x["gone_back"] = float64(f.back)
	x["two_contents"] = float64(f.forked)
	x["stops"] = float64(f.stops)
	x["put_s"], x["changes"], x["versions"] = quantile(f.puts, 0.99), float64(len(f.changes)), float64(f.agreed.Newest.Version)
	x["recovered_s"], x["recoveries"] = quantile(f.recovers, 1), float64(len(f.recovers))
	x["lies"] = 0
	idle, nodes := 0.0, 0
	for i, list := range f.bytes {
		var first, last *trafficSample
		for k := range list {
			if s := &list[k]; s.at <= start && s.at > start-int64(quietPeriod) && s.incarnation == 0 {
				if first == nil {
					first = s
				}
				last = s
			}
		}
		if !f.members[i].seat && first != nil && last.at > first.at {
			idle += float64(last.bytes-first.bytes) / seconds(last.at-first.at)
			nodes++
		}
		f.measureWindows(x, list, f.members[i].seat, start)
	}
	x["idle_bytes"] = idle / float64(max(1, nodes))
	unanswered, lost := 0, 0
	for _, c := range f.changes {
		if c.version == 0 {
			unanswered++
		} else if c.version > f.agreed.Newest.Version {
			lost++
		}
	}
	x["unanswered"] = float64(unanswered)
	digests := map[configsync.Revision]bool{}
	for _, m := range f.has {
		digests[m] = true
	}
	x["digests"] = float64(len(digests))
	x["lost"] = float64(lost + f.missing())
}

// measureWindows measures the invalid responses that a node counted in each of its incarnations, and its worst window of traffic.
func (f *processVersions) measureWindows(x map[string]float64, list []trafficSample, seat bool, start int64) {
	measure := "window_bytes"
	if seat {
		measure = "seat_window_bytes"
	}
	for k := range list {
		if k+1 == len(list) || list[k+1].incarnation != list[k].incarnation {
			x["lies"] += float64(list[k].invalidResponses)
		}
		for j := k + 1; j < len(list) && list[j].incarnation == list[k].incarnation; j++ {
			length := list[j].at - list[k].at
			if length < window*second || list[k].at < start {
				continue
			}
			x[measure] = max(x[measure], float64(list[j].bytes-list[k].bytes)/seconds(length))
			break
		}
	}
}

// missing counts items whose last acknowledged value isn't in the final content of a seat, though nobody took it back: a rollback
// takes back all that was agreed on since the version that it names.
func (f *processVersions) missing() (count int) {
	last := map[string]*wantedChange{}
	for _, c := range f.changes {
		back := slices.ContainsFunc(f.undone, func(u [2]uint64) bool { return c.version > u[0] && c.version < u[1] })
		if o := last[c.item.Name]; !back && c.version > 0 && !c.isNew && (o == nil || c.version >= o.version) {
			last[c.item.Name] = c
		}
	}
	for i := range f.terms.Seats {
		var blocks []configsync.Block
		var mark configsync.Revision
		for from, more := 0, true; more; {
			a, err := f.question(i, &configsync.Query{Kind: configsync.QueryBlocks, Which: configsync.ContentNewest, From: from})
			if err != nil || a.Why != "" {
				blocks = nil
				break
			}
			blocks = append(blocks, a.Blocks...)
			mark = a.Revision
			from = a.Next
			more = a.Next > 0
		}
		content := configsync.FromBlocks(blocks, mark.Digest)
		if content == nil || len(blocks) == 0 {
			continue
		}
		for part, c := range last {
			if got := content.Get(configsync.Tenants, part); !bytes.Equal(got, c.item.Value) {
				count++
			}
		}
		return count
	}
	return len(last) // no seat can say
}
