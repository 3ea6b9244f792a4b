package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Bounds of the code and operators' sizes that no run measures. A test compares each bound with the source.
const (
	membersMost  = 1_500    // fleetconfig: members and lost ones in a view's table
	membersUsual = 512      // fleetconfig: the same without a setting
	tableUsual   = 4 << 20  // fleetconfig: bytes of the council's table without a setting
	tableMost    = 12 << 20 // fleetconfig: the most that a setting may say
	streamsSeat  = 1_500    // server: streams of a node with a seat
	sourceRate   = 200      // server: datagrams a second that are taken of one sender
	sourcesMost  = 4_096    // server: senders whose pace is kept
	idleWaitS    = 15.0     // reducer: seconds of rest past which a connection is ended

	windowS   = 10.0 // of a token, assumed
	regions   = 7.0  // of them
	failures  = 19.0 // machines that fail on an ordinary day
	worstHour = 0.1  // of a day's restarts and failures, assumed
	worstOf   = 24.0 // hours over which a day's restarts are spread evenly, assumed
)

// row is one of the table of reach.
type row struct {
	what, wanted, ends, kind, from string
	reach, low, high               float64 // of the wanted size; low and high with the slope's standard error
	beyond                         bool    // past what a fit may be carried to
	below                          bool    // reach is the least part played, and it was past its end there
	missing                        bool    // not measured
}

// end is a budget that a line comes to.
type end struct {
	what, wanted, ends, kind string
	quantity, measure        string
	budget                   float64
	over                     bool    // counted from the line's value at none on
	size                     float64 // wanted, in the quantity's unit; 0 for that of the quantity
	factor                   float64 // of the measure, 0 for 1
}

// ends are those that are measured, in groups that share what is wanted, the budget and the promise.
func ends() []end {
	var list []end
	group := func(shared end, lines ...[3]string) { // what, quantity, measure
		for _, l := range lines {
			shared.what, shared.quantity, shared.measure = l[0], l[1], l[2]
			list = append(list, shared)
		}
	}
	control := func(what string) string { return what + " for control" }
	whole := end{wanted: "4,700 routes and 130,000 tenants", ends: control("32 MB over one route and no tenant"), kind: "safe", budget: BudgetMB}
	group(whole, [3]string{"configuration in service, the whole node resident", "service", "over_mb"},
		[3]string{"configuration in service, peak at a change", "service", "change_over_mb"},
		[3]string{"configuration in service, peak at SIGHUP", "service", "reload_over_mb"})
	whole.over = true
	group(whole, [3]string{"configuration from a file alone, resident", "configuration", "rss_mb"},
		[3]string{"configuration from a file alone, peak at SIGHUP", "configuration", "reload_peak_mb"})
	processor := end{wanted: "900 changes a day", ends: control("14 ms of processor a second"), kind: "timely", budget: BudgetCPU}
	group(processor, [3]string{"changes in service, processor time of a node among 80", "changes", "cpu"})
	processor.wanted = "4,700 routes and 130,000 tenants"
	group(processor, [3]string{"configuration from a file alone, idle node", "configuration", "idle_cpu"})
	processor.wanted = "1,300 nodes"
	group(processor, [3]string{"membership, idle processor time", "nodes", "idle_cpu"})
	processor.factor = WantedChanges / DaySeconds
	group(processor, [3]string{"changes in service, processor time, mean of a day with 900", "spread", "change_cpu"})
	bytes := end{wanted: "1,300 nodes", ends: control("21 KB a second"), kind: "timely", budget: BudgetBytes}
	group(bytes, [3]string{"changes in service, worst second at 20 a minute, membership's with it", "spread", "worst_bytes"},
		[3]string{"membership, idle traffic", "nodes", "idle_bytes"},
		[3]string{"membership, idle traffic, simulated", "virtual", "idle_bytes"},
		[3]string{"membership, worst second after a death", "virtual", "killed_bytes"},
		[3]string{"membership, worst second of one restart", "virtual", "restarted_bytes"},
		[3]string{"membership, a zone of 15 that is lost, mean of 15 s", "virtual", "zone_mean"},
		[3]string{"membership, a zone of 15 that comes back at once, mean of 15 s", "virtual", "zone_back_mean"},
		[3]string{"membership, a region of 7 that is lost, mean of 15 s", "virtual", "region_mean"},
		[3]string{"membership, a region of 7 that comes back at once, mean of 15 s", "virtual", "region_back_mean"},
		[3]string{"membership, a region of 7 whose cut is healed, mean of 15 s", "virtual", "healed_mean"},
		[3]string{"membership, all nodes join at once, mean of 60 s", "virtual", "herd_mean"})
	bytes.wanted = "900 changes a day"
	group(bytes, [3]string{"changes in service, traffic of a node among 80, membership's with it", "changes", "bytes"})
	bytes.wanted = "3,000 restarts a day of 300 nodes"
	group(bytes, [3]string{"membership, traffic of a day's restarts, evenly spread", "restarts", "bytes"})
	bytes.wanted, bytes.factor = "1,300 nodes", WantedChanges/DaySeconds
	group(bytes, [3]string{"changes in service, traffic, mean of a day with 900", "spread", "change_bytes"})
	core := end{wanted: "169 requests a second", ends: "one core", kind: "timely", budget: oneCore}
	group(core, [3]string{"requests: processor time of the node", "requests", "cpu"})
	core.wanted, core.size = "197 requests a second", RequestsEach*RegionLost
	group(core, [3]string{"requests, one region's load shifted", "requests", "cpu"})
	return append(list,
		end{what: "callers' connections, idle node", wanted: "14,000 connections at one node", ends: "14 ms of processor a second, were they counted as control",
			kind: "timely", quantity: "callers", measure: "idle_cpu", budget: BudgetCPU},
		end{what: "callers' connections, resident", wanted: "14,000 connections at one node", ends: "32 MB over none, were they counted as control",
			kind: "safe", quantity: "callers", measure: "rss_mb", budget: BudgetMB, over: true},
		end{what: "agreeing on tokens: the leader's processor", wanted: "55,000 tokens a second (a quarter of all requests, assumed)",
			ends: "one core of the leader", kind: "safe", quantity: "tokens", measure: "leader_cpu", budget: oneCore})
}

