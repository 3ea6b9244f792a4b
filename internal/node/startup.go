package node

// maxConfigWait is how long after its start a node waits for the configuration of its fleet, in nanoseconds. Then it serves by its own file,
// as the replicas may be out of reach for long.
const maxConfigWait = 2_000 * ms

// startupState delays the start of the admission controller until the executor has welcomed a link and, in a fleet that distributes its
// configuration, until the node has what is in force. A node that has no version on its disk would else serve by its own file at first, and
// so run again what the fleet runs once.
type startupState struct {
	executorState  string // by the executor's first welcome: "new" if it had just started then, else "old"; empty before
	coresStartedAt int64
	configDeadline int64 // until when the node waits for the fleet's configuration, 0 if it does not
}

// awaitsConfig reports whether the node waits for the configuration of its fleet.
func (s *startupState) awaitsConfig() bool { return s.configDeadline != 0 }

// executorWelcomed records the executor's first welcome.
func (s *startupState) executorWelcomed(executorState string, coresStartedAt int64) {
	s.executorState = executorState
	s.coresStartedAt = coresStartedAt
}

// awaitConfig makes the node wait for the configuration of its fleet.
func (sm *StateMachine) awaitConfig(now int64) { sm.startup.configDeadline = now + maxConfigWait }

// hasFleetConfig reports whether a replica has confirmed that what is in force at this node is in force for all nodes.
func (sm *StateMachine) hasFleetConfig() bool {
	status := sm.configSync.replicator.Status(sm.now)
	return status.HeardNS >= 0 && !status.Behind
}

// endConfigWait ends the wait for the configuration once the node has it, or the wait takes too long.
func (sm *StateMachine) endConfigWait() {
	s := &sm.startup
	switch {
	case !s.awaitsConfig():
	case sm.hasFleetConfig():
		s.configDeadline = 0
	case sm.now >= s.configDeadline:
		s.configDeadline = 0
		sm.log(Warn, "configuration: the fleet's is not known yet; serving by this node's own file until it is", "", nil)
	}
}

// startIfReady starts the controller as soon as nothing delays it. A node about to exit starts none.
func (sm *StateMachine) startIfReady() {
	sm.endConfigWait()
	s := &sm.startup
	if sm.controller != nil || s.executorState == "" || s.awaitsConfig() || sm.drain.isExitPending() {
		return
	}
	sm.startController(s.executorState == "new", s.coresStartedAt)
	sm.log(Info, "executor is up; admitting invocations", s.executorState, nil)
}

// startupDue returns when the wait for the configuration ends at the latest.
func (sm *StateMachine) startupDue() int64 {
	switch {
	case !sm.startup.awaitsConfig():
		return never
	case sm.hasFleetConfig():
		return sm.now + 1
	}
	return max(sm.startup.configDeadline, sm.now+1)
}
