package node

import (
	"errors"
	"fmt"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

const (
	maxChangesPerStep     = 256   // changes applied in one step, which take some hundreds of microseconds
	maxValidationsPerStep = 4_096 // changes of a pending version validated in one step, which take some hundreds of microseconds
	maxPendingVersions    = 64    // versions queued while a large one is applied
)

var (
	errRetired         = errors.New("node: operation or tenant is no longer in service")
	errStaleVersion    = errors.New("node: version is not newer than the last one queued or in force")
	errTooManyVersions = errors.New("node: too many versions are pending; try again")
	errNoCatalogue     = errors.New("class_calls: the operation makes calls, but this node's own file names no catalogue; set catalog there and restart the node, or leave class_calls out")
	errIndicesPinned   = errors.New("stored results refer to operations and tenants by index, so adding or removing one requires a restart; " +
		"keep results in the fleet's council, or restart with a new file")
)

// changeCounts counts the changes of a version that had an effect.
type changeCounts struct {
	added   int
	changed int
	removed int
}

// versionProgress tracks how far a configuration version has been validated and applied.
type versionProgress struct {
	number           uint64
	amendment        *nodeconfig.Amendment
	changes          []nodeconfig.Change // changes of the amendment that are not applied yet
	validatedChanges int                 // number of them validated so far
	validated        bool
	counts           changeCounts
}

// versionState brings the configuration versions that the host passes in (VersionReceived) into force, a bounded part in each step before
// the admission controller decides. Versions that the fleet replicates go through pendingConfig instead; both record what they did in
// activeVersion and use the state of indices below. Invocations in flight count as references to their operation and tenant, so that an
// index is reused only after the last reference is gone.
type versionState struct {
	activeVersion          uint64 // number of the last version that is wholly in force
	pending                []versionProgress
	tokenLimitsByOperation [][]*tokenLimits // by operation index; the current limits are last; empty before the first invocation
	inFlightByTenant       map[int32]int
	retiredIndices         []retiredIndex     // in the order of retirement or last check
	retiredAt              map[indexKey]int64 // when an index was last retired; an index in service has no entry
	maxLifetime            int64              // ns, longest token lifetime that any operation has had; 0 before the first change
	indicesPinned          bool               // stored results refer to indices, so versions must not add or remove operations or tenants
}

// ActiveVersion returns the number of the last configuration version that is wholly in force, 0 before the first.
func (sm *StateMachine) ActiveVersion() uint64 { return sm.versions.activeVersion }

// pinIndices sets whether versions that add or remove operations or tenants are refused.
func (vs *versionState) pinIndices(pinned bool) { vs.indicesPinned = pinned }

// lastQueued returns the number of the newest version that is in force or pending.
func (vs *versionState) lastQueued() uint64 {
	if n := len(vs.pending); n > 0 {
		return vs.pending[n-1].number
	}
	return vs.activeVersion
}

// dropFirst removes the first pending version.
func (vs *versionState) dropFirst() { vs.pending = slices.Delete(vs.pending, 0, 1) }

// queueVersion queues a version, which is validated and applied after those before it.
func (sm *StateMachine) queueVersion(in *Input) {
	vs := &sm.versions
	switch {
	case in.Version <= vs.lastQueued():
		sm.refuseVersion(in.Version, errStaleVersion)
	case len(vs.pending) >= maxPendingVersions:
		sm.refuseVersion(in.Version, errTooManyVersions)
	default:
		vs.pending = append(vs.pending, versionProgress{number: in.Version, amendment: in.Amendment, changes: in.Amendment.Changes})
	}
}

// refuseVersion reports that a version was refused, and why.
func (sm *StateMachine) refuseVersion(number uint64, err error) {
	sm.Counters.VersionsRefused++
	sm.emit(Effect{Kind: ReportVersionOutcome, Version: number, Err: err})
}

// applyVersions validates and applies a bounded part of the pending versions. Unless a validation is unfinished, it then releases retired
// indices without references.
func (sm *StateMachine) applyVersions() {
	vs := &sm.versions
	for budget := maxChangesPerStep; budget > 0 && len(vs.pending) > 0; {
		v := &vs.pending[0]
		if !v.validated {
			complete, err := sm.validateVersion(v)
			if !complete {
				return
			}
			if err != nil {
				sm.refuseVersion(v.number, err)
				vs.dropFirst()
				continue
			}
			v.validated = true
		}
		n := min(budget, len(v.changes))
		sm.applyChanges(v, v.changes[:n])
		v.changes = v.changes[n:]
		budget -= n
		if len(v.changes) == 0 {
			sm.recordActiveVersion(v)
			sm.emit(Effect{Kind: ReportVersionOutcome, Version: v.number,
				Text: fmt.Sprintf("%d added, %d changed, %d removed", v.counts.added, v.counts.changed, v.counts.removed)})
			vs.dropFirst()
		}
	}
	sm.releaseRetired()
}

// recordActiveVersion records and counts a version that is wholly in force.
func (sm *StateMachine) recordActiveVersion(v *versionProgress) {
	sm.versions.activeVersion = max(sm.versions.activeVersion, v.number)
	sm.Counters.Versions++
}

// validateVersion validates up to maxValidationsPerStep changes of a version. When all are examined it validates the
// version as a whole, at a cost that grows with its operations, and returns complete, with an error if the version can't be applied. It
// changes nothing in force.
func (sm *StateMachine) validateVersion(v *versionProgress) (complete bool, err error) {
	for end := v.validatedChanges + maxValidationsPerStep; v.validatedChanges < len(v.changes); v.validatedChanges++ {
		if v.validatedChanges == end {
			return false, nil
		}
		if err := sm.validateChanges(v.changes[v.validatedChanges : v.validatedChanges+1]); err != nil {
			return true, err
		}
	}
	return true, sm.config.ValidateAmendment(v.amendment)
}

// validateChanges checks changes against what differs between nodes: the catalogue in this node's own file, and whether its results refer
// to indices.
func (sm *StateMachine) validateChanges(changes []nodeconfig.Change) error {
	for i := range changes {
		c := &changes[i]
		if c.Part == nodeconfig.Operations && !c.Removed && c.Operation.CallsDependency && sm.addresses.Catalogue == "" && !sm.hollow.enabled() {
			return fmt.Errorf("nodeconfig: %s.%s: %w", c.Part, c.Name, errNoCatalogue)
		}
		if sm.versions.indicesPinned && sm.changesIndices(c) {
			return fmt.Errorf("nodeconfig: %s.%s: %w", c.Part, c.Name, errIndicesPinned)
		}
	}
	return nil
}

// changesIndices reports whether a change adds or removes an operation or a tenant.
func (sm *StateMachine) changesIndices(c *nodeconfig.Change) bool {
	switch c.Part {
	case nodeconfig.Operations:
		_, known := sm.config.Operations.Find(c.Name)
		return known == c.Removed
	case nodeconfig.Tenants:
		_, known := sm.config.Tenants.Find(c.Name)
		return known == c.Removed
	default:
		return false
	}
}

// applyChanges brings changes of a version into force and counts them.
func (sm *StateMachine) applyChanges(v *versionProgress, changes []nodeconfig.Change) {
	for i := range changes {
		sm.applyChange(v, changes[i])
	}
}

func (sm *StateMachine) applyChange(v *versionProgress, c nodeconfig.Change) {
	sm.initMaxLifetime()
	c.Operation.SkippedCallWeightShare = 0 // as in withoutUnsupported
	result := sm.config.Apply(&c)
	switch {
	case !result.Changed:
		return
	case result.Removed:
		v.counts.removed++
		sm.retireIndex(indexKey{part: c.Part, index: result.Index})
		return
	case result.Added:
		v.counts.added++
		delete(sm.versions.retiredAt, indexKey{part: c.Part, index: result.Index})
	default:
		v.counts.changed++
	}
	if c.Part != nodeconfig.Operations {
		return
	}
	op := c.Operation
	sm.adaptResultCache(&op)
	sm.versions.replaceTokenLimits(result.Index, &op)
	if result.Added {
		sm.degradation.remapOperation(result.Index, c.Name)
	}
	sm.emit(Effect{Kind: RaiseCallerTimeout, At: op.ClientTimeout})
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.OperationConfigured, OperationIndex: result.Index, Operation: &op,
			Services: sm.degradation.servicesOf(result.Index)})
	}
}

// versionsDue returns the time of the next step that pending versions need, which is at once. Releasing indices needs no step of its own.
func (sm *StateMachine) versionsDue() int64 {
	if len(sm.versions.pending) > 0 {
		return sm.now + 1
	}
	return never
}
