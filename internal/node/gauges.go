package node

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

const (
	gaugesLeadTime = 5 * ms   // ns from the request of gauges to the controller's tick that uses them: a round trip
	maxGaugesAge   = 500 * ms // ns, the period over which the executor measures
)

// gauges holds the executor's last measurement of its cores.
type gauges struct {
	requestAt       int64 // time of the next request
	receivedAt      int64 // far in the past before the first measurement
	busyShare       float64
	runnableThreads float64
}

func newGauges() gauges { return gauges{requestAt: never, receivedAt: math.MinInt64 / 2} }

// age returns the time since the last measurement, or -1 before the first.
func (g *gauges) age(now int64) int64 {
	if g.receivedAt < 0 {
		return -1
	}
	return now - g.receivedAt
}

// loadEvent returns a tick for the controller with the last measurement, or with -1 for its values if that is too old.
func (g *gauges) loadEvent(now int64) admission.Event {
	if now-g.receivedAt > maxGaugesAge {
		return admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
	}
	return admission.Event{Kind: admission.TimerFired, BusyShare: g.busyShare, RunnableThreads: g.runnableThreads}
}

// parse stores the gauges that the controller uses, out of all that the executor sent.
func (g *gauges) parse(names, values []string) error {
	for k, name := range names {
		value, err := strconv.ParseFloat(values[k], 64)
		if err != nil {
			return fmt.Errorf("gauge %s: %w", name, err)
		}
		switch name {
		case "cpu_busy":
			g.busyShare = value
		case "runnable":
			g.runnableThreads = value
		}
	}
	return nil
}

// gaugesAge returns the age of the last measurement, or -1 before the first.
func (x *executorState) gaugesAge() int64 { return x.gauges.age(x.sm.now) }

// tick returns the event for the controller's timer, with the last measurement.
func (x *executorState) tick() admission.Event { return x.gauges.loadEvent(x.sm.now) }

// scheduleGauges schedules a request for gauges such that the answer arrives just before the controller's tick at timerAt.
func (x *executorState) scheduleGauges(timerAt int64) { x.gauges.requestAt = timerAt - gaugesLeadTime }

func (x *executorState) requestGaugesIfDue() {
	if x.isWelcomed() && x.sm.now >= x.gauges.requestAt {
		x.gauges.requestAt = never
		x.requestGauges()
	}
}

// requestGauges requests gauges. A link is synced when the executor has answered the request with the sync tag that follows
// its welcome; until then commands wait. On a link that isn't synced, requestGauges repeats that request, since commands
// would wait forever if the executor had refused it. On a synced link the tag is the number of the last command, so that
// the answer proves that the executor has read it.
func (x *executorState) requestGauges() {
	tag := x.syncTag()
	if x.synced {
		tag = "m" + strconv.Itoa(x.commands.sequence)
		x.commands.gaugesRequestSequence = x.commands.sequence
	}
	x.send("METER", tag)
}

// requestAcknowledgement requests gauges after new commands, whose answer acknowledges them. When a link breaks, all
// unacknowledged commands are sent again, and these are then only those of the last round trip. The fewer the better: if
// the reply to a call is sent twice, the executor may take the second for the reply to the run's next call.
func (x *executorState) requestAcknowledgement() {
	if x.synced && x.commands.sequence > x.commands.gaugesRequestSequence {
		x.requestGauges()
	}
}

// gaugesReceived passes a measurement to the controller as a tick, even though no timer has fired. The tag tells which
// commands the executor has read, or that the link is synced.
func (x *executorState) gaugesReceived(tag string, values []string) error {
	sm := x.sm
	if err := x.gauges.parse(sm.config.Gauges, values); err != nil {
		return err
	}
	x.gauges.receivedAt = sm.now
	if sm.controller != nil && x.synced {
		sm.events = append(sm.events, x.gauges.loadEvent(sm.now))
	}
	if tag == x.syncTag() && !x.synced {
		x.synced = true
		x.commands.gaugesRequestSequence = 0
		x.resendCommands()
		return nil
	}
	number, isSequence := strings.CutPrefix(tag, "m")
	if sequence, err := strconv.Atoi(number); isSequence && err == nil {
		x.redialBackoff = minRedialBackoff // the link has carried commands, so that a redial may be quick
		x.commands.acknowledgeUpTo(sequence)
	}
	return nil
}
