// Package resultcache decides what becomes of tokened invocations and their repeats: which may run, which join one that
// runs, which get a result that was kept, and what is kept. It stores nothing and has no clock; what is to be stored
// goes out as an action, and how that ended comes back in.
package resultcache

import (
	"container/heap"
	"math"
	"slices"
)

// Key names a token: the same one of another operation or tenant is another.
type Key struct {
	Operation, Tenant int32
	Token             string
}

// Durability says what must be on disk before a run starts and before its answer is given.
type Durability uint8

// The durabilities. OnDisk covers group commits too: how long a write may wait for others is the store's.
const (
	InMemory Durability = iota
	OnDisk
)

// StoreFailurePolicy says what becomes of tokened work while the store fails.
type StoreFailurePolicy uint8

// The ways: refuse it unrun, or go on with what memory holds.
const (
	RejectOnStoreFailure StoreFailurePolicy = iota
	ContinueInMemory
)

// Config are what operators chose. Sizes are bytes.
type Config struct {
	Durability     Durability
	OnStoreFailure StoreFailurePolicy
	MaxBytes       int64 // of tokens and results, those that may still come included
	MaxResultBytes int64 // of one result; a larger one is not kept, only that it ran
	Window         int64 // ns, the longest window of any operation: all that is recovered is kept for it
}

const entryOverheadBytes = 160 // of one token beside its text and its result: its record, index and timers

// MaxTokens is how many tokens there is room for at the most, each with no result.
func (r *Config) MaxTokens() int { return max(1, int(r.MaxBytes/entryOverheadBytes)) }

// Outcome is how a run ended.
type Outcome uint8

// The endings; NotRun proves that nothing ran, ResultNotCached says that it succeeded with a result too large to be kept.
const (
	Succeeded Outcome = iota
	Failed
	NeverStarted
	ResultNotCached
)

// InputKind names what happened.
type InputKind uint8

// The inputs.
const (
	InvocationReceived InputKind = iota // an invocation with a token was read
	CallerDisconnected                  // its caller is gone, or it was answered by its own client timeout
	WriteSucceeded                      // the record of a token is on disk
	WriteFailed                         // it could not be written
	RunEnded                            // the run of a token ended
	OutcomeResolved                     // operators say how one of unknown outcome ended
	TokenRemoved                        // operators have a token forgotten
	RecordRecovered                     // a record was found on disk at the start
	RecoveryCompleted                   // all records were found
	CompletedElsewhere                  // what a token that was to begin came to elsewhere
	UnknownElsewhere                    // it may have run elsewhere, how that ended is not known
	MismatchElsewhere                   // it came with another body elsewhere
	RejectedElsewhere                   // there is no room for it, elsewhere; nothing ran
	AnswerRequired                      // one that waits has to be answered now; Doubt says whether the token may have run
)

// Input is one thing that happened; only the fields of its kind are set.
type Input struct {
	Kind       InputKind
	Invocation int32 // Asked, Left: the invocation
	Key        Key
	BodyHash   uint64  // Asked, Recovered: hash of the invocation's body
	Idempotent bool    // Asked: its operation may run again though the outcome of an earlier run is unknown
	Remaining  int64   // Asked: ns of the window that is left
	Outcome    Outcome // Ended, Settled; Recovered where Done
	Result     []byte  // of a run that succeeded
	Completed  bool    // Recovered: the record is that of an end
	MayHaveRun bool    // Dismissed
}

// Record is what the store keeps of a token: that its run begins, or how it ended.
type Record struct {
	Key       Key
	BodyHash  uint64 // hash of the invocation's body
	Remaining int64  // ns of its window that are left
	Completed bool   // it tells of an end
	Outcome   Outcome
	Result    []byte
}

// ActionKind names what to do.
type ActionKind uint8

// The actions. Each Asked is followed by one of Join or Run and later an answer, or by an answer at once, unless it
// left. Answers are Serve, Fail, Deny, Mismatch and Unknown.
const (
	Run            ActionKind = iota // the asker's invocation may run, as the only one of its token
	Join                             // it waits for the run of another
	Serve                            // answer with the result
	Fail                             // answer that the run failed, or that its result was not kept (NotKept)
	Reject                           // throttle unrun, to come back after For
	Mismatch                         // errored: the token came with another body before
	OutcomeUnknown                   // errored: a run began before a crash, its outcome is not known
	WriteStart                       // write that a run of the key begins, giving Written or Unwritten
	WriteEnd                         // write how it ended, giving the same
	RemoveRecord                     // the key may be taken out of the store
)

