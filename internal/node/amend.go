package node

import (
	"errors"
	"fmt"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

const (
	maxChangesPerStep     = 256          // changes that are taken in one step: some hundreds of microseconds
	maxLookupsPerStep     = 4_096        // that are looked up in one step, where what is kept allows no other names: the same
	maxPendingVersions    = 64           // versions that may wait to be taken, a large one before them
	maxReleasesPerStep    = 16           // indices that one step looks at to forget them
	tenantCountsRetention = 120_000 * ms // ns past which nothing is left of a tenant's counts in the module
)

var (
	errRetired         = errors.New("the operation or tenant is not in service any more")
	errStaleVersion    = errors.New("it comes after one that is as new")
	errTooManyVersions = errors.New("too many versions wait to be taken; try again")
	errNoCatalogue     = errors.New("class_calls: it makes calls, and this node's own file names no catalogue; set catalog there and restart the node, or leave it out")
	errIndicesPinned   = errors.New("results are kept in a folder by the numbers of operation and tenant, so adding or removing one takes a new start; " +
		"keep them in the fleet's council, or restart with a new file")
)

// terms are those that invocations of an operation were taken under.
type terms struct {
	tokenLifetime int64 // ns that a token is known, from the arrival of its first invocation on
	late          int64 // ns of these past its window
	inHand        int
}

// version is one that came, as far as it is not taken.
type version struct {
	number    uint64
	amendment *nodeconfig.Amendment
	changes   []nodeconfig.Change // of it, those not taken
	lookedUp  int                 // changes that were looked at by name
	checked   bool
	counts    [3]int // added, changed, removed
}

// retiredIndex is an index that is out of service and will be forgotten.
type retiredIndex struct {
	part      string
	index     int32
	retiredAt int64 // when it went out; another time says that it came back since
	checkAt   int64 // when it is looked at
	idle      bool  // nothing of it was in hand at the last look
}

// versionState is the door by which versions of the configuration come into force, between two steps and each change at its
// own cost. Without them it only counts what is in hand.
type versionState struct {
	active           uint64 // the last version in force
	pending          []version
	termsByOperation [][]*terms             // by operation, those of now last; empty before its first invocation
	inHandByTenant   map[int32]int          // invocations in hand by tenant
	retired          []retiredIndex         // in the order in which they are looked at
	retiredAt        map[retiredIndex]int64 // when an index went out of service, by part and index
	maxLifetime      int64                  // ns that a token of any operation was ever known, 0 before the first version
	indicesPinned    bool                   // results are kept by the numbers of operations and tenants, beyond this life
}

// ActiveVersion is the last version of the configuration that is in force as a whole, 0 before the first.
func (sm *StateMachine) ActiveVersion() uint64 { return sm.versions.active }

// termsOf are an operation's terms. A token is known for longer than its window, by the client timeout: a repeat that came
// within the window may lie unread past its end, and until its caller has gone it could be run again. Stamps are whole
// milliseconds, so one more.
func termsOf(op *admission.Operation) *terms {
	late := op.ClientTimeout + ms
	return &terms{tokenLifetime: op.DeduplicationWindow + late, late: late}
}

// currentTerms are the terms that an operation's next invocation is taken under.
func (sm *StateMachine) currentTerms(op int32) *terms {
	a := &sm.versions
	a.termsByOperation = append(a.termsByOperation, make([][]*terms, max(0, int(op)+1-len(a.termsByOperation)))...)
	if list := a.termsByOperation[op]; len(list) > 0 {
		return list[len(list)-1]
	}
	t := termsOf(&sm.config.Node.Operations[op])
	a.termsByOperation[op] = append(a.termsByOperation[op], t)
	return t
}

// maxTokenLifetime is how long a token may be known by any terms that something in hand was taken under, and by those of now.
func (sm *StateMachine) maxTokenLifetime(op int32) int64 {
	known := sm.currentTerms(op).tokenLifetime
	for _, t := range sm.versions.termsByOperation[op] {
		if t.inHand > 0 {
			known = max(known, t.tokenLifetime)
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
		if a.inHandByTenant == nil {
			a.inHandByTenant = make(map[int32]int)
		}
		a.inHandByTenant[v.tenant]++
	}
}

// over counts it out.
func (a *versionState) over(v *invocation) {
	v.terms.inHand--
	if v.tenant < 0 {
		return
	}
	if a.inHandByTenant[v.tenant]--; a.inHandByTenant[v.tenant] == 0 {
		delete(a.inHandByTenant, v.tenant)
	}
}

// isRetired says whether an invocation is of an operation or a tenant that is out of service, and repeats none that is known.
func (sm *StateMachine) isRetired(e *admission.Event) bool {
	return e.Original == admission.NoOriginal && (sm.config.Operations.Retired(e.OperationIndex) || e.Tenant >= 0 && sm.config.Tenants.Retired(e.Tenant))
}

// queueVersion takes in a version: it is checked and taken once those before it are.
func (sm *StateMachine) queueVersion(in *Input) {
	a := &sm.versions
	last := a.active
	if n := len(a.pending); n > 0 {
		last = a.pending[n-1].number
	}
	switch {
	case in.Version <= last:
		sm.refuseVersion(in.Version, errStaleVersion)
	case len(a.pending) >= maxPendingVersions:
		sm.refuseVersion(in.Version, errTooManyVersions)
	default:
		a.pending = append(a.pending, version{number: in.Version, amendment: in.Change, changes: in.Change.Changes})
	}
}

func (sm *StateMachine) refuseVersion(number uint64, err error) {
	sm.Counters.VersionsRefused++
	sm.emit(Effect{Kind: VersionApplied, Version: number, Err: err})
}

// applyVersions takes what waits, a bounded part in each step, and forgets what nothing refers to any more.
func (sm *StateMachine) applyVersions() {
	a := &sm.versions
	for left := maxChangesPerStep; left > 0 && len(a.pending) > 0; {
		v := &a.pending[0]
		if !v.checked {
			whole, err := sm.validateVersion(v)
			if !whole {
				return
			}
			if err != nil {
				sm.refuseVersion(v.number, err)
				a.pending = slices.Delete(a.pending, 0, 1)
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
			a.active = v.number
			sm.Counters.Versions++
			sm.emit(Effect{Kind: VersionApplied, Version: v.number, Text: fmt.Sprintf("%d added, %d changed, %d removed", v.counts[0], v.counts[1], v.counts[2])})
			a.pending = slices.Delete(a.pending, 0, 1)
		}
	}
	sm.releaseRetired()
}

// validateVersion says why a version can't be taken, once it has looked at the whole of it; nothing is changed.
func (sm *StateMachine) validateVersion(v *version) (whole bool, err error) {
	for end := v.lookedUp + maxLookupsPerStep; v.lookedUp < len(v.changes); v.lookedUp++ {
		if v.lookedUp == end {
			return false, nil
		}
		if err := sm.validateChanges(v.changes[v.lookedUp : v.lookedUp+1]); err != nil {
			return true, err
		}
	}
	return true, sm.config.Check(v.amendment)
}

// validateChanges says which of some changes this node can't take, by what only its own files say.
func (sm *StateMachine) validateChanges(changes []nodeconfig.Change) error {
	for i := range changes {
		c := &changes[i]
		if c.Part == nodeconfig.Operations && !c.Removed && c.Operation.CallsDependency && sm.addresses.Catalogue == "" && !sm.hollow.on {
			return fmt.Errorf("nodeconfig: %s.%s: %w", c.Part, c.Name, errNoCatalogue)
		}
		if !sm.versions.indicesPinned {
			continue
		}
		_, operation := sm.config.Operations.Find(c.Name)
		_, tenant := sm.config.Tenants.Find(c.Name)
		if c.Part == nodeconfig.Operations && operation == c.Removed || c.Part == nodeconfig.Tenants && tenant == c.Removed {
			return fmt.Errorf("nodeconfig: %s.%s: %w", c.Part, c.Name, errIndicesPinned)
		}
	}
	return nil
}

// applyChange brings one applyChange into force.
func (sm *StateMachine) applyChange(v *version, c nodeconfig.Change) {
	a := &sm.versions
	if a.maxLifetime == 0 { // once in a node's life
		for i := range sm.config.Node.Operations {
			a.maxLifetime = max(a.maxLifetime, termsOf(&sm.config.Node.Operations[i]).tokenLifetime)
		}
	}
	c.Operation.SkippedCallWeightShare = 0 // as in all settings on sockets
	t := sm.config.Take(&c)
	switch {
	case !t.Changed:
		return
	case t.Removed:
		v.counts[2]++
		sm.retireIndex(c.Part, t.Index)
		return
	case t.Added:
		v.counts[0]++
		delete(a.retiredAt, retiredIndex{part: c.Part, index: t.Index})
	default:
		v.counts[1]++
	}
	if c.Part != nodeconfig.Operations {
		return
	}
	op := c.Operation
	now := termsOf(&op)
	a.maxLifetime = max(a.maxLifetime, now.tokenLifetime)
	if int(t.Index) < len(a.termsByOperation) && len(a.termsByOperation[t.Index]) > 0 { // else they are made when they are needed
		a.termsByOperation[t.Index] = append(slices.DeleteFunc(a.termsByOperation[t.Index], func(t *terms) bool { return t.inHand == 0 }), now)
	}
	if t.Added {
		sm.degradation.setOperation(t.Index, c.Name)
	}
	sm.emit(Effect{Kind: CallerTimeoutRaised, At: op.ClientTimeout})
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.OperationConfigured, OperationIndex: t.Index, Operation: &op, Services: sm.degradation.servicesOf(t.Index)})
	}
}

