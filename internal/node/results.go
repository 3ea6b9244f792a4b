package node

import (
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"topazpost/internal/admission"
	"topazpost/internal/resultcache"
)

const maxTokenBytes = 128 // bytes of a token

var errTokenReused = errors.New("node: the token came with another body before")

// resultState has the result cache of tokened invocations; without a cache tokens mean nothing.
type resultState struct {
	cache            *resultcache.Cache
	tokenField       string // name of the field that carries it
	pending          map[resultcache.Key]*pendingToken
	recovering       bool // the store of an earlier incarnation is not read yet
	inputs           []resultcache.Input
	stepping         bool
	recoveredRecords int // records that the store held at the start
}

// pendingToken is a token whose first invocation the admission controller has not run yet; duplicates wait for it.
type pendingToken struct {
	original   int32
	bodyHash   uint64
	duplicates []int32
}

// EnableResultCache has the node cache results of tokened invocations, whose token comes in a field. With recovering, tokened work is
// rejected until RecoveryCompleted says that the store was read.
func (sm *StateMachine) EnableResultCache(config resultcache.Config, field string, recovering bool) {
	sm.config.Node.MaxDeduplicationEntries = config.MaxTokens()
	sm.versions.pinIndices(recovering)
	sm.results = resultState{cache: resultcache.New(config), tokenField: field, pending: make(map[resultcache.Key]*pendingToken), recovering: recovering}
}

// ResultCacheCounters counts what the result cache did, nil without one.
func (sm *StateMachine) ResultCacheCounters() *resultcache.Counters {
	if sm.results.cache == nil {
		return nil
	}
	return &sm.results.cache.Counters
}

// enabled says whether results are cached.
func (rs *resultState) enabled() bool { return rs.cache != nil }

// tokenFieldName is the name of the field that carries a token, empty without a cache.
func (rs *resultState) tokenFieldName() string { return rs.tokenField }

// isValidToken says whether a token can be used; without a cache any is ignored.
func (rs *resultState) isValidToken(token string) bool {
	return rs.cache == nil || len(token) <= maxTokenBytes
}

// isPending says whether a token's first invocation was not run yet.
func (rs *resultState) isPending(key resultcache.Key) bool { return rs.pending[key] != nil }

// isKnown says whether a token came before, within its window.
func (rs *resultState) isKnown(key resultcache.Key) bool {
	if rs.isPending(key) {
		return true
	}
	_, cached := rs.cache.BodyHash(key)
	return cached
}

// addPending has duplicates of a token wait for its first invocation.
func (rs *resultState) addPending(key resultcache.Key, original int32, bodyHash uint64) {
	rs.pending[key] = &pendingToken{original: original, bodyHash: bodyHash}
}

// waiters are the invocations that wait for a token's run, and whether that has not started.
func (rs *resultState) waiters(key resultcache.Key) (list []int32, notStarted bool) {
	return rs.cache.Waiters(key)
}

// awaitingRecovery says whether a tokened invocation must be rejected: what ran in an earlier incarnation is not known yet.
func (sm *StateMachine) awaitingRecovery(v *invocation) bool {
	return sm.results.recovering && v.tokenKey.Token != ""
}

// findOriginal finds the invocation that one repeats, and completes its arrival event for the admission controller.
func (sm *StateMachine) findOriginal(v *invocation, e *admission.Event) error {
	rs := &sm.results
	if v.tokenKey.Token == "" {
		return nil
	}
	if rs.cache == nil || sm.config.Node.Operations[e.OperationIndex].Idempotency != admission.IdempotentWithKey {
		v.tokenKey.Token = ""
		return nil
	}
	v.tokenKey.Operation = e.OperationIndex
	v.tokenKey.Tenant = e.Tenant
	v.bodyHash = xxhash.Sum64(v.body)
	if p := rs.pending[v.tokenKey]; p != nil {
		if p.bodyHash != v.bodyHash {
			return errTokenReused
		}
		e.Original = p.original
		return nil
	}
	if hash, cached := rs.cache.BodyHash(v.tokenKey); cached {
		if hash != v.bodyHash {
			return errTokenReused
		}
		e.Original = admission.OriginalEnded
	}
	return nil
}

