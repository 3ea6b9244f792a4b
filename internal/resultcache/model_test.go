package resultcache

import (
	"fmt"
	"maps"
	"slices"
)

// storedRecord is a record on the disk of the model.
type storedRecord struct {
	bodyHash  uint64
	completed bool
	outcome   Outcome
	result    string
}

// failureReporter is the part of a test that the model needs.
type failureReporter interface{ Fatalf(string, ...any) }

// model drives a cache as a node and its disk would, crashes included, and checks the invariants at each step.
type model struct {
	t              failureReporter
	config         Config
	cache          *Cache
	now            int64
	disk           map[Key]storedRecord
	pendingWrites  []Action       // on their way to the disk
	running        map[Key]bool   // at the executor, in this incarnation
	forbiddenUntil map[Key]int64  // until when a second run is a violation
	results        map[Key]string // of the run
	waiting        map[int32]Key  // invocations without an answer
	arrivedAt      map[int32]int64
	lastInvocation int32
	runs           int
}

func newModel(t failureReporter, config Config) *model {
	return &model{
		t:              t,
		config:         config,
		cache:          New(config),
		disk:           map[Key]storedRecord{},
		running:        map[Key]bool{},
		forbiddenUntil: map[Key]int64{},
		results:        map[Key]string{},
		waiting:        map[int32]Key{},
		arrivedAt:      map[int32]int64{},
	}
}

func (m *model) step(inputs ...Input) {
	for _, a := range m.cache.Step(m.now, inputs) {
		m.carryOut(a)
	}
	if m.cache.Counters.Bytes > m.config.MaxBytes {
		m.t.Fatalf("%d bytes where %d are allowed", m.cache.Counters.Bytes, m.config.MaxBytes)
	}
	if m.cache.Counters.Entries != len(m.cache.entries) {
		m.t.Fatalf("%d entries counted, %d in the cache", m.cache.Counters.Entries, len(m.cache.entries))
	}
}

func (m *model) carryOut(action Action) {
	switch action.Kind {
	case Run:
		m.run(action)
	case WriteStart, WriteEnd:
		m.pendingWrites = append(m.pendingWrites, action)
	case RemoveRecord:
		delete(m.disk, action.Key)
	case Serve, Fail, Reject, Mismatch, OutcomeUnknown:
		if _, waits := m.waiting[action.Invocation]; !waits {
			m.t.Fatalf("invocation %d is answered though it does not wait", action.Invocation)
		}
		delete(m.waiting, action.Invocation)
		if action.Kind == Serve && string(action.Result) != m.results[action.Key] {
			m.t.Fatalf("%v served %q where its run gave %q", action.Key, action.Result, m.results[action.Key])
		}
	}
}

func (m *model) run(action Action) {
	if m.now < m.forbiddenUntil[action.Key] {
		m.t.Fatalf("%v ran twice within its window", action.Key)
	}
	if m.config.Durability == OnDisk && m.config.OnStoreFailure == RejectOnStoreFailure {
		if _, written := m.disk[action.Key]; !written {
			m.t.Fatalf("%v runs before its start is on disk", action.Key)
		}
	}
	m.forbiddenUntil[action.Key] = m.arrivedAt[action.Invocation] + testWindow
	m.running[action.Key] = true
	m.runs++
	m.results[action.Key] = fmt.Sprint("result ", m.runs)
}

func (m *model) invoke(n int, bodyHash uint64) {
	m.lastInvocation++
	m.waiting[m.lastInvocation] = testKey(n)
	m.arrivedAt[m.lastInvocation] = m.now
	input := invocation(m.lastInvocation, n)
	input.BodyHash = bodyHash
	m.step(input)
}

// finishWrite ends the oldest write.
func (m *model) finishWrite(ok bool) {
	if len(m.pendingWrites) == 0 {
		return
	}
	action := m.pendingWrites[0]
	m.pendingWrites = m.pendingWrites[1:]
	if !ok {
		m.step(Input{Kind: WriteFailed, Key: action.Key})
		return
	}
	record := m.disk[action.Key]
	if action.Kind == WriteStart {
		record = storedRecord{bodyHash: action.BodyHash}
	} else {
		record.completed = true
		record.outcome = action.Outcome
		record.result = string(action.Result)
	}
	m.disk[action.Key] = record
	m.step(Input{Kind: WriteSucceeded, Key: action.Key})
}

func (m *model) endRun(n int, outcome Outcome) {
	if !m.running[testKey(n)] {
		return
	}
	delete(m.running, testKey(n))
	if outcome == NeverStarted {
		m.forbiddenUntil[testKey(n)] = 0
	}
	m.step(Input{Kind: RunEnded, Key: testKey(n), Outcome: outcome, Result: []byte(m.results[testKey(n)])})
}

// disconnect disconnects the caller of one invocation that waits, if one fits the draw.
func (m *model) disconnect(n int) {
	for _, invocation := range slices.Sorted(maps.Keys(m.waiting)) {
		if int(invocation)%5 == n%5 {
			delete(m.waiting, invocation)
			m.step(Input{Kind: CallerDisconnected, Invocation: invocation, Key: m.waitedKey(invocation)})
			return
		}
	}
}

// waitedKey is the key that an invocation waits for.
func (m *model) waitedKey(invocation int32) Key {
	for key, e := range m.cache.entries {
		if e.isWaiting(invocation) {
			return key
		}
	}
	return Key{}
}

// crash loses memory, the writes in progress, and the invocations that waited.
func (m *model) crash() {
	m.cache = New(m.config)
	m.pendingWrites = nil
	m.running = map[Key]bool{}
	m.waiting = map[int32]Key{}
	var inputs []Input
	for n := range 20 {
		if record, stored := m.disk[testKey(n)]; stored {
			inputs = append(inputs, Input{
				Kind:      RecordRecovered,
				Key:       testKey(n),
				BodyHash:  record.bodyHash,
				Completed: record.completed,
				Outcome:   record.outcome,
				Result:    []byte(record.result),
			})
		}
	}
	m.step(append(inputs, Input{Kind: RecoveryCompleted})...)
}

// drain ends all that is in progress; then no invocation may wait any more.
func (m *model) drain() {
	for len(m.pendingWrites) > 0 || len(m.running) > 0 {
		m.finishWrite(true)
		for n := range 20 {
			m.endRun(n, Succeeded)
		}
	}
	if len(m.waiting) > 0 {
		m.t.Fatalf("%d invocations were never answered", len(m.waiting))
	}
}

// panicReporter ends a schedule by a panic, so that its seed can be reported.
type panicReporter struct{}

func (panicReporter) Fatalf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }
