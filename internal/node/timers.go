package node

// runTimers does what is due.
func (sm *StateMachine) runTimers() {
	if sm.hollow.on {
		return
	}
	sm.executor.dialIfDue()
	if sm.now >= sm.reportAt && sm.reportLink == 0 && !sm.drainRequested {
		sm.reportLink = sm.nextLink()
		sm.emit(Effect{Kind: SendReport, Link: sm.reportLink, Address: sm.addresses.Control, Ready: sm.health.isServing()})
	}
	sm.executor.requestGaugesIfDue()
	sm.executor.closeIfSilent()
	sm.connections.checkDue()
	sm.catalogue.expire()
	sm.health.expire()
	if sm.now >= sm.timerAt {
		sm.timerAt = never
		sm.stepDegradation()
		sm.events = append(sm.events, sm.executor.gauges.event(sm.now))
	}
}

// nextWakeup is when the next of the timers is due.
func (sm *StateMachine) nextWakeup() int64 {
	if sm.hollow.on {
		return sm.hollowDue()
	}
	at := min(sm.timerAt, sm.executor.dueAt(), sm.catalogue.dueAt(), sm.health.dueAt(), sm.connections.dueAt(), sm.membershipDue(), sm.resultsDue(), sm.claimsDue(), sm.leaseDue(), sm.versionsDue(), sm.configSyncDue())
	if len(sm.deferredEvents) > 0 {
		at = sm.now + 1
	}
	if sm.exited && sm.owedAnswers == 0 {
		at = min(at, sm.exitDeadline())
	}
	if sm.reportLink == 0 && !sm.drainRequested {
		at = min(at, sm.reportAt)
	}
	return at
}