// lineRow is what a fit says of an end.
func (set documents) lineRow(e *end) row {
	r := row{what: e.what, wanted: e.wanted, ends: e.ends, kind: e.kind, from: fmt.Sprintf("fit of `%s`", e.quantity), missing: true}
	d := set["/"+e.quantity]
	if d == nil {
		return r
	}
	f, fitted := d.Fits[e.measure]
	if !fitted {
		return r
	}
	if e.factor > 0 {
		f.Base, f.Slope, f.Error = f.Base*e.factor, f.Slope*e.factor, f.Error*e.factor
	}
	wanted := e.size
	if wanted == 0 {
		wanted = quantity(e.quantity).Wanted
	}
	size, low, high := f.Reach(e.budget, e.over)
	r.missing = false
	r.reach, r.low, r.high = size/wanted, low/wanted, high/wanted
	if f.Far(size) {
		r.beyond = true
		r.reach = FarMost * f.Played / wanted
	}
	return r
}

// rows are all ends, those with the least reach first, and those not measured last.
func (set documents) rows() []row {
	var list []row
	for _, e := range ends() {
		list = append(list, set.lineRow(&e))
	}
	list = append(list, set.reckoned()...)
	slices.SortStableFunc(list, func(a, b row) int {
		switch {
		case a.missing != b.missing:
			return map[bool]int{true: 1, false: -1}[a.missing]
		case a.reach < b.reach:
			return -1
		case a.reach > b.reach:
			return 1
		}
		return 0
	})
	return list
}

