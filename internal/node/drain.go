package node

import (
	"fmt"

	"topazpost/internal/admission"
)

// Timing of the end of a drain, in nanoseconds.
const (
	abortTimeout = 1_000 * ms // from an abort to the kill: for connections to close
	exitMargin   = 100 * ms   // before the kill at which the process exits, whatever its peers have not read
)

// drainState is the progress of a graceful shutdown: the notice, the end of accepting, and the exit once nothing is
// pending or shortly before the process is killed.
type drainState struct {
	sm             *StateMachine
	killDelay      int64 // ns from the notice to the kill
	killAt         int64 // when the process is killed, after the notice
	requested      bool
	acceptStopped  bool
	listenerClosed bool
	exitPending    bool // the controller has finished, and the node exits once all is answered and closed
}

// isRequested reports whether the drain notice has come.
func (d *drainState) isRequested() bool { return d.requested }

// isAcceptStopped reports whether the node accepts no more connections and invocations.
func (d *drainState) isAcceptStopped() bool { return d.acceptStopped }

// isExitPending reports whether the node is about to exit.
func (d *drainState) isExitPending() bool { return d.exitPending }

// setListenerClosed records that no more connections can be opened.
func (d *drainState) setListenerClosed() { d.listenerClosed = true }

// start passes the drain notice on to the controller. Without one there is nothing to drain.
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

// abort starts the drain if need be and brings the kill forward: all that is pending is answered in this step, and the
// node exits once its connections are closed.
func (d *drainState) abort() {
	d.start()
	sm := d.sm
	sm.log(Info, "drain notice again: what is in hand is aborted", "", nil)
	d.killAt = min(d.killAt, sm.now+abortTimeout)
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.DrainRequested, KillAt: sm.now})
	}
}

// stopAccepting closes the listener and asks all dispatchers to send no more.
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

// setExitPending has the node exit as soon as nothing is pending.
func (d *drainState) setExitPending(report string) {
	d.exitPending = true
	d.sm.log(Info, report, "", nil)
}

// finish exits once all is answered and every connection is closed, so that what crosses a go-away is answered too, or
// shortly before the kill.
func (d *drainState) finish() {
	if !d.exitPending || d.sm.owedAnswers > 0 {
		return
	}
	open := d.sm.connections.count()
	if (open > 0 || !d.listenerClosed) && d.sm.now < d.exitDeadline() {
		return
	}
	d.exitPending = false
	if open > 0 {
		d.sm.log(Warn, fmt.Sprintf("leaving with %d connections that have not ended", open), "", nil)
	}
	d.sm.announceLeaving()
	d.sm.emit(Effect{Kind: Exit})
}

func (d *drainState) exitDeadline() int64 { return d.killAt - exitMargin }

// dueAt is when the node exits at the latest.
func (d *drainState) dueAt() int64 {
	if d.exitPending && d.sm.owedAnswers == 0 {
		return d.exitDeadline()
	}
	return never
}
