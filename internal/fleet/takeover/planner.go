// Package takeover plans what becomes of the claims of a lost node: who is the new owner of each, and when it is notified. It does
// no I/O, reads no clock, and gives out no fence: what it proposes is refused by the table of claims where it is late.
package takeover

import (
	"slices"

	"topazpost/internal/fleet/claims"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	maxUnstartedPerOwner = 8           // reassigned claims that one new owner has not started: a few times what it starts in a round trip
	maxCommandsPerStep   = 256         // so that an entry of the log stays small
	retryInterval        = 200 * ms    // ns after which a new owner that has not started is notified again
	unseenTimeout        = 10_000 * ms // ns after which an owner that no view ever had is lost: views settle in a few seconds
	minRemaining         = 20 * ms     // ns to the due time, below which a reassigned claim can't be run in time
)

// Member is a node that may become a new owner, or that is lost.
type Member struct {
	Owner       claims.Owner
	Alive       bool // in the view: neither dead nor gone
	AcceptsWork bool // neither draining nor without an executor
	Zone        string
	Level       int // of graceful degradation
}

// Counters are what operators see.
type Counters struct {
	Reassigned    int `json:"handed"`
	MarkedUnknown int `json:"doubted"`
	Waiting       int `json:"-"` // claims of lost nodes that no new owner has capacity for now
}

// Planner is what the leader of a consensus group knows of reassignments in progress. Each leader starts with a new one.
type Planner struct {
	Counters Counters

	reassignments map[claims.Key]*pendingReassignment
	unseenSince   map[claims.Owner]int64 // of owners that no view ever had
	members       map[string]*Member     // of the last view, by name
}

// pendingReassignment is a claim that its new owner has not started.
type pendingReassignment struct {
	fence         uint64 // under which the new owner has it, 0 until that is committed
	newOwner      claims.Owner
	lostOwner     claims.Owner
	lastAttemptAt int64 // when it was last proposed, or its new owner notified
}

// Notification tells a new owner that a claim was reassigned to it.
type Notification struct {
	NewOwner  claims.Owner
	LostOwner claims.Owner // zero for a claim that was returned, or that an earlier leader reassigned
	Entry     *claims.Entry
	Remaining int64 // ns to its due time
	First     bool
}

// NewPlanner returns a planner without reassignments in progress.
func NewPlanner() *Planner {
	return &Planner{
		reassignments: map[claims.Key]*pendingReassignment{},
		unseenSince:   map[claims.Owner]int64{},
		members:       map[string]*Member{},
	}
}

// step is the state of one Step.
type step struct {
	planner       *Planner
	now           int64
	tableTime     int64 // with the time that the table may lag behind
	view          []Member
	table         *claims.Table
	unstarted     map[claims.Owner]int // reassigned claims by new owner
	commands      []claims.Command
	notifications []Notification
}

// Step returns what to propose for the claims of lost owners, and which new owners to notify. An owner is lost where the view has
// a later incarnation under its name, or has it dead or gone, or never had it for long. Ahead is by how much the table's time may
// lag.
func (p *Planner) Step(now int64, view []Member, table *claims.Table, ahead int64) ([]claims.Command, []Notification) {
	s := step{
		planner:   p,
		now:       now,
		tableTime: table.Time() + ahead,
		view:      view,
		table:     table,
	}
	p.setView(view)
	p.adoptReassignments(now, table)
	for _, key := range p.sortedKeys() {
		s.followUp(key)
	}
	p.forgetUnseen(table)
	p.Counters.Waiting = 0
	s.planLostOwners()
	return s.commands, s.notifications
}

func (p *Planner) setView(view []Member) {
	clear(p.members)
	for i := range view {
		p.members[view[i].Owner.Name] = &view[i]
	}
}

// adoptReassignments takes over those of an earlier leader, whose new owners may not have been notified.
func (p *Planner) adoptReassignments(now int64, table *claims.Table) {
	for _, entry := range table.Reassigned() {
		if p.reassignments[entry.Key] == nil {
			p.reassignments[entry.Key] = &pendingReassignment{fence: entry.Fence, newOwner: entry.Owner, lastAttemptAt: now - retryInterval}
		}
	}
}

// sortedKeys are the keys of the reassignments in progress.
func (p *Planner) sortedKeys() []claims.Key {
	keys := make([]claims.Key, 0, len(p.reassignments))
	for key := range p.reassignments {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, claims.CompareKeys)
	return keys
}