// Action is one thing to do; only the fields of its kind are set.
type Action struct {
	Kind            ActionKind
	Invocation      int32
	Key             Key
	BodyHash        uint64  // Begin
	Until           int64   // Begin: the end of the window
	RetryAfter      int64   // Deny
	Outcome         Outcome // Finish
	Result          []byte  // Serve, Finish
	FromCache       bool    // Serve, Fail: it is the result of another invocation's run
	ResultNotCached bool    // Fail: it succeeded, but the result was too large to be kept
}

type state uint8

const (
	stateStarting state = iota // its intent is on the way to the disk
	stateRunning
	stateEnding // its end is on the way to the disk
	stateDone
	stateUnknown
)

type entry struct {
	state           state
	key             Key
	bodyHash        uint64
	expiresAt       int64
	runner          int32 // whose invocation runs, -1 once it has left or before any
	waiters         []int32
	outcome         Outcome
	result          []byte
	reservedBytes   int64 // bytes
	resultNotCached bool  // the result was not kept
	heapIndex       int   // among those that expire, -1 where it may not yet
}

// Counters are what operators see.
type Counters struct {
	Entries, Unknown, Running                                             int
	Bytes                                                                 int64
	Ran, Joined, Kept, Denied, Mismatched, UnknownAnswered, NotKept, Lost int
}

// Cache is the state of all tokens of a node.
type Cache struct {
	Counters     Counters
	config       Config
	entries      map[Key]*entry
	expiry       expiry
	actions      []Action
	storeFailing bool // the store failed last
}

// New is a keeper of nothing.
func New(rules Config) *Cache {
	return &Cache{config: rules, entries: make(map[Key]*entry)}
}

func (k *Cache) emit(a Action) { k.actions = append(k.actions, a) }

// Step takes what happened at a moment of a clock that only advances, and returns what to do, valid until the next
// step.
func (k *Cache) Step(now int64, inputs []Input) []Action {
	k.actions = k.actions[:0]
	k.expire(now)
	for i := range inputs {
		in := &inputs[i]
		e := k.entries[in.Key]
		switch in.Kind {
		case InvocationReceived:
			k.handleInvocation(now, in, e)
		case RecordRecovered:
			k.recoverRecord(now, in, e)
		case RecoveryCompleted:
			k.completeRecovery(now)
		case CallerDisconnected:
			if e != nil {
				e.removeWaiter(in.Invocation)
			}
		case WriteSucceeded, WriteFailed:
			if e != nil {
				k.handleWritten(now, e, in.Kind == WriteSucceeded)
			}
		case RunEnded:
			if e != nil && e.state == stateRunning {
				k.handleRunEnded(now, e, in)
			}
		case CompletedElsewhere, UnknownElsewhere, MismatchElsewhere, RejectedElsewhere:
			if e != nil && e.state == stateStarting {
				k.handleElsewhere(now, e, in)
			}
		case AnswerRequired:
			if e != nil {
				k.answerNow(now, e, in)
			}
		case OutcomeResolved:
			if e != nil && e.state == stateUnknown {
				k.resolve(e, in)
			}
		case TokenRemoved:
			if e != nil && (e.state == stateDone || e.state == stateUnknown) {
				k.remove(e)
			}
		}
	}
	return k.actions
}

