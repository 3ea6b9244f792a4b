package processfleet

import (
	"math"
	"math/rand"
	"slices"
	"time"
)

// fleetDriver is a fleet that faults can be done to.
type fleetDriver interface {
	now() int64
	run(until int64)
	start(i int) error
	kill(i int)
	leave(i int)
	pause(i int, stop bool)
	cut(from, to int)
	heal()
	lose(part float64)
	sent() int64 // bytes, of all
	viewEvents() []Event
	lastEvents() []Event // the last one of each node
	close()
}

// playSeed does all faults to a fleet and measures the changes of its views.
func (n *Scenario) playSeed(d fleetDriver, seed int64) *Outcome {
	o := &Outcome{Seed: seed, Measures: map[string]float64{}}
	began := time.Now()
	all, up := make([]int, n.Nodes), make([]bool, n.Nodes)
	for i := range up {
		all[i] = i
		up[i] = true
	}
	p, storming := d.(*processes)
	if p != nil {
		defer p.measureHollow(o)
	}
	if err := startAll(d, all, n.JoinOver); err != nil {
		o.Failed = err.Error()
		return o
	}
	o.Measures["joined_s"] = seconds(n.runUntilAgreed(d, int64(n.Join*1e9), up))
	if o.Measures["joined_s"] < 0 {
		o.Failed = "the fleet did not come to one view"
		return o
	}
	if p != nil {
		p.loadHollow()
	}
	if storming = storming && n.Storm; storming {
		p.retryStorm.begin(p)
	}
	var still *stallRecorder
	if p != nil && slices.ContainsFunc(n.Faults, func(f Fault) bool { return f.Kind == "pause" }) {
		still = p.stalls
		go still.watch(p)
	}
	start := d.now()
	traffic := newTrafficMeter(n, d, start)
	spans, actions := n.drawFaults(d, start, rand.New(rand.NewSource(seed)), up)
	traffic.startWorst()
	for k, a := range actions {
		for d.now() < a.at {
			d.run(min(a.at, d.now()+second))
			traffic.sample(k == 0, a.at)
		}
		if err := a.do(); err != nil {
			o.Failed = err.Error()
			traffic.writeIdle(o.Measures)
			return o
		}
	}
	traffic.writeIdle(o.Measures)
	healed := d.now()
	d.lose(0)
	d.heal()
	if storming {
		p.retryStorm.awaitResults(n)
		defer p.retryStorm.measure(o, p, spans, start)
	}
	o.Measures["worst_bytes"] = traffic.worst
	o.Measures["agree_s"] = seconds(n.runUntilAgreed(d, int64(n.Calm*1e9), up))
	d.run(healed + int64(n.Calm*1e9))
	if o.Measures["agree_s"] < 0 {
		o.Measures["agree_s"] = math.Inf(1)
	}
	o.Measures["pace"] = float64(d.now()) / float64(max(1, time.Since(began)))
	n.measureViews(o, d.viewEvents(), spans, start, still)
	return o
}

// trafficMeter measures the bytes that a node sends in a second, in the mean of the fleet.
type trafficMeter struct {
	nodes  int
	driver fleetDriver

	idleSent int64 // by all up to idleAt, before the last seconds ahead of the first fault
	idleAt   int64
	idle     float64
	idleSeen bool // idle was measured

	sent  int64 // by all up to at
	at    int64
	worst float64
}

func newTrafficMeter(n *Scenario, d fleetDriver, start int64) *trafficMeter {
	return &trafficMeter{nodes: n.Nodes, driver: d, idleSent: d.sent(), idleAt: start}
}

// startWorst starts the search for the worst second.
func (t *trafficMeter) startWorst() {
	t.sent = t.driver.sent()
	t.at = t.driver.now()
}

// sample takes the traffic up to now; firstAt is when the first fault begins, where none has begun yet.
func (t *trafficMeter) sample(beforeFirst bool, firstAt int64) {
	d := t.driver
	if beforeFirst && d.now() > firstAt-idlePeriod {
		t.idle = float64(d.sent()-t.idleSent) / float64(t.nodes) / (float64(d.now()-t.idleAt) / 1e9)
		t.idleSeen = true
	} else if beforeFirst {
		t.idleSent = d.sent()
		t.idleAt = d.now()
	}
	now := d.now()
	if now-t.at < second {
		return
	}
	t.worst = max(t.worst, float64(d.sent()-t.sent)/float64(t.nodes)/(float64(now-t.at)/1e9))
	t.sent = d.sent()
	t.at = now
}

// writeIdle writes the traffic ahead of the first fault, where it was measured.
func (t *trafficMeter) writeIdle(m map[string]float64) {
	if t.idleSeen {
		m["idle_bytes"] = t.idle
	}
}

func seconds(ns int64) float64 {
	if ns < 0 {
		return -1
	}
	return float64(ns) / 1e9
}

// runUntilAgreed runs on until all that are up hold one view of just them.
func (n *Scenario) runUntilAgreed(d fleetDriver, most int64, up []bool) int64 {
	for start := d.now(); d.now()-start < most; d.run(d.now() + pollInterval) {
		if agreed(d.lastEvents(), up) {
			return d.now() - start
		}
	}
	return -1
}

func agreed(last []Event, up []bool) bool {
	count, hash, first := 0, uint64(0), true
	for _, u := range up {
		if u {
			count++
		}
	}
	for i, u := range up {
		if !u {
			continue
		}
		if last[i].Size != count && count > 1 || !first && last[i].Hash != hash {
			return false
		}
		hash = last[i].Hash
		first = false
	}
	return true
}
