package node

import "topazpost/internal/admission"

// recentRuns remembers the ids of invocations that ran and must not run again, for the client timeout after their end. Dispatchers give each
// attempt an id of its own, but one that has lost its connection may send the same attempt again on another.
type recentRuns struct {
	expiry map[string]int64
	order  []string // of the additions
}

// add remembers an id until a time.
func (r *recentRuns) add(invocationID string, until int64) {
	if r.expiry == nil {
		r.expiry = make(map[string]int64)
	}
	r.expiry[invocationID] = until
	r.order = append(r.order, invocationID)
}

// has reports whether an id is remembered at a time.
func (r *recentRuns) has(invocationID string, now int64) bool { return now < r.expiry[invocationID] }

// expire forgets the ids at the front of the order whose time is over.
func (r *recentRuns) expire(now int64) {
	expired := 0
	for expired < len(r.order) && now >= r.expiry[r.order[expired]] {
		delete(r.expiry, r.order[expired])
		expired++
	}
	r.order = r.order[expired:]
}

// rememberRun remembers the id of an invocation whose run was sent to the executor, if it must not run again.
func (sm *StateMachine) rememberRun(v *invocation) {
	op := &sm.config.Node.Operations[v.operationIndex]
	sm.recentRuns.expire(sm.now)
	if v.executed && op.Idempotency == admission.NonIdempotent {
		sm.recentRuns.add(v.invocationID, sm.now+op.ClientTimeout)
	}
}
