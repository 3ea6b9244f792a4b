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

func (x *claimTable) reset() {
	x.table, x.planner, x.advancedAt, x.queuedClaims = claims.NewTable(), nil, x.replica.now, nil
	x.pending, x.verdicts, x.endedClaims = map[commandID]int64{}, map[claims.Owner][]claims.Verdict{}, map[claims.Owner][]claims.Key{}
}

func (x *claimTable) becomeLeader() { x.planner = takeover.NewPlanner() }

// enqueue takes a command of a node on; without a leader it is dropped, and the node asks again.
func (x *claimTable) enqueue(command claims.Command) {
	if x.replica.leaderID == 0 || len(x.pending) >= maxPendingCommands {
		return
	}
	x.pending[commandID{command.Sender, command.Seq}] = x.replica.now
	x.queuedClaims = append(x.queuedClaims, command)
}

func (x *claimTable) expirePending() {
	for key, at := range x.pending {
		if x.replica.now-at >= pendingTimeout {
			delete(x.pending, key)
		}
	}
}

// leaderTick is what a leader proposes of its own: time and hand-overs.
func (x *claimTable) leaderTick() {
	now := x.replica.now
	if now-x.advancedAt >= timeAdvanceInterval {
		x.queuedClaims = append(x.queuedClaims, claims.Command{Kind: claims.CommandAdvanceTime, At: x.table.Time(), Duration: now - x.advancedAt, MaxTableBytes: x.maxBytes})
	}
	commands, gifts := x.planner.Step(now, x.view, x.table, now-x.advancedAt)
	x.queuedClaims = append(x.queuedClaims, commands...)
	for i := range gifts {
		g := &gifts[i]
		if g.Remaining <= 0 {
			continue
		}
		if g.First {
			x.replica.log(false, "claim %s of %s is taken over by %s: fence %d, %d ms to its due time", g.Entry.Key, g.From.Name, g.To.Name,
				g.Entry.Fence, g.Remaining/ms)
		}
		x.replica.send(g.To.Name, Message{Kind: MessageReassignment, Owner: g.To, Entry: g.Entry, Remaining: g.Remaining})
	}
}

func (x *claimTable) storedSeparately() bool { return false }

func (x *claimTable) nextProposal() (part []byte) {
	part, x.queuedClaims = encodeQueued(x.queuedClaims)
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
func (x *claimTable) Apply(_ int64, part []byte) {
	var list []claims.Command
	if cborDecoding.Unmarshal(part, &list) != nil {
		return
	}
	if slices.ContainsFunc(list, func(c claims.Command) bool { return c.Kind >= claims.CommandKindCount }) {
		panic("a command of a newer version: the others' tables would not be this one's any more")
	}
	for i := range list {
		x.applyCommand(&list[i])
	}
}

func (x *claimTable) applyCommand(command *claims.Command) {
	x.replica.Counters.Committed++
	key := commandID{command.Sender, command.Seq}
	if x.alterCommand != nil {
		x.alterCommand(command, x.table)
	}
	v := x.table.Apply(command)
	if command.Kind == claims.CommandAdvanceTime {
		x.advancedAt = x.replica.now
	}
	if _, here := x.pending[key]; here {
		delete(x.pending, key)
		x.verdicts[command.Sender] = append(x.verdicts[command.Sender], v)
	}
	if x.replica.isLeader() {
		for _, t := range x.table.EndedClaims {
			for _, o := range t.Waiters {
				x.endedClaims[o] = append(x.endedClaims[o], t.Key)
			}
		}
	}
}

// Snapshot is the table of claims.
func (x *claimTable) Snapshot() ([]byte, error) { return x.table.Snapshot() }

// Restore takes the place of the table of claims.
func (x *claimTable) Restore(text []byte) (err error) {
	x.advancedAt = x.replica.now
	if x.table = claims.NewTable(); len(text) > 0 {
		x.table, err = claims.Restore(text)
	}
	return err
}
