package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

// unknownGauge is the value of a gauge that was not reported.
const unknownGauge = -1

// DecodeEvent decodes one event of this instance; live is false for one that names an id no longer live.
func (c *InstanceCodec) DecodeEvent(line []string) (e admission.Event, live bool, err error) {
	f := newFieldReader(line)
	switch f.message {
	case arrivalMessage:
		c.decodeArrival(f, &e)
		return e, f.err == nil, f.err
	case drainMessage:
		e = admission.Event{Kind: admission.DrainRequested, KillAt: f.requiredTime()}
		return e, f.err == nil, f.err
	case timerMessage:
		f.id() // of the timer
		e = admission.Event{Kind: admission.TimerFired, BusyShare: unknownGauge, RunnableThreads: unknownGauge}
		c.decodeGauges(f, &e)
		return e, f.err == nil, f.err
	case disconnectedMessage:
		e.Kind = admission.CallerDisconnected
	case callRequestMessage:
		e.Kind = admission.CallRequested
	case callEndedMessage:
		e.Kind = admission.CallEnded
	case runEndedMessage:
		e.Kind = admission.RunEnded
	default:
		return e, false, fmt.Errorf("ember: unknown event %q", f.message)
	}
	index, known := c.indices[f.id()]
	e.Invocation = index
	if e.Kind == admission.CallEnded || e.Kind == admission.RunEnded {
		e.Outcome = f.outcome()
	}
	return e, known && f.err == nil, f.err
}

func (c *InstanceCodec) decodeArrival(f *fieldReader, e *admission.Event) {
	id := f.id()
	e.Kind = admission.Arrived
	e.Deadline = f.nanoseconds()
	e.Age = f.nanoseconds()
	f.float() // the rank, which callers go by
	e.Caller = int64(f.unsigned())
	e.HasReadKey = f.set()
	f.next()
	flags := f.unsigned()
	e.Retry = flags&retryFlag != 0
	e.Write = flags&writeFlag != 0
	original := f.unsigned()
	operation := f.next()
	tenant := f.next()
	expectedWork := f.nanoseconds()
	if flags&expectedWorkFlag != 0 {
		e.ExpectedWork = expectedWork
	}
	e.QueuedKB = f.float()
	operationIndex, known := c.config.Operations.Lookup(operation)
	if !known {
		f.fail(operation)
	}
	e.OperationIndex = operationIndex
	e.Tenant = -1
	if index, known := c.config.Tenants.Lookup(tenant); known {
		e.Tenant = index
	}
	e.Original = admission.NoOriginal
	if f.err != nil {
		return
	}
	if original != 0 {
		e.Original = c.originalIndex(original)
	}
	e.Invocation = c.assignIndex(id)
}

// originalIndex returns the index of the invocation that an arrival repeats.
func (c *InstanceCodec) originalIndex(id uint64) int32 {
	if index, live := c.indices[id]; live {
		return index
	}
	return admission.OriginalEnded
}

func (c *InstanceCodec) decodeGauges(f *fieldReader, e *admission.Event) {
	row := f.next()
	if row == noValue || row == "" {
		return
	}
	for i, value := range strings.Split(row, ",") {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.fail(value)
			return
		}
		if i >= len(c.config.Gauges) {
			return
		}
		switch c.config.Gauges[i] {
		case busyShareGauge:
			e.BusyShare = n
		case runnableThreadsGauge:
			e.RunnableThreads = n
		}
	}
}
