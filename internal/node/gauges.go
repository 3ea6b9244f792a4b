package node

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

const (
	gaugesLeadTime = 5 * ms   // ns before a timer of the controller at which gauges are requested: a round trip
	maxGaugesAge   = 500 * ms // ns; the span over which they are taken
)

// gauges is the last measurement of the cores that the executor sent.
type gauges struct {
	requestAt       int64 // when the next are requested
	receivedAt      int64 // negative before the first
	busyShare       float64
	runnableThreads float64
}

func newGauges() gauges { return gauges{requestAt: never, receivedAt: math.MinInt64 / 2} }

// age is the time since the last measurement, or -1 before the first.
func (g *gauges) age(now int64) int64 {
	if g.receivedAt < 0 {
		return -1
	}
	return now - g.receivedAt
}

// event is a tick of the controller with the last measurement, unless that is too old.
func (g *gauges) event(now int64) admission.Event {
	if now-g.receivedAt > maxGaugesAge {
		return admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
	}
	return admission.Event{Kind: admission.TimerFired, BusyShare: g.busyShare, RunnableThreads: g.runnableThreads}
}

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

// gaugesAge is the age of the last measurement, or -1 before the first.
func (x *executorState) gaugesAge() int64 { return x.gauges.age(x.sm.now) }

// tick is a tick of the controller with the last measurement.
func (x *executorState) tick() admission.Event { return x.gauges.event(x.sm.now) }

// scheduleGauges has gauges requested so that they are fresh at a timer of the controller.
func (x *executorState) scheduleGauges(timerAt int64) { x.gauges.requestAt = timerAt - gaugesLeadTime }

func (x *executorState) requestGaugesIfDue() {
	if x.isWelcomed() && x.sm.now >= x.gauges.requestAt {
		x.gauges.requestAt = never
		x.requestGauges()
	}
}

// requestGauges requests gauges under the number of the last command: the answer proves that it was read. Until the
// missed notices were all received it repeats the request for the sync: one that is refused would block all commands.
func (x *executorState) requestGauges() {
	tag := x.syncTag()
	if x.synced {
		tag = "m" + strconv.Itoa(x.commands.sequence)
		x.commands.gaugesRequestSequence = x.commands.sequence
	}
	x.send("METER", tag)
}

// requestAcknowledgement requests gauges after new commands, so that only those of the last round trip are in doubt when
// a link breaks. A reply to a call that is sent twice would otherwise be taken for the reply to the run's next call.
func (x *executorState) requestAcknowledgement() {
	if x.synced && x.commands.sequence > x.commands.gaugesRequestSequence {
		x.requestGauges()
	}
}

// gaugesReceived passes a measurement on to the controller. Its tag proves what the executor had read before, or that the
// link is synced.
func (x *executorState) gaugesReceived(tag string, values []string) error {
	sm := x.sm
	if err := x.gauges.parse(sm.config.Gauges, values); err != nil {
		return err
	}
	x.gauges.receivedAt = sm.now
	if sm.controller != nil && x.synced {
		sm.events = append(sm.events, x.gauges.event(sm.now))
	}
	if tag == x.syncTag() && !x.synced {
		x.synced = true
		x.commands.gaugesRequestSequence = 0
		x.resendCommands()
		return nil
	}
	number, isSequence := strings.CutPrefix(tag, "m")
	if sequence, err := strconv.Atoi(number); isSequence && err == nil {
		x.redialBackoff = minRedialBackoff // the link has lived for some ticks
		x.commands.acknowledgeUpTo(sequence)
	}
	return nil
}
