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

// Trouble says what becomes of tokened work while the store fails.
type Trouble uint8

// The ways: refuse it unrun, or go on with what memory holds.
const (
	Refuse Trouble = iota
	GoOn
)

// Rules are what operators chose. Sizes are bytes.
type Rules struct {
	Durability Durability
	Trouble    Trouble
	BytesMost  int64 // of tokens and results, those that may still come included
	ResultMost int64 // of one result; a larger one is not kept, only that it ran
	Window     int64 // ns, the longest window of any operation: all that is recovered is kept for it
}

const entryBytes = 160 // of one token beside its text and its result: its record, index and timers

// TokensMost is how many tokens there is room for at the most, each with no result.
func (r *Rules) TokensMost() int { return max(1, int(r.BytesMost/entryBytes)) }

// Ending is how a run ended.
type Ending uint8

// The endings; NotRun proves that nothing ran, NotKept says that it succeeded with a result too large to be kept.
const (
	Succeeded Ending = iota
	Errored
	NotRun
	NotKept
)

// InputKind names what happened.
type InputKind uint8

// The inputs.
const (
	Asked     InputKind = iota // an invocation with a token was read
	Left                       // its caller is gone, or it was answered by its own client timeout
	Written                    // the record of a token is on disk
	Unwritten                  // it could not be written
	Ended                      // the run of a token ended
	Settled                    // operators say how one of unknown outcome ended
	Forgotten                  // operators have a token forgotten
	Recovered                  // a record was found on disk at the start
	Restarted                  // all records were found
	Learned                    // what a token that was to begin came to elsewhere
	Doubted                    // it may have run elsewhere, how that ended is not known
	Clashed                    // it came with another body elsewhere
	Denied                     // there is no room for it, elsewhere; nothing ran
	Dismissed                  // one that waits has to be answered now; Doubt says whether the token may have run
)

// Input is one thing that happened; only the fields of its kind are set.
type Input struct {
	Kind   InputKind
	Asker  int32 // Asked, Left: the invocation
	Key    Key
	Body   uint64 // Asked, Recovered: hash of the invocation's body
	Again  bool   // Asked: its operation may run again though the outcome of an earlier run is unknown
	For    int64  // Asked: ns of the window that is left
	Ending Ending // Ended, Settled; Recovered where Done
	Result []byte // of a run that succeeded
	Done   bool   // Recovered: the record is that of an end
	Doubt  bool   // Dismissed
}

// Stored is what the store keeps of a token: that its run begins, or how it ended.
type Stored struct {
	Key    Key
	Body   uint64 // hash of the invocation's body
	For    int64  // ns of its window that are left
	Done   bool   // it tells of an end
	Ending Ending
	Result []byte
}

// ActionKind names what to do.
type ActionKind uint8

// The actions. Each Asked is followed by one of Join or Run and later an answer, or by an answer at once, unless it
// left. Answers are Serve, Fail, Deny, Mismatch and Unknown.
const (
	Run      ActionKind = iota // the asker's invocation may run, as the only one of its token
	Join                       // it waits for the run of another
	Serve                      // answer with the result
	Fail                       // answer that the run failed, or that its result was not kept (NotKept)
	Deny                       // throttle unrun, to come back after For
	Mismatch                   // errored: the token came with another body before
	Unknown                    // errored: a run began before a crash, its outcome is not known
	Begin                      // write that a run of the key begins, giving Written or Unwritten
	Finish                     // write how it ended, giving the same
	Drop                       // the key may be taken out of the store
)

// Action is one thing to do; only the fields of its kind are set.
type Action struct {
	Kind    ActionKind
	Asker   int32
	Key     Key
	Body    uint64 // Begin
	Until   int64  // Begin: the end of the window
	For     int64  // Deny
	Ending  Ending // Finish
	Result  []byte // Serve, Finish
	Kept    bool   // Serve, Fail: it is the result of another invocation's run
	NotKept bool   // Fail: it succeeded, but the result was too large to be kept
}

type state uint8

const (
	beginning state = iota // its intent is on the way to the disk
	running
	finishing // its end is on the way to the disk
	done
	unknown
)

type entry struct {
	state   state
	key     Key
	body    uint64
	until   int64
	runner  int32 // whose invocation runs, -1 once it has left or before any
	waiting []int32
	ending  Ending
	result  []byte
	booked  int64 // bytes
	large   bool  // the result was not kept
	place   int   // among those that expire, -1 where it may not yet
}

