package resultcache

import (
	"fmt"
)

const testWindow = int64(5_000_000_000)

var testConfig = Config{Durability: OnDisk, MaxBytes: 4_000, MaxResultBytes: 100, Window: testWindow}

func testKey(n int) Key { return Key{Operation: 1, Tenant: -1, Token: fmt.Sprint("token-", n)} }

func invocation(asker int32, n int) Input {
	return Input{Kind: InvocationReceived, Invocation: asker, Key: testKey(n), BodyHash: 7, Remaining: testWindow}
}

func actionKinds(actions []Action) (list []ActionKind) {
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

// storedRecord is one on the disk of the model.
type storedRecord struct {
	bodyHash  uint64
	completed bool
	outcome   Outcome
	result    string
}

// model drives a keeper as a node and its disk would, crashes included, and checks what must hold at each step.
type model struct {
	t              interface{ Fatalf(string, ...any) }
	config         Config
	cache          *Cache
	now            int64
	disk           map[Key]storedRecord
	pendingWrites  []Action       // on their way to the disk
	running        map[Key]bool   // at the executor, in this life
	forbiddenUntil map[Key]int64  // until when a second run would break the rule
	results        map[Key]string // of the run
	waiting        map[int32]Key  // askers without an answer
	arrivedAt      map[int32]int64
	lastInvocation int32
	runs           int
}

func newModel(t interface{ Fatalf(string, ...any) }, rules Config) *model {
	return &model{t: t, config: rules, cache: New(rules), disk: map[Key]storedRecord{}, running: map[Key]bool{}, forbiddenUntil: map[Key]int64{},
		results: map[Key]string{}, waiting: map[int32]Key{}, arrivedAt: map[int32]int64{}}
}

func (m *model) step(inputs ...Input) {
	for _, a := range m.cache.Step(m.now, inputs) {
		m.carryOut(a)
	}
	if m.cache.Counters.Bytes > m.config.MaxBytes {
		m.t.Fatalf("%d bytes where %d are allowed", m.cache.Counters.Bytes, m.config.MaxBytes)
	}
	if m.cache.Counters.Entries != len(m.cache.entries) {
		m.t.Fatalf("%d entries counted, %d held", m.cache.Counters.Entries, len(m.cache.entries))
	}
}

func (m *model) carryOut(a Action) {
	switch a.Kind {
	case Run:
		if m.now < m.forbiddenUntil[a.Key] {
			m.t.Fatalf("%v ran twice within its window", a.Key)
		}
		if m.config.Durability == OnDisk && m.config.OnStoreFailure == RejectOnStoreFailure {
			if _, written := m.disk[a.Key]; !written {
				m.t.Fatalf("%v runs before that is on disk", a.Key)
			}
		}
		m.forbiddenUntil[a.Key], m.running[a.Key] = m.arrivedAt[a.Invocation]+testWindow, true
		m.runs++
		m.results[a.Key] = fmt.Sprint("result ", m.runs)
	case WriteStart, WriteEnd:
		m.pendingWrites = append(m.pendingWrites, a)
	case RemoveRecord:
		delete(m.disk, a.Key)
	case Serve, Fail, Reject, Mismatch, OutcomeUnknown:
		if _, waits := m.waiting[a.Invocation]; !waits {
			m.t.Fatalf("asker %d is answered though it does not wait", a.Invocation)
		}
		delete(m.waiting, a.Invocation)
		if a.Kind == Serve && string(a.Result) != m.results[a.Key] {
			m.t.Fatalf("%v served %q where its run gave %q", a.Key, a.Result, m.results[a.Key])
		}
	}
}

func (m *model) invoke(n int, body uint64) {
	m.lastInvocation++
	m.waiting[m.lastInvocation], m.arrivedAt[m.lastInvocation] = testKey(n), m.now
	in := invocation(m.lastInvocation, n)
	in.BodyHash = body
	m.step(in)
}

// finishWrite ends the oldest finishWrite.
func (m *model) finishWrite(ok bool) {
	if len(m.pendingWrites) == 0 {
		return
	}
	a := m.pendingWrites[0]
	m.pendingWrites = m.pendingWrites[1:]
	in := Input{Kind: WriteFailed, Key: a.Key}
	if ok {
		in.Kind = WriteSucceeded
		r := m.disk[a.Key]
		if a.Kind == WriteStart {
			r = storedRecord{bodyHash: a.BodyHash}
		} else {
			r.completed, r.outcome, r.result = true, a.Outcome, string(a.Result)
		}
		m.disk[a.Key] = r
	}
	m.step(in)
}

func (m *model) endRun(n int, ending Outcome) {
	if !m.running[testKey(n)] {
		return
	}
	delete(m.running, testKey(n))
	if ending == NeverStarted {
		m.forbiddenUntil[testKey(n)] = 0
	}
	m.step(Input{Kind: RunEnded, Key: testKey(n), Outcome: ending, Result: []byte(m.results[testKey(n)])})
}

// crash loses memory, what was on its way to the disk, and those that waited.
func (m *model) crash() {
	m.cache, m.pendingWrites, m.running, m.waiting = New(m.config), nil, map[Key]bool{}, map[int32]Key{}
	var found []Input
	for n := range 20 {
		if r, kept := m.disk[testKey(n)]; kept {
			found = append(found, Input{Kind: RecordRecovered, Key: testKey(n), BodyHash: r.bodyHash, Completed: r.completed, Outcome: r.outcome, Result: []byte(r.result)})
		}
	}
	m.step(append(found, Input{Kind: RecoveryCompleted})...)
}

// drain ends all that goes on; then nobody may wait any more.
func (m *model) drain() {
	for len(m.pendingWrites) > 0 || len(m.running) > 0 {
		m.finishWrite(true)
		for n := range 20 {
			m.endRun(n, Succeeded)
		}
	}
	if len(m.waiting) > 0 {
		m.t.Fatalf("%d askers were never answered", len(m.waiting))
	}
}

// panicReporter ends a schedule by a panic, which its seed is told with.
type panicReporter struct{}

func (panicReporter) Fatalf(form string, values ...any) { panic(fmt.Sprintf(form, values...)) }
