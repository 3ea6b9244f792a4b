package consensus

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
)

// large is a table of a megabyte that one command changes.
type large struct {
	text   []byte
	queued []byte
	made   int // snapshots
}

func (x *large) Apply(_ int64, part []byte) { x.text = bytes.Repeat(part, 1<<20) }
func (x *large) Snapshot() ([]byte, error)  { x.made++; return x.text, nil }
func (x *large) Restore(text []byte) error  { x.text = text; return nil }
func (x *large) forget()                    { x.text = []byte{0} }
func (x *large) lead()                      {}
func (x *large) rule()                      {}
func (x *large) apart() bool                { return true }
func (x *large) next() (part []byte)        { part, x.queued = x.queued, nil; return part }

func TestLargeTableIsEncodedAndSentOnceForEachContent(t *testing.T) {
	w := newWorld(1, 4, 3)
	w.sane, w.disks = true, true
	tables := make([]*large, 3)
	w.extra = func(i int, c *Group) {
		tables[i] = &large{}
		c.tables = append(c.tables, tables[i])
		c.begin()
	}
	w.up()
	w.run(5_000 * ms)
	leader := w.leader()
	require.NotNil(t, leader)
	i := w.index(leader)
	tables[i].queued = []byte{7}
	w.run(w.now + 1_000*ms)
	lost := (i + 1) % 3
	for round := range 3 {
		w.kill(lost)
		w.machines[lost].disk = nil
		w.start(lost)
		w.run(w.now + 4_000*ms)
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[lost].text, "round %d: it came in pieces", round)
	}
	snap, err := leader.seat.storage.Snapshot()
	require.NoError(t, err)
	assert.Less(t, len(snap.GetData()), 64<<10, "a snapshot names it only")
	assert.LessOrEqual(t, tables[i].made, 2, "empty, and as it is")
	assert.LessOrEqual(t, len(leader.seat.parts), 2)
	w.down()
	w.up()
	w.run(w.now + 4_000*ms)
	for k := range tables {
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[k].text, "it comes back from the disk")
	}
}

// watchedTable is the table of versions, with a look at how much of a snapshot each step writes.
type watchedTable struct {
	*configurationTable
	looked int         // calls of next: each step has one at least, before it writes
	steps  map[int]int // bytes by step
}

type watchedPieces struct {
	pieces
	of *watchedTable
}

func (x *watchedTable) beginSnapshot() pieces {
	return &watchedPieces{x.configurationTable.beginSnapshot(), x}
}

func (x *watchedTable) next() []byte {
	x.looked++
	return x.configurationTable.next()
}

func (p *watchedPieces) Next(least int) bool {
	before := len(p.Text())
	whole := p.pieces.Next(least)
	p.of.steps[p.of.looked] += len(p.Text()) - before
	return whole
}

// A snapshot of a large configuration is written over many steps while entries go on being agreed on, at the bound of the log and
// where a seat that forgot is seated anew, and what comes back from the disk is what was agreed on.
func TestSnapshotOfALargeTableIsSpreadOverSteps(t *testing.T) {
	w := newWorld(1, 4, 3)
	w.sane, w.disks = true, true
	var tables [3]*watchedTable
	w.extra = func(i int, c *Group) {
		tables[i] = &watchedTable{configurationTable: c.versions, steps: map[int]int{}}
		c.tables[2] = tables[i]
	}
	w.up()
	w.run(5_000 * ms)
	require.NotNil(t, w.leader())
	const pieces, each = 30, 1_000
	for k := range pieces {
		var changes []configsync.Item
		for n := range each {
			changes = append(changes, tenantOf(fmt.Sprintf("tenant-%d-%d", k, n), 1))
		}
		v := w.propose(t, 0, configsync.Command{Kind: configsync.Put, From: "a", Seq: uint64(k + 1), Piece: k, More: k < pieces-1, Changes: changes})
		require.True(t, v.Done, v.Refused)
	}
	w.run(w.now + 4_000*ms)
	size := w.leader().seat.versions.table.Agreed().All.Bytes()
	const most = 256 << 10 // bytes: some half a millisecond, with the digest
	check := func(x *watchedTable, what string) {
		assert.Greater(t, len(x.steps), size/most, what)
		for _, n := range x.steps {
			assert.LessOrEqual(t, n, most, what)
		}
		clear(x.steps)
	}
	m := w.leader()
	self := claims.Owner{Name: m.name, Incarnation: m.life}
	for n := range 2_500 { // more entries than one snapshot holds
		m.toSeat = append(m.toSeat, Input{Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: uint64(1_000 + n), Key: key(1), Duration: ms}}})
		w.soon(w.index(m))
		w.run(w.now + 8*ms)
	}
	for i := range tables {
		check(tables[i], "at the bound of the log")
	}
	lost := (w.index(m) + 1) % 3
	w.kill(lost)
	w.machines[lost].disk = nil
	w.start(lost)
	w.propose(t, w.index(m), configsync.Command{Kind: configsync.Put, From: "b", Seq: 1, Base: 1, Changes: []configsync.Item{tenantOf("x", 1)}})
	w.run(w.now + 8_000*ms)
	check(tables[w.index(m)], "a seat anew")
	assert.Equal(t, uint64(2), w.machines[lost].seat.versions.table.Head().All.Version)
	w.down()
	w.up()
	w.run(w.now + 4_000*ms)
	for i, h := range w.heads() {
		assert.Equal(t, uint64(2), h.All.Version, "seat %d is back from its disk", i)
		assert.Equal(t, pieces*each+1, w.machines[i].seat.versions.table.Agreed().All.Len(configsync.Tenants))
		assert.LessOrEqual(t, len(w.machines[i].seat.parts), 2)
	}
}
