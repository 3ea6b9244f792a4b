package node

import (
	"cmp"
	"errors"
	"fmt"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
)

// maxOpenStreams limits the unanswered streams of a connection.
const maxOpenStreams = 32

// Errors of frames and invocations that can't be used. A connection is broken, and not read any further, after a frame that can't
// be used or too many such invocations. The dispatcher is sent the error that broke its connection, so the texts marked "sent" are
// part of the protocol.
var (
	errInvalidField     = errors.New("missing or malformed")
	errBodyTooLarge     = errors.New("body too large")
	errStreamOrder      = errors.New("stream out of order")                     // sent
	errUnknownFrameType = errors.New("unknown type of frame")                   // sent
	errTooManyFaults    = errors.New("too many invocations that can't be used") // sent
	errTooManyStreams   = errors.New("too many open streams on one connection")
)

// frameReceived handles a frame on a dispatcher's connection.
func (sm *StateMachine) frameReceived(c *connection, f *frame.Frame) {
	switch f.Type {
	case frame.Invocation:
		sm.invocationReceived(c, f)
	case frame.Cancel:
		if i, open := c.openStreams[f.Stream]; open {
			delete(c.openStreams, f.Stream)
			sm.streamEnded(c.link, f.Stream, i)
			sm.connections.released(c)
		}
	case frame.HealthCheck:
		sm.health.received(c, f)
	default:
		sm.connections.markBroken(c, fmt.Errorf("%w: %d", errUnknownFrameType, f.Type))
	}
}

// streamEnded handles the end of a stream whose caller expects no answer any more.
func (sm *StateMachine) streamEnded(link int, stream uint32, i int32) {
	if i == settlingInvocation {
		sm.dropRefusal(link, stream)
		return
	}
	sm.callerDisconnected(i)
}

// invocationReceived submits an invocation to the admission controller, or answers it at once where it can't be used or the
// node can't take it now.
func (sm *StateMachine) invocationReceived(c *connection, f *frame.Frame) {
	if c.broken {
		sm.failOnBrokenConnection(c, f)
		return
	}
	if f.Stream <= c.lastStream {
		sm.connections.markBroken(c, fmt.Errorf("%w: %d after %d", errStreamOrder, f.Stream, c.lastStream))
		return
	}
	c.lastStream = f.Stream
	sm.Counters.Invocations++
	if sm.startup.awaitsConfig() { // it may be of an operation that this node does not know yet
		c.markUsed(sm.now)
		sm.throttleOnArrival(c.link, f.Stream)
		return
	}
	v := invocation{live: true, connectionLink: c.link, stream: f.Stream}
	e := admission.Event{Kind: admission.Arrived, Tenant: -1, Original: admission.NoOriginal}
	if err := sm.validateInvocation(c, f, &v, &e); err != nil {
		sm.failUnusable(c, &v, err)
		return
	}
	c.markUsed(sm.now)
	if sm.mustThrottleToken(&v) || sm.controller == nil || sm.awaitingRecovery(&v) {
		sm.throttleOnArrival(c.link, f.Stream)
		return
	}
	sm.connections.resume(c)
	v.operationIndex = e.OperationIndex
	v.tenant = e.Tenant
	e.Invocation = sm.addInvocation(v)
	if v.tokenKey.Token != "" {
		added := &sm.invocations[e.Invocation]
		added.arrivalEvent = e
		added.arrivedAt = sm.now
		added.deadline = cmp.Or(e.Deadline, sm.now-e.Age+sm.config.Node.Operations[e.OperationIndex].ClientTimeout)
		sm.addOriginal(e.Invocation, e.Original)
	}
	c.openStreams[f.Stream] = e.Invocation
	sm.events = append(sm.events, e)
}

// validateInvocation decodes an invocation into v and e, and checks that it can be accepted.
func (sm *StateMachine) validateInvocation(c *connection, f *frame.Frame, v *invocation, e *admission.Event) error {
	if err := sm.decodeInvocation(f, v, e); err != nil {
		return err
	}
	if err := sm.findOriginal(v, e); err != nil {
		return err
	}
	if sm.isRetired(e) {
		return errRetired
	}
	if len(c.openStreams) >= maxOpenStreams {
		return errTooManyStreams
	}
	return nil
}

// failUnusable answers an invocation that is malformed or can't be accepted with an error, and counts a fault of its connection. A retired
// operation or tenant is no fault: callers learn of configuration changes late.
func (sm *StateMachine) failUnusable(c *connection, v *invocation, err error) {
	sm.Counters.InvalidInvocations++
	sm.Counters.Errored++
	sm.log(Warn, "invocation can't be used; answered with an error", v.invocationID, err)
	sm.sendFrame(c.link, v.stream, frame.Errored, nil, nil)
	if !errors.Is(err, errRetired) {
		sm.connections.countFault(c)
	}
}

// failOnBrokenConnection answers an invocation that follows a malformed frame with an error. The bytes may not be an
// invocation at all, so the node can't answer with a throttle, which promises that the invocation has never run.
func (sm *StateMachine) failOnBrokenConnection(c *connection, f *frame.Frame) {
	if f.Stream <= c.lastStream {
		return
	}
	c.lastStream = f.Stream
	sm.Counters.Invocations++
	sm.Counters.Errored++
	sm.sendFrame(c.link, f.Stream, frame.Errored, nil, nil)
}

// sendFrame sends an answer with the current backpressure signal.
func (sm *StateMachine) sendFrame(link int, stream uint32, code byte, fields []frame.Field, body []byte) {
	head := frame.AppendHeader(nil, frame.Answer, stream, code, sm.withBackpressure(fields), len(body))
	sm.emit(Effect{Kind: SendToConnection, Link: link, Bytes: append(head, body...)})
}

// withBackpressure returns the fields with the backpressure signal appended, where there is one.
func (sm *StateMachine) withBackpressure(fields []frame.Field) []frame.Field {
	if sm.backpressure != "" {
		fields = append(fields, frame.Field{Name: "load", Value: sm.backpressure})
	}
	return fields
}
