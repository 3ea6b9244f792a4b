package node

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"topazpost/internal/admission"
	"topazpost/internal/resultcache"
)

const maxTokenBytes = 128

var errTokenReused = errors.New("node: the token was used before with another body")

// resultState holds the result cache of invocations with a token. Without a cache, tokens are ignored.
type resultState struct {
	cache            *resultcache.Cache
	prepared         *preparedCache // enabled by the first operation that takes a token, nil if there is none to enable
	tokenField       string         // name of the field that carries the token
	pending          map[resultcache.Key]*pendingToken
	recovering       bool // the records that an earlier incarnation stored are not read yet
	inputs           []resultcache.Input
	stepping         bool // stepCache is running
	recoveredRecords int  // records read from the store at the start
	unnamed          unnamedRecords
	damagedUntil     int64 // until when a token without a record may be one whose records are damaged
}

// pendingToken is a token whose run the admission controller has not started. The token's first invocation is called its original;
// later ones are its duplicates and wait for the original.
type pendingToken struct {
	original   int32
	bodyHash   uint64
	duplicates []int32
}

// ResultCacheCounters returns the counters of the result cache, nil without one.
func (sm *StateMachine) ResultCacheCounters() *resultcache.Counters {
	if sm.results.cache == nil {
		return nil
	}
	return &sm.results.cache.Counters
}

// enabled reports whether results are cached.
func (rs *resultState) enabled() bool { return rs.cache != nil }

// tokenFieldName returns the name of the field that carries a token, empty without a cache.
func (rs *resultState) tokenFieldName() string { return rs.tokenField }

// isValidToken reports whether a token can be used. Without a cache any token is valid and ignored.
func (rs *resultState) isValidToken(token string) bool {
	return rs.cache == nil || len(token) <= maxTokenBytes
}

// isPending reports whether the original of a token is known but not started yet.
func (rs *resultState) isPending(key resultcache.Key) bool { return rs.pending[key] != nil }

// isKnown reports whether a token is pending or in the cache.
func (rs *resultState) isKnown(key resultcache.Key) bool {
	if rs.isPending(key) {
		return true
	}
	_, hasEntry := rs.cache.BodyHash(key)
	return hasEntry
}

// addPending records the original of a token, for which duplicates wait from now on.
func (rs *resultState) addPending(key resultcache.Key, original int32, bodyHash uint64) {
	rs.pending[key] = &pendingToken{original: original, bodyHash: bodyHash}
}

// waiters returns the invocations that wait for the run of a token, and whether the run has not started yet.
func (rs *resultState) waiters(key resultcache.Key) (list []int32, notStarted bool) {
	return rs.cache.Waiters(key)
}

// awaitingRecovery reports whether an invocation must be rejected because it has a token that an earlier incarnation may have
// run, and the stored records are not read yet, or its own may be damaged.
func (sm *StateMachine) awaitingRecovery(v *invocation) bool {
	rs := &sm.results
	if v.tokenKey.Token == "" {
		return false
	}
	return rs.recovering || sm.now < rs.damagedUntil && !rs.isKnown(v.tokenKey)
}

// findOriginal completes the token key of an invocation and sets Original of its arrival event if the invocation is a duplicate.
// It drops the token if there is no cache or the operation takes no token. A token with another body than before is an error.
func (sm *StateMachine) findOriginal(v *invocation, e *admission.Event) error {
	rs := &sm.results
	if v.tokenKey.Token == "" {
		return nil
	}
	if rs.cache == nil || sm.config.Node.Operations[e.OperationIndex].Idempotency != admission.IdempotentWithKey {
		v.tokenKey.Token = ""
		return nil
	}
	v.tokenKey.Operation = v.operationName
	v.bodyHash = xxhash.Sum64(v.body)
	sm.matchUnnamedRecord(v)
	if p := rs.pending[v.tokenKey]; p != nil {
		if p.bodyHash != v.bodyHash {
			return errTokenReused
		}
		e.Original = p.original
		return nil
	}
	if rs.cache.HasOtherBody(v.tokenKey, v.bodyHash) {
		return errTokenReused
	}
	if rs.isKnown(v.tokenKey) {
		e.Original = admission.OriginalEnded // not pending any more; the run of the original may still be in flight
	}
	return nil
}

// addOriginal records and claims a token with its first invocation, which the admission controller may queue, run or reject.
// Invocations without a token and duplicates are left out.
func (sm *StateMachine) addOriginal(i, original int32) {
	v := &sm.invocations[i]
	if v.tokenKey.Token == "" || original != admission.NoOriginal {
		return
	}
	sm.results.addPending(v.tokenKey, i, v.bodyHash)
	sm.claimToken(i)
}

// joinOriginal makes a duplicate wait for the original of its token while the token is pending. A token that has left that state is
// in the result cache, which answers the duplicate or joins it to the run, or is unknown by now, and the duplicate is resubmitted.
func (sm *StateMachine) joinOriginal(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && (!v.answered || v.callerLeft) && v.tokenKey.Token != "", "only an unanswered invocation with a token joins an original") {
		return
	}
	if v.callerLeft { // in the step in which it came
		return
	}
	if p := sm.results.pending[v.tokenKey]; p != nil {
		p.duplicates = append(p.duplicates, i)
		return
	}
	if !sm.results.isKnown(v.tokenKey) { // its original was rejected without a run in the same step
		sm.resubmitInvocation(i)
		return
	}
	sm.submitToCache(i)
}

// startTokenRun submits the original of a token and then its waiting duplicates to the result cache, which starts the run.
func (sm *StateMachine) startTokenRun(i int32) {
	v := &sm.invocations[i]
	p := sm.results.pending[v.tokenKey]
	if sm.Invariants.Check(p != nil && p.original == i, "a run starts for the original of a pending token") {
		delete(sm.results.pending, v.tokenKey)
	} else {
		p = &pendingToken{}
	}
	sm.submitToCache(i)
	for _, j := range p.duplicates {
		sm.submitToCache(j)
	}
}

// resubmitInvocation replaces a duplicate by a new invocation of the same stream, when its original was rejected without a run
// or the original's caller disconnected. The first duplicate that is resubmitted becomes the new original.
func (sm *StateMachine) resubmitInvocation(i int32) {
	v := sm.invocations[i]
	c := sm.connections.get(v.connectionLink)
	if c == nil { // the connection ends in this step and the invocation with it
		return
	}
	if !sm.Invariants.Check(v.live && !v.answered, "a resubmitted invocation must be unanswered") {
		return
	}
	sm.invocations[i].answered = true
	sm.invocations[i].resubmitted = true
	sm.unansweredCount--
	sm.endJoined(i, admission.NeverStarted)
	e := v.arrivalEvent
	v.submittedToCache = false
	v.tokenExpiresAt = 0
	j := sm.addInvocation(v)
	c.openStreams[v.stream] = j
	e.Invocation = j
	e.Age = sm.now - v.arrivedAt + e.Age
	e.Original = admission.NoOriginal
	if v.tokenLimits != sm.currentTokenLimits(v.operationIndex) {
		e.Deadline = v.deadline // the operation's client timeout may have changed since the arrival
	}
	if p := sm.results.pending[v.tokenKey]; p != nil {
		e.Original = p.original
	}
	sm.invocations[j].arrivalEvent = e
	sm.invocations[j].arrivedAt = sm.now
	sm.addOriginal(j, e.Original)
	sm.notifyController(e)
}

// removeTokenWaiter removes an invocation that was answered, or whose caller disconnected, from the waiters of its token. It
// reports whether the run of the invocation must go on because others wait for it.
func (sm *StateMachine) removeTokenWaiter(i int32) (keepRunning bool) {
	v := &sm.invocations[i]
	if v.tokenKey.Token == "" {
		return false
	}
	if !v.submittedToCache {
		if p := sm.results.pending[v.tokenKey]; p != nil {
			sm.removePendingWaiter(p, i)
		}
		return false
	}
	sm.stepCache(resultcache.Input{Kind: resultcache.CallerDisconnected, Invocation: i, Key: v.tokenKey})
	v = &sm.invocations[i] // the step may have reallocated the table
	v.abandoned = v.runHolder == heldByExecutor && sm.results.cache.JoinedCount(v.tokenKey) > 0
	return v.abandoned
}

// removePendingWaiter removes an invocation from a pending token. If it was the original, its duplicates are resubmitted.
func (sm *StateMachine) removePendingWaiter(p *pendingToken, i int32) {
	if p.original != i {
		p.duplicates = slices.DeleteFunc(p.duplicates, func(j int32) bool { return j == i })
		return
	}
	delete(sm.results.pending, sm.invocations[i].tokenKey)
	for _, j := range p.duplicates {
		sm.resubmitInvocation(j)
	}
}
