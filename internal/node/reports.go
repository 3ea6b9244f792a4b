package node

// Timing of reports to the control plane, in nanoseconds.
const (
	reportInterval     = 1_000 * ms // a third of the time after which the control plane drops a node's entry
	reportRetryBackoff = 200 * ms
)

// reporter reports the node's readiness to the control plane, one report at a time. A draining node sends no reports, so
// that its entry at the control plane expires.
type reporter struct {
	sm       *StateMachine
	inFlight int // number of the report in flight, 0 if there is none
	nextAt   int64
}

func (r *reporter) isInFlight() bool { return r.inFlight != 0 }

// addressChanged abandons a report in flight and reports to the new address at once.
func (r *reporter) addressChanged() {
	r.inFlight = 0
	r.nextAt = r.sm.now
}

func (r *reporter) sendIfDue() {
	if r.sm.now < r.dueAt() {
		return
	}
	r.inFlight = r.sm.nextLink()
	r.sm.emit(Effect{Kind: SendReport, Link: r.inFlight, Address: r.sm.addresses.Control, Ready: r.sm.health.isServing()})
}

// finished handles the end of a report and schedules the next one. It ignores abandoned reports.
func (r *reporter) finished(link int, err error) {
	if link != r.inFlight {
		return
	}
	r.inFlight = 0
	if err != nil {
		r.sm.Counters.ReportsFailed++
		r.nextAt = r.sm.now + reportRetryBackoff
		r.sm.log(Info, "report to the control plane failed; retrying", "", err)
		return
	}
	r.sm.Counters.Reports++
	r.nextAt = r.sm.now + reportInterval
}

// dueAt returns when the next report is due.
func (r *reporter) dueAt() int64 {
	if r.isInFlight() || r.sm.drain.isRequested() {
		return never
	}
	return r.nextAt
}
