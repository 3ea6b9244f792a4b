package node

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
)

const (
	maxOpenStreams = 32 // invocations that may be open on one connection
)

// What makes an invocation's fields unusable.
var (
	errField         = errors.New("missing or malformed")
	errBodyTooLarge  = errors.New("the body is too large")
	errStreamOrder   = errors.New("stream out of order")
	errFrameType     = errors.New("unknown type of frame")
	errTooManyFaults = errors.New("too many invocations that can't be used")
)

func (sm *StateMachine) applyDispatcherInput(in *Input, c *connection) {
	switch in.Kind {
	case ConnectionClosed:
		delete(sm.connections, in.Link)
		sm.cancelCheck(c)
		for _, stream := range slices.Sorted(maps.Keys(c.openStreams)) {
			sm.callerDisconnected(c.openStreams[stream])
		}
		return
	case FrameMalformed:
		sm.connectionBroken(in.Link, c, in.Err)
		return
	}
	switch f := &in.Frame; f.Type {
	case frame.Invocation:
		sm.invocationReceived(in.Link, c, f)
	case frame.Gone:
		if i, open := c.openStreams[f.Stream]; open {
			delete(c.openStreams, f.Stream)
			sm.callerDisconnected(i)
			sm.releaseIfIdle(in.Link, c)
		}
	case frame.Check:
		sm.healthCheckReceived(in.Link, c, f)
	default:
		sm.connectionBroken(in.Link, c, fmt.Errorf("%w: %d", errFrameType, f.Type))
	}
}

// invocationReceived takes an invocation in, or answers at once one that can't be used. Where its connection can't be understood
// any more it is errored unrun: it may be no invocation at all, and a throttle would say that it never ran before.
func (sm *StateMachine) invocationReceived(link int, c *connection, f *frame.Frame) {
	if c.broken {
		if f.Stream > c.lastStream {
			c.lastStream = f.Stream
			sm.Counters.Invocations++
			sm.Counters.Errored++
			sm.sendFrame(link, f.Stream, frame.Errored, nil, nil)
		}
		return
	}
	if f.Stream <= c.lastStream {
		sm.connectionBroken(link, c, fmt.Errorf("%w: %d after %d", errStreamOrder, f.Stream, c.lastStream))
		return
	}
	c.lastStream = f.Stream
	sm.Counters.Invocations++
	v := invocation{live: true, connection: link, stream: f.Stream}
	e := admission.Event{Kind: admission.Arrived, Tenant: -1, Original: admission.NoOriginal}
	err := sm.decodeInvocation(f, &v, &e)
	if err == nil {
		err = sm.findOriginal(&v, &e)
	}
	if err == nil && sm.isRetired(&e) {
		err = errRetired
	}
	if err == nil && len(c.openStreams) >= maxOpenStreams {
		err = errors.New("too many streams are open")
	}
	if err != nil {
		sm.Counters.BrokenInvocations++
		sm.Counters.Errored++
		sm.log(Warn, "invocation can't be used", v.call, err)
		sm.sendFrame(link, f.Stream, frame.Errored, nil, nil)
		if err != errRetired { // callers hear of a change as late as they do
			sm.countFault(link, c)
		}
		return
	}
	c.usable, c.lastUsedAt = true, sm.now
	if sm.isUnclaimed(&v) {
		sm.rejectUnread(link, f.Stream)
		return
	}
	if sm.controller == nil || sm.awaitingRecovery(&v) {
		sm.rejectUnread(link, f.Stream)
		return
	}
	sm.resumeConnection(link, c)
	v.operation, v.tenant = e.OperationIndex, e.Tenant
	e.Invocation = sm.addInvocation(v)
	if v.tokenKey.Token != "" {
		sm.invocations[e.Invocation].arrival, sm.invocations[e.Invocation].arrivedAt = e, sm.now
		sm.invocations[e.Invocation].deadline = cmp.Or(e.Deadline, sm.now-e.Age+sm.config.Node.Operations[e.OperationIndex].ClientTimeout)
		sm.deferInvocation(e.Invocation, e.Original)
	}
	c.openStreams[f.Stream] = e.Invocation
	sm.events = append(sm.events, e)
}

func (sm *StateMachine) sendFrame(link int, stream uint32, code byte, fields []frame.Field, body []byte) {
	head := frame.Head(nil, frame.Answer, stream, code, sm.withBackpressure(fields), len(body))
	sm.emit(Effect{Kind: SendToConnection, Link: link, Bytes: append(head, body...)})
}

// withBackpressure adds the free value to an answer's fields.
func (sm *StateMachine) withBackpressure(fields []frame.Field) []frame.Field {
	if sm.backpressure != "" {
		fields = append(fields, frame.Field{Name: "load", Value: sm.backpressure})
	}
	return fields
}