// reckoned are ends that follow from bounds of the code, or from a measure by a formula.
func (set documents) reckoned() []row {
	list := []row{
		{what: "changes of configuration without configuration in service, each a new start of every node", wanted: "900 changes a day", kind: "timely",
			ends: "the 3,000 restarts a day that are planned, all of them taken", from: "3,000 / 1,300 nodes / 900", reach: float64(WantedRestarts) / WantedNodes / WantedChanges},
		{what: "streams at a seat of the council", wanted: "1,300 nodes that ask it", kind: "safe", ends: "`streamsSeat`, 1,500, `members` and a quarter of `limits.sockets`: past them idle streams make room",
			from: "1,500 / 1,300, all nodes at one seat", reach: float64(streamsSeat) / WantedNodes},
		{what: "membership's table", wanted: "1,300 nodes and those of an hour that came back under new names", kind: "safe",
			ends: "`membersMost`, 1,500", from: "1,500 / (1,300 + 3,000/24)", reach: membersMost / (WantedNodes + WantedRestarts/worstOf)},
		{what: "membership's table, without a setting", wanted: "1,300 nodes", kind: "safe", ends: "`membersUsual`, 512", from: "512 / 1,300",
			reach: float64(membersUsual) / WantedNodes},
		{what: "membership's table, a lost region replaced under new names", wanted: "1,300 nodes, 186 of them anew, and an hour's restarts", kind: "safe",
			ends: "`membersMost`, 1,500", from: "1,500 / (1,300 + 1,300/7 + 3,000/24)",
			reach: membersMost / (WantedNodes + WantedNodes/regions + WantedRestarts/worstOf)},
		{what: "senders whose pace a node keeps", wanted: "1,300 nodes", kind: "timely", ends: "`sourcesMost`, 4,096", from: "4,096 / 1,300",
			reach: float64(sourcesMost) / WantedNodes},
	}
	if v, ok := set.value("tokens", "claim_bytes"); ok {
		for _, table := range []struct {
			name  string
			bytes float64
		}{{"`tableUsual`, 4 MiB", tableUsual}, {"`tableMost`, 12 MiB", tableMost}} {
			list = append(list, row{what: "the council's table of claims", wanted: "55,000 tokens a second (assumed), known for 10 s (assumed)", kind: "safe",
				ends: table.name, from: "bytes a claim of `tokens`", reach: table.bytes / v / windowS / WantedTokens})
		}
	}
	if v, ok := set.value("callers", "check_cpu_us"); ok {
		list = append(list, row{what: "health checks of callers", wanted: "14,000 callers, each every 10 s (assumed)", kind: "timely",
			ends: "14 ms of processor a second, were they counted as control", from: "µs a check of `callers`",
			reach: BudgetCPU / (WantedCallers / CheckEvery * v / 1e3)})
	}
	if v, ok := set.value("restarted", "cpu_ms"); ok {
		list = append(list, row{what: "processor time of 900 new starts a day, without configuration in service", wanted: "900 changes a day", kind: "timely",
			ends: "14 ms of processor a second for control, in the mean", from: "ms a start of `restarted`", reach: BudgetCPU / (v * WantedChanges / DaySeconds)})
	}
	for _, name := range []string{"peak", "shifted"} {
		if d := set["/"+name]; d != nil {
			list = append(list, latency(d, name))
		}
	}
	for _, name := range []string{"changes", "spread"} {
		if d := set["/"+name]; d != nil {
			list = append(list, force(d, name))
		}
	}
	return list
}

// latency is the largest part that was played with p99 within what may be added; less than the least where that was past it.
func latency(d *Document, name string) row {
	load := map[string]string{"peak": "169", "shifted": "197"}[name]
	r := row{what: "added to a request at p99, at " + load + " requests a second", wanted: "4,700 routes, 130,000 tenants, 14,000 connections", kind: "timely",
		ends: "2.7 ms at p99", from: "plays of `" + name + "`"}
	r.played(d, "added_p99_ms", WantedAdded, portion)
	r.beyond = r.reach >= 1 && !r.below
	return r
}

// force is the largest size that was played with a change in force everywhere in time.
func force(d *Document, name string) row {
	r := row{what: "a change in force everywhere, at 80 nodes", wanted: "900 changes a day", kind: "timely", ends: "10 s", from: "plays of `" + name + "`"}
	if name == "spread" {
		r.what, r.wanted = "a change in force everywhere, at 20 a minute", "1,300 nodes"
	}
	x, y := d.Series("force_s")
	r.played(d, "force_s", WantedForce, quantity(name).Wanted)
	r.beyond = !r.below && len(y) > 0 && y[len(y)-1] <= WantedForce && r.reach == x[len(x)-1]/quantity(name).Wanted
	return r
}

// played has the row reach as far as the largest size with a measure within its budget, of those that grow from the least one on.
func (r *row) played(d *Document, measure string, budget, wanted float64) {
	x, y := d.Series(measure)
	for k := range x {
		if y[k] > budget {
			break
		}
		r.reach = x[k] / wanted
	}
	if r.reach == 0 && len(x) > 0 {
		r.reach, r.below = x[0]/wanted, true
	}
}

