package node

const (
	reportInterval     = 1_000 * ms // ns between reports, three to the time after which an entry lapses
	reportRetryBackoff = 200 * ms   // ns to the next try after one that failed
)

// reportFinished waits for the next report. A drain sends none: the entry lapses, where one more would keep it.
func (sm *StateMachine) reportFinished(err error) {
	sm.reportLink = 0
	if err != nil {
		sm.Counters.ReportsFailed++
		sm.reportAt = sm.now + reportRetryBackoff
		sm.log(Info, "report failed", "", err)
		return
	}
	sm.Counters.Reports++
	sm.reportAt = sm.now + reportInterval
}
