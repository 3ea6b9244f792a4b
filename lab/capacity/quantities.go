package capacity

import (
	"math/rand"
	"time"
)

// Quantities are all that ladders are climbed of, each in the order of its ladder.
func Quantities() []*Quantity {
	configured := []Measure{
		{"file_kb", "file, kB", true},
		{"rss_mb", "resident, MB", true},
		{"start_peak_mb", "peak at start, MB", true},
		{"reload_mb", "resident after SIGHUP, MB", true},
		{"reload_peak_mb", "peak at SIGHUP, MB", true},
		{"idle_cpu", "idle, ms of processor a second", true},
		{"start_cpu_ms", "start, ms of processor", true},
		{"ready_ms", "start until it serves, ms", false},
		{"check_cpu_ms", "`check`, ms of processor", true},
		{"check_peak_mb", "`check`, peak MB", false},
		{"reload_cpu_ms", "SIGHUP, ms of processor", true},
		{"added_p50_ms", "added p50, ms", false},
		{"added_p99_ms", "added p99, ms", false},
		{"reload_worst_ms", "longest added at SIGHUP, ms", false},
		{"straight_p99_ms", "p99 without a node, ms", false},
	}
	return []*Quantity{
		{Name: "routes", Title: "Routes, no tenants", Unit: "routes", Wanted: WantedRoutes, Ladder: []float64{1, 470, 1_200, 2_400, 4_700},
			Short: []float64{1, 1_200, 2_400}, Measures: configured, Configured: true,
			climb: func(b *Bench, x float64) (map[string]float64, error) { return b.configured(shape{routes: int(x)}) }},
		{Name: "tenants", Title: "Tenants, with one route", Unit: "tenants", Wanted: WantedTenants, Ladder: []float64{0, 13_000, 32_500, 65_000, 130_000},
			Short: []float64{0, 16_000, 32_000}, Measures: configured, Configured: true,
			climb: func(b *Bench, x float64) (map[string]float64, error) {
				return b.configured(shape{routes: 1, tenants: int(x)})
			}},
		{Name: "configuration", Title: "Routes and tenants together", Unit: "% of 4,700 routes and 130,000 tenants", Wanted: portion,
			Ladder: []float64{0, 10, 25, 50, 100}, Short: []float64{0, 5, 10}, Measures: configured, Configured: true,
			climb: func(b *Bench, x float64) (map[string]float64, error) {
				return b.configured(shape{routes: max(1, int(WantedRoutes*x/portion)), tenants: int(WantedTenants * x / portion)})
			}},
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
			Ladder: []float64{25, 50, 100, 170, 400}, Short: []float64{25, 50, 100}, Measures: []Measure{
				{"cpu", "ms of processor a second", true},
				{"cpu_us", "µs of processor a request", false},
				{"succeeded", "succeeded", false},
				{"refused", "throttled or errored", false},
				{"added_p50_ms", "added p50, ms", false},
				{"added_p99_ms", "added p99, ms", false},
				{"straight_p99_ms", "p99 without a node, ms", false},
			}, climb: func(b *Bench, x float64) (map[string]float64, error) {
				return b.requested(shape{routes: 1}, connectionsUsed, x)
			}},
		{Name: "peak", Title: "A node at the peak: 4,700 routes, 130,000 tenants, 14,000 connections", Unit: "requests a second",
			Wanted: RequestsEach * RegionLost, Ladder: []float64{RequestsEach, RequestsEach * RegionLost}, Short: nil, Measures: []Measure{
				{"open", "open in the end", false},
				{"rss_mb", "resident, MB", false},
				{"peak_mb", "peak, MB", false},
				{"cpu", "ms of processor a second", false},
				{"succeeded", "succeeded", false},
				{"refused", "throttled or errored", false},
				{"added_p50_ms", "added p50, ms", false},
				{"added_p99_ms", "added p99, ms", false},
				{"straight_p99_ms", "p99 without a node, ms", false},
			}, Configured: true, climb: func(b *Bench, x float64) (map[string]float64, error) {
				return b.requested(shape{routes: WantedRoutes, tenants: WantedTenants, sockets: socketsMost}, WantedCallers, x)
			}},
		tokens(),
		changes(),
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
	started, err := d.look()
	if err != nil {
		return nil, err
	}
	m["start_cpu_ms"] = started.cpu.Seconds() * 1e3
	if err := b.rest(d, m); err != nil {
		return nil, err
	}
	chance := rand.New(rand.NewSource(b.Seed))
	c := newCallers(d.listens, connectionsUsed)
	defer c.closeAll()
	if err := c.send(s, RequestsEach, warmFor, chance); err != nil {
		return nil, err
	}
	c.added.Reset()
	if err := c.send(s, RequestsEach, b.length(), chance); err != nil {
		return nil, err
	}
	m["added_p50_ms"], m["added_p99_ms"] = c.latency(0.5), c.latency(0.99)
	loaded, err := d.look()
	if err != nil {
		return nil, err
	}
	m["rss_mb"], m["start_peak_mb"] = loaded.rssMB, loaded.peakMB
	d.lowerPeak()
	cpu, after, err := d.reload() // at rest, so that its processor time is its own
	if err != nil {
		return nil, err
	}
	m["reload_cpu_ms"], m["reload_mb"], m["reload_peak_mb"] = cpu.Seconds()*1e3, after.rssMB, after.peakMB
	c.added.Reset()
	again := make(chan error, 1)
	go func() {
		_, _, err := d.reload()
		again <- err
	}()
	if err := c.send(s, RequestsEach, b.length()/2, chance); err != nil {
		return nil, err
	}
	if err := <-again; err != nil {
		return nil, err
	}
	m["reload_worst_ms"] = c.latency(1)
	if m["straight_p99_ms"], err = straight(d.executor, RequestsEach, b.length()/2, 0.99); err != nil {
		return nil, err
	}
	checked, peak, err := b.check(d.config)
	if err != nil {
		return nil, err
	}
	m["check_cpu_ms"], m["check_peak_mb"] = checked.Seconds()*1e3, peak
	return m, nil
}