func (set documents) value(quantity, measure string) (float64, bool) {
	d := set["/"+quantity]
	if d == nil {
		return 0, false
	}
	return d.Value(measure)
}

// reach is the table of what ends first.
func (set documents) reach() (string, error) {
	var rows [][]string
	for _, r := range set.rows() {
		reach := part(r.reach)
		switch {
		case r.missing:
			reach = "not measured"
		case r.below:
			reach = "less than " + reach
		case r.beyond:
			reach = "at least " + reach
		case r.low > 0 && math.Abs(r.high-r.low) > 0.01*r.reach:
			reach += fmt.Sprintf(" (%s to %s)", part(r.low), part(r.high))
		}
		rows = append(rows, []string{reach, r.what, r.wanted, r.ends, r.kind, r.from})
	}
	return table([]string{"reach", "what", "wanted", "ends at", "promise", "from"}, rows), nil
}

// part writes a part of a wanted size.
func part(v float64) string {
	if math.IsInf(v, 1) {
		return "no end"
	}
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.2g", v), " "), ".")
}

// day is what an ordinary day, its worst hour, and lost zones and regions come to at 1,300 nodes, for each node.
func (set documents) day() (string, error) {
	d := set["/virtual"]
	if d == nil {
		return "Not run.\n", nil
	}
	at := func(key string) float64 { f := d.Fits[key]; return max(0, f.At(WantedNodes)) }
	idle := at("idle_bytes")
	extra := func(key string) float64 { return max(0, at(key)-idle) * eventSeconds } // bytes of one event, over idle
	inHour := func(restarts, deaths float64) string {
		return figure(idle + (restarts*(extra("restarted_mean")+extra("killed_mean"))+deaths*extra("killed_mean"))/3_600)
	}
	told := func(key string) string {
		f, fitted := d.Fits[key]
		if !fitted {
			return "not measured"
		}
		return carried(&f, WantedNodes)
	}
	last := func(key string) string {
		v, ok := d.Value(key)
		if !ok {
			return "not measured"
		}
		return figure(v) + " at " + size(d.Rungs[len(d.Rungs)-1].Size) + " nodes"
	}
	rows := [][]string{
		{"no event", told("idle_bytes"), "", ""},
		{"ordinary day: 3,000 restarts and 19 failures, evenly spread", inHour(WantedRestarts/worstOf, failures/worstOf), told("restarted_bytes"), last("killed_s")},
		{"its worst hour: a tenth of the day's restarts and failures (assumed)", inHour(WantedRestarts*worstHour, failures*worstHour), told("restarted_bytes"), last("killed_s")},
		{"a zone of 15 is lost", told("zone_mean"), told("zone_bytes"), last("zone_s")},
		{"it comes back at once", told("zone_back_mean"), told("zone_back_bytes"), last("zone_back_s")},
		{"a region of 7 is lost", told("region_mean"), told("region_bytes"), last("region_s")},
		{"it comes back at once", told("region_back_mean"), told("region_back_bytes"), last("region_back_s")},
		{"a region is cut off for a minute", "not measured", told("cut_bytes"), ""},
		{"the cut is healed", told("healed_mean"), told("healed_bytes"), last("healed_s")},
	}
	return table([]string{"what (simulated)", "bytes a second and node, mean of 15 s or of the hour", "bytes a node in the worst second", "s until all know"}, rows), nil
}

// role is a part of the fleet with what its figures are.
type role struct {
	name, state, carries string
	figures              []figureOf
}

// figureOf is one figure of a role: a line at the wanted size, or a measure at the largest size played.
type figureOf struct {
	text              string // with %s for the figure
	quantity, measure string
	factor            float64 // 0 for 1
	played            bool    // the measure as it was played, no line
}

