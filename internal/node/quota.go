package node

import (
	"topazpost/internal/admission"
	"topazpost/internal/fleet/quota"
)

const leaseLook = 25 * ms // ns between looks at the need for calls: short beside what a call takes

// leasing is the door to the fleet's limit on calls in hand; without one the node has its fixed share, and no cost.
type leasing struct {
	holder *quota.LeaseHolder
	terms  quota.HolderConfig
	grants []quota.Verdict
	at     int64 // when the holder is to step
	told   int   // units that the module was told of

	// When the units of calls that were given up are free again, earliest first. The module waits for half of the longest use
	// at the most; the other half is for what goes on at the dependency once a call is given up, and its unit is in use so long.
	lingers []int64
}

// linger keeps the unit of a call that was written and given up: the dependency may work on it still. Guards against one
// call more at the dependency than units, for each that is given up there.
func (r *StateMachine) linger(s *supply) {
	if l := &r.leasing; l.holder != nil && s.up && s.inv >= 0 {
		l.lingers = append(l.lingers, r.now+l.terms.Hold/2)
		l.at = r.now
	}
}

// units are those that calls in hand may take.
func (l *leasing) units(now int64) int {
	for len(l.lingers) > 0 && l.lingers[0] <= now {
		l.lingers = l.lingers[1:]
	}
	return max(0, int(l.holder.Allowed(now))-len(l.lingers))
}

// EnableQuota has the node's calls in hand bounded by leases of a limit of the whole fleet, after Convene. Where this node has a
// seat in the council it defines the limit, of a version, while it leads.
func (r *StateMachine) EnableQuota(terms quota.HolderConfig, version uint64) {
	if !r.hollow.onlySeat {
		r.leasing = leasing{holder: quota.NewLeaseHolder(terms, quota.Owner(r.claimed.self)), terms: terms, told: -1}
	}
	if seat := r.claimed.seat; seat != nil {
		seat.SetLimits([]quota.Command{{Kind: quota.CommandDefineLimit, Limit: terms.Name, Units: terms.Units, Version: version, StartDelay: terms.Term}})
	}
}

// keepLeases has the module hear how many calls may be in hand, before anybody else is told of what it gave back.
func (r *StateMachine) keepLeases() {
	l := &r.leasing
	if l.holder == nil || r.now < l.at && len(l.grants) == 0 {
		return
	}
	inHand, standing, decides := r.need()
	if !decides {
		return
	}
	if r.shut {
		standing = 0 // what is left to make in a drain is made with what is held
	}
	l.units(r.now)
	send, wake := l.holder.Step(r.now, int64(inHand+len(l.lingers)), int64(standing), l.grants)
	l.grants = l.grants[:0]
	l.at = min(wake, r.now+leaseLook)
	if inHand+standing == 0 && wake > r.now+leaseLook {
		l.at = wake
	}
	if len(l.lingers) > 0 {
		l.at = min(l.at, l.lingers[0])
	}
	if units := l.units(r.now); units != l.told {
		l.told = units
		r.tellModule(admission.Event{Kind: admission.CallLimitSet, CallLimit: units, MaxCallTime: l.terms.Hold / 2})
	}
	if len(send) > 0 {
		r.askCouncil(nil, send)
	}
}

// lapse has the module hear of a lease that ended, and of units that linger, before it decides on anything else.
func (r *StateMachine) lapse() {
	if l := &r.leasing; l.holder != nil && l.told > 0 {
		if units := l.units(r.now); units < l.told {
			l.told = units
			r.events = append(r.events, admission.Event{Kind: admission.CallLimitSet, CallLimit: units, MaxCallTime: l.terms.Hold / 2})
		}
	}
}

// leaseDue is when the holder is to step again.
func (r *StateMachine) leaseDue() int64 {
	l := &r.leasing
	if l.holder == nil || r.post == nil && !r.hollow.on {
		return never
	}
	return max(l.at, r.now+1)
}
