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

// largeTable is a table of a megabyte that one command changes.
type largeTable struct {
	text      []byte
	queued    []byte
	snapshots int // snapshots
}

func (x *largeTable) Apply(_ int64, part []byte)  { x.text = bytes.Repeat(part, 1<<20) }
func (x *largeTable) Snapshot() ([]byte, error)   { x.snapshots++; return x.text, nil }
func (x *largeTable) Restore(text []byte) error   { x.text = text; return nil }
func (x *largeTable) reset()                      { x.text = []byte{0} }
func (x *largeTable) becomeLeader()               {}
func (x *largeTable) leaderTick()                 {}
func (x *largeTable) storedSeparately() bool      { return true }
func (x *largeTable) nextProposal() (part []byte) { part, x.queued = x.queued, nil; return part }

func TestLargeTableIsEncodedAndSentOnceForEachContent(t *testing.T) {
	w := newSimulation(1, 4, 3)
	w.stable, w.disks = true, true
	tables := make([]*largeTable, 3)
	w.configure = func(i int, c *Group) {
		tables[i] = &largeTable{}
		c.tables = append(c.tables, tables[i])
		c.initialize()
	}
	w.startAll()
	w.run(5_000 * ms)
	leader := w.leader()
	require.NotNil(t, leader)
	i := w.indexOf(leader)
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
	snap, err := leader.replica.storage.Snapshot()
	require.NoError(t, err)
	assert.Less(t, len(snap.GetData()), 64<<10, "a snapshot names it only")
	assert.LessOrEqual(t, tables[i].snapshots, 2, "empty, and as it is")
	assert.LessOrEqual(t, len(leader.replica.storedParts), 2)
	w.killReplicas()
	w.startAll()
	w.run(w.now + 4_000*ms)
	for k := range tables {
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[k].text, "it comes back from the disk")
	}
}

// watchedTable is the table of versions, with a look at how much of a snapshot each step writes.
type watchedTable struct {
	*configTable
	nextCalls   int         // calls of next: each step has one at least, before it writes
	bytesByStep map[int]int // bytes by step
}

type watchedSnapshot struct {
	incrementalSnapshot
	table *watchedTable
}

func (x *watchedTable) beginSnapshot() incrementalSnapshot {
	return &watchedSnapshot{x.configTable.beginSnapshot(), x}
}

func (x *watchedTable) nextProposal() []byte {
	x.nextCalls++
	return x.configTable.nextProposal()
}

func (p *watchedSnapshot) Next(least int) bool {
	before := len(p.Text())
	whole := p.incrementalSnapshot.Next(least)
	p.table.bytesByStep[p.table.nextCalls] += len(p.Text()) - before
	return whole
}

// A snapshot of a large configuration is written over many steps while entries go on being agreed on, at the bound of the log and
// where a seat that forgot is seated anew, and what comes back from the disk is what was agreed on.
func TestSnapshotOfALargeTableIsSpreadOverSteps(t *testing.T) {
	w := newSimulation(1, 4, 3)
	w.stable, w.disks = true, true
	var tables [3]*watchedTable
	w.configure = func(i int, c *Group) {
		tables[i] = &watchedTable{configTable: c.configs, bytesByStep: map[int]int{}}
		c.tables[2] = tables[i]
	}
	w.startAll()
	w.run(5_000 * ms)
	require.NotNil(t, w.leader())
	const pieces, each = 30, 1_000
	for k := range pieces {
		var changes []configsync.Item
		for n := range each {
			changes = append(changes, tenantItem(fmt.Sprintf("tenant-%d-%d", k, n), 1))
		}
		v := w.propose(t, 0, configsync.Command{Kind: configsync.Put, From: "a", Seq: uint64(k + 1), Piece: k, More: k < pieces-1, Changes: changes})
		require.True(t, v.Done, v.Refused)
	}
	w.run(w.now + 4_000*ms)
	size := w.leader().replica.configs.table.Agreed().All.Bytes()
	const most = 256 << 10 // bytes: some half a millisecond, with the digest
	check := func(x *watchedTable, what string) {
		assert.Greater(t, len(x.bytesByStep), size/most, what)
		for _, n := range x.bytesByStep {
			assert.LessOrEqual(t, n, most, what)
		}
		clear(x.bytesByStep)
	}
	m := w.leader()
	self := claims.Owner{Name: m.name, Incarnation: m.incarnation}
	for n := range 2_500 { // more entries than one snapshot holds
		m.replicaInputs = append(m.replicaInputs, Input{Claims: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: uint64(1_000 + n), Key: key(1), Duration: ms}}})
		w.wakeNow(w.indexOf(m))
		w.run(w.now + 8*ms)
	}
	for i := range tables {
		check(tables[i], "at the bound of the log")
	}
	lost := (w.indexOf(m) + 1) % 3
	w.kill(lost)
	w.machines[lost].disk = nil
	w.start(lost)
	w.propose(t, w.indexOf(m), configsync.Command{Kind: configsync.Put, From: "b", Seq: 1, Base: 1, Changes: []configsync.Item{tenantItem("x", 1)}})
	w.run(w.now + 8_000*ms)
	check(tables[w.indexOf(m)], "a seat anew")
	assert.Equal(t, uint64(2), w.machines[lost].replica.configs.table.Head().All.Version)
	w.killReplicas()
	w.startAll()
	w.run(w.now + 4_000*ms)
	for i, h := range w.heads() {
		assert.Equal(t, uint64(2), h.All.Version, "seat %d is back from its disk", i)
		assert.Equal(t, pieces*each+1, w.machines[i].replica.configs.table.Agreed().All.Len(configsync.Tenants))
		assert.LessOrEqual(t, len(w.machines[i].replica.storedParts), 2)
	}
}
