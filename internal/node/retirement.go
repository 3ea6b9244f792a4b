package node

import (
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

const (
	maxReleasesPerStep    = 16           // retired indices that one step examines for release
	tenantCountsRetention = 120_000 * ms // ns after which the admission controller has forgotten a tenant: its counts decay within 2.5 s to 1/e
)

// tokenLimits say for how long the idempotency tokens of an operation are remembered. An invocation keeps its limits when a version changes
// the operation.
type tokenLimits struct {
	tokenLifetime int64 // ns that a token is remembered after the arrival of its first invocation
	lateAllowance int64 // part of tokenLifetime after the end of the deduplication window, in ns
	inFlight      int   // invocations in flight under these limits
}

// indexKey identifies an operation or a tenant by its index.
type indexKey struct {
	part  string // nodeconfig.Operations or nodeconfig.Tenants
	index int32
}

// retiredIndex is an index that waits to be released. The index of an operation or a tenant goes through these states:
//   - in service: it accepts invocations.
//   - retired: a version removed it. New invocations are refused, duplicates of known ones are not, and the index stays reserved. If a version
//     adds the name again, the index is reinstated and in service as before.
//   - released: nothing refers to it any more, and another operation or tenant may get the index.
type retiredIndex struct {
	indexKey
	retiredAt int64 // versionState.retiredAt has another time or none if the index was reinstated since
	checkAt   int64
	idle      bool // had no references when it was retired or last checked
}

// tokenLimitsOf returns an operation's token limits. A token is remembered for the client timeout beyond its deduplication window: a retry that
// arrived within the window may still be unread when the window ends, and would run again if its token were forgotten before its caller
// gives up. One millisecond is added since timestamps are rounded to whole ones.
func tokenLimitsOf(op *admission.Operation) *tokenLimits {
	late := op.ClientTimeout + ms
	return &tokenLimits{tokenLifetime: op.DeduplicationWindow + late, lateAllowance: late}
}

// currentTokenLimits returns the token limits under which an operation's next invocation is accepted.
func (sm *StateMachine) currentTokenLimits(op int32) *tokenLimits {
	vs := &sm.versions
	vs.tokenLimitsByOperation = append(vs.tokenLimitsByOperation, make([][]*tokenLimits, max(0, int(op)+1-len(vs.tokenLimitsByOperation)))...)
	if list := vs.tokenLimitsByOperation[op]; len(list) > 0 {
		return list[len(list)-1]
	}
	t := tokenLimitsOf(&sm.config.Node.Operations[op])
	vs.tokenLimitsByOperation[op] = append(vs.tokenLimitsByOperation[op], t)
	return t
}

// replaceTokenLimits makes the limits of a changed operation the current ones. Older limits stay while invocations refer to them.
func (vs *versionState) replaceTokenLimits(index int32, op *admission.Operation) {
	t := tokenLimitsOf(op)
	vs.maxLifetime = max(vs.maxLifetime, t.tokenLifetime)
	if int(index) >= len(vs.tokenLimitsByOperation) || len(vs.tokenLimitsByOperation[index]) == 0 {
		return // currentTerms creates them with the first invocation
	}
	referenced := slices.DeleteFunc(vs.tokenLimitsByOperation[index], func(t *tokenLimits) bool { return t.inFlight == 0 })
	vs.tokenLimitsByOperation[index] = append(referenced, t)
}

// initMaxLifetime sets maxLifetime to the longest token lifetime in the configuration. It must be called before each change, and acts
// only before the first.
func (sm *StateMachine) initMaxLifetime() {
	vs := &sm.versions
	if vs.maxLifetime != 0 {
		return
	}
	for i := range sm.config.Node.Operations {
		vs.maxLifetime = max(vs.maxLifetime, tokenLimitsOf(&sm.config.Node.Operations[i]).tokenLifetime)
	}
}

// maxTokenLifetime returns the longest token lifetime of an operation, among its current limits and those of invocations in flight.
func (sm *StateMachine) maxTokenLifetime(op int32) int64 {
	lifetime := sm.currentTokenLimits(op).tokenLifetime
	for _, t := range sm.versions.tokenLimitsByOperation[op] {
		if t.inFlight > 0 {
			lifetime = max(lifetime, t.tokenLifetime)
		}
	}
	return lifetime
}

// acquireReferences counts an invocation's references to its token limits and its tenant. A resubmitted invocation keeps its limits.
func (vs *versionState) acquireReferences(v *invocation, current *tokenLimits) {
	if v.tokenLimits == nil {
		v.tokenLimits = current
	}
	v.tokenLimits.inFlight++
	if v.tenant < 0 {
		return
	}
	if vs.inFlightByTenant == nil {
		vs.inFlightByTenant = make(map[int32]int)
	}
	vs.inFlightByTenant[v.tenant]++
}

// releaseReferences undoes acquireReferences.
func (vs *versionState) releaseReferences(v *invocation) {
	v.tokenLimits.inFlight--
	if v.tenant < 0 {
		return
	}
	vs.inFlightByTenant[v.tenant]--
	if vs.inFlightByTenant[v.tenant] == 0 {
		delete(vs.inFlightByTenant, v.tenant)
	}
}

// isRetired reports whether an invocation is to be refused because its operation or tenant is retired. A duplicate of a known
// invocation is not refused.
func (sm *StateMachine) isRetired(e *admission.Event) bool {
	if e.Original != admission.NoOriginal {
		return false
	}
	return sm.config.Operations.Retired(e.OperationIndex) || e.Tenant >= 0 && sm.config.Tenants.Retired(e.Tenant)
}

// retention returns how long a retired index stays reserved after its last invocation: as long as one of its tokens may be remembered,
// and for a tenant also until its counts in the admission controller have decayed.
func (vs *versionState) retention(part string) int64 {
	if part == nodeconfig.Tenants {
		return max(vs.maxLifetime, tenantCountsRetention)
	}
	return vs.maxLifetime
}

// retireIndex records that an index is retired, so that it is released after its retention.
func (sm *StateMachine) retireIndex(key indexKey) {
	vs := &sm.versions
	if vs.retiredAt == nil {
		vs.retiredAt = make(map[indexKey]int64)
	}
	vs.retiredAt[key] = sm.now
	vs.retiredIndices = append(vs.retiredIndices, retiredIndex{indexKey: key, retiredAt: sm.now, checkAt: sm.now + vs.retention(key.part), idle: vs.references(key) == 0})
}

// references returns the number of invocations in flight of an operation or a tenant.
func (vs *versionState) references(key indexKey) int {
	if key.part == nodeconfig.Tenants {
		return vs.inFlightByTenant[key.index]
	}
	n := 0
	if int(key.index) < len(vs.tokenLimitsByOperation) {
		for _, t := range vs.tokenLimitsByOperation[key.index] {
			n += t.inFlight
		}
	}
	return n
}

// releaseRetired releases retired indices that had no references at two checks in a row, which are a retention apart. Retirement is the
// first check.
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
			continue // it was reinstated; if it was retired again, it has a later entry
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

// releaseIndex makes an index available to another operation or tenant.
func (sm *StateMachine) releaseIndex(key indexKey) {
	vs := &sm.versions
	delete(vs.retiredAt, key)
	sm.config.Forget(key.part, key.index)
	if key.part == nodeconfig.Tenants {
		return
	}
	if int(key.index) < len(vs.tokenLimitsByOperation) {
		vs.tokenLimitsByOperation[key.index] = nil
	}
	sm.degradation.remapOperation(key.index, "")
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.OperationConfigured, OperationIndex: key.index})
	}
}
