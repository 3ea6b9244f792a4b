package node

import (
	"errors"
	"fmt"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

const (
	amendedAStep = 256          // changes that are taken in one step: some hundreds of microseconds
	lookedAStep  = 4_096        // that are looked up in one step, where what is kept allows no other names: the same
	versionsWait = 64           // versions that may wait to be taken, a large one before them
	forgottenOne = 16           // indices that one step looks at to forget them
	countsFade   = 120_000 * ms // ns past which nothing is left of a tenant's counts in the module
)

var (
	errRetired     = errors.New("the operation or tenant is not in service any more")
	errVersion     = errors.New("it comes after one that is as new")
	errWaiting     = errors.New("too many versions wait to be taken; try again")
	errNoCatalogue = errors.New("class_calls: it makes calls, and this node's own file names no catalogue; set catalog there and restart the node, or leave it out")
	errNumbers     = errors.New("results are kept in a folder by the numbers of operation and tenant, so adding or removing one takes a new start; " +
		"keep them in the fleet's council, or restart with a new file")
)

// terms are those that invocations of an operation were taken under.
type terms struct {
	known  int64 // ns that a token is known, from the arrival of its first invocation on
	late   int64 // ns of these past its window
	inHand int
}

// version is one that came, as far as it is not taken.
type version struct {
	number  uint64
	of      *nodeconfig.Amendment
	changes []nodeconfig.Change // of it, those not taken
	looked  int                 // changes that were looked at by name
	checked bool
	counts  [3]int // added, changed, removed
}

// leaving is an index that is out of service and will be forgotten.
type leaving struct {
	part  string
	index int32
	since int64 // when it went out; another time says that it came back since
	at    int64 // when it is looked at
	quiet bool  // nothing of it was in hand at the last look
}

// versionState is the door by which versions of the configuration come into force, between two steps and each change at its
// own cost. Without them it only counts what is in hand.
type versionState struct {
	number  uint64 // the last version in force
	waiting []version
	terms   [][]*terms        // by operation, those of now last; empty before its first invocation
	tenants map[int32]int     // invocations in hand by tenant
	queue   []leaving         // in the order in which they are looked at
	since   map[leaving]int64 // when an index went out of service, by part and index
	longest int64             // ns that a token of any operation was ever known, 0 before the first version
	numbers bool              // results are kept by the numbers of operations and tenants, beyond this life
}

// ActiveVersion is the last version of the configuration that is in force as a whole, 0 before the first.
func (sm *StateMachine) ActiveVersion() uint64 { return sm.versions.number }

// termsOf are an operation's terms. A token is known for longer than its window, by the client timeout: a repeat that came
// within the window may lie unread past its end, and until its caller has gone it could be run again. Stamps are whole
// milliseconds, so one more.
func termsOf(op *admission.Operation) *terms {
	late := op.ClientTimeout + ms
	return &terms{known: op.DeduplicationWindow + late, late: late}
}

// currentTerms are the terms that an operation's next invocation is taken under.
func (sm *StateMachine) currentTerms(op int32) *terms {
	a := &sm.versions
	a.terms = append(a.terms, make([][]*terms, max(0, int(op)+1-len(a.terms)))...)
	if list := a.terms[op]; len(list) > 0 {
		return list[len(list)-1]
	}
	t := termsOf(&sm.config.Node.Operations[op])
	a.terms[op] = append(a.terms[op], t)
	return t
}

// maxTokenLifetime is how long a token may be known by any terms that something in hand was taken under, and by those of now.
func (sm *StateMachine) maxTokenLifetime(op int32) int64 {
	known := sm.currentTerms(op).known
	for _, t := range sm.versions.terms[op] {
		if t.inHand > 0 {
			known = max(known, t.known)
		}
	}
	return known
}

// take counts an invocation among those in hand; one that is taken in anew keeps its terms.
func (a *versionState) take(v *invocation, now *terms) {
	if v.terms == nil {
		v.terms = now
	}
	v.terms.inHand++
	if v.tenant >= 0 {
		if a.tenants == nil {
			a.tenants = make(map[int32]int)
		}
		a.tenants[v.tenant]++
	}
}

// over counts it out.
func (a *versionState) over(v *invocation) {
	v.terms.inHand--
	if v.tenant < 0 {
		return
	}
	if a.tenants[v.tenant]--; a.tenants[v.tenant] == 0 {
		delete(a.tenants, v.tenant)
	}
}

// isRetired says whether an invocation is of an operation or a tenant that is out of service, and repeats none that is known.
func (sm *StateMachine) isRetired(e *admission.Event) bool {
	return e.Original == admission.NoOriginal && (sm.config.Operations.Retired(e.OperationIndex) || e.Tenant >= 0 && sm.config.Tenants.Retired(e.Tenant))
}

// queueVersion takes in a version: it is checked and taken once those before it are.
func (sm *StateMachine) queueVersion(in *Input) {
	a := &sm.versions
	last := a.number
	if n := len(a.waiting); n > 0 {
		last = a.waiting[n-1].number
	}
	switch {
	case in.Version <= last:
		sm.refuseVersion(in.Version, errVersion)
	case len(a.waiting) >= versionsWait:
		sm.refuseVersion(in.Version, errWaiting)
	default:
		a.waiting = append(a.waiting, version{number: in.Version, of: in.Change, changes: in.Change.Changes})
	}
}

func (sm *StateMachine) refuseVersion(number uint64, err error) {
	sm.Counters.VersionsRefused++
	sm.emit(Effect{Kind: VersionApplied, Version: number, Err: err})
}

// applyVersions takes what waits, a bounded part in each step, and forgets what nothing refers to any more.
func (sm *StateMachine) applyVersions() {
	a := &sm.versions
	for left := amendedAStep; left > 0 && len(a.waiting) > 0; {
		v := &a.waiting[0]
		if !v.checked {
			whole, err := sm.validateVersion(v)
			if !whole {
				return
			}
			if err != nil {
				sm.refuseVersion(v.number, err)
				a.waiting = slices.Delete(a.waiting, 0, 1)
				continue
			}
			v.checked = true
		}
		n := min(left, len(v.changes))
		for i := range v.changes[:n] {
			sm.applyChange(v, v.changes[i])
		}
		v.changes, left = v.changes[n:], left-n
		if len(v.changes) == 0 {
			a.number = v.number
			sm.Counters.Versions++
			sm.emit(Effect{Kind: VersionApplied, Version: v.number, Text: fmt.Sprintf("%d added, %d changed, %d removed", v.counts[0], v.counts[1], v.counts[2])})
			a.waiting = slices.Delete(a.waiting, 0, 1)
		}
	}
	sm.releaseRetired()
}

// validateVersion says why a version can't be taken, once it has looked at the whole of it; nothing is changed.
func (sm *StateMachine) validateVersion(v *version) (whole bool, err error) {
	for end := v.looked + lookedAStep; v.looked < len(v.changes); v.looked++ {
		if v.looked == end {
			return false, nil
		}
		if err := sm.validateChanges(v.changes[v.looked : v.looked+1]); err != nil {
			return true, err
		}
	}
	return true, sm.config.ValidateAmendment(v.of)
}

// validateChanges says which of some changes this node can't take, by what only its own files say.
func (sm *StateMachine) validateChanges(changes []nodeconfig.Change) error {
	for i := range changes {
		c := &changes[i]
		if c.Part == nodeconfig.Operations && !c.Removed && c.Operation.CallsDependency && sm.addresses.Catalogue == "" && !sm.hollow.on {
			return fmt.Errorf("nodeconfig: %s.%s: %w", c.Part, c.Name, errNoCatalogue)
		}
		if !sm.versions.numbers {
			continue
		}
		_, operation := sm.config.Operations.Find(c.Name)
		_, tenant := sm.config.Tenants.Find(c.Name)
		if c.Part == nodeconfig.Operations && operation == c.Removed || c.Part == nodeconfig.Tenants && tenant == c.Removed {
			return fmt.Errorf("nodeconfig: %s.%s: %w", c.Part, c.Name, errNumbers)
		}
	}
	return nil
}

// applyChange brings one applyChange into force.
func (sm *StateMachine) applyChange(v *version, c nodeconfig.Change) {
	a := &sm.versions
	if a.longest == 0 { // once in a node's life
		for i := range sm.config.Node.Operations {
			a.longest = max(a.longest, termsOf(&sm.config.Node.Operations[i]).known)
		}
	}
	c.Operation.SkippedCallWeightShare = 0 // as in all settings on sockets
	t := sm.config.Apply(&c)
	switch {
	case !t.Changed:
		return
	case t.Removed:
		v.counts[2]++
		sm.retireIndex(c.Part, t.Index)
		return
	case t.Added:
		v.counts[0]++
		delete(a.since, leaving{part: c.Part, index: t.Index})
	default:
		v.counts[1]++
	}
	if c.Part != nodeconfig.Operations {
		return
	}
	op := c.Operation
	now := termsOf(&op)
	a.longest = max(a.longest, now.known)
	if int(t.Index) < len(a.terms) && len(a.terms[t.Index]) > 0 { // else they are made when they are needed
		a.terms[t.Index] = append(slices.DeleteFunc(a.terms[t.Index], func(t *terms) bool { return t.inHand == 0 }), now)
	}
	if t.Added {
		sm.degradation.place(t.Index, c.Name)
	}
	sm.emit(Effect{Kind: CallerTimeoutRaised, At: op.ClientTimeout})
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.OperationConfigured, OperationIndex: t.Index, Operation: &op, Services: sm.degradation.left(t.Index)})
	}
}

