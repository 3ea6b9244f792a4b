package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/takeover"
)

const timeAdvanceInterval = 250 * ms // ns that the table's time may lag

// commandID identifies a command of a node.
type commandID struct {
	owner claims.Owner
	seq   uint64
}

// claimTable is the replicated table of claims, with the callers that wait for a verdict of this replica. While this replica leads, it
// also advances the table's time, plans takeovers, and collects the ended claims that nodes wait for.
type claimTable struct {
	replica      *raftReplica
	maxBytes     int64 // of the table, 0 for the default
	view         []takeover.Member
	table        *claims.Table
	planner      *takeover.Planner
	advancedAt   int64 // when this replica last applied an advance of time
	queuedClaims []claims.Command
	pending      map[commandID]int64 // when each came
	verdicts     map[claims.Owner][]claims.Verdict
	endedClaims  map[claims.Owner][]claims.Key
	alterCommand func(command *claims.Command, table *claims.Table) // fault injection of tests
}

func (t *claimTable) reset() {
	t.table = claims.NewTable()
	t.planner = nil
	t.advancedAt = t.replica.now
	t.queuedClaims = nil
	t.pending = map[commandID]int64{}
	t.verdicts = map[claims.Owner][]claims.Verdict{}
	t.endedClaims = map[claims.Owner][]claims.Key{}
}

func (t *claimTable) becomeLeader() { t.planner = takeover.NewPlanner() }

// enqueueClaim takes a node's command to propose it. Without a leader it is dropped, and the node asks again.
func (t *claimTable) enqueueClaim(command claims.Command) {
	if t.replica.leadership.leaderID == 0 || len(t.pending) >= maxPendingCommands {
		return
	}
	t.pending[commandID{command.Sender, command.Seq}] = t.replica.now
	t.queuedClaims = append(t.queuedClaims, command)
}

func (t *claimTable) expirePending() {
	for id, at := range t.pending {
		if t.replica.now-at >= pendingTimeout {
			delete(t.pending, id)
		}
	}
}

// leaderTick queues the leader's own commands: the advance of time, and takeovers.
func (t *claimTable) leaderTick() {
	now := t.replica.now
	sinceAdvance := now - t.advancedAt
	if sinceAdvance >= timeAdvanceInterval {
		t.queuedClaims = append(t.queuedClaims, claims.Command{Kind: claims.CommandAdvanceTime, MeasuredFrom: t.table.Time(), Duration: sinceAdvance,
			MaxTableBytes: t.maxBytes})
	}
	commands, reassignments := t.planner.Step(now, t.view, t.table, sinceAdvance)
	t.queuedClaims = append(t.queuedClaims, commands...)
	for i := range reassignments {
		t.sendReassignment(&reassignments[i])
	}
}

func (t *claimTable) sendReassignment(a *takeover.Notification) {
	if a.Remaining <= 0 {
		return
	}
	if a.First {
		t.replica.log(false, "claim %s of %s is taken over by %s: fence %d, %d ms to its due time", a.Entry.Key, a.LostOwner.Name, a.NewOwner.Name,
			a.Entry.Fence, a.Remaining/ms)
	}
	t.replica.send(a.NewOwner.Name, Message{Kind: MessageReassignment, Owner: a.NewOwner, Entry: a.Entry, Remaining: a.Remaining})
}

func (t *claimTable) storedSeparately() bool { return false }

func (t *claimTable) nextProposal() (part []byte) {
	part, t.queuedClaims = encodeQueued(t.queuedClaims)
	return part
}

// encodeQueued encodes the first of what is queued, as many as an entry may have of a table.
func encodeQueued[T any](queued []T) (part []byte, rest []T) {
	n := min(len(queued), maxEntryCommands)
	if n == 0 {
		return nil, nil
	}
	part, err := cbor.Marshal(queued[:n])
	if err != nil {
		return nil, nil // the nodes ask again
	}
	return part, queued[n:]
}

// Apply applies the claims' part of an entry; the time is the table's own.
func (t *claimTable) Apply(_ int64, part []byte) {
	var list []claims.Command
	if cborDecoding.Unmarshal(part, &list) != nil {
		return
	}
	if slices.ContainsFunc(list, func(c claims.Command) bool { return c.Kind >= claims.CommandKindCount }) {
		panic(errNewerCommand)
	}
	for i := range list {
		t.applyCommand(&list[i])
	}
}

func (t *claimTable) applyCommand(command *claims.Command) {
	t.replica.Counters.CommittedCommands++
	id := commandID{command.Sender, command.Seq}
	if t.alterCommand != nil {
		t.alterCommand(command, t.table)
	}
	verdict := t.table.Apply(command)
	if command.Kind == claims.CommandAdvanceTime {
		t.advancedAt = t.replica.now
	}
	if _, waits := t.pending[id]; waits {
		delete(t.pending, id)
		t.verdicts[command.Sender] = append(t.verdicts[command.Sender], verdict)
	}
	if t.replica.IsLeader() {
		t.collectEnded()
	}
}

func (t *claimTable) collectEnded() {
	for _, ended := range t.table.EndNotifications {
		for _, owner := range ended.Waiters {
			t.endedClaims[owner] = append(t.endedClaims[owner], ended.Key)
		}
	}
}

// Snapshot encodes the table of claims.
func (t *claimTable) Snapshot() ([]byte, error) { return t.table.Snapshot() }

// Restore replaces the table of claims.
func (t *claimTable) Restore(text []byte) (err error) {
	t.advancedAt = t.replica.now
	t.table = claims.NewTable()
	if len(text) > 0 {
		t.table, err = claims.Restore(text)
	}
	return err
}