func roles() []role {
	return []role{
		{"serving node: membership", "members of the view, records of each, eight links", "records of one's own flooded along links; link states decide the view", []figureOf{
			{"%s bytes a second idle", "nodes", "idle_bytes", 0, false}, {"%s messages a second", "nodes", "idle_messages", 0, false},
			{"%s ms of processor a second", "nodes", "idle_cpu", 0, false}, {"%s bytes in the worst second after a death", "nodes", "killed_bytes", 0, false}}},
		{"serving node: configuration, a file alone", "routes and tenants, decoded", "a file of its own, read at the start; SIGHUP for addresses and levels", []figureOf{
			{"%s MB resident", "configuration", "rss_mb", 0, false}, {"%s MB at the peak of a SIGHUP", "configuration", "reload_peak_mb", 0, false},
			{"%s ms of processor a second idle", "configuration", "idle_cpu", 0, false}, {"%s ms of processor for a SIGHUP", "configuration", "reload_cpu_ms", 0, false},
			{"%s ms of processor for a start", "configuration", "start_cpu_ms", 0, false}}},
		{"serving node: configuration in service", "content in canonical form, log of records, neighbours' versions; on disk `last-good`: a content and records behind it",
			"seats vouch, nodes pull from their links; a version is taken between two steps", []figureOf{
				{"%s MB over a bare node, resident", "service", "over_mb", 0, false}, {"%s MB over it at the peak of a change", "service", "change_over_mb", 0, false},
				{"%s MB over it at the peak of a SIGHUP", "service", "reload_over_mb", 0, false}, {"%s bytes of one change, a node", "spread", "change_bytes", 0, false},
				{"%s ms of processor of one change, a node", "spread", "change_cpu", 0, false},
				{"%s s until in force everywhere at the most nodes played", "spread", "force_s", 0, true}}},
		{"serving node: requests", "invocations in hand, callers seen of late", "the reducer's one loop", []figureOf{
			{"%s ms of processor a second at 169 requests a second", "requests", "cpu", 0, false}, {"%s ms added at p99, at full size", "peak", "added_p99_ms", 0, true},
			{"%s ms without the node", "peak", "straight_p99_ms", 0, true}, {"%s ms with a region's load shifted", "shifted", "added_p99_ms", 0, true}}},
		{"serving node: the council's customer", "claims in hand", "streams to the seats", []figureOf{
			{"%s bytes a second at the most tokens played", "tokens", "other_bytes", 0, true}}},
		{"seat (18 machines)", "raft's log, and its tables of claims, leases and versions; on disk log and snapshots where `council.folder` says so",
			"one leader orders all of them", []figureOf{
				{"%s tokens a second were the most played", "tokens", "done", 0, true}, {"%s ms of processor a second there", "tokens", "leader_cpu", 0, true},
				{"%s bytes a second there", "tokens", "leader_bytes", 0, true}, {"%s bytes a claim", "tokens", "claim_bytes", 0, true},
				{"%s MB resident in a seat that serves nothing, with all routes and tenants", "service", "seat_mb", 0, false}}},
		{"caller's side, as a node bears it", "a connection, a descriptor and buffers for each caller", "a reader for each connection; those at rest for 15 s are ended", []figureOf{
			{"%s connections open at one node", "callers", "open", 0, true}, {"%s MB resident", "callers", "rss_mb", 0, false},
			{"%s µs of processor a health check", "callers", "check_cpu_us", 0, true}, {"%s MB stay after all ended", "callers", "after_mb", 0, true}}},
		{"executor's link", "runs in hand, notices not read", "one link, gauges asked for before each beat", []figureOf{
			{"%s ms of processor a second idle, with the link's gauges", "routes", "idle_cpu", 0, false}}},
		{"laboratory", "hollow nodes, many to a process", "`topazlab hollow`, real sockets on loopback", []figureOf{
			{"%s MB resident a node", "nodes", "rss_mb", 0, true}, {"%s ms of processor a second and node", "nodes", "idle_cpu", 0, true}}},
	}
}

// roles is the table of what each role holds at the wanted size.
func (set documents) roles() (string, error) {
	var rows [][]string
	for _, r := range roles() {
		var told []string
		for _, x := range r.figures {
			told = append(told, set.told(&x))
		}
		rows = append(rows, []string{r.name, r.state, r.carries, strings.Join(told, "; ")})
	}
	return table([]string{"role", "state", "carried by", "at the wanted size"}, rows), nil
}

func (set documents) told(x *figureOf) string {
	d := set["/"+x.quantity]
	value := "(not measured)"
	if d != nil && x.played {
		if v, ok := d.Value(x.measure); ok {
			value = figure(v)
		}
	} else if d != nil {
		if f, fitted := d.Fits[x.measure]; fitted {
			value = carried(&f, quantity(x.quantity).Wanted)
		}
	}
	return fmt.Sprintf(x.text, value)
}
