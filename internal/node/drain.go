package node

import (
	"fmt"

	"topazpost/internal/admission"
)

const (
	abortTimeout = 1_000 * ms // ns from a second notice to the end: for connections to be told, heard once more and closed
	exitMargin   = 100 * ms   // ns before the kill at which the process ends, whoever has not read what he is owed
)

// startDrain passes on the notice; a node that never had its executor has nothing to startDrain.
func (sm *StateMachine) startDrain() {
	if sm.drainRequested {
		return
	}
	sm.drainRequested, sm.killAt = true, sm.now+sm.drainTime
	sm.log(Info, "drain notice", "", nil)
	if sm.controller == nil {
		sm.stopAccepting()
		sm.exited = true
		return
	}
	sm.events = append(sm.events, admission.Event{Kind: admission.DrainRequested, KillAt: sm.now + sm.drainTime})
}

// abortDrain brings the kill forward: all that is in hand is answered in this step, and the node leaves once its connections
// have had their end.
func (sm *StateMachine) abortDrain() {
	sm.log(Info, "drain notice again: what is in hand is aborted", "", nil)
	sm.killAt = min(sm.killAt, sm.now+abortTimeout)
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.DrainRequested, KillAt: sm.now})
	}
}

// stopAccepting is the start of beat 3 on sockets: nobody can connect any more, and no connection brings more.
func (sm *StateMachine) stopAccepting() {
	if sm.acceptStopped {
		return
	}
	sm.acceptStopped = true
	if !sm.hollow.on {
		sm.emit(Effect{Kind: StopAccepting})
	}
	sm.connections.sendGoAwayToAll()
}

// finishDrain ends the node once nothing is owed: all is answered, and each connection has had its end, so that what
// crosses is answered too. Shortly before the kill it waits for no peer any more.
func (sm *StateMachine) finishDrain() {
	if !sm.exited || sm.owedAnswers > 0 || (sm.connections.count() > 0 || !sm.listenerClosed) && sm.now < sm.exitDeadline() {
		return
	}
	sm.exited = false
	if sm.connections.count() > 0 {
		sm.log(Warn, fmt.Sprintf("leaving with %d connections that have not ended", sm.connections.count()), "", nil)
	}
	sm.announceLeaving()
	sm.emit(Effect{Kind: Exit})
}

func (sm *StateMachine) exitDeadline() int64 { return sm.killAt - exitMargin }
