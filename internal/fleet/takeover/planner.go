// Package takeover plans the takeover of claims of lost nodes: it chooses a new owner for each claim and decides when to notify that
// owner. It does no I/O, reads no clock and assigns no fences: the table of claims refuses proposals that come too late.
package takeover

import (
	"slices"

	"topazpost/internal/fleet/claims"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	maxUnstartedPerOwner = 8           // claims that a new owner has yet to start: a few times as many as it starts in a round trip
	maxCommandsPerStep   = 256         // keeps the entries of the group's log small
	retryInterval        = 200 * ms    // ns after which a proposal counts as lost, and between notifications of one new owner
	unseenTimeout        = 10_000 * ms // ns after which an owner that is not in the view counts as lost: views converge in a few seconds
	minRemaining         = 20 * ms     // ns to the due time; with less, a new owner can't run the invocation in time
)

// Member is a node as the membership view has it: a candidate for new owner, or lost.
type Member struct {
	Owner       claims.Owner
	Alive       bool // neither dead nor departed in the view
	AcceptsWork bool // neither draining nor without an executor
	Zone        string
	Level       int // of degraded service
}

// Counters count a planner's decisions, for operators.
type Counters struct {
	Reassigned      int `json:"handed"`  // reassignments proposed, committed or not
	MarkedUnknown   int `json:"doubted"` // started claims of lost owners, proposed to be marked unknown
	WithoutNewOwner int `json:"-"`       // gauge: claims of lost owners for which no member has capacity now
}

// Planner tracks the reassignments in progress, on the leader of a consensus group. Each new leader starts with a new Planner.
type Planner struct {
	Counters Counters

	reassignments map[claims.Key]*pendingReassignment
	unseenSince   map[claims.Owner]int64 // when an owner with claims was first not in the view
	members       map[string]*Member     // of the last view, by name
}

// pendingReassignment is a reassignment that was proposed, and whose new owner has not started the claim.
type pendingReassignment struct {
	fence         uint64 // the new owner's fence, 0 until the reassignment is committed
	newOwner      claims.Owner
	lostOwner     claims.Owner
	lastAttemptAt int64 // when the reassignment was proposed, or its new owner last notified
}

// Notification tells a new owner that a claim was reassigned to it.
type Notification struct {
	NewOwner  claims.Owner
	LostOwner claims.Owner // zero for a claim that was returned, or that an earlier leader reassigned
	Entry     *claims.Entry
	Remaining int64 // ns to its due time
	First     bool  // sent on commit, not a repetition; false for reassignments of an earlier leader
}

// NewPlanner returns a planner without reassignments in progress.
func NewPlanner() *Planner {
	return &Planner{
		reassignments: map[claims.Key]*pendingReassignment{},
		unseenSince:   map[claims.Owner]int64{},
		members:       map[string]*Member{},
	}
}

// step holds the inputs and results of one call of Planner.Step.
type step struct {
	planner         *Planner
	now             int64
	latestTableTime int64 // upper bound of the time to which the table's time will advance
	view            []Member
	table           *claims.Table
	unstarted       map[claims.Owner]int // number of claims that each new owner has not started
	commands        []claims.Command
	notifications   []Notification
}

// Step returns the commands to propose for claims of lost owners, and the notifications to send to new owners. An owner is lost if
// the view has a later incarnation of its name, has it as dead or departed, or has not had it for unseenTimeout. The table's time may lag
// behind real time by up to maxLag. All times are in ns.
func (p *Planner) Step(now int64, view []Member, table *claims.Table, maxLag int64) ([]claims.Command, []Notification) {
	s := step{
		planner:         p,
		now:             now,
		latestTableTime: table.Time() + maxLag,
		view:            view,
		table:           table,
	}
	p.setView(view)
	p.adoptEarlierReassignments(now, table)
	for _, key := range p.sortedKeys() {
		s.updateReassignment(key)
	}
	p.dropOwnersWithoutClaims(table)
	p.Counters.WithoutNewOwner = 0
	s.planLostOwners()
	return s.commands, s.notifications
}

func (p *Planner) setView(view []Member) {
	clear(p.members)
	for i := range view {
		p.members[view[i].Owner.Name] = &view[i]
	}
}

// adoptEarlierReassignments tracks the reassignments of an earlier leader, which may not have notified their new owners.
func (p *Planner) adoptEarlierReassignments(now int64, table *claims.Table) {
	for _, entry := range table.Reassigned() {
		if p.reassignments[entry.Key] == nil {
			p.reassignments[entry.Key] = &pendingReassignment{fence: entry.Fence, newOwner: entry.Owner, lastAttemptAt: now - retryInterval}
		}
	}
}

// sortedKeys returns the keys of the reassignments in progress, in order.
func (p *Planner) sortedKeys() []claims.Key {
	keys := make([]claims.Key, 0, len(p.reassignments))
	for key := range p.reassignments {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, claims.CompareKeys)
	return keys
}

// dropOwnersWithoutClaims drops the entries of unseenSince whose owners have no claims left.
func (p *Planner) dropOwnersWithoutClaims(table *claims.Table) {
	for owner := range p.unseenSince {
		if len(table.OwnedBy(owner)) == 0 {
			delete(p.unseenSince, owner)
		}
	}
}

// updateReassignment notifies the new owner of a claim when the reassignment is committed, and again every retryInterval until the
// claim is started. It drops a reassignment that is finished, or whose proposal was lost.
func (s *step) updateReassignment(key claims.Key) {
	pending := s.planner.reassignments[key]
	entry := s.table.Find(key)
	if pending.isFinished(entry) {
		delete(s.planner.reassignments, key)
		return
	}
	retryDue := s.now >= pending.lastAttemptAt+retryInterval
	switch {
	case pending.fence == 0 && entry.Owner == pending.newOwner: // committed
		pending.fence = entry.Fence
		s.notify(pending, entry, true)
	case pending.fence == 0 && retryDue: // the proposal was lost
		delete(s.planner.reassignments, key)
		return
	case pending.fence != 0 && retryDue:
		s.notify(pending, entry, false)
	}
	s.addUnstarted(pending.newOwner)
}

// isFinished reports whether the claim was started, removed or given to another owner.
func (r *pendingReassignment) isFinished(entry *claims.Entry) bool {
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
		Remaining: entry.ExpiresAt - s.latestTableTime,
		First:     first,
	})
}

// planLostOwners plans the claims of lost owners, up to maxCommandsPerStep commands.
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

// isLost reports whether an owner is lost, and updates when it was first missing from the view. Member is the member of that name in the view, or nil.
func (p *Planner) isLost(now int64, owner claims.Owner, member *Member) bool {
	if owner == (claims.Owner{}) { // the owner of a returned claim
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

// planClaim proposes to mark a started claim of a lost owner unknown, or to reassign one that is not started.
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
	if entry.ExpiresAt-s.latestTableTime < minRemaining {
		return
	}
	member := ChooseNewOwner(entry, s.view, s.planner.members[owner.Name], s.hasCapacity)
	if member == nil {
		s.planner.Counters.WithoutNewOwner++
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