func (k *Cache) handleInvocation(now int64, in *Input, e *entry) {
	switch {
	case e == nil:
		k.admit(now, in)
	case e.bodyHash != in.BodyHash:
		k.Counters.Mismatched++
		k.emit(Action{Kind: Mismatch, Invocation: in.Invocation, Key: in.Key})
	case e.state == stateDone:
		k.answer(e, in.Invocation, true)
	case e.state == stateUnknown && in.Idempotent && k.Counters.Bytes-e.reservedBytes+k.maxEntryBytes(in.Key) > k.config.MaxBytes:
		k.reject(now, in.Invocation, in.Key)
	case e.state == stateUnknown && in.Idempotent:
		k.Counters.Unknown--
		k.reserve(e, k.maxEntryBytes(in.Key)) // only that it ran was kept
		e.expiresAt = max(e.expiresAt, now+in.Remaining)
		k.start(e, in.Invocation)
	case e.state == stateUnknown:
		k.Counters.UnknownAnswered++
		k.emit(Action{Kind: OutcomeUnknown, Invocation: in.Invocation, Key: in.Key})
	default:
		k.Counters.Joined++
		e.expiresAt = max(e.expiresAt, now+in.Remaining) // should the first prove not to have run, this one's window counts
		e.waiters = append(e.waiters, in.Invocation)
		k.emit(Action{Kind: Join, Invocation: in.Invocation, Key: in.Key})
	}
}

// maxEntryBytes is what a token takes at the most, its result included: booked before it runs, so that what has run always
// has room for its end.
func (k *Cache) maxEntryBytes(key Key) int64 {
	return entryOverheadBytes + int64(len(key.Token)) + k.config.MaxResultBytes
}

func (k *Cache) reserve(e *entry, bytes int64) {
	k.Counters.Bytes += bytes - e.reservedBytes
	e.reservedBytes = bytes
}

// admit takes a new token on, or denies it unrun where there is no room: none inside its window is put out for it.
func (k *Cache) admit(now int64, in *Input) {
	if k.Counters.Bytes+k.maxEntryBytes(in.Key) > k.config.MaxBytes || in.Remaining <= 0 {
		k.reject(now, in.Invocation, in.Key)
		return
	}
	e := &entry{key: in.Key, bodyHash: in.BodyHash, expiresAt: now + in.Remaining, heapIndex: -1}
	k.entries[in.Key] = e
	k.Counters.Entries++
	k.reserve(e, k.maxEntryBytes(in.Key))
	k.start(e, in.Invocation)
}

// start has a token run, once that it does is on disk.
func (k *Cache) start(e *entry, asker int32) {
	e.runner, e.state = asker, stateRunning
	if e.heapIndex >= 0 {
		heap.Remove(&k.expiry, e.heapIndex)
	}
	k.Counters.Running++
	if k.config.Durability == OnDisk {
		e.state = stateStarting
		k.emit(Action{Kind: Join, Invocation: asker, Key: e.key})
		k.emit(Action{Kind: WriteStart, Key: e.key, BodyHash: e.bodyHash, Until: e.expiresAt})
		return
	}
	k.run(e)
}

func (k *Cache) run(e *entry) {
	e.state = stateRunning
	k.Counters.Ran++
	k.emit(Action{Kind: Run, Invocation: e.runner, Key: e.key})
}

func (k *Cache) reject(now int64, asker int32, key Key) {
	k.Counters.Denied++
	back := int64(0)
	if len(k.expiry) > 0 {
		back = max(0, k.expiry[0].expiresAt-now)
	}
	k.emit(Action{Kind: Reject, Invocation: asker, Key: key, RetryAfter: back})
}

// removeWaiter takes an invocation out of those that wait; a run that began goes on for the others and for the token.
func (e *entry) removeWaiter(asker int32) {
	if e.runner == asker {
		e.runner = -1
	}
	e.waiters = slices.DeleteFunc(e.waiters, func(i int32) bool { return i == asker })
}

// handleWritten goes on with a token once its record is on disk, or could not be had there. Before a run that failure is no
// harm: nothing ran, so it may be denied. After a run the answer is given all the same, as it is true; but a repeat
// after a crash would find the run unknown, which is counted.
func (k *Cache) handleWritten(now int64, e *entry, ok bool) {
	k.storeFailing = !ok
	switch {
	case e.state == stateEnding:
		if !ok {
			k.Counters.Lost++
		}
		k.complete(e)
	case e.state != stateStarting:
	case !ok && k.config.OnStoreFailure == RejectOnStoreFailure:
		for _, asker := range append([]int32{e.runner}, e.waiters...) {
			if asker >= 0 {
				k.reject(now, asker, e.key)
			}
		}
		k.Counters.Running--
		k.remove(e)
	default:
		if e.runner < 0 && len(e.waiters) > 0 { // its first caller left before it ran
			e.runner, e.waiters = e.waiters[0], e.waiters[1:]
		}
		if e.runner < 0 { // nobody waits, and nothing ran
			k.Counters.Running--
			k.remove(e)
			return
		}
		k.run(e)
	}
}

