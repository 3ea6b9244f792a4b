package node

import (
	"topazpost/internal/admission"
	"topazpost/internal/fleet/quota"
)

const demandInterval = 25 * ms // ns between looks at the need for calls: short beside what a call takes

// leaseState is the door to the fleet's limit on calls in hand; without one the node has its fixed share, and no cost.
type leaseState struct {
	holder         *quota.LeaseHolder
	config         quota.HolderConfig
	grants         []quota.Verdict
	at             int64 // when the holder is to step
	announcedUnits int   // units that the module was told of

	// When the units of calls that were given up are free again, earliest first. The module waits for half of the longest use
	// at the most; the other half is for what goes on at the dependency once a call is given up, and its unit is in use so long.
	abandonedUntil []int64
}

// countAbandonedCall keeps the unit of a call that was written and given up: the dependency may work on it still. Guards against one
// call more at the dependency than units, for each that is given up there.
func (sm *StateMachine) countAbandonedCall(s *catalogueLink) {
	if l := &sm.leases; l.holder != nil && s.up && s.inv >= 0 {
		l.abandonedUntil = append(l.abandonedUntil, sm.now+l.config.Hold/2)
		l.at = sm.now
	}
}

// units are those that calls in hand may take.
func (l *leaseState) units(now int64) int {
	for len(l.abandonedUntil) > 0 && l.abandonedUntil[0] <= now {
		l.abandonedUntil = l.abandonedUntil[1:]
	}
	return max(0, int(l.holder.Allowed(now))-len(l.abandonedUntil))
}

// EnableQuota has the node's calls in hand bounded by leases of a limit of the whole fleet, after Convene. Where this node has a
// seat in the council it defines the limit, of a version, while it leads.
func (sm *StateMachine) EnableQuota(terms quota.HolderConfig, version uint64) {
	if !sm.hollow.replicaOnly {
		sm.leases = leaseState{holder: quota.NewLeaseHolder(terms, quota.Owner(sm.claiming.self)), config: terms, announcedUnits: -1}
	}
	if seat := sm.claiming.replica; seat != nil {
		seat.SetLimits([]quota.Command{{Kind: quota.CommandDefineLimit, Limit: terms.Name, Units: terms.Units, Version: version, StartDelay: terms.Term}})
	}
}

// stepLeases has the module hear how many calls may be in hand, before anybody else is told of what it gave back.
func (sm *StateMachine) stepLeases() {
	l := &sm.leases
	if l.holder == nil || sm.now < l.at && len(l.grants) == 0 {
		return
	}
	inHand, standing, decides := sm.callDemand()
	if !decides {
		return
	}
	if sm.acceptStopped {
		standing = 0 // what is left to make in a drain is made with what is held
	}
	l.units(sm.now)
	send, wake := l.holder.Step(sm.now, int64(inHand+len(l.abandonedUntil)), int64(standing), l.grants)
	l.grants = l.grants[:0]
	l.at = min(wake, sm.now+demandInterval)
	if inHand+standing == 0 && wake > sm.now+demandInterval {
		l.at = wake
	}
	if len(l.abandonedUntil) > 0 {
		l.at = min(l.at, l.abandonedUntil[0])
	}
	if units := l.units(sm.now); units != l.announcedUnits {
		l.announcedUnits = units
		sm.notifyController(admission.Event{Kind: admission.CallLimitSet, CallLimit: units, MaxCallTime: l.config.Hold / 2})
	}
	if len(send) > 0 {
		sm.proposeToGroup(nil, send)
	}
}

// expireLease has the module hear of a lease that ended, and of units that linger, before it decides on anything else.
func (sm *StateMachine) expireLease() {
	if l := &sm.leases; l.holder != nil && l.announcedUnits > 0 {
		if units := l.units(sm.now); units < l.announcedUnits {
			l.announcedUnits = units
			sm.events = append(sm.events, admission.Event{Kind: admission.CallLimitSet, CallLimit: units, MaxCallTime: l.config.Hold / 2})
		}
	}
}

// leaseDue is when the holder is to step again.
func (sm *StateMachine) leaseDue() int64 {
	l := &sm.leases
	if l.holder == nil || sm.controller == nil && !sm.hollow.on {
		return never
	}
	return max(l.at, sm.now+1)
}
