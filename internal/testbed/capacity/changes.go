package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/testbed/hollow"
	"topazpost/server"
)

const (
	fleetName      = "rig"
	changedNodes   = 80               // of the fleet whose changes a day are climbed
	changesNodes   = 20 * 60 * 24     // a day, of the fleets whose nodes are climbed: 20 a minute
	putDuration    = 12 * time.Second // of changes
	putShort       = 3 * time.Second
	spreadDuration = 8 * time.Second // past the last change, in which traffic is still of it: two stages of 3 s, and room
	spreadShort    = 5 * time.Second
	inForceTimeout = 60 * time.Second // for a version to be in force everywhere
	verdictTimeout = 20 * time.Second
	askAgain       = 200 * time.Millisecond
	asksAtOnce     = 8
	changedTenants = 50  // which are changed in turn
	largeChange    = 300 // tenants of one, apart from one another: their record is less than the 24 kB of one answer. Past those a node takes blocks, at 14 kB a second

	// WantedForce is how long a change may take until it is in force everywhere, s.
	WantedForce = 10.0
)

// changes are the ladders of changes of configuration: as they are without the configuration in service, and in it.
func changes() []*Quantity {
	spread := []Measure{
		{"done", "changes agreed on", false},
		{"agreed_ms", "until one is agreed on, mean, ms", false},
		{"force_s", "the last one, agreed on until in force everywhere, s", false},
		{"idle_cpu", "before, ms of processor a second and node", true},
		{"cpu", "meanwhile", true},
		{"idle_bytes", "before, bytes a second and node", true},
		{"bytes", "meanwhile", true},
		{"idle_messages", "before, messages a second and node", true},
		{"messages", "meanwhile", true},
		{"worst_bytes", "worst second, bytes a node", true},
		{"change_bytes", "bytes of one change, a node", true},
		{"change_messages", "messages of one change, a node", true},
		{"change_cpu", "ms of processor of one change, a node", true},
	}
	return []*Quantity{
		{Name: "restarted", Title: "Changes of configuration without configuration in service, each a new start", Unit: "plays", Wanted: WantedChanges,
			Ladder: []float64{1, 2, 3}, Measures: []Measure{
				{"cpu_ms", "one change at one node, ms of processor", false},
				{"known_ms", "until that node serves again, ms", false},
				{"peak_mb", "peak, MB", false},
				{"restarts", "starts of the fleet for it", false},
			}, climb: func(b *Bench, _ float64) (map[string]float64, error) { return b.startedAnew() }},
		{Name: "changes", Title: fmt.Sprintf("Changes in service, at %d hollow nodes and three seats among them", changedNodes), Unit: "changes a day",
			Wanted: WantedChanges, Ladder: []float64{0, 10 * 60 * 24, 60 * 60 * 24, 300 * 60 * 24}, Short: nil, Measures: spread,
			climb: func(b *Bench, x float64) (map[string]float64, error) { return b.inService(changedNodes, x) }},
		{Name: "spread", Title: "Nodes that take 20 changes a minute in service, hollow", Unit: "nodes", Wanted: WantedNodes,
			Ladder: []float64{80, 160, 325, 650}, Short: []float64{12, 24, 48}, Measures: spread,
			climb: func(b *Bench, x float64) (map[string]float64, error) { return b.inService(int(x), changesNodes) }},
		{Name: "service", Title: "A whole node with configuration in service", Unit: "% of 4,700 routes and 130,000 tenants", Wanted: portion,
			Ladder: []float64{0, 25, 50, 100}, Short: []float64{0, 5, 10}, Measures: []Measure{
				{"rss_mb", "resident, MB", true},
				{"over_mb", "over a node with one route and none in service, MB", true},
				{"put_s", "the whole file put, agreed on and in force, s", false},
				{"put_peak_mb", "peak then, MB", true},
				{"change_ms", "a change of one item until in force, ms", false},
				{"change_cpu_ms", "ms of processor of it, with 2 s around it", true},
				{"change_peak_mb", "peak then, MB", true},
				{"change_over_mb", "peak then, over, MB", true},
				{"large_s", fmt.Sprintf("a change of %d tenants until in force, s", largeChange), false},
				{"large_over_mb", "peak then, over, MB", true},
				{"reload_mb", "resident after SIGHUP, MB", true},
				{"reload_peak_mb", "peak at SIGHUP, MB", true},
				{"reload_over_mb", "peak at SIGHUP, over, MB", true},
				{"idle_cpu", "idle, ms of processor a second", true},
				{"put_step_ms", "longest step of the reducer while the whole file comes into force, ms", false},
				{"change_step_ms", "while one item does", false},
				{"large_step_ms", "while the large change does", false},
				{"reload_step_ms", "while a SIGHUP and one item do", false},
				{"seat_step_ms", "longest step of the seat beside it, of the whole play, ms", false},
				{"seat_mb", "the seat beside it, resident, MB", true},
				{"seat_peak_mb", "its peak, MB", true},
			}, climb: func(b *Bench, x float64) (map[string]float64, error) { return b.served(x) }},
	}
}

