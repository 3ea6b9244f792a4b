package node

import (
	"topazpost/internal/admission"
	"topazpost/internal/fleet/quota"
)

const demandInterval = 25 * ms // ns between looks at the demand for calls: short beside a call's own time

// leaseState bounds the calls in flight by leases of a limit of the whole fleet; without a holder the node has its fixed share.
type leaseState struct {
	holder         *quota.LeaseHolder
	config         quota.HolderConfig
	verdicts       []quota.Verdict
	stepAt         int64 // when the holder is to step
	announcedUnits int   // last sent to the admission controller

	// When the units of abandoned calls are free again, earliest first. The admission controller waits for half of the longest
	// use at the most; the other half is for what goes on at the dependency once a call is abandoned.
	abandonedUntil []int64
}

// EnableQuota has the node's calls in flight bounded by leases of a limit of the whole fleet, after EnableConsensus. A node with a
// replica of the consensus group defines the limit, of a version, while it leads.
func (sm *StateMachine) EnableQuota(config quota.HolderConfig, version uint64) {
	if !sm.hollow.isReplicaOnly() {
		sm.leases = leaseState{holder: quota.NewLeaseHolder(config, quota.Owner(sm.claiming.owner())), config: config, announcedUnits: -1}
	}
	sm.claiming.setLimits([]quota.Command{{Kind: quota.CommandDefineLimit, Limit: config.Name, Units: config.Units, Version: version,
		StartDelay: config.LeaseTerm}})
}

// enabled says whether calls are bounded by leases.
func (ls *leaseState) enabled() bool { return ls.holder != nil }

// allowsCall says whether a call may be made now.
func (ls *leaseState) allowsCall(now int64) bool {
	return ls.holder == nil || ls.holder.Allowed(now) > 0
}

// counters are those of the holder, nil without one.
func (ls *leaseState) counters() *quota.Counters {
	if ls.holder == nil {
		return nil
	}
	return &ls.holder.Counters
}

// addVerdicts queues verdicts on requests for leases.
func (ls *leaseState) addVerdicts(grants []quota.Verdict) {
	ls.verdicts = append(ls.verdicts, grants...)
}

// requestStep has the holder step in this step: the demand changed.
func (ls *leaseState) requestStep(now int64) { ls.stepAt = now }

// allowedUnits is how many units the lease allows, those of abandoned calls included.
func (ls *leaseState) allowedUnits(now int64) int64 { return ls.holder.Allowed(now) }

// availableUnits are those that calls in flight may take.
func (ls *leaseState) availableUnits(now int64) int {
	for len(ls.abandonedUntil) > 0 && ls.abandonedUntil[0] <= now {
		ls.abandonedUntil = ls.abandonedUntil[1:]
	}
	return max(0, int(ls.holder.Allowed(now))-len(ls.abandonedUntil))
}

// maxCallTime is for how long the admission controller may wait for a call.
func (ls *leaseState) maxCallTime() int64 { return ls.config.MaxUseTime / 2 }

// callLimitEvent announces a number of units to the admission controller.
func (ls *leaseState) callLimitEvent(units int) admission.Event {
	ls.announcedUnits = units
	return admission.Event{Kind: admission.CallLimitSet, CallLimit: units, MaxCallTime: ls.maxCallTime()}
}

// reserveAbandonedUnit reserves the unit of a call that was written and abandoned: the dependency may work on it still. It guards
// against one call more at the dependency than units, for each that is abandoned there.
func (sm *StateMachine) reserveAbandonedUnit(s *catalogueLink) {
	ls := &sm.leases
	if ls.holder == nil || !s.connected || s.invocation < 0 {
		return
	}
	ls.abandonedUntil = append(ls.abandonedUntil, sm.now+ls.config.MaxUseTime/2)
	ls.requestStep(sm.now)
}

// stepLeases steps the holder and announces the call limit before anybody else learns what the node returned.
func (sm *StateMachine) stepLeases() {
	ls := &sm.leases
	if ls.holder == nil || sm.now < ls.stepAt && len(ls.verdicts) == 0 {
		return
	}
	inFlight, waiting, known := sm.callDemand()
	if !known {
		return
	}
	if sm.drain.isAcceptStopped() {
		waiting = 0 // a drain makes its calls with the units it has
	}
	ls.availableUnits(sm.now)
	requests, wake := ls.holder.Step(sm.now, int64(inFlight+len(ls.abandonedUntil)), int64(waiting), ls.verdicts)
	ls.verdicts = ls.verdicts[:0]
	ls.stepAt = ls.nextStep(sm.now, wake, inFlight+waiting)
	if units := ls.availableUnits(sm.now); units != ls.announcedUnits {
		sm.notifyController(ls.callLimitEvent(units))
	}
	if len(requests) > 0 {
		sm.proposeToGroup(nil, requests)
	}
}

// nextStep is when the holder is to step, given its own wish and the demand.
func (ls *leaseState) nextStep(now, wake int64, demand int) int64 {
	at := min(wake, now+demandInterval)
	if demand == 0 {
		at = wake
	}
	if len(ls.abandonedUntil) > 0 {
		at = min(at, ls.abandonedUntil[0])
	}
	return at
}

// expireLease announces a lease that ended, and units of abandoned calls, before the controller decides on anything else.
func (sm *StateMachine) expireLease() {
	ls := &sm.leases
	if ls.holder == nil || ls.announcedUnits <= 0 {
		return
	}
	if units := ls.availableUnits(sm.now); units < ls.announcedUnits {
		sm.events = append(sm.events, ls.callLimitEvent(units))
	}
}

// callDemand is how many calls are in flight and how many wait beside them, unknown before there is an admission controller.
func (sm *StateMachine) callDemand() (inFlight, waiting int, known bool) {
	if sm.hollow.enabled() {
		inFlight, waiting = sm.hollow.callDemand(sm.leases.allowedUnits(sm.now))
		return inFlight, waiting, true
	}
	if sm.controller == nil {
		return 0, 0, false
	}
	state := sm.controller.State()
	return state.CallsInFlight, state.AwaitingCall, true
}

// leaseDue is when the holder is to step again.
func (sm *StateMachine) leaseDue() int64 {
	ls := &sm.leases
	if ls.holder == nil || sm.controller == nil && !sm.hollow.enabled() {
		return never
	}
	return max(ls.stepAt, sm.now+1)
}
