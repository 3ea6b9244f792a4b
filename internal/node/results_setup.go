package node

import (
	"topazpost/internal/admission"
	"topazpost/internal/resultcache"
)

// preparedCache is the configuration of a result cache that is not enabled, since no operation in service takes a token.
type preparedCache struct {
	config resultcache.Config
	field  string
}

// EnableResultCache makes the node cache results of invocations that carry a token in the named field. With recovering set, these
// are rejected until the input RecoveryCompleted reports that the store has been read.
func (sm *StateMachine) EnableResultCache(config resultcache.Config, field string, recovering bool) {
	sm.config.Node.MaxDeduplicationEntries = config.MaxTokens()
	sm.versions.pinIndices(recovering)
	sm.results = resultState{cache: resultcache.New(config), tokenField: field, pending: make(map[resultcache.Key]*pendingToken), recovering: recovering}
	sm.startClaimsClient()
}

// PrepareResultCache makes the node enable the result cache, without records to recover, as soon as a configuration version brings an
// operation that takes a token. It must be called before EnableConfigSync, by nodes whose own file has no such operation.
func (sm *StateMachine) PrepareResultCache(config resultcache.Config, field string) {
	sm.results.prepared = &preparedCache{config: config, field: field}
}

// adaptResultCache makes the result cache fit an operation that a configuration version adds or changes, as if the operation had stood in
// the node's own file at its start.
func (sm *StateMachine) adaptResultCache(op *admission.Operation) {
	if op.Idempotency != admission.IdempotentWithKey {
		return
	}
	if p := sm.results.prepared; p != nil {
		sm.EnableResultCache(p.config, p.field, false)
		sm.log(Info, "a configuration version brings the first operation that takes a token; results are cached from now on", "", nil)
	}
	if sm.results.enabled() {
		sm.results.cache.ExtendWindow(op.RepeatWindow())
	}
}

// RecoveryWindow returns how long recovered records are remembered, in nanoseconds, 0 without a result cache.
func (sm *StateMachine) RecoveryWindow() int64 {
	if !sm.results.enabled() {
		return 0
	}
	return sm.results.cache.Window()
}