// addOriginal records a token's first invocation, which the admission controller may queue, run or reject.
func (sm *StateMachine) addOriginal(i, original int32) {
	v := &sm.invocations[i]
	if v.tokenKey.Token == "" || original != admission.NoOriginal {
		return
	}
	sm.results.addPending(v.tokenKey, i, v.bodyHash)
	sm.claimToken(i)
}

// joinOriginal has a repeat wait for the run of its token, or gets it the cached result.
func (sm *StateMachine) joinOriginal(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live && !v.answered && v.tokenKey.Token != "", "only a repeat of a token is reused") {
		return
	}
	if p := sm.results.pending[v.tokenKey]; p != nil {
		p.duplicates = append(p.duplicates, i)
		return
	}
	if !sm.results.isKnown(v.tokenKey) { // its original was rejected unrun in the same step
		sm.resubmitInvocation(i)
		return
	}
	sm.submitToCache(i)
}

// startTokenRun hands a token's first invocation to the cache for its run, and the duplicates that waited for it.
func (sm *StateMachine) startTokenRun(i int32) {
	v := &sm.invocations[i]
	p := sm.results.pending[v.tokenKey]
	if sm.Invariants.Check(p != nil && p.original == i, "a token's first invocation runs") {
		delete(sm.results.pending, v.tokenKey)
	} else {
		p = &pendingToken{}
	}
	sm.submitToCache(i)
	for _, j := range p.duplicates {
		sm.submitToCache(j)
	}
}

// resubmitInvocation submits a repeat anew, as its token's first: what it repeated was rejected unrun, or its caller left.
func (sm *StateMachine) resubmitInvocation(i int32) {
	v := sm.invocations[i]
	c := sm.connections.get(v.connectionLink)
	if c == nil { // its connection ends in this step, and it with it
		return
	}
	if !sm.Invariants.Check(v.live && !v.answered, "an invocation submitted anew still waits") {
		return
	}
	sm.invocations[i].answered = true
	sm.owedAnswers--
	sm.notifyController(admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.NeverStarted})
	e := v.arrivalEvent
	v.inCache = false
	v.tokenExpiresAt = 0
	j := sm.addInvocation(v)
	c.openStreams[v.stream] = j
	e.Invocation = j
	e.Age = sm.now - v.arrivedAt + e.Age
	e.Original = admission.NoOriginal
	if v.terms != sm.currentTerms(v.operationIndex) {
		e.Deadline = v.deadline // its client timeout is that of its terms
	}
	if p := sm.results.pending[v.tokenKey]; p != nil {
		e.Original = p.original
	}
	sm.invocations[j].arrivalEvent = e
	sm.invocations[j].arrivedAt = sm.now
	sm.addOriginal(j, e.Original)
	sm.notifyController(e)
}

// removeTokenWaiter removes an invocation that is answered, or whose caller left, from those that wait for its token. It says whether
// its run must go on all the same, as others wait for it.
func (sm *StateMachine) removeTokenWaiter(i int32) (keepRunning bool) {
	v := &sm.invocations[i]
	if v.tokenKey.Token == "" {
		return false
	}
	if !v.inCache {
		if p := sm.results.pending[v.tokenKey]; p != nil {
			sm.removePendingWaiter(p, i)
		}
		return false
	}
	sm.stepCache(resultcache.Input{Kind: resultcache.CallerDisconnected, Invocation: i, Key: v.tokenKey})
	v = &sm.invocations[i] // the step may have moved the invocations
	v.abandoned = v.atExecutor && !v.runEndUnreported && sm.results.cache.JoinedCount(v.tokenKey) > 0
	return v.abandoned
}

// removePendingWaiter removes an invocation whose token was not run yet; where it was the first, its duplicates are submitted anew.
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