// rest takes an idle node's processor time.
func (b *Bench) rest(d *daemon, m map[string]float64) error {
	time.Sleep(settleFor)
	before, err := d.look()
	if err != nil {
		return err
	}
	time.Sleep(idleFor)
	after, err := d.look()
	m["idle_cpu"] = after.since(&before)
	return err
}

// connected opens connections to a node, checks each once more, loads some, and ends all.
func (b *Bench) connected(count int) (m map[string]float64, err error) {
	s := shape{routes: 1, sockets: socketsMost}
	d, _, err := b.start(s)
	if err != nil {
		return nil, err
	}
	defer d.close()
	before, err := d.look()
	if err != nil {
		return nil, err
	}
	c := newCallers(d.listens, count)
	defer c.closeAll()
	if err := c.openAll(); err != nil {
		return nil, err
	}
	opened, err := d.look()
	if err != nil {
		return nil, err
	}
	if err := c.openAll(); err != nil {
		return nil, err
	}
	checked, err := d.look()
	if err != nil {
		return nil, err
	}
	m = map[string]float64{"open_cpu_us": (opened.cpu - before.cpu).Seconds() * 1e6 / float64(count),
		"check_cpu_us": (checked.cpu - opened.cpu).Seconds() * 1e6 / float64(count)}
	if err := b.rest(d, m); err != nil {
		return nil, err
	}
	if err := c.send(s, RequestsEach, b.length()/2, rand.New(rand.NewSource(b.Seed))); err != nil {
		return nil, err
	}
	full, err := d.look()
	if err != nil {
		return nil, err
	}
	m["open"], m["rss_mb"], m["peak_mb"] = float64(c.opened()), full.rssMB, full.peakMB
	m["added_p50_ms"], m["added_p99_ms"] = c.latency(0.5), c.latency(0.99)
	c.closeAll()
	time.Sleep(settleFor)
	after, err := d.look()
	m["after_mb"] = after.rssMB
	return m, err
}

// requested loads a node of a shape over connections that are all open.
func (b *Bench) requested(s shape, connections int, aSecond float64) (m map[string]float64, err error) {
	d, _, err := b.start(s)
	if err != nil {
		return nil, err
	}
	defer d.close()
	c := newCallers(d.listens, connections)
	defer c.closeAll()
	if err := c.openAll(); err != nil {
		return nil, err
	}
	chance := rand.New(rand.NewSource(b.Seed))
	if err := c.send(s, aSecond, warmFor, chance); err != nil {
		return nil, err
	}
	c.added.Reset()
	good, bad := c.counts()
	before, err := d.look()
	if err != nil {
		return nil, err
	}
	if err := c.send(s, aSecond, b.length(), chance); err != nil {
		return nil, err
	}
	after, err := d.look()
	if err != nil {
		return nil, err
	}
	goodAfter, badAfter := c.counts()
	good, bad = goodAfter-good, badAfter-bad
	m = map[string]float64{"open": float64(c.opened()), "rss_mb": after.rssMB, "peak_mb": after.peakMB, "cpu": after.since(&before),
		"cpu_us": (after.cpu - before.cpu).Seconds() * 1e6 / float64(max(1, good+bad)), "succeeded": float64(good), "refused": float64(bad),
		"added_p50_ms": c.latency(0.5), "added_p99_ms": c.latency(0.99)}
	m["straight_p99_ms"], err = straight(d.executor, aSecond, b.length(), 0.99)
	return m, err
}

// changes is what a change of configuration costs where each is a new start of the node. A mechanism that carries
// changes into service has its own climb take the place of this one.
func changes() *Quantity {
	return &Quantity{Name: "changes", Title: "Changes of configuration, each a new start", Unit: "changes a day", Wanted: WantedChanges,
		Ladder: []float64{1, 2, 3}, Short: nil, Measures: []Measure{
			{"cpu_ms", "one change at one node, ms of processor", false},
			{"known_ms", "until that node serves again, ms", false},
			{"peak_mb", "peak, MB", false},
			{"restarts", "starts of the fleet for it", false},
		}, climb: func(b *Bench, _ float64) (map[string]float64, error) {
			d, _, err := b.start(shape{routes: WantedRoutes, tenants: WantedTenants})
			if err != nil {
				return nil, err
			}
			defer d.close()
			u, err := d.look()
			_, ready := d.serves()
			return map[string]float64{"cpu_ms": u.cpu.Seconds() * 1e3, "known_ms": ready.Seconds() * 1e3, "peak_mb": u.peakMB,
				"restarts": WantedNodes}, err
		}}
}