// handleElsewhere ends a token that was to begin here with what became of it at another node.
func (k *Cache) handleElsewhere(now int64, e *entry, in *Input) {
	all := e.waiters
	if e.runner >= 0 {
		all = append([]int32{e.runner}, all...)
	}
	k.Counters.Running--
	if in.Kind == CompletedElsewhere {
		e.setOutcome(k, in.Outcome, in.Result)
		e.state, e.runner, e.waiters = stateDone, -1, nil
		heap.Push(&k.expiry, e)
		for _, asker := range all {
			k.answer(e, asker, true)
		}
		return
	}
	for _, asker := range all {
		k.answerWithoutRun(now, e, asker, in)
	}
	k.remove(e)
}

// answerWithoutRun answers one that waits for a token, which goes on without it.
func (k *Cache) answerWithoutRun(now int64, e *entry, asker int32, in *Input) {
	switch {
	case in.Kind == MismatchElsewhere:
		k.Counters.Mismatched++
		k.emit(Action{Kind: Mismatch, Invocation: asker, Key: e.key})
	case in.Kind == UnknownElsewhere || in.MayHaveRun:
		k.Counters.UnknownAnswered++
		k.emit(Action{Kind: OutcomeUnknown, Invocation: asker, Key: e.key})
	case in.Remaining > 0:
		k.Counters.Denied++
		k.emit(Action{Kind: Reject, Invocation: asker, Key: e.key, RetryAfter: in.Remaining})
	default:
		k.reject(now, asker, e.key)
	}
}

// answerNow answers one that can't wait any longer, or with -1 for an asker drops a token that nobody waits for. Of a token whose run is over it is told the end, which is true though it
// may not be kept yet; one whose run goes on is told nothing.
func (k *Cache) answerNow(now int64, e *entry, in *Input) {
	if e.runner != in.Invocation && !slices.Contains(e.waiters, in.Invocation) {
		return
	}
	switch e.state {
	case stateEnding:
		k.handleWritten(now, e, false)
	case stateStarting:
		if e.removeWaiter(in.Invocation); in.Invocation >= 0 {
			k.answerWithoutRun(now, e, in.Invocation, in)
		}
		if e.runner < 0 && len(e.waiters) == 0 {
			k.Counters.Running--
			k.remove(e)
		}
	}
}

// handleRunEnded keeps how a run handleRunEnded. One that proved not to have run goes to the next that waits, if any.
func (k *Cache) handleRunEnded(now int64, e *entry, in *Input) {
	if in.Outcome == NeverStarted {
		k.Counters.Ran--
		k.Counters.Running--
		if e.runner >= 0 {
			k.reject(now, e.runner, e.key)
		}
		if len(e.waiters) == 0 {
			k.remove(e)
			return
		}
		next := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.runner = next
		k.Counters.Running++
		k.run(e)
		return
	}
	e.setOutcome(k, in.Outcome, in.Result)
	if k.config.Durability == OnDisk {
		e.state = stateEnding
		told := e.outcome
		if e.resultNotCached {
			told = ResultNotCached
		}
		k.emit(Action{Kind: WriteEnd, Key: e.key, Outcome: told, Result: e.result})
		return
	}
	k.complete(e)
}

func (e *entry) setOutcome(k *Cache, ending Outcome, result []byte) {
	e.outcome, e.result = ending, result
	if ending == ResultNotCached {
		e.outcome, e.resultNotCached, e.result = Succeeded, true, nil
	} else if int64(len(result)) > k.config.MaxResultBytes {
		e.resultNotCached, e.result = true, nil
		k.Counters.NotKept++
	}
	k.reserve(e, entryOverheadBytes+int64(len(e.key.Token)+len(e.result)))
}

// complete answers all that wait for a token; it expires from now on.
func (k *Cache) complete(e *entry) {
	e.state = stateDone
	k.Counters.Running--
	heap.Push(&k.expiry, e)
	if e.runner >= 0 {
		k.answer(e, e.runner, false)
	}
	for _, asker := range e.waiters {
		k.answer(e, asker, true)
	}
	e.runner, e.waiters = -1, nil
}