// Counts are what operators see.
type Counts struct {
	Entries, Unknown, Running                                             int
	Bytes                                                                 int64
	Ran, Joined, Kept, Denied, Mismatched, UnknownAnswered, NotKept, Lost int
}

// Keeper is the state of all tokens of a node.
type Keeper struct {
	Counts  Counts
	rules   Rules
	entries map[Key]*entry
	expiry  expiry
	out     []Action
	failing bool // the store failed last
}

// New is a keeper of nothing.
func New(rules Rules) *Keeper {
	return &Keeper{rules: rules, entries: make(map[Key]*entry)}
}

func (k *Keeper) do(a Action) { k.out = append(k.out, a) }

// Step takes what happened at a moment of a clock that only advances, and returns what to do, valid until the next
// step.
func (k *Keeper) Step(now int64, inputs []Input) []Action {
	k.out = k.out[:0]
	k.expire(now)
	for i := range inputs {
		in := &inputs[i]
		e := k.entries[in.Key]
		switch in.Kind {
		case Asked:
			k.asked(now, in, e)
		case Recovered:
			k.recovered(now, in, e)
		case Restarted:
			k.restarted(now)
		case Left:
			if e != nil {
				e.leave(in.Asker)
			}
		case Written, Unwritten:
			if e != nil {
				k.written(now, e, in.Kind == Written)
			}
		case Ended:
			if e != nil && e.state == running {
				k.ended(now, e, in)
			}
		case Learned, Doubted, Clashed, Denied:
			if e != nil && e.state == beginning {
				k.elsewhere(now, e, in)
			}
		case Dismissed:
			if e != nil {
				k.dismiss(now, e, in)
			}
		case Settled:
			if e != nil && e.state == unknown {
				k.settle(e, in)
			}
		case Forgotten:
			if e != nil && (e.state == done || e.state == unknown) {
				k.drop(e)
			}
		}
	}
	return k.out
}

func (k *Keeper) asked(now int64, in *Input, e *entry) {
	switch {
	case e == nil:
		k.begin(now, in)
	case e.body != in.Body:
		k.Counts.Mismatched++
		k.do(Action{Kind: Mismatch, Asker: in.Asker, Key: in.Key})
	case e.state == done:
		k.answer(e, in.Asker, true)
	case e.state == unknown && in.Again && k.Counts.Bytes-e.booked+k.need(in.Key) > k.rules.BytesMost:
		k.deny(now, in.Asker, in.Key)
	case e.state == unknown && in.Again:
		k.Counts.Unknown--
		k.book(e, k.need(in.Key)) // only that it ran was kept
		e.until = max(e.until, now+in.For)
		k.start(e, in.Asker)
	case e.state == unknown:
		k.Counts.UnknownAnswered++
		k.do(Action{Kind: Unknown, Asker: in.Asker, Key: in.Key})
	default:
		k.Counts.Joined++
		e.until = max(e.until, now+in.For) // should the first prove not to have run, this one's window counts
		e.waiting = append(e.waiting, in.Asker)
		k.do(Action{Kind: Join, Asker: in.Asker, Key: in.Key})
	}
}

// need is what a token takes at the most, its result included: booked before it runs, so that what has run always
// has room for its end.
func (k *Keeper) need(key Key) int64 { return entryBytes + int64(len(key.Token)) + k.rules.ResultMost }

func (k *Keeper) book(e *entry, bytes int64) {
	k.Counts.Bytes += bytes - e.booked
	e.booked = bytes
}

// begin takes a new token on, or denies it unrun where there is no room: none inside its window is put out for it.
func (k *Keeper) begin(now int64, in *Input) {
	if k.Counts.Bytes+k.need(in.Key) > k.rules.BytesMost || in.For <= 0 {
		k.deny(now, in.Asker, in.Key)
		return
	}
	e := &entry{key: in.Key, body: in.Body, until: now + in.For, place: -1}
	k.entries[in.Key] = e
	k.Counts.Entries++
	k.book(e, k.need(in.Key))
	k.start(e, in.Asker)
}

// start has a token run, once that it does is on disk.
func (k *Keeper) start(e *entry, asker int32) {
	e.runner, e.state = asker, running
	if e.place >= 0 {
		heap.Remove(&k.expiry, e.place)
	}
	k.Counts.Running++
	if k.rules.Durability == OnDisk {
		e.state = beginning
		k.do(Action{Kind: Join, Asker: asker, Key: e.key})
		k.do(Action{Kind: Begin, Key: e.key, Body: e.body, Until: e.until})
		return
	}
	k.run(e)
}

func (k *Keeper) run(e *entry) {
	e.state = running
	k.Counts.Ran++
	k.do(Action{Kind: Run, Asker: e.runner, Key: e.key})
}

