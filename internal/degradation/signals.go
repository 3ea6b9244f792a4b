package degradation

import "topazpost/internal/admission"

// Signal identifies a load metric of the node that conditions of a plan can limit.
type Signal uint8

// The signals. The conditions of a level compare the load that the node would have without it, at the next milder level. This load does
// not fall when the level reduces work, so that a level does not end merely because it is effective.
const (
	Load          Signal = iota // core time demanded at the next milder level, as a share of all cores
	QueueWait                   // time until the queue would be empty, divided by the shortest latency objective
	QueueingDelay               // delay of recent arrivals before they were read, divided by the shortest latency objective
	CallWait                    // time that a run waits until its call starts, divided by the shortest latency objective
	Rejected                    // share of recent arrivals that were rejected under pressure, without those that a level sheds
	Memory                      // share of the memory that queue and runs use
	SignalCount                 // number of signals
)

// SignalNames holds the name of each signal in plans and logs.
var SignalNames = [SignalCount]string{"load", "wait", "lag", "calls", "throttled", "memory"}

// computeLoads computes the load that the node would have at each level, from the demand of each operation at full service.
func (c *Controller) computeLoads(m *admission.LoadMetrics) {
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

// signalValue returns the value of a signal for a level above full service. Only the load depends on the level:
// it is the load at the next milder level.
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