func (k *Cache) answer(e *entry, asker int32, kept bool) {
	if kept {
		k.Counters.Kept++
	}
	a := Action{Kind: Serve, Invocation: asker, Key: e.key, Result: e.result, FromCache: kept}
	if e.outcome != Succeeded || e.resultNotCached {
		a.Kind, a.Result, a.ResultNotCached = Fail, nil, e.resultNotCached
	}
	k.emit(a)
}

// recoverRecord takes a record of an earlier life. How much of a window is left can't be told from a clock that may have
// been set since, so all are kept for the longest window again: at most once goes before freshness.
func (k *Cache) recoverRecord(now int64, in *Input, e *entry) {
	if e == nil {
		e = &entry{key: in.Key, bodyHash: in.BodyHash, state: stateUnknown, runner: -1, heapIndex: -1}
		k.entries[in.Key] = e
		k.Counters.Entries++
		k.Counters.Unknown++
	}
	e.expiresAt = now + k.config.Window
	k.reserve(e, entryOverheadBytes+int64(len(in.Key.Token)))
	if in.Completed && e.state == stateUnknown {
		e.state = stateDone
		k.Counters.Unknown--
		e.setOutcome(k, in.Outcome, in.Result)
	}
}

func (k *Cache) completeRecovery(now int64) {
	for _, e := range k.entries {
		if e.heapIndex < 0 && (e.state == stateDone || e.state == stateUnknown) {
			e.heapIndex = len(k.expiry)
			k.expiry = append(k.expiry, e)
		}
	}
	heap.Init(&k.expiry)
}

func (k *Cache) resolve(e *entry, in *Input) {
	k.Counters.Unknown--
	e.state = stateDone
	e.setOutcome(k, in.Outcome, in.Result)
}

func (k *Cache) remove(e *entry) {
	if e.heapIndex >= 0 {
		heap.Remove(&k.expiry, e.heapIndex)
	}
	if e.state == stateUnknown {
		k.Counters.Unknown--
	}
	k.reserve(e, 0)
	delete(k.entries, e.key)
	k.Counters.Entries--
	k.emit(Action{Kind: RemoveRecord, Key: e.key})
}

// expire drops what is past its window. One whose run goes on is never dropped.
func (k *Cache) expire(now int64) {
	for len(k.expiry) > 0 && k.expiry[0].expiresAt < now {
		k.remove(k.expiry[0])
	}
}

// BodyHash is the hash of the body that a token came with, false where it is not known.
func (k *Cache) BodyHash(key Key) (uint64, bool) {
	if e := k.entries[key]; e != nil {
		return e.bodyHash, true
	}
	return 0, false
}

// JoinedCount is how many wait for the run of a token beside the one whose invocation runs.
func (k *Cache) JoinedCount(key Key) int {
	if e := k.entries[key]; e != nil {
		return len(e.waiters)
	}
	return 0
}

// Waiters are those who wait for a token, and whether its run has not begun yet.
func (k *Cache) Waiters(key Key) (list []int32, unrun bool) {
	e := k.entries[key]
	if e == nil {
		return nil, false
	}
	if e.runner >= 0 {
		list = append(list, e.runner)
	}
	return append(list, e.waiters...), e.state == stateStarting
}

// NextExpiry is when the next token expires, math.MaxInt64 where none does.
func (k *Cache) NextExpiry() int64 {
	if len(k.expiry) == 0 {
		return math.MaxInt64
	}
	return k.expiry[0].expiresAt + 1
}

// StoreFailing says whether the store failed last.
func (k *Cache) StoreFailing() bool { return k.storeFailing }

// expiry is a heap of those that may expire.
type expiry []*entry

func (x expiry) Len() int           { return len(x) }
func (x expiry) Less(a, b int) bool { return x[a].expiresAt < x[b].expiresAt }
func (x expiry) Swap(a, b int)      { x[a], x[b] = x[b], x[a]; x[a].heapIndex, x[b].heapIndex = a, b }
func (x *expiry) Push(e any)        { e.(*entry).heapIndex = len(*x); *x = append(*x, e.(*entry)) }
func (x *expiry) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	last.heapIndex = -1
	return last
}
