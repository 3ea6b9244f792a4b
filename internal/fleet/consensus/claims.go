package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/takeover"
)

const passEvery = 250 * ms // ns that the table's time may lag

type asked struct {
	owner claims.Owner
	seq   uint64
}

// claimTable is the council's table of claims: who waits here for a verdict, who is to be told that a claim is over, and
// while this seat leads, time and hand-overs.
type claimTable struct {
	seat     *Replica
	most     int64 // bytes of the table, 0 for the usual
	view     []takeover.Member
	table    *claims.Table
	plan     *takeover.Planner
	passedAt int64 // when this seat carried out the last Pass
	queued   []claims.Command
	pending  map[asked]int64 // when
	verdicts map[claims.Owner][]claims.Verdict
	tells    map[claims.Owner][]claims.Key
	alter    func(command *claims.Command, table *claims.Table) // of tests that want a fault to be found
}

func (x *claimTable) forget() {
	x.table, x.plan, x.passedAt, x.queued = claims.NewTable(), nil, x.seat.now, nil
	x.pending, x.verdicts, x.tells = map[asked]int64{}, map[claims.Owner][]claims.Verdict{}, map[claims.Owner][]claims.Key{}
}

func (x *claimTable) lead() { x.plan = takeover.NewPlanner() }

// wanted takes a command of a node on; without a leader it is dropped, and the node asks again.
func (x *claimTable) wanted(command claims.Command) {
	if x.seat.leader == 0 || len(x.pending) >= pendingMost {
		return
	}
	x.pending[asked{command.Sender, command.Seq}] = x.seat.now
	x.queued = append(x.queued, command)
}

func (x *claimTable) sweep() {
	for key, at := range x.pending {
		if x.seat.now-at >= pendingFor {
			delete(x.pending, key)
		}
	}
}

// rule is what a leader proposes of its own: time and hand-overs.
func (x *claimTable) rule() {
	now := x.seat.now
	if now-x.passedAt >= passEvery {
		x.queued = append(x.queued, claims.Command{Kind: claims.CommandAdvanceTime, At: x.table.Time(), Duration: now - x.passedAt, MaxTableBytes: x.most})
	}
	commands, gifts := x.plan.Step(now, x.view, x.table, now-x.passedAt)
	x.queued = append(x.queued, commands...)
	for i := range gifts {
		g := &gifts[i]
		if g.Remaining <= 0 {
			continue
		}
		if g.First {
			x.seat.remark(false, "claim %s of %s is taken over by %s: fence %d, %d ms to its due time", g.Entry.Key, g.From.Name, g.To.Name,
				g.Entry.Fence, g.Remaining/ms)
		}
		x.seat.send(g.To.Name, Message{Kind: MessageReassignment, Owner: g.To, Entry: g.Entry, Remaining: g.Remaining})
	}
}

func (x *claimTable) apart() bool { return false }

func (x *claimTable) next() (part []byte) {
	part, x.queued = nextPart(x.queued)
	return part
}

// nextPart encodes the first of what is queued, as many as an entry may have of a kind.
func nextPart[T any](queued []T) (part []byte, rest []T) {
	n := min(len(queued), entryMost)
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
	if decode.Unmarshal(part, &list) != nil {
		return
	}
	if slices.ContainsFunc(list, func(c claims.Command) bool { return c.Kind >= claims.CommandKindCount }) {
		panic("a command of a newer version: the others' tables would not be this one's any more")
	}
	for i := range list {
		x.carryOut(&list[i])
	}
}

func (x *claimTable) carryOut(command *claims.Command) {
	x.seat.Counters.Committed++
	key := asked{command.Sender, command.Seq}
	if x.alter != nil {
		x.alter(command, x.table)
	}
	v := x.table.Apply(command)
	if command.Kind == claims.CommandAdvanceTime {
		x.passedAt = x.seat.now
	}
	if _, here := x.pending[key]; here {
		delete(x.pending, key)
		x.verdicts[command.Sender] = append(x.verdicts[command.Sender], v)
	}
	if x.seat.leads() {
		for _, t := range x.table.EndedClaims {
			for _, o := range t.Waiters {
				x.tells[o] = append(x.tells[o], t.Key)
			}
		}
	}
}

// Snapshot is the table of claims.
func (x *claimTable) Snapshot() ([]byte, error) { return x.table.Snapshot() }

// Restore takes the place of the table of claims.
func (x *claimTable) Restore(text []byte) (err error) {
	x.passedAt = x.seat.now
	if x.table = claims.NewTable(); len(text) > 0 {
		x.table, err = claims.Restore(text)
	}
	return err
}