func (k *Keeper) deny(now int64, asker int32, key Key) {
	k.Counts.Denied++
	back := int64(0)
	if len(k.expiry) > 0 {
		back = max(0, k.expiry[0].until-now)
	}
	k.do(Action{Kind: Deny, Asker: asker, Key: key, For: back})
}

// leave takes an invocation out of those that wait; a run that began goes on for the others and for the token.
func (e *entry) leave(asker int32) {
	if e.runner == asker {
		e.runner = -1
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(i int32) bool { return i == asker })
}

// written goes on with a token once its record is on disk, or could not be had there. Before a run that failure is no
// harm: nothing ran, so it may be denied. After a run the answer is given all the same, as it is true; but a repeat
// after a crash would find the run unknown, which is counted.
func (k *Keeper) written(now int64, e *entry, ok bool) {
	k.failing = !ok
	switch {
	case e.state == finishing:
		if !ok {
			k.Counts.Lost++
		}
		k.finish(e)
	case e.state != beginning:
	case !ok && k.rules.Trouble == Refuse:
		for _, asker := range append([]int32{e.runner}, e.waiting...) {
			if asker >= 0 {
				k.deny(now, asker, e.key)
			}
		}
		k.Counts.Running--
		k.drop(e)
	default:
		if e.runner < 0 && len(e.waiting) > 0 { // its first caller left before it ran
			e.runner, e.waiting = e.waiting[0], e.waiting[1:]
		}
		if e.runner < 0 { // nobody waits, and nothing ran
			k.Counts.Running--
			k.drop(e)
			return
		}
		k.run(e)
	}
}

// elsewhere ends a token that was to begin here with what became of it at another node.
func (k *Keeper) elsewhere(now int64, e *entry, in *Input) {
	all := e.waiting
	if e.runner >= 0 {
		all = append([]int32{e.runner}, all...)
	}
	k.Counts.Running--
	if in.Kind == Learned {
		e.keep(k, in.Ending, in.Result)
		e.state, e.runner, e.waiting = done, -1, nil
		heap.Push(&k.expiry, e)
		for _, asker := range all {
			k.answer(e, asker, true)
		}
		return
	}
	for _, asker := range all {
		k.part(now, e, asker, in)
	}
	k.drop(e)
}

// part answers one that waits for a token, which goes on without it.
func (k *Keeper) part(now int64, e *entry, asker int32, in *Input) {
	switch {
	case in.Kind == Clashed:
		k.Counts.Mismatched++
		k.do(Action{Kind: Mismatch, Asker: asker, Key: e.key})
	case in.Kind == Doubted || in.Doubt:
		k.Counts.UnknownAnswered++
		k.do(Action{Kind: Unknown, Asker: asker, Key: e.key})
	case in.For > 0:
		k.Counts.Denied++
		k.do(Action{Kind: Deny, Asker: asker, Key: e.key, For: in.For})
	default:
		k.deny(now, asker, e.key)
	}
}

// dismiss answers one that can't wait any longer, or with -1 for an asker drops a token that nobody waits for. Of a token whose run is over it is told the end, which is true though it
// may not be kept yet; one whose run goes on is told nothing.
func (k *Keeper) dismiss(now int64, e *entry, in *Input) {
	if e.runner != in.Asker && !slices.Contains(e.waiting, in.Asker) {
		return
	}
	switch e.state {
	case finishing:
		k.written(now, e, false)
	case beginning:
		if e.leave(in.Asker); in.Asker >= 0 {
			k.part(now, e, in.Asker, in)
		}
		if e.runner < 0 && len(e.waiting) == 0 {
			k.Counts.Running--
			k.drop(e)
		}
	}
}

// ended keeps how a run ended. One that proved not to have run goes to the next that waits, if any.
func (k *Keeper) ended(now int64, e *entry, in *Input) {
	if in.Ending == NotRun {
		k.Counts.Ran--
		k.Counts.Running--
		if e.runner >= 0 {
			k.deny(now, e.runner, e.key)
		}
		if len(e.waiting) == 0 {
			k.drop(e)
			return
		}
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.runner = next
		k.Counts.Running++
		k.run(e)
		return
	}
	e.keep(k, in.Ending, in.Result)
	if k.rules.Durability == OnDisk {
		e.state = finishing
		told := e.ending
		if e.large {
			told = NotKept
		}
		k.do(Action{Kind: Finish, Key: e.key, Ending: told, Result: e.result})
		return
	}
	k.finish(e)
}

