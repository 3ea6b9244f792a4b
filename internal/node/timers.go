package node

// runTimers runs the timers that are due.
func (sm *StateMachine) runTimers() {
	if sm.hollow.enabled() {
		return
	}
	sm.startIfReady()
	sm.executor.dialIfDue()
	sm.reports.sendIfDue()
	sm.executor.requestGaugesIfDue()
	sm.executor.closeIfSilent()
	sm.connections.handleDueTimeouts()
	sm.catalogue.expire()
	sm.health.expire()
	if sm.now >= sm.timerAt {
		sm.timerAt = never
		sm.stepDegradation()
		sm.events = append(sm.events, sm.executor.tick())
	}
}

// nextWakeup returns the time by which the next step is needed.
func (sm *StateMachine) nextWakeup() int64 {
	if sm.hollow.enabled() {
		return sm.hollowDue()
	}
	at := min(sm.timerAt, sm.catalogue.dueAt(), sm.health.dueAt(), sm.membershipDue(), sm.resultsDue(), sm.claimsDue(), sm.leaseDue(),
		sm.versionsDue(), sm.configSyncDue(), sm.startupDue())
	if len(sm.deferredEvents) > 0 {
		at = sm.now + 1
	}
	return min(at, sm.connections.dueAt(), sm.drain.dueAt(), sm.executor.dueAt(), sm.reports.dueAt())
}
