package node

import (
	"fmt"

	"topazpost/internal/admission"
)

// Times at the end of a drain, in nanoseconds.
const (
	abortTimeout = 1_000 * ms // from an abort to the kill, for connections to close
	exitMargin   = 100 * ms   // the process exits this long before the kill, even if peers have not read all answers
)

// drainState tracks a graceful shutdown: the drain request, the end of accepting, and the exit, which follows when nothing is
// pending or shortly before the process is killed.
type drainState struct {
	sm             *StateMachine
	killDelay      int64 // ns from the drain request to the kill
	killAt         int64 // when the process is killed, set by the drain request
	requested      bool
	acceptStopped  bool
	listenerClosed bool
	exitPending    bool // the controller has finished, or there is none; the node exits when all invocations are answered and all connections closed
}

// isRequested reports whether a drain was requested.
func (d *drainState) isRequested() bool { return d.requested }

// isAcceptStopped reports whether the node has stopped accepting connections and invocations.
func (d *drainState) isAcceptStopped() bool { return d.acceptStopped }

// isExitPending reports whether the node is about to exit.
func (d *drainState) isExitPending() bool { return d.exitPending }

// setListenerClosed records that the listener is closed, so that no more connections can be opened.
func (d *drainState) setListenerClosed() { d.listenerClosed = true }

// start handles a drain request: the controller drains the node. A node without a controller has nothing to drain and exits when
// its connections are closed. Further requests are ignored.
func (d *drainState) start() {
	if d.requested {
		return
	}
	sm := d.sm
	d.requested = true
	d.killAt = sm.now + d.killDelay
	sm.log(Info, "drain notice", "", nil)
	if sm.controller == nil {
		d.stopAccepting()
		d.exitPending = true
		return
	}
	sm.events = append(sm.events, admission.Event{Kind: admission.DrainRequested, KillAt: d.killAt})
}

// abort starts the drain if it has not started, and brings the kill forward. The controller answers all pending invocations in
// this step, and the node exits when its connections are closed.
func (d *drainState) abort() {
	d.start()
	sm := d.sm
	sm.log(Info, "abort requested; aborting all pending invocations", "", nil)
	d.killAt = min(d.killAt, sm.now+abortTimeout)
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.DrainRequested, KillAt: sm.now})
	}
}

// stopAccepting closes the listener and sends a go-away on every connection.
func (d *drainState) stopAccepting() {
	if d.acceptStopped {
		return
	}
	d.acceptStopped = true
	if !d.sm.hollow.enabled() {
		d.sm.emit(Effect{Kind: StopAccepting})
	}
	d.sm.connections.sendGoAwayToAll()
}

// setExitPending makes the node exit as soon as nothing is pending, and logs the controller's report of the drain.
func (d *drainState) setExitPending(report string) {
	d.exitPending = true
	d.sm.log(Info, report, "", nil)
}

// finish exits when all invocations are answered and every connection is closed, so that invocations that cross a go-away are
// answered too. Shortly before the kill it exits with connections open.
func (d *drainState) finish() {
	if !d.exitPending || d.sm.unansweredCount > 0 {
		return
	}
	open := d.sm.connections.count()
	if (open > 0 || !d.listenerClosed) && d.sm.now < d.exitDeadline() {
		return
	}
	d.exitPending = false
	if open > 0 {
		d.sm.log(Warn, fmt.Sprintf("exiting with %d connections still open", open), "", nil)
	}
	d.sm.announceLeaving()
	d.sm.emit(Effect{Kind: Exit})
}

func (d *drainState) exitDeadline() int64 { return d.killAt - exitMargin }

// dueAt returns when the node exits at the latest, if only connections hold up the exit.
func (d *drainState) dueAt() int64 {
	if d.exitPending && d.sm.unansweredCount == 0 {
		return d.exitDeadline()
	}
	return never
}
