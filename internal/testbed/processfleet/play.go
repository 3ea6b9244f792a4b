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

// playSeed does all faults to a fleet and measures what its views told.
func (n *Scenario) playSeed(d fleetDriver, seed int64) *Outcome {
	o := &Outcome{Seed: seed, Measures: map[string]float64{}}
	began := time.Now()
	all, up := make([]int, n.Nodes), make([]bool, n.Nodes)
	for i := range up {
		all[i], up[i] = i, true
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
		still = p.still
		go still.watch(p)
	}
	start := d.now()
	idle, idleAt := d.sent(), start
	spans, actions := n.drawFaults(d, start, rand.New(rand.NewSource(seed)), up)
	worst, last, lastAt := 0.0, d.sent(), d.now()
	for k, a := range actions {
		for d.now() < a.at {
			d.run(min(a.at, d.now()+second))
			if k == 0 && d.now() > a.at-idleFor {
				o.Measures["idle_bytes"] = float64(d.sent()-idle) / float64(n.Nodes) / (float64(d.now()-idleAt) / 1e9)
			} else if k == 0 {
				idle, idleAt = d.sent(), d.now()
			}
			if now := d.now(); now-lastAt >= second {
				worst, last, lastAt = max(worst, float64(d.sent()-last)/float64(n.Nodes)/(float64(now-lastAt)/1e9)), d.sent(), now
			}
		}
		if err := a.do(); err != nil {
			o.Failed = err.Error()
			return o
		}
	}
	healed := d.now()
	d.lose(0)
	d.heal()
	if storming {
		p.retryStorm.awaitResults(n)
		defer p.retryStorm.measure(o, p, spans, start)
	}
	o.Measures["worst_bytes"] = worst
	o.Measures["agree_s"] = seconds(n.runUntilAgreed(d, int64(n.Calm*1e9), up))
	d.run(healed + int64(n.Calm*1e9))
	if o.Measures["agree_s"] < 0 {
		o.Measures["agree_s"] = math.Inf(1)
	}
	o.Measures["pace"] = float64(d.now()) / float64(max(1, time.Since(began)))
	n.measureViews(o, d.viewEvents(), spans, start, still)
	return o
}

func seconds(ns int64) float64 {
	if ns < 0 {
		return -1
	}
	return float64(ns) / 1e9
}

// runUntilAgreed runs on runUntilAgreed all that are up hold one view of just them.
func (n *Scenario) runUntilAgreed(d fleetDriver, most int64, up []bool) int64 {
	for start := d.now(); d.now()-start < most; d.run(d.now() + look) {
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
		hash, first = last[i].Hash, false
	}
	return true
}
