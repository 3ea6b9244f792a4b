package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/takeover"
)

const timeAdvanceInterval = 250 * ms // ns that the table's time may lag

type commandID struct {
	owner claims.Owner
	seq   uint64
}

// claimTable is the council's table of claims: who waits here for a verdict, who is to be told that a claim is over, and
// while this seat leads, time and hand-overs.
type claimTable struct {
	replica      *Replica
	maxBytes     int64 // bytes of the table, 0 for the usual
	view         []takeover.Member
	table        *claims.Table
	planner      *takeover.Planner
	advancedAt   int64 // when this seat carried out the last Pass
	queuedClaims []claims.Command
	pending      map[commandID]int64 // when
	verdicts     map[claims.Owner][]claims.Verdict
	endedClaims  map[claims.Owner][]claims.Key
	alterCommand func(command *claims.Command, table *claims.Table) // of tests that want a fault to be found
}

func (t *claimTable) reset() {
	t.table, t.planner, t.advancedAt, t.queuedClaims = claims.NewTable(), nil, t.replica.now, nil
	t.pending, t.verdicts, t.endedClaims = map[commandID]int64{}, map[claims.Owner][]claims.Verdict{}, map[claims.Owner][]claims.Key{}
}

func (t *claimTable) becomeLeader() { t.planner = takeover.NewPlanner() }

// enqueue takes a command of a node on; without a leader it is dropped, and the node asks again.
func (t *claimTable) enqueue(command claims.Command) {
	if t.replica.leaderID == 0 || len(t.pending) >= maxPendingCommands {
		return
	}
	t.pending[commandID{command.Sender, command.Seq}] = t.replica.now
	t.queuedClaims = append(t.queuedClaims, command)
}

func (t *claimTable) expirePending() {
	for key, at := range t.pending {
		if t.replica.now-at >= pendingTimeout {
			delete(t.pending, key)
		}
	}
}

// leaderTick is what a leader proposes of its own: time and hand-overs.
func (t *claimTable) leaderTick() {
	now := t.replica.now
	if now-t.advancedAt >= timeAdvanceInterval {
		t.queuedClaims = append(t.queuedClaims, claims.Command{Kind: claims.CommandAdvanceTime, At: t.table.Time(), Duration: now - t.advancedAt, MaxTableBytes: t.maxBytes})
	}
	commands, gifts := t.planner.Step(now, t.view, t.table, now-t.advancedAt)
	t.queuedClaims = append(t.queuedClaims, commands...)
	for i := range gifts {
		g := &gifts[i]
		if g.Remaining <= 0 {
			continue
		}
		if g.First {
			t.replica.log(false, "claim %s of %s is taken over by %s: fence %d, %d ms to its due time", g.Entry.Key, g.From.Name, g.To.Name,
				g.Entry.Fence, g.Remaining/ms)
		}
		t.replica.send(g.To.Name, Message{Kind: MessageReassignment, Owner: g.To, Entry: g.Entry, Remaining: g.Remaining})
	}
}

func (t *claimTable) storedSeparately() bool { return false }

func (t *claimTable) nextProposal() (part []byte) {
	part, t.queuedClaims = encodeQueued(t.queuedClaims)
	return part
}

// encodeQueued encodes the first of what is queued, as many as an entry may have of a kind.
func encodeQueued[T any](queued []T) (part []byte, rest []T) {
	n := min(len(queued), maxEntryCommands)
	if n == 0 {
		return nil, nil
	}
	part, err := cbor.Marshal(queued[:n])
	if err != nil {
		return nil, nil // asked for again
	}
	return part, queued[n:]
}

// Apply carries claims' part of an entry out; the time is the table's own.
func (t *claimTable) Apply(_ int64, part []byte) {
	var list []claims.Command
	if cborDecoding.Unmarshal(part, &list) != nil {
		return
	}
	if slices.ContainsFunc(list, func(c claims.Command) bool { return c.Kind >= claims.CommandKindCount }) {
		panic("a command of a newer version: the others' tables would not be this one's any more")
	}
	for i := range list {
		t.applyCommand(&list[i])
	}
}

func (t *claimTable) applyCommand(command *claims.Command) {
	t.replica.Counters.Committed++
	key := commandID{command.Sender, command.Seq}
	if t.alterCommand != nil {
		t.alterCommand(command, t.table)
	}
	verdict := t.table.Apply(command)
	if command.Kind == claims.CommandAdvanceTime {
		t.advancedAt = t.replica.now
	}
	if _, here := t.pending[key]; here {
		delete(t.pending, key)
		t.verdicts[command.Sender] = append(t.verdicts[command.Sender], verdict)
	}
	if t.replica.isLeader() {
		for _, ended := range t.table.EndedClaims {
			for _, o := range ended.Waiters {
				t.endedClaims[o] = append(t.endedClaims[o], ended.Key)
			}
		}
	}
}

// Snapshot is the table of claims.
func (t *claimTable) Snapshot() ([]byte, error) { return t.table.Snapshot() }

// Restore takes the place of the table of claims.
func (t *claimTable) Restore(text []byte) (err error) {
	t.advancedAt = t.replica.now
	if t.table = claims.NewTable(); len(text) > 0 {
		t.table, err = claims.Restore(text)
	}
	return err
}
