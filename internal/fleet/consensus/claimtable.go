package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/takeover"
)

const timeAdvanceInterval = 250 * ms // after which the leader proposes to advance the table's time

// commandID identifies a node's command on claims.
type commandID struct {
	owner claims.Owner
	seq   uint64
}

// claimTable is the replicated table of claims, with the commands that this replica has to answer. While this replica leads, it also
// advances the table's time, plans takeovers, and collects the ended claims of which waiting nodes are notified.
type claimTable struct {
	replica        *raftReplica
	maxClaimBytes  int64 // limit on the table, 0 for the default
	membershipView []takeover.Member
	claims         *claims.Table
	planner        *takeover.Planner
	advancedAt     int64 // when this replica last applied an advance of the table's time
	queuedClaims   []claims.Command
	pendingClaims  map[commandID]int64 // when each command was received
	claimVerdicts  map[claims.Owner][]claims.Verdict
	endedClaims    map[claims.Owner][]claims.Key
	alterCommand   func(command *claims.Command, table *claims.Table) // injects faults in tests, nil otherwise
}

func (t *claimTable) reset() {
	t.claims = claims.NewTable()
	t.planner = nil
	t.advancedAt = t.replica.now
	t.queuedClaims = nil
	t.pendingClaims = map[commandID]int64{}
	t.claimVerdicts = map[claims.Owner][]claims.Verdict{}
	t.endedClaims = map[claims.Owner][]claims.Key{}
}

func (t *claimTable) becomeLeader() { t.planner = takeover.NewPlanner() }

// enqueueClaim queues a node's command to be proposed. It drops the command if no leader is known or too many commands are pending; the
// node then retries. It drops a command that replicas can't decode, as that would cost all other commands of its entry.
func (t *claimTable) enqueueClaim(command claims.Command) {
	if !command.IsDecodable() {
		t.replica.logLine(true, "consensus: dropped a command of %s whose texts are not UTF-8", command.Sender.Name)
		return
	}
	if t.replica.leadership.leaderID == 0 || len(t.pendingClaims) >= maxPendingCommands {
		return
	}
	t.pendingClaims[commandID{command.Sender, command.Seq}] = t.replica.now
	t.queuedClaims = append(t.queuedClaims, command)
}

func (t *claimTable) expirePending() {
	for id, at := range t.pendingClaims {
		if t.replica.now-at >= pendingTimeout {
			delete(t.pendingClaims, id)
		}
	}
}

// leaderTick queues the leader's own commands, which advance the table's time and reassign claims of lost nodes, and notifies the new
// owners.
func (t *claimTable) leaderTick() {
	now := t.replica.now
	sinceAdvance := now - t.advancedAt
	if sinceAdvance >= timeAdvanceInterval {
		t.queuedClaims = append(t.queuedClaims, claims.Command{Kind: claims.CommandAdvanceTime, MeasuredFrom: t.claims.Time(), Duration: sinceAdvance,
			MaxTableBytes: t.maxClaimBytes})
	}
	commands, reassignments := t.planner.Step(now, t.membershipView, t.claims, sinceAdvance)
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
		t.replica.logLine(false, "consensus: claim %s of %s is taken over by %s with fence %d, %d ms before its deadline", a.Entry.Key, a.LostOwner.Name, a.NewOwner.Name,
			a.Entry.Fence, a.Remaining/ms)
	}
	t.replica.send(a.NewOwner.Name, Message{Kind: MessageReassignment, Owner: a.NewOwner, Claim: a.Entry, Remaining: a.Remaining})
}

func (t *claimTable) storedSeparately() bool { return false }

func (t *claimTable) nextProposal() (commands []byte) {
	commands, t.queuedClaims = encodeQueued(t.queuedClaims)
	return commands
}

// encodeQueued encodes the first maxEntryCommands of the queued commands, and returns those that are left. If they can't be encoded, it
// drops them all.
func encodeQueued[T any](queued []T) (commands []byte, rest []T) {
	n := min(len(queued), maxEntryCommands)
	if n == 0 {
		return nil, nil
	}
	commands, err := cbor.Marshal(queued[:n])
	if err != nil {
		return nil, nil // the nodes retry
	}
	return commands, queued[n:]
}

// Apply applies the commands on claims of an entry. It ignores the agreed time, which is this table's own time.
func (t *claimTable) Apply(_ int64, commands []byte) {
	var list []claims.Command
	if cborDecoding.Unmarshal(commands, &list) != nil {
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
		t.alterCommand(command, t.claims)
	}
	verdict := t.claims.Apply(command)
	if command.Kind == claims.CommandAdvanceTime {
		t.advancedAt = t.replica.now
	}
	if _, waits := t.pendingClaims[id]; waits {
		delete(t.pendingClaims, id)
		t.claimVerdicts[command.Sender] = append(t.claimVerdicts[command.Sender], verdict)
	}
	if t.replica.IsLeader() {
		t.collectEnded()
	}
}

func (t *claimTable) collectEnded() {
	for _, ended := range t.claims.EndNotifications {
		for _, owner := range ended.Waiters {
			t.endedClaims[owner] = append(t.endedClaims[owner], ended.Key)
		}
	}
}

// Snapshot encodes the table of claims.
func (t *claimTable) Snapshot() ([]byte, error) { return t.claims.Snapshot() }

// Restore replaces the table of claims.
func (t *claimTable) Restore(encoded []byte) (err error) {
	t.advancedAt = t.replica.now
	t.claims = claims.NewTable()
	if len(encoded) > 0 {
		t.claims, err = claims.Restore(encoded)
	}
	return err
}