// forgetUnseen drops the owners that have no claims any more.
func (p *Planner) forgetUnseen(table *claims.Table) {
	for owner := range p.unseenSince {
		if len(table.OwnedBy(owner)) == 0 {
			delete(p.unseenSince, owner)
		}
	}
}

// followUp notifies the new owner of a claim once its reassignment is committed and until it is started, and drops a reassignment
// that is over or whose proposal was lost.
func (s *step) followUp(key claims.Key) {
	pending := s.planner.reassignments[key]
	entry := s.table.Find(key)
	if pending.isOver(entry) {
		delete(s.planner.reassignments, key)
		return
	}
	retryDue := s.now >= pending.lastAttemptAt+retryInterval
	switch {
	case pending.fence == 0 && entry.Owner == pending.newOwner: // committed
		pending.fence = entry.Fence
		s.notify(pending, entry, true)
	case pending.fence == 0 && retryDue:
		delete(s.planner.reassignments, key)
		return
	case pending.fence != 0 && retryDue:
		s.notify(pending, entry, false)
	}
	s.addUnstarted(pending.newOwner)
}

// isOver says whether the claim was started, ended or given to another owner.
func (r *pendingReassignment) isOver(entry *claims.Entry) bool {
	if entry == nil || entry.State != claims.StateClaimed {
		return true
	}
	return r.fence != 0 && (entry.Fence != r.fence || entry.Owner != r.newOwner)
}

func (s *step) notify(pending *pendingReassignment, entry *claims.Entry, first bool) {
	pending.lastAttemptAt = s.now
	s.notifications = append(s.notifications, Notification{
		NewOwner:  pending.newOwner,
		LostOwner: pending.lostOwner,
		Entry:     entry,
		Remaining: entry.ExpiresAt - s.tableTime,
		First:     first,
	})
}

// planLostOwners proposes what becomes of the claims of lost owners, as far as one step may.
func (s *step) planLostOwners() {
	for _, owner := range s.table.Owners() {
		if !s.planner.isLost(s.now, owner, s.planner.members[owner.Name]) {
			continue
		}
		for _, entry := range s.table.OwnedBy(owner) {
			if len(s.commands) >= maxCommandsPerStep {
				return
			}
			s.planClaim(entry, owner)
		}
	}
}

// isLost says whether an owner is lost, by the member of its name in the view.
func (p *Planner) isLost(now int64, owner claims.Owner, member *Member) bool {
	if owner == (claims.Owner{}) { // a new owner returned the claim
		return true
	}
	if member != nil {
		delete(p.unseenSince, owner)
		return !member.Alive || member.Owner.Incarnation > owner.Incarnation
	}
	since, known := p.unseenSince[owner]
	if !known {
		since = now
		p.unseenSince[owner] = now
	}
	return now-since >= unseenTimeout
}

// planClaim proposes what becomes of one claim of a lost owner.
func (s *step) planClaim(entry *claims.Entry, owner claims.Owner) {
	if entry.State == claims.StateStarted {
		s.planner.Counters.MarkedUnknown++
		s.commands = append(s.commands, claims.Command{Kind: claims.CommandMarkUnknown, Key: entry.Key, Fence: entry.Fence})
		return
	}
	if pending := s.planner.reassignments[entry.Key]; pending != nil {
		if pending.newOwner != owner {
			return
		}
		delete(s.planner.reassignments, entry.Key) // the new owner is lost too
	}
	if entry.ExpiresAt-s.tableTime < minRemaining {
		return
	}
	member := ChooseNewOwner(entry, s.view, s.planner.members[owner.Name], s.hasCapacity)
	if member == nil {
		s.planner.Counters.Waiting++
		return
	}
	newOwner := member.Owner
	s.addUnstarted(newOwner)
	s.planner.Counters.Reassigned++
	s.planner.reassignments[entry.Key] = &pendingReassignment{newOwner: newOwner, lostOwner: owner, lastAttemptAt: s.now}
	s.commands = append(s.commands, claims.Command{Kind: claims.CommandReassign, Key: entry.Key, Fence: entry.Fence, NewOwner: newOwner})
}

func (s *step) addUnstarted(owner claims.Owner) {
	if s.unstarted == nil {
		s.unstarted = map[claims.Owner]int{}
	}
	s.unstarted[owner]++
}

func (s *step) hasCapacity(owner claims.Owner) bool { return s.unstarted[owner] < maxUnstartedPerOwner }
