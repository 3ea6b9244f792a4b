package node

import (
	"maps"
	"slices"
	"strconv"

	"topazpost/internal/protocol/frame"
)

const (
	deepCheckTimeout = 900 * ms // ns; dispatchers wait only a little longer
	maxDeepChecks    = 32       // in progress at a time
)

// deepCheck is a health check that the executor carries out.
type deepCheck struct {
	link     int
	stream   uint32
	deadline int64
}

// healthChecks answers health checks of dispatchers: a shallow check from the health that the controller last reported, a deep
// check after asking the executor.
type healthChecks struct {
	sm            *StateMachine
	healthy       bool                 // last reported by the controller
	shallowOnly   bool                 // deep checks are answered like shallow ones
	deepChecks    map[string]deepCheck // by the tag of the executor command
	lastTagNumber int                  // number of the last tag given
}

// setHealth stores a health report of the controller.
func (h *healthChecks) setHealth(healthy, shallowOnly bool) {
	h.healthy = healthy
	h.shallowOnly = shallowOnly
}

// isServing reports whether the node has a controller and is healthy.
func (h *healthChecks) isServing() bool { return h.sm.controller != nil && h.healthy }

// received answers a health check, or starts a deep check if one was requested and can start.
func (h *healthChecks) received(c *connection, f *frame.Frame) {
	deep := false
	_, err := frame.EachField(f.Payload, func(name, value []byte) bool {
		deep = deep || string(name) == "e2e" && string(value) == "1"
		return true
	})
	if err != nil || f.Oversized {
		h.sm.log(Warn, "malformed health check; answered all the same", "", err)
	} else {
		c.markUsed(h.sm.now)
	}
	if deep && h.canStartDeepCheck() {
		h.startDeepCheck(c, f.Stream)
		return
	}
	h.answer(c.link, f.Stream, h.isServing())
}

func (h *healthChecks) canStartDeepCheck() bool {
	return h.healthy && !h.shallowOnly && h.sm.config.Node.DeepHealthChecks && h.sm.executor.isConnected() && len(h.deepChecks) < maxDeepChecks
}

func (h *healthChecks) startDeepCheck(c *connection, stream uint32) {
	h.lastTagNumber++
	tag := "d" + strconv.Itoa(h.lastTagNumber)
	h.deepChecks[tag] = deepCheck{link: c.link, stream: stream, deadline: h.sm.now + deepCheckTimeout}
	c.pendingHealthChecks++
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

// deepCheckFinished answers a deep check, unless it was answered before, for example by a timeout.
func (h *healthChecks) deepCheckFinished(tag string, passed bool) {
	d, ok := h.deepChecks[tag]
	if !ok {
		return
	}
	delete(h.deepChecks, tag)
	if c := h.sm.connections.get(d.link); c != nil {
		c.pendingHealthChecks--
		h.answer(d.link, d.stream, passed && h.healthy)
		h.sm.connections.released(c)
	}
}

// failDeepChecks answers all deep checks as failed, when the executor's link is lost.
func (h *healthChecks) failDeepChecks() {
	for _, tag := range slices.Sorted(maps.Keys(h.deepChecks)) {
		h.deepCheckFinished(tag, false)
	}
}

// expire answers the deep checks that have timed out as failed.
func (h *healthChecks) expire() {
	for _, tag := range slices.Sorted(maps.Keys(h.deepChecks)) {
		if h.sm.now >= h.deepChecks[tag].deadline {
			h.deepCheckFinished(tag, false)
		}
	}
}

// dueAt returns when the next deep check times out.
func (h *healthChecks) dueAt() int64 {
	at := int64(never)
	for _, d := range h.deepChecks {
		at = min(at, d.deadline)
	}
	return at
}
