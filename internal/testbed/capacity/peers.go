package capacity

import (
	"context"
	"errors"
	"io"
	"math"
	"time"

	"topazpost/internal/testbed/hollow"
)

const (
	joinTimeout       = 240 * time.Second // for all to be in one view
	maxJoiningAtOnce  = 600               // nodes that join at once; more are started over joinOver, as one machine can't carry the square
	joinOver          = 60 * time.Second
	agreeTimeout      = 90 * time.Second // for all to know of one change
	quietDuration     = 6 * time.Second  // between what is measured
	aftermathDuration = 4 * time.Second  // past the last that knew, in which traffic is still of the change
	restDuration      = 12 * time.Second // of an idle fleet
	restShort         = 4 * time.Second
	rollNodes         = 300               // of the fleet whose restarts a day are climbed
	rollDuration      = 30 * time.Second  // of them
	calmTimeout       = 120 * time.Second // for the traffic to come to rest
	calmSeconds       = 4                 // in a row that differ by no more than calmPart
	calmPart          = 1.3
	calmBytes         = 64 // of a datagram in the mean, at the most: a ping or an ack has some 40, one with a record 130 and more
)

var errApart = errors.New("the nodes did not come to one view in time")

// peered are the ladders of what nodes do among themselves, on hollow nodes.
func peered() []*Quantity {
	return []*Quantity{
		{Name: "nodes", Title: "Nodes of one fleet, hollow", Unit: "nodes", Wanted: WantedNodes, Ladder: []float64{50, 150, 300, 600, 1_300},
			Short: []float64{24, 48, 96}, Measures: []Measure{
				{"joined_s", "a herd joins, s until one view", false},
				{"herd_bytes", "its worst second, bytes a node", true},
				{"calm", "came to rest: 1, or not: 0", false},
				{"idle_bytes", "idle, bytes a second and node", true},
				{"idle_messages", "messages", true},
				{"idle_cpu", "idle, ms of processor a second and node", true},
				{"rss_mb", "resident MB a node", true},
				{"peak_mb", "peak MB a node", false},
				{"killed_s", "a node is killed, s until all know", false},
				{"killed_bytes", "worst second, bytes a node", true},
				{"restarted_s", "a node is restarted, s until one view", false},
				{"restarted_bytes", "bytes a node for it, over idle", true},
				{"restarted_worst_bytes", "worst second, bytes a node", true},
				{"late_s", "latest line of figures, s", false},
			}, climb: func(b *Bench, x float64) (map[string]float64, error) { return b.gathered(int(x)) }},
		{Name: "restarts", Title: "Restarts a day, of 300 nodes", Unit: "restarts a day", Wanted: WantedRestarts, Ladder: []float64{0, 8_640, 17_280, 43_200},
			Short: nil, Measures: []Measure{
				{"done", "restarted in the play", false},
				{"bytes", "bytes a second and node", true},
				{"worst_bytes", "worst second, bytes a node", false},
				{"messages", "messages a second and node", true},
				{"cpu", "ms of processor a second and node", true},
				{"agreed_s", "s from the last until one view", false},
			}, climb: func(b *Bench, x float64) (map[string]float64, error) { return b.rolled(x) }},
	}
}

// span is what seconds of a fleet come to, for each node.
type span struct {
	bytes, messages, cpu, worst, rss, peak, late float64 // a second and node; MB a node; s
	seconds                                      int
}

func spanOf(list []hollow.Second, from, to time.Time) (s span) {
	for _, x := range list {
		if x.Unix <= from.Unix() || x.Unix > to.Unix() || x.Nodes == 0 {
			continue
		}
		s.seconds++
		n := float64(x.Nodes)
		var sent, messages int64
		for _, t := range x.Sent {
			sent += t.Bytes
			messages += t.Messages
		}
		s.bytes += float64(sent) / n
		s.worst = max(s.worst, float64(sent)/n)
		s.messages += float64(messages) / n
		s.cpu += x.CPU * 1e3 / n
		s.rss = float64(x.RSS) / n / (1 << 20)
		s.peak = max(s.peak, float64(x.Peak)/n/(1<<20))
		s.late = max(s.late, x.Late)
	}
	if s.seconds > 0 {
		s.bytes = s.bytes / float64(s.seconds)
		s.messages = s.messages / float64(s.seconds)
		s.cpu = s.cpu / float64(s.seconds)
	}
	return s
}

func (b *Bench) fleet(ctx context.Context, nodes int) (*hollow.Fleet, error) {
	o := hollow.Options{Nodes: nodes, Seed: b.Seed, Fleet: map[string]any{"members": 1_500}, Log: io.Discard}
	if nodes > maxJoiningAtOnce {
		o.JoinOver = joinOver
	}
	return hollow.Start(ctx, b.Lab, o)
}

