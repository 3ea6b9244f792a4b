package node

import (
	"topazpost/internal/admission"
	"topazpost/internal/fleet/quota"
)

const demandInterval = 25 * ms // ns between samples of the demand for calls: short compared with a call

// leaseState bounds the calls in flight by a lease: this node's part of a limit that holds for the whole fleet. Without a lease holder,
// only the call limit of the admission controller's own configuration applies.
type leaseState struct {
	holder         *quota.LeaseHolder
	config         quota.HolderConfig
	verdicts       []quota.Verdict // of the consensus group on this node's requests, for the holder's next step
	stepAt         int64           // when the holder must step again
	announcedUnits int             // call limit last sent to the admission controller, -1 before the first

	// When the units of abandoned calls become free, earliest first. MaxUseTime is the longest use of a unit: the admission controller
	// waits for a call at most half of it (maxCallTime); the other half covers the work that the dependency still does for an abandoned
	// call.
	abandonedUntil []int64
}

// EnableQuota bounds the node's calls in flight by leases of a limit of the whole fleet. It must be called after EnableConsensus. A
// node with a replica of the consensus group defines the limit, under the given version, while its replica leads. The group grants
// nothing for one lease term after its table starts, by which time the leases of an earlier table have ended.
func (sm *StateMachine) EnableQuota(config quota.HolderConfig, version uint64) {
	if !sm.hollow.isReplicaOnly() {
		sm.leases = leaseState{holder: quota.NewLeaseHolder(config, quota.Owner(sm.group.owner())), config: config, announcedUnits: -1}
	}
	sm.group.setLimits([]quota.Command{{Kind: quota.CommandDefineLimit, Limit: config.Name, Units: config.Units, Version: version,
		EarlierLeasesEndAt: config.LeaseTerm}})
}

// enabled reports whether calls are bounded by leases.
func (ls *leaseState) enabled() bool { return ls.holder != nil }

// allowsCall reports whether a call may be made now: calls are not bounded by a lease, or the lease still holds.
func (ls *leaseState) allowsCall(now int64) bool {
	return ls.holder == nil || ls.holder.Allowed(now) > 0
}

// counters returns the holder's counters, nil without a holder.
func (ls *leaseState) counters() *quota.Counters {
	if ls.holder == nil {
		return nil
	}
	return &ls.holder.Counters
}

// addLeaseVerdicts queues verdicts on this node's requests for leases.
func (ls *leaseState) addLeaseVerdicts(verdicts []quota.Verdict) {
	ls.verdicts = append(ls.verdicts, verdicts...)
}

// requestStep makes the next stepLeases step the holder, because the calls in flight, waiting or abandoned have changed.
func (ls *leaseState) requestStep(now int64) { ls.stepAt = now }

// leasedUnits returns how many units the lease allows, including those of abandoned calls.
func (ls *leaseState) leasedUnits(now int64) int64 { return ls.holder.Allowed(now) }

// availableUnits returns how many calls may be in flight: the units of the lease without those reserved for abandoned calls. It first
// frees the reserved units whose time is over.
func (ls *leaseState) availableUnits(now int64) int {
	for len(ls.abandonedUntil) > 0 && ls.abandonedUntil[0] <= now {
		ls.abandonedUntil = ls.abandonedUntil[1:]
	}
	return max(0, int(ls.holder.Allowed(now))-len(ls.abandonedUntil))
}

// maxCallTime returns how long the admission controller may wait for a call, in nanoseconds.
func (ls *leaseState) maxCallTime() int64 { return ls.config.MaxUseTime / 2 }

// callLimitEvent returns the event that sets the admission controller's call limit, and records that limit as announced.
func (ls *leaseState) callLimitEvent(units int) admission.Event {
	ls.announcedUnits = units
	return admission.Event{Kind: admission.CallLimitSet, CallLimit: units, MaxCallTime: ls.maxCallTime()}
}

// reserveAbandonedUnit reserves the unit of a call that was sent and then abandoned, since the dependency may still be working on it.
// Without this reservation, the dependency could have one more concurrent call than the lease has units, for each abandoned call.
func (sm *StateMachine) reserveAbandonedUnit(link *catalogueLink) {
	ls := &sm.leases
	if ls.holder == nil || !link.connected || link.invocation < 0 {
		return
	}
	ls.abandonedUntil = append(ls.abandonedUntil, sm.now+ls.config.MaxUseTime/2)
	ls.requestStep(sm.now)
}

// stepLeases steps the holder if it is due or has verdicts. It queues a changed call limit for the controller before it sends the
// holder's requests: a request may give back units, which other nodes may then use. The controller makes no decision before it has
// the new limit, as its next decision is in the next step and takes that event too.
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
		waiting = 0 // a draining node requests no units beyond those it has
	}
	ls.availableUnits(sm.now) // frees reserved units whose time is over, which are counted below
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

// nextStep returns when the holder must step again, given the wake-up that it asked for and the number of calls in flight or waiting.
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

// expireLease lowers the call limit if the lease has ended or units were reserved for abandoned calls, before the controller decides
// on anything in this step.
func (sm *StateMachine) expireLease() {
	ls := &sm.leases
	if ls.holder == nil || ls.announcedUnits <= 0 {
		return
	}
	if units := ls.availableUnits(sm.now); units < ls.announcedUnits {
		sm.events = append(sm.events, ls.callLimitEvent(units))
	}
}

// callDemand returns how many calls are in flight and how many wait to be made. Both are unknown before there is an admission controller.
func (sm *StateMachine) callDemand() (inFlight, waiting int, known bool) {
	if sm.hollow.enabled() {
		inFlight, waiting = sm.hollow.callDemand(sm.leases.leasedUnits(sm.now))
		return inFlight, waiting, true
	}
	if sm.controller == nil {
		return 0, 0, false
	}
	state := sm.controller.State()
	return state.CallsInFlight, state.AwaitingCall, true
}

// leaseDue returns when the holder must step again at the latest.
func (sm *StateMachine) leaseDue() int64 {
	ls := &sm.leases
	if ls.holder == nil || sm.controller == nil && !sm.hollow.enabled() {
		return never
	}
	return max(ls.stepAt, sm.now+1)
}