// startedAnew is what a change costs where each is a new start of the node.
func (b *Bench) startedAnew() (map[string]float64, error) {
	d, _, err := b.start(shape{routes: WantedRoutes, tenants: WantedTenants})
	if err != nil {
		return nil, err
	}
	defer d.close()
	u, err := d.usage()
	_, ready := d.serves()
	return map[string]float64{"cpu_ms": u.cpu.Seconds() * 1e3, "known_ms": ready.Seconds() * 1e3, "peak_mb": u.peakMB,
		"restarts": WantedNodes}, err
}

// operator asks nodes what `topazpost config` does, and has changes put.
type operator struct {
	seats   []string
	version uint64
	puts    int
}

var errVerdict = errors.New("no verdict in time")

func question(address string, q *configsync.Query) (*configsync.Answer, error) {
	name := envelope.FleetIDOf(fleetName)
	ask, err := envelope.Seal(nil, name, node.ConfigQueryBody(q))
	if err != nil {
		return nil, err
	}
	text, err := server.Swap(context.Background(), "", address, ask)
	if err != nil {
		return nil, err
	}
	return node.DecodeConfigAnswer(text, name)
}

// put has changes agreed on, made on the newest version.
func (o *operator) put(items []configsync.Item) error {
	o.puts++
	c := &configsync.Command{Kind: configsync.CommandPut, Caller: fmt.Sprint("put", o.puts), Seq: 1, Base: o.version, Changes: items,
		WallTime: time.Now().UnixNano()}
	end := time.Now().Add(verdictTimeout)
	for k := 0; ; k++ {
		a, err := question(o.seats[k%len(o.seats)], &configsync.Query{Kind: configsync.QueryPropose, Command: c})
		switch {
		case err == nil && a.Verdict != nil && a.Verdict.Done:
			o.version = a.Verdict.Version
			return nil
		case err == nil && a.Verdict != nil:
			return fmt.Errorf("put %d on version %d is refused: %s", o.puts, o.version, a.Verdict.Refused)
		case time.Now().After(end):
			return errors.Join(errVerdict, err)
		}
		time.Sleep(askAgain)
	}
}

// inForce waits until all nodes have a version or a later one, and says when the last one took it.
func inForce(addresses []string, version uint64) (last time.Time, err error) {
	left := addresses
	for end := time.Now().Add(inForceTimeout); ; time.Sleep(askAgain) {
		var mu sync.Mutex
		var missing []string
		var group sync.WaitGroup
		places := make(chan struct{}, asksAtOnce)
		for _, address := range left {
			places <- struct{}{}
			group.Go(func() {
				defer func() { <-places }()
				began := time.Now()
				a, err := question(address, &configsync.Query{Kind: configsync.QueryStatus})
				mu.Lock()
				defer mu.Unlock()
				if err != nil || a.Status == nil || a.Status.Revision.Version < version {
					missing = append(missing, address)
				} else if at := began.Add(-time.Duration(a.Status.TakenNS)); at.After(last) {
					last = at
				}
			})
		}
		group.Wait()
		if left = missing; len(left) == 0 {
			return last, nil
		}
		if time.Now().After(end) {
			return last, fmt.Errorf("version %d is not in force at %d of %d nodes", version, len(left), len(addresses))
		}
	}
}

