package node

import "topazpost/internal/admission"

const (
	gaugesLeadTime = 5 * ms   // ns before a timer of the module at which the gauges are asked for: a round trip
	maxGaugesAge   = 500 * ms // ns after which gauges say nothing: the span over which they are taken
)

// runTimers does what is due.
func (sm *StateMachine) runTimers() {
	if sm.hollow.on {
		return
	}
	if sm.now >= sm.redialAt && sm.executorLink == 0 && sm.dialingLink == 0 {
		sm.dialingLink = sm.nextLink()
		sm.emit(Effect{Kind: DialExecutor, Link: sm.dialingLink, Address: sm.addresses.Executor})
	}
	if sm.now >= sm.reportAt && sm.reportLink == 0 && !sm.drainRequested {
		sm.reportLink = sm.nextLink()
		sm.emit(Effect{Kind: SendReport, Link: sm.reportLink, Address: sm.addresses.Control, Ready: sm.controller != nil && sm.healthy})
	}
	if sm.now >= sm.gaugesAt && sm.executorLink != 0 && sm.welcomedLink == sm.executorLink {
		sm.gaugesAt = never
		sm.requestGauges()
	}
	if sm.executorLink != 0 && sm.now-sm.executorHeardAt >= executorSilenceTimeout {
		if sm.welcomedLink == sm.executorLink {
			sm.log(Warn, "executor link is silent, opened anew", "", nil)
		} else { // it may be late, or the link half open: a new one costs nothing, and one that waits for good serves nobody
			sm.log(Info, "executor has not welcomed the link, opened anew", "", nil)
		}
		sm.emit(Effect{Kind: CloseExecutor, Link: sm.executorLink})
		sm.disconnectExecutor()
		sm.redialAt = sm.now + sm.redialBackoff
	}
	sm.checkConnections()
	sm.expireCalls()
	sm.expireDeepChecks()
	if sm.now >= sm.timerAt {
		e := admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
		if sm.now-sm.gaugesReceivedAt <= maxGaugesAge {
			e.BusyShare, e.RunnableThreads = sm.busyShare, sm.runnableThreads
		}
		sm.timerAt = never
		sm.stepDegradation()
		sm.events = append(sm.events, e)
	}
}

// nextWakeup is when the next of the timers is due.
func (sm *StateMachine) nextWakeup() int64 {
	if sm.hollow.on {
		return sm.hollowDue()
	}
	at := min(sm.timerAt, sm.callsDue(), sm.deepChecksDue(), sm.membershipDue(), sm.resultsDue(), sm.claimsDue(), sm.leaseDue(), sm.versionsDue(), sm.configSyncDue())
	if len(sm.deferredEvents) > 0 {
		at = sm.now + 1
	}
	if len(sm.connections) > 0 {
		at = min(at, sm.connectionsDue())
	}
	if sm.exited && sm.owedAnswers == 0 {
		at = min(at, sm.exitDeadline())
	}
	if sm.executorLink == 0 && sm.dialingLink == 0 {
		at = min(at, sm.redialAt)
	} else if sm.executorLink != 0 {
		at = min(at, sm.executorHeardAt+executorSilenceTimeout)
		if sm.welcomedLink == sm.executorLink {
			at = min(at, sm.gaugesAt)
		}
	}
	if sm.reportLink == 0 && !sm.drainRequested {
		at = min(at, sm.reportAt)
	}
	return at
}
