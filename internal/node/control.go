package node

// reported waits for the next report. A drain sends none: the entry lapses, where one more would keep it.
func (r *StateMachine) reported(err error) {
	r.reporting = 0
	if err != nil {
		r.Counters.ReportsFailed++
		r.reportAt = r.now + reportAgain
		r.remark(Info, "report failed", "", err)
		return
	}
	r.Counters.Reports++
	r.reportAt = r.now + reportEvery
}
