package capacity

import (
	"math/rand"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const peakPlays = 3 // of each size at the peak: other work on the machine only adds to a latency, so the spread is reported

// Quantities are all that ladders are climbed of, each in the order of its ladder.
func Quantities() []*Quantity {
	var list []*Quantity
	list = append(list, peered()...)
	list = append(list, virtual())
	list = append(list, configurations()...)
	list = append(list, loaded()...)
	list = append(list, tokens())
	return append(list, changes()...)
}

// configurations are quantities of the size of a node's configuration.
func configurations() []*Quantity {
	configured := configuredMeasures()
	return []*Quantity{
		{Name: "routes", Title: "Routes, no tenants", Unit: "routes", Wanted: WantedRoutes, Ladder: []float64{1, 1_200, 2_400, 4_700},
			Short: []float64{1, 1_200, 2_400}, Measures: configured, Configured: true,
			climb: func(b *Bench, x float64) (map[string]float64, error) { return b.configured(shape{routes: int(x)}) }},
		{Name: "tenants", Title: "Tenants, with one route", Unit: "tenants", Wanted: WantedTenants, Ladder: []float64{0, 32_500, 65_000, 130_000},
			Short: []float64{0, 16_000, 32_000}, Measures: configured, Configured: true,
			climb: func(b *Bench, x float64) (map[string]float64, error) {
				return b.configured(shape{routes: 1, tenants: int(x)})
			}},
		{Name: "configuration", Title: "Routes and tenants together", Unit: "% of 4,700 routes and 130,000 tenants", Wanted: portion,
			Ladder: []float64{0, 25, 50, 100}, Short: []float64{0, 5, 10}, Measures: configured, Configured: true,
			climb: func(b *Bench, x float64) (map[string]float64, error) {
				return b.configured(shape{routes: max(1, int(WantedRoutes*x/portion)), tenants: int(WantedTenants * x / portion)})
			}},
	}
}

// loaded are quantities of the load on one node.
func loaded() []*Quantity {
	atPeak := atPeakMeasures()
	return []*Quantity{
		{Name: "callers", Title: "Callers, a connection each", Unit: "connections open at one node", Wanted: WantedCallers,
			Ladder: []float64{500, 2_000, 4_000, 8_000, 14_000}, Short: []float64{250, 500, 1_000}, Measures: []Measure{
				{"open", "open in the end", false},
				{"rss_mb", "resident, MB", true},
				{"peak_mb", "peak, MB", true},
				{"after_mb", "resident after all had ended, MB", false},
				{"open_cpu_us", "opened and checked once, µs of processor each", false},
				{"check_cpu_us", "a further check, µs of processor", false},
				{"idle_cpu", "idle, ms of processor a second", true},
				{"added_p50_ms", "added p50, ms", false},
				{"added_p99_ms", "added p99, ms", false},
			}, climb: func(b *Bench, x float64) (map[string]float64, error) { return b.connected(int(x)) }},
		{Name: "requests", Title: "Requests a second at one node", Unit: "requests a second", Wanted: RequestsEach,
			Ladder: []float64{25, 50, 100, 170, 400}, Short: []float64{25, 50, 100}, Alone: true, Measures: []Measure{
				{"cpu", "ms of processor a second", true},
				{"cpu_us", "µs of processor a request", false},
				{"waited", "ms a second that it waited for a core", false},
				{"succeeded", "succeeded", false},
				{"refused", "throttled or errored", false},
				{"added_p50_ms", "added p50, ms", false},
				{"added_p99_ms", "added p99, ms", false},
				{"straight_p99_ms", "p99 without a node, ms", false},
			}, climb: func(b *Bench, x float64) (map[string]float64, error) {
				return b.requested(shape{routes: 1}, connectionsUsed, x, 1)
			}},
		{Name: "peak", Title: "A node at its part of the peak", Unit: "% of 4,700 routes, 130,000 tenants and 14,000 connections", Wanted: portion,
			Ladder: []float64{10, 50, 100}, Measures: atPeak, Configured: true,
			climb: func(b *Bench, x float64) (map[string]float64, error) { return b.peak(x, RequestsEach) }},
		{Name: "shifted", Title: "The same with a lost region's load on the others", Unit: "% of 4,700 routes, 130,000 tenants and 14,000 connections",
			Wanted: portion, Ladder: []float64{100}, Measures: atPeak, Configured: true,
			climb: func(b *Bench, x float64) (map[string]float64, error) { return b.peak(x, RequestsEach*RegionLost) }},
	}
}

// configuredMeasures are those of a node with a configuration under its part of the load.
func configuredMeasures() []Measure {
	return []Measure{
		{"file_kb", "file, kB", true},
		{"rss_mb", "resident, MB", true},
		{"start_peak_mb", "peak at start, MB", true},
		{"reload_mb", "resident after SIGHUP, MB", true},
		{"reload_peak_mb", "peak at SIGHUP, MB", true},
		{"idle_cpu", "idle, ms of processor a second", true},
		{"start_cpu_ms", "start, ms of processor", true},
		{"ready_ms", "start until it serves, ms", false},
		{"check_cpu_ms", "`check`, ms of processor", true},
		{"reload_cpu_ms", "SIGHUP, ms of processor", true},
		{"added_p50_ms", "added p50, ms", false},
		{"added_p99_ms", "added p99, ms", false},
		{"straight_p99_ms", "p99 without a node, ms", false},
		{"reload_worst_ms", "longest added at SIGHUP, ms", false},
		{"straight_worst_ms", "longest without a node then, ms", false},
	}
}

// atPeakMeasures are those of a node at the peak.
func atPeakMeasures() []Measure {
	return []Measure{
		{"open", "open in the end", false},
		{"rss_mb", "resident, MB", false},
		{"peak_mb", "peak, MB", false},
		{"cpu", "ms of processor a second", false},
		{"waited", "ms a second that it waited for a core", false},
		{"succeeded", "succeeded", false},
		{"refused", "throttled or errored", false},
		{"added_p50_ms", "added p50, ms", false},
		{"added_p99_ms", "added p99, median of three plays, ms", false},
		{"added_p99_least_ms", "least", false},
		{"added_p99_most_ms", "most", false},
		{"straight_p99_ms", "p99 without a node, median, ms", false},
	}
}

// configured starts a node on a configuration, lets it rest, loads it with its part of the peak, has it read the file anew
// and checks the file.
func (b *Bench) configured(s shape) (m map[string]float64, err error) {
	d, size, err := b.start(s)
	if err != nil {
		return nil, err
	}
	defer d.close()
	_, ready := d.serves()
	m = map[string]float64{"file_kb": float64(size) / 1_024, "ready_ms": ready.Seconds() * 1e3}
	started, err := d.usage()
	if err != nil {
		return nil, err
	}
	m["start_cpu_ms"] = started.cpu.Seconds() * 1e3
	if err := b.rest(d, m); err != nil {
		return nil, err
	}
	chance := rand.New(rand.NewSource(b.Seed))
	c := newCallers(d.address, connectionsUsed)
	defer c.closeAll()
	if err := c.send(s, RequestsEach, warmupDuration, chance); err != nil {
		return nil, err
	}
	without, err := c.beside(d, s, RequestsEach, b.length(), chance)
	if err != nil {
		return nil, err
	}
	m["added_p50_ms"], m["added_p99_ms"], m["straight_p99_ms"] = c.latency(0.5), c.latency(0.99), inMS(without, 0.99)
	loaded, err := d.usage()
	if err != nil {
		return nil, err
	}
	m["rss_mb"] = loaded.rssMB
	m["start_peak_mb"] = loaded.peakMB
	d.lowerPeak()
	cpu, after, err := d.reload() // at rest, so that its processor time is its own
	if err != nil {
		return nil, err
	}
	m["reload_cpu_ms"], m["reload_mb"], m["reload_peak_mb"] = cpu.Seconds()*1e3, after.rssMB, after.peakMB
	var group errgroup.Group
	group.Go(func() error { _, _, err := d.reload(); return err })
	if without, err = c.beside(d, s, RequestsEach, b.length()/2, chance); err != nil {
		return nil, err
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	m["reload_worst_ms"], m["straight_worst_ms"] = c.latency(1), inMS(without, 1)
	checked, err := b.check(d.config)
	if err != nil {
		return nil, err
	}
	m["check_cpu_ms"] = checked.Seconds() * 1e3
	return m, nil
}

// loaded loads a node with its part of the peak, for half the usual time.
func (b *Bench) loaded(c *callers, s shape) error {
	return c.send(s, RequestsEach, b.length()/2, rand.New(rand.NewSource(b.Seed)))
}

// rest takes an idle node's processor time.
func (b *Bench) rest(d *daemon, m map[string]float64) error {
	time.Sleep(settleDuration)
	before, err := d.usage()
	if err != nil {
		return err
	}
	time.Sleep(idleDuration)
	after, err := d.usage()
	m["idle_cpu"] = after.since(&before)
	return err
}

// connected opens connections to a node, checks each once more, loads some, and ends all.
func (b *Bench) connected(count int) (m map[string]float64, err error) {
	s := shape{routes: 1, sockets: maxSockets}
	d, _, err := b.start(s)
	if err != nil {
		return nil, err
	}
	defer d.close()
	before, err := d.usage()
	if err != nil {
		return nil, err
	}
	c := newCallers(d.address, count)
	defer c.closeAll()
	if err := c.openAll(); err != nil {
		return nil, err
	}
	opened, err := d.usage()
	if err != nil {
		return nil, err
	}
	if err := c.openAll(); err != nil {
		return nil, err
	}
	checked, err := d.usage()
	if err != nil {
		return nil, err
	}
	m = map[string]float64{"open_cpu_us": (opened.cpu - before.cpu).Seconds() * 1e6 / float64(count),
		"check_cpu_us": (checked.cpu - opened.cpu).Seconds() * 1e6 / float64(count)}
	if err := b.rest(d, m); err != nil {
		return nil, err
	}
	if err := b.loaded(c, s); err != nil {
		return nil, err
	}
	full, err := d.usage()
	if err != nil {
		return nil, err
	}
	m["open"], m["rss_mb"], m["peak_mb"] = float64(c.opened()), full.rssMB, full.peakMB
	m["added_p50_ms"], m["added_p99_ms"] = c.latency(0.5), c.latency(0.99)
	c.closeAll()
	time.Sleep(settleDuration)
	after, err := d.usage()
	m["after_mb"] = after.rssMB
	return m, err
}

// peak is a node with a part of all that is wanted of it, at a rate.
func (b *Bench) peak(part, aSecond float64) (map[string]float64, error) {
	of := func(wanted float64) int { return max(1, int(wanted*part/portion)) }
	return b.requested(shape{routes: of(WantedRoutes), tenants: of(WantedTenants), sockets: maxSockets}, of(WantedCallers), aSecond, peakPlays)
}

// requested loads a node of a shape over connections that are all open, some times over.
func (b *Bench) requested(s shape, connections int, aSecond float64, plays int) (m map[string]float64, err error) {
	d, _, err := b.start(s)
	if err != nil {
		return nil, err
	}
	defer d.close()
	m = map[string]float64{}
	var p50, p99, without []float64
	for range plays {
		if err := b.play(d, s, connections, aSecond, m); err != nil {
			return nil, err
		}
		p50 = append(p50, m["added_p50_ms"])
		p99 = append(p99, m["added_p99_ms"])
		without = append(without, m["straight_p99_ms"])
	}
	if plays > 1 {
		m["added_p99_least_ms"], m["added_p99_most_ms"] = slices.Min(p99), slices.Max(p99)
	}
	m["added_p50_ms"], m["added_p99_ms"], m["straight_p99_ms"] = median(p50), median(p99), median(without)
	return m, nil
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// play opens all connections and loads a node over them while they stay open: a node ends those that rest for 15 s.
func (b *Bench) play(d *daemon, s shape, connections int, aSecond float64, m map[string]float64) error {
	c := newCallers(d.address, connections)
	defer c.closeAll()
	if err := c.openAll(); err != nil {
		return err
	}
	chance := rand.New(rand.NewSource(b.Seed))
	if err := c.send(s, aSecond, warmupDuration, chance); err != nil {
		return err
	}
	good, bad := c.counts()
	before, err := d.usage()
	if err != nil {
		return err
	}
	without, err := c.beside(d, s, aSecond, b.length(), chance)
	if err != nil {
		return err
	}
	after, err := d.usage()
	if err != nil {
		return err
	}
	goodAfter, badAfter := c.counts()
	good = goodAfter - good
	bad = badAfter - bad
	m["open"], m["rss_mb"], m["peak_mb"], m["cpu"] = float64(c.opened()), after.rssMB, after.peakMB, after.since(&before)
	m["waited"] = (after.waited - before.waited).Seconds() * 1e3 / after.at.Sub(before.at).Seconds()
	m["cpu_us"] = (after.cpu - before.cpu).Seconds() * 1e6 / float64(max(1, good+bad))
	m["succeeded"] = float64(good)
	m["refused"] = float64(bad)
	m["added_p50_ms"], m["added_p99_ms"], m["straight_p99_ms"] = c.latency(0.5), c.latency(0.99), inMS(without, 0.99)
	return nil
}
