package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"topazpost/internal/testbed/hollow"
)

// bare is what a node with one route and nothing in service has resident, measured once.
func (b *Bench) bare() (float64, error) {
	if b.bareMB > 0 {
		return b.bareMB, nil
	}
	d, _, err := b.start(shape{routes: 1})
	if err != nil {
		return 0, err
	}
	defer d.close()
	c := newCallers(d.address, connectionsUsed)
	defer c.closeAll()
	if err := b.loaded(c, shape{routes: 1}); err != nil {
		return 0, err
	}
	u, err := d.usage()
	b.bareMB = u.rssMB
	return b.bareMB, err
}

// served starts a node and a seat beside it, puts the node's whole file and then one change, and has the node read its file anew.
func (b *Bench) served(part float64) (map[string]float64, error) {
	bare, err := b.bare()
	if err != nil {
		return nil, err
	}
	block, held, err := hollow.Reserve()
	if err != nil {
		return nil, err
	}
	defer held.Close()
	p := &servedPlay{bench: b, bareMB: bare, block: block, measures: map[string]float64{}}
	seat, err := p.startSeat()
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = seat.command.Process.Kill() // it may have ended
		<-seat.ended
	}()
	p.shape = shape{routes: max(1, int(WantedRoutes*part/portion)), tenants: int(WantedTenants * part / portion)}
	p.shape.fleet, err = p.writeFleetFile("n0", 1)
	if err != nil {
		return nil, err
	}
	p.node, _, err = b.start(p.shape)
	if err != nil {
		return nil, err
	}
	defer p.node.close()
	if err := p.putAll(); err != nil {
		return nil, err
	}
	c := newCallers(p.node.address, connectionsUsed)
	defer c.closeAll()
	if err := b.loaded(c, p.shape); err != nil {
		return nil, err
	}
	for _, step := range []func() error{p.changeOne, p.changeMany, p.reload} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	p.measures["seat_step_ms"], _ = seat.longest(0)
	u, err := processUsage(seat.command.Process.Pid)
	p.measures["seat_mb"] = u.rssMB
	p.measures["seat_peak_mb"] = u.peakMB
	return p.measures, err
}

// servedPlay is a node whose configuration a seat serves, as it is measured.
type servedPlay struct {
	bench    *Bench
	block    int // of loopback addresses
	bareMB   float64
	shape    shape
	node     *daemon
	begun    int // of the node's log lines: those that were looked at
	measures map[string]float64
}

func (p *servedPlay) address(i int) netip.Addr { return hollow.Bind(p.block, i) }

// writeFleetFile writes the fleet's file of a process.
func (p *servedPlay) writeFleetFile(name string, i int) (path string, err error) {
	text, err := json.Marshal(map[string]any{"fleet": fleetName, "bind": hollow.At(p.address(i)), "seeds": []string{hollow.At(p.address(0))},
		"council": map[string]any{"seats": []string{"s1"}}, "configuration": map[string]any{"folder": filepath.Join(p.bench.folder, "last-{name}")}})
	if err != nil {
		return "", err
	}
	path = filepath.Join(p.bench.folder, name+".fleet.jsonnet")
	return path, os.WriteFile(path, text, 0o600)
}

func (p *servedPlay) startSeat() (*daemon, error) {
	file, err := p.writeFleetFile("s1", 0)
	if err != nil {
		return nil, err
	}
	if err := os.RemoveAll(filepath.Join(p.bench.folder, "last-n0")); err != nil { // of the size before
		return nil, err
	}
	seat := &daemon{command: exec.Command(p.bench.Program, "seat", "--name", "s1", file), ended: make(chan struct{})}
	return seat, seat.run()
}

