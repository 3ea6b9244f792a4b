// Package resultcache makes invocations that carry an idempotency token run at most once within a window: it decides which run,
// which join a run in flight, and which are served a cached result. It stores nothing and has no clock; what is to be stored goes
// out as an action, and how the write ended comes back as an input.
package resultcache

import "topazpost/internal/expiryheap"

// Counters are what operators see.
type Counters struct {
	Entries, Unknown, Running                                             int
	Bytes                                                                 int64
	Ran, Joined, Kept, Denied, Mismatched, UnknownAnswered, NotKept, Lost int
}

// Cache is the state of all tokens of a node.
type Cache struct {
	Counters Counters

	config       Config
	entries      map[Key]*entry
	expiry       expiryheap.Heap[*entry] // of those that are done or unknown
	recovered    []*entry                // until RecoveryCompleted, in the order of their records
	actions      []Action
	storeFailing bool // the last write failed
}

// New returns an empty cache.
func New(config Config) *Cache {
	return &Cache{config: config, entries: make(map[Key]*entry)}
}

// Window is how long all that is recovered is remembered, in nanoseconds.
func (c *Cache) Window() int64 { return c.config.Window }

// ExtendWindow sets the window to at least the given one, for an operation that came into service later.
func (c *Cache) ExtendWindow(window int64) { c.config.Window = max(c.config.Window, window) }

// Step handles what happened at a moment of a monotonic clock, and returns what to do, valid until the next step.
func (c *Cache) Step(now int64, inputs []Input) []Action {
	c.actions = c.actions[:0]
	c.expire(now)
	for i := range inputs {
		input := &inputs[i]
		e := c.entries[input.Key]
		switch {
		case input.Kind == InvocationReceived:
			c.handleInvocation(now, input, e)
		case input.Kind == RecordRecovered:
			c.recoverRecord(now, input, e)
		case input.Kind == RecoveryCompleted:
			c.completeRecovery()
		case e != nil:
			c.handle(now, input, e)
		}
	}
	return c.actions
}

// handle handles an input on a token that is known.
func (c *Cache) handle(now int64, input *Input, e *entry) {
	switch input.Kind {
	case CallerDisconnected:
		e.removeWaiter(input.Invocation)
	case WriteSucceeded, WriteFailed:
		c.handleWritten(now, e, input.Kind == WriteSucceeded)
	case RunEnded:
		if e.state == stateRunning {
			c.handleRunEnded(now, e, input)
		}
	case CompletedElsewhere, UnknownElsewhere, MismatchElsewhere, RejectedElsewhere:
		if e.state == stateStarting {
			c.handleElsewhere(now, e, input)
		}
	case AnswerRequired:
		c.answerNow(now, e, input)
	case OutcomeResolved:
		if e.state == stateUnknown {
			c.resolve(e, input)
		}
	case TokenRemoved:
		if e.isOver() {
			c.remove(e)
		}
	}
}

func (c *Cache) emit(action Action) { c.actions = append(c.actions, action) }

// remove takes a token out of the cache, and has it removed from the store.
func (c *Cache) remove(e *entry) {
	c.stopExpiry(e)
	if e.state == stateUnknown {
		c.Counters.Unknown--
	}
	c.reserve(e, 0)
	delete(c.entries, e.key)
	c.Counters.Entries--
	c.emit(Action{Kind: RemoveRecord, Key: e.key})
}

// BodyHash is the hash of the body that a token came with, false where the token is not known.
func (c *Cache) BodyHash(key Key) (uint64, bool) {
	if e := c.entries[key]; e != nil {
		return e.bodyHash, true
	}
	return 0, false
}

// HasOtherBody reports whether a token is known to have come with another body.
func (c *Cache) HasOtherBody(key Key, bodyHash uint64) bool {
	e := c.entries[key]
	return e != nil && e.hasOtherBody(bodyHash)
}

// StoreFailing says whether the last write failed.
func (c *Cache) StoreFailing() bool { return c.storeFailing }
