package resultcache

import "topazpost/internal/expiryheap"

// state is how far a token has come.
type state uint8

const (
	stateStarting state = iota // the record of its start is being written
	stateRunning
	stateEnding // the record of its end is being written
	stateDone
	stateUnknown // it may have run; the outcome is not known
)

const (
	noInvocation    = -1
	unknownBodyHash = 0 // of a token whose records don't tell it: earlier builds wrote it with the start alone
)

// entry is one token.
type entry struct {
	state           state
	key             Key
	bodyHash        uint64
	expiresAt       int64
	runner          int32   // the invocation that runs, noInvocation once its caller has disconnected or before any
	waiters         []int32 // other invocations
	outcome         Outcome
	result          []byte
	reservedBytes   int64
	resultNotCached bool
	heapIndex       int
}

func newEntry(key Key, bodyHash uint64) *entry {
	return &entry{key: key, bodyHash: bodyHash, runner: noInvocation, heapIndex: expiryheap.NotInHeap}
}

// ExpiryTime is when the token's window ends.
func (e *entry) ExpiryTime() int64 { return e.expiresAt }

// HeapIndex is where the cache's expiry heap keeps its index of the token.
func (e *entry) HeapIndex() *int { return &e.heapIndex }

// hasOtherBody reports whether the token is known to have come with another body.
func (e *entry) hasOtherBody(bodyHash uint64) bool {
	return e.bodyHash != unknownBodyHash && e.bodyHash != bodyHash
}

// isOver says whether nothing of the token is in progress.
func (e *entry) isOver() bool { return e.state == stateDone || e.state == stateUnknown }

// setOutcome sets how the run ended, and reserves no more than that takes.
func (c *Cache) setOutcome(e *entry, outcome Outcome, result []byte) {
	e.outcome = outcome
	e.result = result
	switch {
	case outcome == ResultNotCached:
		e.outcome = Succeeded
		e.resultNotCached = true
		e.result = nil
	case int64(len(result)) > c.config.MaxResultBytes:
		e.resultNotCached = true
		e.result = nil
		c.Counters.NotKept++
	}
	c.reserve(e, entryOverheadBytes+e.key.sizeBytes()+int64(len(e.result)))
}
