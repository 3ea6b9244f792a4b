package node

import (
	"maps"
	"slices"
	"strconv"

	"topazpost/internal/protocol/frame"
)

const (
	deepCheckTimeout = 900 * ms // ns; dispatchers wait little longer
	maxDeepChecks    = 32       // in progress at a time
)

// deepCheck is a health check that the executor works on.
type deepCheck struct {
	link     int
	stream   uint32
	deadline int64
}

// healthChecks answers the dispatchers' health checks.
type healthChecks struct {
	sm            *StateMachine
	healthy       bool                 // as the controller last reported
	cached        bool                 // deep checks are answered by that as well
	deepChecks    map[string]deepCheck // by tag
	lastTagNumber int                  // deep checks so far
}

// setHealth sets what the controller reports.
func (h *healthChecks) setHealth(healthy, cached bool) {
	h.healthy = healthy
	h.cached = cached
}

// isServing reports whether the node takes invocations and is healthy.
func (h *healthChecks) isServing() bool { return h.sm.controller != nil && h.healthy }

// received answers a health check, or passes a deep one to the executor.
func (h *healthChecks) received(c *connection, f *frame.Frame) {
	fields, _, err := frame.Fields(f.Payload)
	if err != nil || f.Oversized {
		h.sm.log(Warn, "health check can't be read", "", err)
	} else {
		c.markUsed(h.sm.now)
	}
	if isDeepCheck(fields) && h.canStartDeepCheck() {
		h.startDeepCheck(c, f.Stream)
		return
	}
	h.answer(c.link, f.Stream, h.isServing())
}

func isDeepCheck(fields []frame.Field) bool {
	return slices.ContainsFunc(fields, func(field frame.Field) bool { return field.Name == "e2e" && field.Value == "1" })
}

func (h *healthChecks) canStartDeepCheck() bool {
	return h.healthy && !h.cached && h.sm.config.Node.DeepHealthChecks && h.sm.executor.isConnected() && len(h.deepChecks) < maxDeepChecks
}

func (h *healthChecks) startDeepCheck(c *connection, stream uint32) {
	h.lastTagNumber++
	tag := "d" + strconv.Itoa(h.lastTagNumber)
	h.deepChecks[tag] = deepCheck{link: c.link, stream: stream, deadline: h.sm.now + deepCheckTimeout}
	c.pendingChecks++
	h.sm.connections.resume(c)
	h.sm.executor.send("DIAG", tag)
}

func (h *healthChecks) answer(link int, stream uint32, healthy bool) {
	code := byte(frame.Unhealthy)
	if healthy {
		code = frame.Healthy
	}
	head := frame.AppendHeader(nil, frame.HealthStatus, stream, code, h.sm.withBackpressure(nil), 0)
	h.sm.emit(Effect{Kind: SendToConnection, Link: link, Bytes: head})
}

// deepCheckFinished answers a deep check, if it has not timed out.
func (h *healthChecks) deepCheckFinished(tag string, passed bool) {
	d, ok := h.deepChecks[tag]
	if !ok {
		return
	}
	delete(h.deepChecks, tag)
	if c := h.sm.connections.get(d.link); c != nil {
		c.pendingChecks--
		h.answer(d.link, d.stream, passed && h.healthy)
		h.sm.connections.released(c)
	}
}

// failDeepChecks fails all deep checks when the executor's link is lost.
func (h *healthChecks) failDeepChecks() {
	for _, tag := range slices.Sorted(maps.Keys(h.deepChecks)) {
		h.deepCheckFinished(tag, false)
	}
}

// expire fails the deep checks that have timed out.
func (h *healthChecks) expire() {
	for _, tag := range slices.Sorted(maps.Keys(h.deepChecks)) {
		if h.sm.now >= h.deepChecks[tag].deadline {
			h.deepCheckFinished(tag, false)
		}
	}
}

// dueAt is when the next deep check times out.
func (h *healthChecks) dueAt() int64 {
	at := int64(never)
	for _, d := range h.deepChecks {
		at = min(at, d.deadline)
	}
	return at
}