// retention is how long an index out of service is kept after its last invocation: while a token of it may be known, and a
// tenant counts for something in the module.
func (a *versionState) retention(part string) int64 {
	if part == nodeconfig.Tenants {
		return max(a.maxLifetime, tenantCountsRetention)
	}
	return a.maxLifetime
}

func (sm *StateMachine) retireIndex(part string, index int32) {
	a := &sm.versions
	if a.retiredAt == nil {
		a.retiredAt = make(map[retiredIndex]int64)
	}
	a.retiredAt[retiredIndex{part: part, index: index}] = sm.now
	a.retired = append(a.retired, retiredIndex{part: part, index: index, retiredAt: sm.now, checkAt: sm.now + a.retention(part), idle: sm.referencesTo(part, index) == 0})
}

// referencesTo counts the invocations of an operation or a tenant.
func (sm *StateMachine) referencesTo(part string, index int32) (n int) {
	if part == nodeconfig.Tenants {
		return sm.versions.inHandByTenant[index]
	}
	if int(index) < len(sm.versions.termsByOperation) {
		for _, t := range sm.versions.termsByOperation[index] {
			n += t.inHand
		}
	}
	return n
}

// releaseRetired gives indices to whatever comes next, whose last invocation ended so long ago that nothing of it is left.
func (sm *StateMachine) releaseRetired() {
	a := &sm.versions
	for range min(maxReleasesPerStep, len(a.retired)) {
		l := a.retired[0]
		if l.checkAt > sm.now {
			return
		}
		a.retired = a.retired[1:]
		key := retiredIndex{part: l.part, index: l.index}
		if since, out := a.retiredAt[key]; !out || since != l.retiredAt {
			continue // it came back; where it went again it stands further behind
		}
		if inHand := sm.referencesTo(l.part, l.index); inHand > 0 || !l.idle {
			l.idle, l.checkAt = inHand == 0, sm.now+a.retention(l.part)
			a.retired = append(a.retired, l)
			continue
		}
		delete(a.retiredAt, key)
		sm.config.Forget(l.part, l.index)
		if l.part == nodeconfig.Tenants {
			continue
		}
		if int(l.index) < len(a.termsByOperation) {
			a.termsByOperation[l.index] = nil
		}
		sm.degradation.setOperation(l.index, "")
		if sm.controller != nil {
			sm.events = append(sm.events, admission.Event{Kind: admission.OperationConfigured, OperationIndex: l.index})
		}
	}
}

// versionApplied notes that all of a version is in force that was taken by change.
func (sm *StateMachine) versionApplied(v *version) {
	sm.versions.active = max(sm.versions.active, v.number)
	sm.Counters.Versions++
}

// versionsDue is when the next step is needed: at once while something waits; what is out of service waits for any step.
func (sm *StateMachine) versionsDue() int64 {
	if len(sm.versions.pending) > 0 {
		return sm.now + 1
	}
	return never
}
