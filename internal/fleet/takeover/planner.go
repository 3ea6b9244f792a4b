// Package takeover decides what becomes of the claims of a node that was lost: who is their heir, and when each is handed
// over. It does no I/O, reads no clock, and decides about no fence: what it proposes is refused where it is late.
package takeover

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"topazpost/internal/fleet/claims"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	maxUnstartedPerOwner = 8           // claims that one heir is given and has not begun: a few times what a node starts in a round trip
	maxCommandsPerStep   = 256         // commands proposed in one step: an entry of the log stays small
	retryInterval        = 200 * ms    // ns after which an heir that has not begun is told again
	unseenTimeout        = 10_000 * ms // ns after which an owner that no view ever had is lost: views settle in a few seconds
	sameZoneWeight       = 0.25        // weight of an heir in the zone of the lost: zones are lost as a whole
	levelWeight          = 0.5         // weight that each level of reduced service takes from an heir
	minRemaining         = 20 * ms     // ns to the due time below which a hand-over comes to nothing
)

// Member is one that may inherit, or that is lost.
type Member struct {
	Owner       claims.Owner
	Alive       bool // in the view: not dead, and it has not left
	AcceptsWork bool // it takes work: neither draining nor without an executor
	Zone        string
	Level       int // of reduced service
}

// Planner is what the leader of a council knows of hand-overs under way. It is made anew with each leader.
type Planner struct {
	Counters      Counters
	reassignments map[claims.Key]*pendingReassignment
	unseenSince   map[claims.Owner]int64 // since when
}

// Counters are what operators see.
type Counters struct {
	Reassigned    int `json:"handed"`
	MarkedUnknown int `json:"doubted"`
	Waiting       int `json:"-"` // claims of the lost that no heir has room for now
}

type pendingReassignment struct {
	fence         uint64 // under which the heir has it, 0 until that is agreed on
	newOwner      claims.Owner
	lostOwner     claims.Owner
	lastAttemptAt int64 // when it was last told or proposed
}

// Reassignment is a claim that its heir is to be told of.
type Reassignment struct {
	To        claims.Owner
	From      claims.Owner // who was lost
	Entry     *claims.Entry
	Remaining int64 // ns to its due time
	First     bool
}

// NewPlanner is a planner that has handed nothing over.
func NewPlanner() *Planner {
	return &Planner{reassignments: map[claims.Key]*pendingReassignment{}, unseenSince: map[claims.Owner]int64{}}
}

// Step says what to propose of the claims of owners that are lost, and which heirs are to be told. An owner is lost where
// the view has another life under its name, or has it dead or left, or never had it for long. Ahead is by how much
// the table's time may lag.
func (p *Planner) Step(now int64, view []Member, table *claims.Table, ahead int64) (commands []claims.Command, gifts []Reassignment) {
	by := make(map[string]*Member, len(view))
	for i := range view {
		by[view[i].Owner.Name] = &view[i]
	}
	for _, e := range table.Reassigned() { // an earlier leader handed it over, and its heir may not have heard of it
		if p.reassignments[e.Key] == nil {
			p.reassignments[e.Key] = &pendingReassignment{fence: e.Fence, newOwner: e.Owner, lastAttemptAt: now - retryInterval}
		}
	}
	waiting := map[claims.Owner]int{}
	for _, k := range p.sortedKeys() {
		h := p.reassignments[k]
		e := table.Find(k)
		switch {
		case e == nil || e.State != claims.StateClaimed || h.fence != 0 && (e.Fence != h.fence || e.Owner != h.newOwner):
			delete(p.reassignments, k)
			continue
		case h.fence == 0 && e.Owner == h.newOwner: // agreed on
			h.fence, h.lastAttemptAt = e.Fence, now
			gifts = append(gifts, Reassignment{To: h.newOwner, From: h.lostOwner, Entry: e, Remaining: e.ExpiresAt - table.Time() - ahead, First: true})
		case h.fence == 0 && now >= h.lastAttemptAt+retryInterval: // the proposal was lost
			delete(p.reassignments, k)
			continue
		case h.fence != 0 && now >= h.lastAttemptAt+retryInterval:
			h.lastAttemptAt = now
			gifts = append(gifts, Reassignment{To: h.newOwner, From: h.lostOwner, Entry: e, Remaining: e.ExpiresAt - table.Time() - ahead})
		}
		waiting[h.newOwner]++
	}
	for owner := range p.unseenSince {
		if len(table.OwnedBy(owner)) == 0 {
			delete(p.unseenSince, owner)
		}
	}
	p.Counters.Waiting = 0
	for _, owner := range table.Owners() {
		if !p.isLost(now, owner, by[owner.Name]) {
			continue
		}
		for _, e := range table.OwnedBy(owner) {
			if len(commands) >= maxCommandsPerStep {
				return commands, gifts
			}
			if e.State == claims.StateStarted {
				p.Counters.MarkedUnknown++
				commands = append(commands, claims.Command{Kind: claims.CommandMarkUnknown, Key: e.Key, Fence: e.Fence})
				continue
			}
			if h := p.reassignments[e.Key]; h != nil && h.newOwner == owner { // the heir is lost too
				delete(p.reassignments, e.Key)
			} else if h != nil {
				continue
			}
			if e.ExpiresAt-table.Time()-ahead < minRemaining {
				continue
			}
			heir := ChooseNewOwner(e, view, by[owner.Name], func(o claims.Owner) bool { return waiting[o] < maxUnstartedPerOwner })
			if heir == nil {
				p.Counters.Waiting++
				continue
			}
			waiting[heir.Owner]++
			p.Counters.Reassigned++
			p.reassignments[e.Key] = &pendingReassignment{newOwner: heir.Owner, lostOwner: owner, lastAttemptAt: now}
			commands = append(commands, claims.Command{Kind: claims.CommandReassign, Key: e.Key, Fence: e.Fence, NewOwner: heir.Owner})
		}
	}
	return commands, gifts
}

func (p *Planner) sortedKeys() []claims.Key {
	keys := make([]claims.Key, 0, len(p.reassignments))
	for k := range p.reassignments {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, claims.CompareKeys)
	return keys
}

func (p *Planner) isLost(now int64, owner claims.Owner, m *Member) bool {
	if owner == (claims.Owner{}) { // an heir gave them back
		return true
	}
	if m == nil {
		since, seen := p.unseenSince[owner]
		if !seen {
			since = now
			p.unseenSince[owner] = now
		}
		return now-since >= unseenTimeout
	}
	delete(p.unseenSince, owner)
	return !m.Alive || m.Owner.Incarnation > owner.Incarnation
}

// ChooseNewOwner is who inherits a claim: one that waits for it, else the one that rendezvous hashing with weights gives, among
// those with room. Nil where nobody has.
func ChooseNewOwner(e *claims.Entry, view []Member, lost *Member, room func(claims.Owner) bool) *Member {
	var best *Member
	least := math.Inf(1)
	for i := range view {
		m := &view[i]
		if !m.Alive || !m.AcceptsWork || m.Owner == e.Owner || m.Owner == e.LastReturnedBy || !room(m.Owner) {
			continue
		}
		if slices.Contains(e.Waiters, m.Owner) {
			return m
		}
		weight := math.Pow(levelWeight, float64(m.Level))
		if lost != nil && lost.Zone != "" && m.Zone == lost.Zone {
			weight *= sameZoneWeight
		}
		drawn := (float64(xxhash.Sum64String(m.Owner.Name+"\x00"+e.Key.Token)>>11) + 0.5) / (1 << 53)
		if score := -math.Log(drawn) / weight; score < least {
			best, least = m, score
		}
	}
	return best
}