func (e *entry) keep(k *Keeper, ending Ending, result []byte) {
	e.ending, e.result = ending, result
	if ending == NotKept {
		e.ending, e.large, e.result = Succeeded, true, nil
	} else if int64(len(result)) > k.rules.ResultMost {
		e.large, e.result = true, nil
		k.Counts.NotKept++
	}
	k.book(e, entryBytes+int64(len(e.key.Token)+len(e.result)))
}

// finish answers all that wait for a token; it expires from now on.
func (k *Keeper) finish(e *entry) {
	e.state = done
	k.Counts.Running--
	heap.Push(&k.expiry, e)
	if e.runner >= 0 {
		k.answer(e, e.runner, false)
	}
	for _, asker := range e.waiting {
		k.answer(e, asker, true)
	}
	e.runner, e.waiting = -1, nil
}

func (k *Keeper) answer(e *entry, asker int32, kept bool) {
	if kept {
		k.Counts.Kept++
	}
	a := Action{Kind: Serve, Asker: asker, Key: e.key, Result: e.result, Kept: kept}
	if e.ending != Succeeded || e.large {
		a.Kind, a.Result, a.NotKept = Fail, nil, e.large
	}
	k.do(a)
}

// recovered takes a record of an earlier life. How much of a window is left can't be told from a clock that may have
// been set since, so all are kept for the longest window again: at most once goes before freshness.
func (k *Keeper) recovered(now int64, in *Input, e *entry) {
	if e == nil {
		e = &entry{key: in.Key, body: in.Body, state: unknown, runner: -1, place: -1}
		k.entries[in.Key] = e
		k.Counts.Entries++
		k.Counts.Unknown++
	}
	e.until = now + k.rules.Window
	k.book(e, entryBytes+int64(len(in.Key.Token)))
	if in.Done && e.state == unknown {
		e.state = done
		k.Counts.Unknown--
		e.keep(k, in.Ending, in.Result)
	}
}

func (k *Keeper) restarted(now int64) {
	for _, e := range k.entries {
		if e.place < 0 && (e.state == done || e.state == unknown) {
			e.place = len(k.expiry)
			k.expiry = append(k.expiry, e)
		}
	}
	heap.Init(&k.expiry)
}

func (k *Keeper) settle(e *entry, in *Input) {
	k.Counts.Unknown--
	e.state = done
	e.keep(k, in.Ending, in.Result)
}

func (k *Keeper) drop(e *entry) {
	if e.place >= 0 {
		heap.Remove(&k.expiry, e.place)
	}
	if e.state == unknown {
		k.Counts.Unknown--
	}
	k.book(e, 0)
	delete(k.entries, e.key)
	k.Counts.Entries--
	k.do(Action{Kind: Drop, Key: e.key})
}

// expire drops what is past its window. One whose run goes on is never dropped.
func (k *Keeper) expire(now int64) {
	for len(k.expiry) > 0 && k.expiry[0].until < now {
		k.drop(k.expiry[0])
	}
}

// Body is the hash of the body that a token came with, false where it is not known.
func (k *Keeper) Body(key Key) (uint64, bool) {
	if e := k.entries[key]; e != nil {
		return e.body, true
	}
	return 0, false
}

// Waiting is how many wait for the run of a token beside the one whose invocation runs.
func (k *Keeper) Waiting(key Key) int {
	if e := k.entries[key]; e != nil {
		return len(e.waiting)
	}
	return 0
}

// Askers are those who wait for a token, and whether its run has not begun yet.
func (k *Keeper) Askers(key Key) (list []int32, unrun bool) {
	e := k.entries[key]
	if e == nil {
		return nil, false
	}
	if e.runner >= 0 {
		list = append(list, e.runner)
	}
	return append(list, e.waiting...), e.state == beginning
}

// Due is when the next token expires, math.MaxInt64 where none does.
func (k *Keeper) Due() int64 {
	if len(k.expiry) == 0 {
		return math.MaxInt64
	}
	return k.expiry[0].until + 1
}

// Failing says whether the store failed last.
func (k *Keeper) Failing() bool { return k.failing }

// expiry is a heap of those that may expire.
type expiry []*entry

func (x expiry) Len() int           { return len(x) }
func (x expiry) Less(a, b int) bool { return x[a].until < x[b].until }
func (x expiry) Swap(a, b int)      { x[a], x[b] = x[b], x[a]; x[a].place, x[b].place = a, b }
func (x *expiry) Push(e any)        { e.(*entry).place = len(*x); *x = append(*x, e.(*entry)) }
func (x *expiry) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	last.place = -1
	return last
}