// putAll puts the whole file, and lets the node rest on it.
func (p *servedPlay) putAll() error {
	time.Sleep(settleDuration) // until the seat knows the node
	_, begun := p.node.longest(0)
	var err error
	p.measures["put_s"], err = p.bench.config(p.node.config, p.address(0))
	if err != nil {
		return err
	}
	p.measures["put_step_ms"], _ = p.node.longest(begun)
	put, err := p.node.usage()
	if err != nil {
		return err
	}
	p.measures["put_peak_mb"] = put.peakMB
	return p.bench.rest(p.node, p.measures)
}

// changeOne puts a change of one item.
func (p *servedPlay) changeOne() error {
	m := p.measures
	steady, err := p.node.usage()
	if err != nil {
		return err
	}
	m["rss_mb"] = steady.rssMB
	m["over_mb"] = steady.rssMB - p.bareMB
	p.node.lowerPeak()
	_, begun := p.node.longest(0)
	seconds, err := p.bench.configSome(p.shape, 1, 7, p.address(0))
	if err != nil {
		return err
	}
	time.Sleep(settleDuration)
	changed, err := p.node.usage()
	if err != nil {
		return err
	}
	m["change_step_ms"], p.begun = p.node.longest(begun)
	m["change_ms"] = seconds * 1e3
	m["change_cpu_ms"] = (changed.cpu - steady.cpu).Seconds() * 1e3
	m["change_peak_mb"] = changed.peakMB
	m["change_over_mb"] = changed.peakMB - p.bareMB
	return nil
}

// changeMany puts a change of many items.
func (p *servedPlay) changeMany() error {
	p.node.lowerPeak()
	var err error
	p.measures["large_s"], err = p.bench.configSome(p.shape, largeChange, 9, p.address(0))
	if err != nil {
		return err
	}
	large, err := p.node.usage()
	if err != nil {
		return err
	}
	p.measures["large_over_mb"] = large.peakMB - p.bareMB
	p.measures["large_step_ms"], p.begun = p.node.longest(p.begun)
	return nil
}

// reload has the node read its file anew.
func (p *servedPlay) reload() error {
	p.node.lowerPeak()
	_, after, err := p.node.reload()
	if err != nil {
		return err
	}
	p.measures["reload_mb"] = after.rssMB
	p.measures["reload_peak_mb"] = after.peakMB
	p.measures["reload_over_mb"] = after.peakMB - p.bareMB
	// The log line of a further change covers the steps since the one before, so those of SIGHUP too.
	if _, err := p.bench.configSome(p.shape, 1, 8, p.address(0)); err != nil {
		return err
	}
	p.measures["reload_step_ms"], _ = p.node.longest(p.begun)
	return nil
}

// configSome puts another value of so many items, and says how many seconds it took until they were in force.
func (b *Bench) configSome(s shape, items, value int, seat netip.Addr) (seconds float64, err error) {
	change := map[string]any{"limits": map[string]any{"limits.max_retry_after": 1_000 + value}}
	if s.tenants > 0 {
		tenants := map[string]any{}
		for k := range min(items, s.tenants) {
			tenants[tenantName(k*max(1, s.tenants/items))] = map[string]any{"quota_rps": value}
		}
		change = map[string]any{"tenants": tenants}
	}
	text, err := json.Marshal(change)
	if err != nil {
		return 0, err
	}
	path := filepath.Join(b.folder, "change.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return 0, err
	}
	return b.config(path, seat)
}

// config puts a file and waits until it is in force, and says how many seconds that took.
func (b *Bench) config(file string, seat netip.Addr) (seconds float64, err error) {
	ctx, stop := context.WithTimeout(context.Background(), 2*inForceTimeout)
	defer stop()
	began := time.Now()
	out, err := exec.CommandContext(ctx, b.Program, "config", "put", "--fleet", fleetName, "--at", hollow.At(seat), "--wait",
		"--within", inForceTimeout.String(), file).CombinedOutput()
	if err != nil {
		return 0, fmt.Errorf("config put: %w: %s", err, strings.TrimSpace(string(out)))
	}
	return time.Since(began).Seconds(), nil
}
