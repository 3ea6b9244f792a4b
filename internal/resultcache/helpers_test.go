package resultcache

import (
	"fmt"
)

const window = int64(5_000_000_000)

var rules = Config{Durability: OnDisk, MaxBytes: 4_000, MaxResultBytes: 100, Window: window}

func key(n int) Key { return Key{Operation: 1, Tenant: -1, Token: fmt.Sprint("token-", n)} }

func ask(asker int32, n int) Input {
	return Input{Kind: InvocationReceived, Invocation: asker, Key: key(n), BodyHash: 7, Remaining: window}
}

func kinds(actions []Action) (list []ActionKind) {
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

// record is one on the disk of the model.
type record struct {
	body   uint64
	done   bool
	ending Outcome
	result string
}

// model drives a keeper as a node and its disk would, crashes included, and checks what must hold at each step.
type model struct {
	t       interface{ Fatalf(string, ...any) }
	rules   Config
	keeper  *Cache
	now     int64
	disk    map[Key]record
	writes  []Action       // on their way to the disk
	running map[Key]bool   // at the executor, in this life
	ran     map[Key]int64  // until when a second run would break the rule
	results map[Key]string // of the run
	waits   map[int32]Key  // askers without an answer
	arrived map[int32]int64
	asked   int32
	runs    int
}

func newModel(t interface{ Fatalf(string, ...any) }, rules Config) *model {
	return &model{t: t, rules: rules, keeper: New(rules), disk: map[Key]record{}, running: map[Key]bool{}, ran: map[Key]int64{},
		results: map[Key]string{}, waits: map[int32]Key{}, arrived: map[int32]int64{}}
}

func (m *model) step(inputs ...Input) {
	for _, a := range m.keeper.Step(m.now, inputs) {
		m.carry(a)
	}
	if m.keeper.Counters.Bytes > m.rules.MaxBytes {
		m.t.Fatalf("%d bytes where %d are allowed", m.keeper.Counters.Bytes, m.rules.MaxBytes)
	}
	if m.keeper.Counters.Entries != len(m.keeper.entries) {
		m.t.Fatalf("%d entries counted, %d held", m.keeper.Counters.Entries, len(m.keeper.entries))
	}
}

func (m *model) carry(a Action) {
	switch a.Kind {
	case Run:
		if m.now < m.ran[a.Key] {
			m.t.Fatalf("%v ran twice within its window", a.Key)
		}
		if m.rules.Durability == OnDisk && m.rules.OnStoreFailure == RejectOnStoreFailure {
			if _, written := m.disk[a.Key]; !written {
				m.t.Fatalf("%v runs before that is on disk", a.Key)
			}
		}
		m.ran[a.Key], m.running[a.Key] = m.arrived[a.Invocation]+window, true
		m.runs++
		m.results[a.Key] = fmt.Sprint("result ", m.runs)
	case WriteStart, WriteEnd:
		m.writes = append(m.writes, a)
	case RemoveRecord:
		delete(m.disk, a.Key)
	case Serve, Fail, Reject, Mismatch, OutcomeUnknown:
		if _, waits := m.waits[a.Invocation]; !waits {
			m.t.Fatalf("asker %d is answered though it does not wait", a.Invocation)
		}
		delete(m.waits, a.Invocation)
		if a.Kind == Serve && string(a.Result) != m.results[a.Key] {
			m.t.Fatalf("%v served %q where its run gave %q", a.Key, a.Result, m.results[a.Key])
		}
	}
}

func (m *model) ask(n int, body uint64) {
	m.asked++
	m.waits[m.asked], m.arrived[m.asked] = key(n), m.now
	in := ask(m.asked, n)
	in.BodyHash = body
	m.step(in)
}

// write ends the oldest write.
func (m *model) write(ok bool) {
	if len(m.writes) == 0 {
		return
	}
	a := m.writes[0]
	m.writes = m.writes[1:]
	in := Input{Kind: WriteFailed, Key: a.Key}
	if ok {
		in.Kind = WriteSucceeded
		r := m.disk[a.Key]
		if a.Kind == WriteStart {
			r = record{body: a.BodyHash}
		} else {
			r.done, r.ending, r.result = true, a.Outcome, string(a.Result)
		}
		m.disk[a.Key] = r
	}
	m.step(in)
}

func (m *model) end(n int, ending Outcome) {
	if !m.running[key(n)] {
		return
	}
	delete(m.running, key(n))
	if ending == NeverStarted {
		m.ran[key(n)] = 0
	}
	m.step(Input{Kind: RunEnded, Key: key(n), Outcome: ending, Result: []byte(m.results[key(n)])})
}

// crash loses memory, what was on its way to the disk, and those that waited.
func (m *model) crash() {
	m.keeper, m.writes, m.running, m.waits = New(m.rules), nil, map[Key]bool{}, map[int32]Key{}
	var found []Input
	for n := range 20 {
		if r, kept := m.disk[key(n)]; kept {
			found = append(found, Input{Kind: RecordRecovered, Key: key(n), BodyHash: r.body, Completed: r.done, Outcome: r.ending, Result: []byte(r.result)})
		}
	}
	m.step(append(found, Input{Kind: RecoveryCompleted})...)
}

// settle ends all that goes on; then nobody may wait any more.
func (m *model) settle() {
	for len(m.writes) > 0 || len(m.running) > 0 {
		m.write(true)
		for n := range 20 {
			m.end(n, Succeeded)
		}
	}
	if len(m.waits) > 0 {
		m.t.Fatalf("%d askers were never answered", len(m.waits))
	}
}

// fatal ends a schedule by a panic, which its seed is told with.
type fatal struct{}

func (fatal) Fatalf(form string, values ...any) { panic(fmt.Sprintf(form, values...)) }
