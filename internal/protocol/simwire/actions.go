package simwire

import (
	"strconv"

	"topazpost/internal/admission"
)

// AppendActions encodes the actions of this instance behind a reply and makes the released indices available.
func (c *InstanceCodec) AppendActions(reply []byte, actions []admission.Action) []byte {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case admission.Release:
			c.releaseIndex(a.Invocation)
			continue
		case admission.StopAccepting: // the simulator takes draining nodes off the endpoint lists itself
			continue
		}
		reply = append(c.appendAction(reply, a), '\n')
	}
	return reply
}

func (c *InstanceCodec) appendAction(reply []byte, a *admission.Action) []byte {
	switch a.Kind {
	case admission.Run:
		return c.appendWithID(reply, runMessage, a)
	case admission.Reject:
		reply = c.appendWithID(reply, rejectMessage, a)
		reply = appendMillis(append(reply, separator...), a.Duration)
		return appendFlag(append(reply, separator...), a.NoRetry)
	case admission.Fail:
		return c.appendWithID(reply, failMessage, a)
	case admission.Stop:
		return c.appendWithID(reply, stopMessage, a)
	case admission.JoinOriginal:
		return c.appendWithID(reply, joinOriginalMessage, a)
	case admission.RecordKey:
		reply = c.appendWithID(reply, recordKeyMessage, a)
		return appendMillis(append(reply, separator...), a.Duration)
	case admission.StartCall:
		reply = c.appendWithID(reply, startCallMessage, a)
		return appendMillis(append(reply, separator...), a.At)
	case admission.SkipCall:
		return c.appendWithID(reply, skipCallMessage, a)
	case admission.ReportHealth:
		reply = appendFlag(appendMessage(reply, reportHealthMessage), a.Healthy)
		return appendFlag(append(reply, separator...), a.Cached)
	case admission.SignalBackpressure:
		return strconv.AppendFloat(appendMessage(reply, backpressureMessage), a.Value, 'f', -1, 64)
	case admission.SetTimer:
		reply = appendMillis(appendMessage(reply, setTimerMessage), a.At)
		return append(reply, separator+"0"...) // the id of the only timer
	case admission.Exit:
		return append(appendMessage(reply, exitMessage), a.Report...)
	}
	return reply
}

// appendMessage appends the name of a message that has fields.
func appendMessage(reply []byte, message string) []byte {
	reply = append(reply, message...)
	return append(reply, separator...)
}

// appendWithID appends a message whose first field is the wire id of the action's invocation.
func (c *InstanceCodec) appendWithID(reply []byte, message string, a *admission.Action) []byte {
	return strconv.AppendUint(appendMessage(reply, message), c.wireIDs[a.Invocation], 10)
}

// appendMillis appends nanoseconds as milliseconds, cut to the microseconds that the wire counts in.
func appendMillis(reply []byte, ns int64) []byte {
	return strconv.AppendFloat(reply, float64(ns/1e3)/1e3, 'f', -1, 64)
}

func appendFlag(reply []byte, set bool) []byte {
	if set {
		return append(reply, '1')
	}
	return append(reply, '0')
}