// tenantChange gives one tenant in turn a quota that differs from the last one.
func tenantChange(n int) []configsync.Item {
	return []configsync.Item{{Part: configsync.Tenants, Name: tenantName(n % changedTenants), Value: fmt.Appendf(nil, `{"quota_rps":%d}`, 1+n)}}
}

// putFirst puts the items that a fleet begins with, and waits until they are in force at all addresses.
func (o *operator) putFirst(all []string) error {
	first, err := usualItems()
	if err != nil {
		return err
	}
	for n := range changedTenants {
		first = append(first, tenantChange(n)...)
	}
	if err := o.put(first); err != nil {
		return err
	}
	_, err = inForce(all, o.version)
	return err
}

// writeTraffic writes the traffic of a fleet at rest and that of so many changes.
func writeTraffic(m map[string]float64, idle, busy span, changes int) {
	m["idle_cpu"] = idle.cpu
	m["cpu"] = busy.cpu
	m["idle_bytes"] = idle.bytes
	m["bytes"] = busy.bytes
	m["idle_messages"] = idle.messages
	m["messages"] = busy.messages
	m["worst_bytes"] = busy.worst
	if changes == 0 {
		return
	}
	each := float64(busy.seconds) / float64(changes)
	m["change_bytes"] = (busy.bytes - idle.bytes) * each
	m["change_messages"] = (busy.messages - idle.messages) * each
	m["change_cpu"] = (busy.cpu - idle.cpu) * each
}

// inService has a fleet of hollow nodes take changes at a rate.
func (b *Bench) inService(nodes int, aDay float64) (map[string]float64, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f, err := hollow.Start(ctx, b.Lab, hollow.Options{Nodes: nodes, Seats: seats, Seed: b.Seed, Log: io.Discard,
		Fleet: map[string]any{"members": 1_500, "configuration": map[string]any{}}})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if _, agreed := f.Agreed(joinTimeout, 0); !agreed {
		return nil, errors.Join(errApart, f.Err())
	}
	var all []string
	for i := range nodes {
		all = append(all, hollow.At(hollow.Bind(f.Block, i)))
	}
	o := &operator{seats: all[:seats]}
	if err := o.putFirst(all); err != nil {
		return nil, err
	}
	rest, length, after := restDuration/2, putDuration, spreadDuration
	if b.Brief {
		rest = restShort / 2
		length = putShort
		after = spreadShort
	}
	time.Sleep(rest)
	from := time.Now()
	time.Sleep(rest)
	to := time.Now()
	count := int(aDay / DaySeconds * length.Seconds())
	m := map[string]float64{}
	waited := time.Duration(0)
	for n := range count {
		time.Sleep(time.Until(to.Add(time.Duration(n) * length / time.Duration(count))))
		began := time.Now()
		if err := o.put(tenantChange(changedTenants + n)); err != nil {
			return nil, err
		}
		waited += time.Since(began)
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(acknowledged.Add(after)))
	end := time.Now()
	m["done"] = float64(count)
	if count > 0 {
		last, err := inForce(all, o.version)
		if err != nil {
			return nil, err
		}
		m["force_s"], m["agreed_ms"] = last.Sub(acknowledged).Seconds(), waited.Seconds()*1e3/float64(count)
	}
	time.Sleep(time.Second + time.Second/2) // for the last second's figures
	writeTraffic(m, spanOf(f.Sample(), from, to), spanOf(f.Sample(), to, end), count)
	return m, f.Err()
}

// usualItems are those of hollow nodes' own files.
func usualItems() (list []configsync.Item, err error) {
	var fields map[string]any
	if err := json.Unmarshal(hollow.DefaultConfig(), &fields); err != nil {
		return nil, err
	}
	fields["name"] = "n0"
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	n, err := server.ReadConfig(text)
	if err != nil {
		return nil, err
	}
	found, _ := nodeconfig.Diff(nil, n.Settings)
	for _, i := range found {
		list = append(list, configsync.Item(i))
	}
	return list, nil
}