// calm waits until a fleet is at rest, and says 1. Where it gets too little of the machine, links are lost and found again
// without end: then 0.
func calm(f *hollow.Fleet) float64 {
	for end := time.Now().Add(calmTimeout); time.Now().Before(end); time.Sleep(time.Second) {
		if atRest(f.Sample()) {
			return 1
		}
	}
	return 0
}

// atRest says whether the traffic of the last seconds no longer falls and is no news. What a herd of joins brings goes on for a
// while after all have one view, and stays level where the machine can carry no more of it.
func atRest(list []hollow.Second) bool {
	if len(list) < calmSeconds {
		return false
	}
	least, most := math.Inf(1), 0.0
	for _, x := range list[len(list)-calmSeconds:] {
		sent := int64(0)
		for _, t := range x.Sent {
			sent += t.Bytes
		}
		least = min(least, float64(sent))
		most = max(most, float64(sent))
		if t := x.Sent[hollow.KindNames[hollow.Datagram]]; t.Bytes > calmBytes*t.Messages {
			return false
		}
	}
	return most <= calmPart*least
}

// gathered starts a fleet, lets it rest, kills one node and starts it again, and restarts another.
func (b *Bench) gathered(nodes int) (map[string]float64, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	began := time.Now()
	f, err := b.fleet(ctx, nodes)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	at, agreed := f.Agreed(joinTimeout, 0)
	if !agreed {
		return nil, errors.Join(errApart, f.Err())
	}
	m := map[string]float64{}
	joined := time.Now()
	rest, quiet, after := restDuration, quietDuration, aftermathDuration
	if b.Brief {
		rest = restShort
		quiet = restShort / 2
		after = restShort / 2
	}
	time.Sleep(quiet)
	if !b.Brief { // else nothing is asserted of how much it sends at rest
		m["calm"] = calm(f)
	}
	idleFrom := time.Now()
	time.Sleep(rest)
	idleTo := time.Now()
	victim := nodes / 2
	f.Kill(victim)
	lost, agreed := f.Agreed(agreeTimeout, 0)
	if !agreed {
		return nil, errors.Join(errApart, f.Err())
	}
	m["killed_s"] = lost.Sub(idleTo).Seconds()
	time.Sleep(after)
	killedTo := time.Now()
	f.Start(victim)
	if _, agreed = f.Agreed(agreeTimeout, 0); !agreed {
		return nil, errors.Join(errApart, f.Err())
	}
	time.Sleep(quiet)
	again := time.Now()
	f.Restart(victim + 1)
	time.Sleep(time.Second) // its drain, before which all still agree
	back, agreed := f.Agreed(agreeTimeout, 0)
	if !agreed {
		return nil, errors.Join(errApart, f.Err())
	}
	m["restarted_s"] = back.Sub(again).Seconds()
	time.Sleep(after)
	end := time.Now()
	list := f.Sample()
	idle, killed, restarted := spanOf(list, idleFrom, idleTo), spanOf(list, idleTo, killedTo), spanOf(list, again, end)
	if nodes <= maxJoiningAtOnce {
		m["joined_s"], m["herd_bytes"] = at.Sub(began).Seconds(), spanOf(list, began, joined.Add(time.Second)).worst
	}
	m["idle_bytes"] = idle.bytes
	m["idle_messages"] = idle.messages
	m["idle_cpu"] = idle.cpu
	m["rss_mb"] = idle.rss
	m["peak_mb"] = idle.peak
	m["killed_bytes"] = killed.worst
	m["restarted_worst_bytes"] = restarted.worst
	m["restarted_bytes"] = max(0, (restarted.bytes-idle.bytes)*float64(restarted.seconds))
	m["late_s"] = spanOf(list, began, end).late
	return m, f.Err()
}

// rolled restarts nodes one after the other at a pace.
func (b *Bench) rolled(aDay float64) (map[string]float64, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f, err := b.fleet(ctx, rollNodes)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if _, agreed := f.Agreed(joinTimeout, 0); !agreed {
		return nil, errors.Join(errApart, f.Err())
	}
	time.Sleep(quietDuration)
	from := time.Now()
	count := int(aDay / DaySeconds * rollDuration.Seconds())
	for n := range count {
		time.Sleep(time.Until(from.Add(time.Duration(n) * rollDuration / time.Duration(count))))
		f.Restart((n*37 + 5) % rollNodes) // neighbours by hash are drawn anew anyway
	}
	time.Sleep(time.Until(from.Add(rollDuration)))
	to := time.Now()
	at, agreed := f.Agreed(agreeTimeout, 0)
	if !agreed {
		return nil, errors.Join(errApart, f.Err())
	}
	s := spanOf(f.Sample(), from, to)
	return map[string]float64{"done": float64(count), "bytes": s.bytes, "worst_bytes": s.worst, "messages": s.messages, "cpu": s.cpu,
		"agreed_s": max(0, at.Sub(to).Seconds())}, f.Err()
}
