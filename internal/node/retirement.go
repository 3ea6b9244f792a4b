package node

import (
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

const (
	maxReleasesPerStep    = 16           // retired indices examined in one step
	tenantCountsRetention = 120_000 * ms // ns past which nothing is left of a tenant's counts in the admission controller
)

// terms are the terms of an operation that invocations were accepted under.
type terms struct {
	tokenLifetime int64 // ns that a token is known, from the arrival of its first invocation
	lateAllowance int64 // ns of these past the deduplication window
	inFlight      int   // invocations in flight under these terms
}

// indexKey names an operation or a tenant by its index.
type indexKey struct {
	part  string
	index int32
}

// retiredIndex is an index out of service that is to be released for reuse.
type retiredIndex struct {
	indexKey
	retiredAt int64 // differs from that of versionState where it came back since
	checkAt   int64
	idle      bool // nothing referred to it at the last check
}

// termsOf are an operation's terms. A token is known for longer than its window, by the client timeout: a repeat that came
// within the window may lie unread past its end, and until its caller has gone it could be run again. Stamps are whole
// milliseconds, so one more.
func termsOf(op *admission.Operation) *terms {
	late := op.ClientTimeout + ms
	return &terms{tokenLifetime: op.DeduplicationWindow + late, lateAllowance: late}
}

// currentTerms are the terms that an operation's next invocation is accepted under.
func (sm *StateMachine) currentTerms(op int32) *terms {
	vs := &sm.versions
	vs.termsByOperation = append(vs.termsByOperation, make([][]*terms, max(0, int(op)+1-len(vs.termsByOperation)))...)
	if list := vs.termsByOperation[op]; len(list) > 0 {
		return list[len(list)-1]
	}
	t := termsOf(&sm.config.Node.Operations[op])
	vs.termsByOperation[op] = append(vs.termsByOperation[op], t)
	return t
}

// replaceTerms makes those of a changed operation the current ones; older ones stay while invocations refer to them.
func (vs *versionState) replaceTerms(index int32, op *admission.Operation) {
	t := termsOf(op)
	vs.maxLifetime = max(vs.maxLifetime, t.tokenLifetime)
	if int(index) >= len(vs.termsByOperation) || len(vs.termsByOperation[index]) == 0 {
		return // currentTerms makes them when they are needed
	}
	referenced := slices.DeleteFunc(vs.termsByOperation[index], func(t *terms) bool { return t.inFlight == 0 })
	vs.termsByOperation[index] = append(referenced, t)
}

// initMaxLifetime takes the longest token lifetime of the configuration before its first change.
func (sm *StateMachine) initMaxLifetime() {
	vs := &sm.versions
	if vs.maxLifetime != 0 {
		return
	}
	for i := range sm.config.Node.Operations {
		vs.maxLifetime = max(vs.maxLifetime, termsOf(&sm.config.Node.Operations[i]).tokenLifetime)
	}
}

// maxTokenLifetime is how long a token may be known by the current terms and by any that an invocation in flight refers to.
func (sm *StateMachine) maxTokenLifetime(op int32) int64 {
	lifetime := sm.currentTerms(op).tokenLifetime
	for _, t := range sm.versions.termsByOperation[op] {
		if t.inFlight > 0 {
			lifetime = max(lifetime, t.tokenLifetime)
		}
	}
	return lifetime
}

// acquireReferences counts an invocation's references; one that is submitted anew keeps its terms.
func (vs *versionState) acquireReferences(v *invocation, current *terms) {
	if v.terms == nil {
		v.terms = current
	}
	v.terms.inFlight++
	if v.tenant < 0 {
		return
	}
	if vs.inFlightByTenant == nil {
		vs.inFlightByTenant = make(map[int32]int)
	}
	vs.inFlightByTenant[v.tenant]++
}

// releaseReferences drops an invocation's references.
func (vs *versionState) releaseReferences(v *invocation) {
	v.terms.inFlight--
	if v.tenant < 0 {
		return
	}
	vs.inFlightByTenant[v.tenant]--
	if vs.inFlightByTenant[v.tenant] == 0 {
		delete(vs.inFlightByTenant, v.tenant)
	}
}

// isRetired says whether an invocation is of an operation or a tenant out of service, and repeats none that is known.
func (sm *StateMachine) isRetired(e *admission.Event) bool {
	if e.Original != admission.NoOriginal {
		return false
	}
	return sm.config.Operations.Retired(e.OperationIndex) || e.Tenant >= 0 && sm.config.Tenants.Retired(e.Tenant)
}

// retention is how long an index out of service is reserved after its last invocation: while a token of it may be known, and a
// tenant counts for something in the admission controller.
func (vs *versionState) retention(part string) int64 {
	if part == nodeconfig.Tenants {
		return max(vs.maxLifetime, tenantCountsRetention)
	}
	return vs.maxLifetime
}

// retireIndex takes an index out of service.
func (sm *StateMachine) retireIndex(key indexKey) {
	vs := &sm.versions
	if vs.retiredAt == nil {
		vs.retiredAt = make(map[indexKey]int64)
	}
	vs.retiredAt[key] = sm.now
	vs.retiredIndices = append(vs.retiredIndices, retiredIndex{indexKey: key, retiredAt: sm.now, checkAt: sm.now + vs.retention(key.part), idle: vs.references(key) == 0})
}

// references counts the invocations in flight of an operation or a tenant.
func (vs *versionState) references(key indexKey) int {
	if key.part == nodeconfig.Tenants {
		return vs.inFlightByTenant[key.index]
	}
	n := 0
	if int(key.index) < len(vs.termsByOperation) {
		for _, t := range vs.termsByOperation[key.index] {
			n += t.inFlight
		}
	}
	return n
}

// releaseRetired releases indices whose last invocation ended so long ago that nothing of it is left.
func (sm *StateMachine) releaseRetired() {
	vs := &sm.versions
	for range min(maxReleasesPerStep, len(vs.retiredIndices)) {
		r := vs.retiredIndices[0]
		if r.checkAt > sm.now {
			return
		}
		vs.retiredIndices = vs.retiredIndices[1:]
		retiredAt, retired := vs.retiredAt[r.indexKey]
		if !retired || retiredAt != r.retiredAt {
			continue // it came back; where it was retired again a later entry stands for it
		}
		references := vs.references(r.indexKey)
		if references > 0 || !r.idle {
			r.idle = references == 0
			r.checkAt = sm.now + vs.retention(r.part)
			vs.retiredIndices = append(vs.retiredIndices, r)
			continue
		}
		sm.releaseIndex(r.indexKey)
	}
}

// releaseIndex frees an index for another operation or tenant.
func (sm *StateMachine) releaseIndex(key indexKey) {
	vs := &sm.versions
	delete(vs.retiredAt, key)
	sm.config.Forget(key.part, key.index)
	if key.part == nodeconfig.Tenants {
		return
	}
	if int(key.index) < len(vs.termsByOperation) {
		vs.termsByOperation[key.index] = nil
	}
	sm.degradation.remapOperation(key.index, "")
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.OperationConfigured, OperationIndex: key.index})
	}
}
