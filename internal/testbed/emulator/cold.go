package emulator

import (
	"math"
	"slices"
)

// What a fleet that starts again does to itself: calls of all nodes in the ledger's hands, and what all dispatchers send to
// a node whose machine is cold.

// Chance is what a sum of requests may exceed its budget by before the budget counts as broken, as the operators'
// standing test has it.
func Chance(budget float64) float64 { return 2*math.Sqrt(budget) + 2 }

// callMeter takes the mean of calls in the ledger's hands over a span, exactly, at each look.
type callMeter struct {
	inHand int
	at     int64
	area   float64   // calls times ns since the start
	areas  []float64 // areas at the looks of the last span
	next   int
}

func (c *callMeter) count(now int64, by int) {
	c.area += float64(c.inHand) * float64(now-c.at)
	c.at = now
	c.inHand = c.inHand + by
}

func (c *callMeter) mean(now int64) float64 {
	c.count(now, 0)
	k := c.next % len(c.areas)
	mean := (c.area - c.areas[k]) / float64(int64(len(c.areas))*sampleInterval)
	c.areas[k] = c.area
	c.next = c.next + 1
	return mean
}

// abandonCall ends a call that nobody waits for any more; it stays in the ledger's hands for a while, without a slot.
func (m *machine) abandonCall(a *attempt) {
	if m.ledger.Cancel(a.ledgerCall) {
		m.After(callLinger, func() { m.calls.count(m.Now, -1) })
	}
}

// warmupFraction is the part of its full speed that the machine has now.
func (m *machine) warmupFraction() float64 {
	if !m.cold {
		return 1
	}
	return min(1, m.model.ColdFrom+(1-m.model.ColdFrom)*float64(m.Now-m.startedAt)/float64(max(1, m.model.WarmAfter)))
}

// coldArrival is a try that came to a cold machine.
type coldArrival struct {
	at        int64
	signalled bool // its dispatcher heeds what nodes say and bears in mind what this one said in this life
}

// recordColdArrival sums what all dispatchers sent to a cold machine within the time of a mean. What it may get then is the
// requests of mean work that it can do at its present warmth, and chance.
func (m *machine) recordColdArrival(a *attempt) {
	if !m.cold || m.warmupFraction() >= 1 {
		return
	}
	h := &a.dispatcher.signals[m.index]
	m.coldArrivals = append(m.coldArrivals, coldArrival{m.Now, a.dispatcher.habit.Heeds && h.incarnation == m.incarnation && m.Now-h.receivedAt < signalLifetime})
	m.coldArrivals = slices.DeleteFunc(m.coldArrivals, func(s coldArrival) bool { return m.Now-s.at > crowdSamples*sampleInterval })
	signalled := 0.0
	for _, s := range m.coldArrivals {
		if s.signalled {
			signalled++
		}
	}
	may := m.warmupFraction() * m.model.Speed * float64(m.model.Cores) * float64(crowdSamples*sampleInterval) / (m.meanWork * (1 + m.day.Reading))
	may += Chance(may)
	sent := float64(len(m.coldArrivals))
	m.total.MostSent = max(m.total.MostSent, sent/may)
	if signalled > sent*2/3 {
		m.total.MostTold = max(m.total.MostTold, sent/may)
	}
}
