package capacity

import (
	"errors"
	"math"
	"time"

	"topazpost/internal/testbed/virtualfleet"
)

const (
	second       = int64(time.Second)
	virtualSeeds = 3  // nodes whose addresses the others have
	joinSeconds  = 60 // simulated, for a herd to come to rest in one view
	eventSeconds = 15 // simulated, in which the worst second of a change falls
	cutSeconds   = 60 // simulated
	idleSeconds  = 10 // simulated
	calmVirtual  = 10 // simulated, between events
	zones        = 15 // of the fleet
	regionsLost  = 7  // regions, of which one is lost
)

var errView = errors.New("the nodes did not come to one view in virtual time")

// virtual is the ladder of nodes in virtual time: the membership code as it is, and nothing of the machine in the figures.
func virtual() *Quantity {
	return &Quantity{Name: "virtual", Title: "Nodes in virtual time, simulated", Unit: "nodes", Wanted: WantedNodes, Ladder: []float64{40, 80, 160, 330},
		Short: []float64{30, 60, 90}, Measures: []Measure{
			{"joined_s", "a herd joins, s until one view", false},
			{"herd_bytes", "its worst second, bytes a node", true},
			{"herd_mean", "mean of 60 s, bytes a second and node", true},
			{"idle_bytes", "idle, bytes a second and node", true},
			{"killed_s", "a node dies, s until all know", false},
			{"killed_bytes", "worst second, bytes a node", true},
			{"killed_mean", "mean of 15 s, bytes a second and node", true},
			{"restarted_bytes", "it starts again, worst second, bytes a node", true},
			{"restarted_mean", "mean of 15 s, bytes a second and node", true},
			{"zone_s", "one zone of 15 dies, s until all know", false},
			{"zone_bytes", "worst second, bytes a node", true},
			{"zone_mean", "mean of 15 s, bytes a second and node", true},
			{"zone_back_s", "it comes back at once, s until one view", false},
			{"zone_back_bytes", "worst second, bytes a node", true},
			{"zone_back_mean", "mean of 15 s, bytes a second and node", true},
			{"region_s", "one region of 7 dies, s until all know", false},
			{"region_bytes", "worst second, bytes a node", true},
			{"region_mean", "mean of 15 s, bytes a second and node", true},
			{"region_back_s", "it comes back at once, s until one view", false},
			{"region_back_bytes", "worst second, bytes a node", true},
			{"region_back_mean", "mean of 15 s, bytes a second and node", true},
			{"cut_bytes", "a region is cut off for a minute, worst second, bytes a node", true},
			{"healed_s", "healed, s until one view", false},
			{"healed_bytes", "worst second, bytes a node", true},
			{"healed_mean", "mean of 15 s, bytes a second and node", true},
		}, climb: func(b *Bench, x float64) (map[string]float64, error) { return b.simulated(int(x)) }}
}

// simulated plays what befalls a fleet, one after the other.
func (b *Bench) simulated(nodes int) (map[string]float64, error) {
	p := &virtualPlay{m: virtualfleet.New(b.Seed, nodes, virtualSeeds), figures: map[string]float64{}}
	p.event("joined", "herd", joinSeconds, func() { p.each(0, nodes, (*virtualfleet.Node).Start) })
	_, idle := p.seconds(idleSeconds)
	p.figures["idle_bytes"] = idle
	one := nodes / 2
	p.event("killed", "killed", eventSeconds, func() { p.each(one, one+1, (*virtualfleet.Node).Kill) })
	p.event("", "restarted", eventSeconds, func() { p.each(one, one+1, (*virtualfleet.Node).Start) })
	lose := func(name string, part int) {
		from := nodes - nodes/part
		p.event(name, name, eventSeconds, func() { p.each(from, nodes, (*virtualfleet.Node).Kill) })
		p.event(name+"_back", name+"_back", eventSeconds, func() { p.each(from, nodes, (*virtualfleet.Node).Start) })
	}
	if lose("zone", zones); !b.Brief {
		lose("region", regionsLost)
		p.cutOff(nodes - nodes/regionsLost)
	}
	if p.apart {
		return nil, errView
	}
	return p.figures, nil
}

type virtualPlay struct {
	m       *virtualfleet.Fleet
	sent    int
	figures map[string]float64
	apart   bool
}

func (p *virtualPlay) each(from, to int, do func(*virtualfleet.Node)) {
	for _, n := range p.m.Nodes[from:to] {
		do(n)
	}
}

// cutOff cuts the nodes from one on off from the others for a minute.
func (p *virtualPlay) cutOff(from int) {
	p.m.CutBetween(p.m.Nodes[:from], p.m.Nodes[from:], true)
	p.figures["cut_bytes"], _ = p.seconds(cutSeconds)
	p.event("healed", "healed", eventSeconds, func() { p.m.RemoveCuts() })
}

// seconds plays some, and gives the bytes of a node in the worst one and in the mean.
func (p *virtualPlay) seconds(count int) (worst, mean float64) {
	for range count {
		p.m.Run(p.m.Now + second)
		sum := 0
		for _, n := range p.m.Nodes {
			sum += int(n.Bytes)
		}
		a := float64(sum-p.sent) / float64(len(p.m.Nodes))
		p.sent = sum
		worst = max(worst, a)
		mean += a / float64(count)
	}
	return worst, mean
}

// event does something, and takes its worst second and the time until the last view that it changed.
func (p *virtualPlay) event(known, bytes string, length int, do func()) {
	from := p.m.Now
	do()
	p.figures[bytes+"_bytes"], p.figures[bytes+"_mean"] = p.seconds(length)
	last, up, hash, size := int64(0), 0, uint64(0), 0
	for _, n := range p.m.Nodes {
		if n.Up {
			up++
		}
	}
	for _, n := range p.m.Nodes {
		if !n.Up || len(n.Changes) == 0 {
			p.apart = p.apart || n.Up && up > 1
			continue
		}
		c := n.Changes[len(n.Changes)-1]
		if size != 0 && (c.Hash != hash || c.Size != size) || c.Size != up {
			p.apart = true
		}
		hash = c.Hash
		size = c.Size
		last = max(last, c.At)
	}
	if known != "" {
		p.figures[known+"_s"] = math.Max(0, float64(last-from)/1e9)
	}
	p.seconds(calmVirtual)
}
