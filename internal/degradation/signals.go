package degradation

import "topazpost/internal/admission"

// Signal names something that a node measures of itself.
type Signal uint8

// The signals. Load is core time demanded over what the cores have, were the level before in force: it does not fall because a level
// is in force, so that the relief that a level brings never ends it.
const (
	Load          Signal = iota // at the level before, as a part of all cores
	QueueWait                   // until the queue would be empty, over the shortest latency objective
	QueueingDelay               // of recent arrivals before they were read, over the same
	CallWait                    // that a run waits for its call to be made, over the same
	Rejected                    // part of recent arrivals that were rejected under pressure, those of a level apart
	Memory                      // part of the memory that is in use by queue and runs
	SignalCount                 // number of signals
)

// SignalNames are the names of the signals in plans and logs.
var SignalNames = [SignalCount]string{"load", "wait", "lag", "calls", "throttled", "memory"}

// measureLoads computes the load at each level.
func (c *Controller) measureLoads(m *admission.LoadMetrics) {
	for level := range c.loads {
		sum := m.OverheadShare
		for op, demand := range m.DemandByOperation {
			if level > 0 {
				demand *= c.plan.Levels[level-1].Services[op].ServedWorkShare()
			}
			sum += demand
		}
		c.loads[level] = sum
	}
}

// signalValue is a signal as a level from 1 on sees it.
func (c *Controller) signalValue(signal Signal, level int, m *admission.LoadMetrics) float64 {
	switch signal {
	case QueueWait:
		return m.QueueWait
	case QueueingDelay:
		return m.QueueingDelay
	case CallWait:
		return m.CallWait
	case Rejected:
		return m.RejectedShare
	case Memory:
		return m.MemoryShare
	default:
		return c.loads[level-1]
	}
}