// hold is how long an index out of service is kept after its last invocation: while a token of it may be known, and a
// tenant counts for something in the module.
func (a *versionState) hold(part string) int64 {
	if part == nodeconfig.Tenants {
		return max(a.longest, countsFade)
	}
	return a.longest
}

func (sm *StateMachine) retireIndex(part string, index int32) {
	a := &sm.versions
	if a.since == nil {
		a.since = make(map[leaving]int64)
	}
	a.since[leaving{part: part, index: index}] = sm.now
	a.queue = append(a.queue, leaving{part: part, index: index, since: sm.now, at: sm.now + a.hold(part), quiet: sm.referencesTo(part, index) == 0})
}

// referencesTo counts the invocations of an operation or a tenant.
func (sm *StateMachine) referencesTo(part string, index int32) (n int) {
	if part == nodeconfig.Tenants {
		return sm.versions.tenants[index]
	}
	if int(index) < len(sm.versions.terms) {
		for _, t := range sm.versions.terms[index] {
			n += t.inHand
		}
	}
	return n
}

// releaseRetired gives indices to whatever comes next, whose last invocation ended so long ago that nothing of it is left.
func (sm *StateMachine) releaseRetired() {
	a := &sm.versions
	for range min(forgottenOne, len(a.queue)) {
		l := a.queue[0]
		if l.at > sm.now {
			return
		}
		a.queue = a.queue[1:]
		key := leaving{part: l.part, index: l.index}
		if since, out := a.since[key]; !out || since != l.since {
			continue // it came back; where it went again it stands further behind
		}
		if inHand := sm.referencesTo(l.part, l.index); inHand > 0 || !l.quiet {
			l.quiet, l.at = inHand == 0, sm.now+a.hold(l.part)
			a.queue = append(a.queue, l)
			continue
		}
		delete(a.since, key)
		sm.config.Forget(l.part, l.index)
		if l.part == nodeconfig.Tenants {
			continue
		}
		if int(l.index) < len(a.terms) {
			a.terms[l.index] = nil
		}
		sm.degradation.place(l.index, "")
		if sm.controller != nil {
			sm.events = append(sm.events, admission.Event{Kind: admission.OperationConfigured, OperationIndex: l.index})
		}
	}
}

// versionApplied notes that all of a version is in force that was taken by change.
func (sm *StateMachine) versionApplied(v *version) {
	sm.versions.number = max(sm.versions.number, v.number)
	sm.Counters.Versions++
}

// versionsDue is when the next step is needed: at once while something waits; what is out of service waits for any step.
func (sm *StateMachine) versionsDue() int64 {
	if len(sm.versions.waiting) > 0 {
		return sm.now + 1
	}
	return never
}
