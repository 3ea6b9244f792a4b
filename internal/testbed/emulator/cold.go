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
	looks  []float64 // areas at the looks of the last span
	next   int
}

func (c *callMeter) count(now int64, by int) {
	c.area += float64(c.inHand) * float64(now-c.at)
	c.at, c.inHand = now, c.inHand+by
}

func (c *callMeter) mean(now int64) float64 {
	c.count(now, 0)
	k := c.next % len(c.looks)
	mean := (c.area - c.looks[k]) / float64(int64(len(c.looks))*sampled)
	c.looks[k], c.next = c.area, c.next+1
	return mean
}

// giveUpCall ends a call that nobody waits for any more; it stays in the ledger's hands for a while, without a slot.
func (m *machine) giveUpCall(a *attempt) {
	if m.ledger.Cancel(a.call) {
		m.After(linger, func() { m.calls.count(m.Now, -1) })
	}
}

// warmth is the part of its full speed that the machine has now.
func (m *machine) warmth() float64 {
	if !m.cold {
		return 1
	}
	return min(1, m.model.ColdFrom+(1-m.model.ColdFrom)*float64(m.Now-m.born)/float64(max(1, m.model.WarmAfter)))
}

// sending is a try that came to a cold machine.
type sending struct {
	at   int64
	told bool // its dispatcher heeds what nodes say and bears in mind what this one said in this life
}

// notePressure sums what all dispatchers sent to a cold machine within the time of a mean. What it may get then is the
// requests of mean work that it can do at its present warmth, and chance.
func (m *machine) notePressure(a *attempt) {
	if !m.cold || m.warmth() >= 1 {
		return
	}
	h := &a.by.heard[m.index]
	m.sent = append(m.sent, sending{m.Now, a.by.habit.Heeds && h.life == m.life && m.Now-h.said < heeded})
	m.sent = slices.DeleteFunc(m.sent, func(s sending) bool { return m.Now-s.at > crowdOf*sampled })
	told := 0.0
	for _, s := range m.sent {
		if s.told {
			told++
		}
	}
	may := m.warmth() * m.model.Speed * float64(m.model.Cores) * float64(crowdOf*sampled) / (m.mean * (1 + m.day.Reading))
	may += Chance(may)
	sent := float64(len(m.sent))
	m.total.MostSent = max(m.total.MostSent, sent/may)
	if told > sent*2/3 {
		m.total.MostTold = max(m.total.MostTold, sent/may)
	}
}
