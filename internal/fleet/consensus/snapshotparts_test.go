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

// largeTable is a table of a megabyte that a command replaces.
type largeTable struct {
	text      []byte
	queued    []byte
	snapshots int // snapshots
}

func (t *largeTable) Apply(_ int64, part []byte) { t.text = bytes.Repeat(part, 1<<20) }
func (t *largeTable) reset()                     { t.text = []byte{0} }
func (t *largeTable) becomeLeader()              {}
func (t *largeTable) leaderTick()                {}
func (t *largeTable) storedSeparately() bool     { return true }

func (t *largeTable) Snapshot() ([]byte, error) {
	t.snapshots++
	return t.text, nil
}

func (t *largeTable) Restore(text []byte) error {
	t.text = text
	return nil
}

func (t *largeTable) nextProposal() []byte {
	part := t.queued
	t.queued = nil
	return part
}

func TestLargeTableIsEncodedAndSentOnceForEachContent(t *testing.T) {
	sim := newSimulation(1, 4, 3)
	sim.stable = true
	sim.disks = true
	tables := make([]*largeTable, 3)
	sim.configure = func(i int, group *Replica) {
		tables[i] = &largeTable{}
		group.tables = append(group.tables, tables[i])
		group.initialize()
	}
	sim.startAll()
	sim.run(5_000 * ms)
	leader := sim.leader()
	require.NotNil(t, leader)
	i := sim.indexOf(leader)
	tables[i].queued = []byte{7}
	sim.run(sim.now + 1_000*ms)
	lost := (i + 1) % 3
	for round := range 3 {
		sim.kill(lost)
		sim.nodes[lost].disk = nil
		sim.start(lost)
		sim.run(sim.now + 4_000*ms)
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[lost].text, "round %d: it came in chunks", round)
	}
	snap, err := leader.replica.raft.storage.Snapshot()
	require.NoError(t, err)
	assert.Less(t, len(snap.GetData()), 64<<10, "the snapshot refers to it by its digest")
	assert.LessOrEqual(t, tables[i].snapshots, 2, "once empty, and once with the content")
	assert.LessOrEqual(t, len(leader.replica.snapshots.parts), 2)
	sim.killReplicas()
	sim.startAll()
	sim.run(sim.now + 4_000*ms)
	for k := range tables {
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[k].text, "it is recovered from the disk")
	}
}

// watchedTable is a config table that counts how much of a snapshot each step encodes.
type watchedTable struct {
	*configTable
	nextCalls   int         // each step has at least one, before it encodes
	bytesByStep map[int]int // by nextCalls
}

type watchedSnapshot struct {
	incrementalSnapshot
	table *watchedTable
}

func (t *watchedTable) beginSnapshot() incrementalSnapshot {
	return &watchedSnapshot{t.configTable.beginSnapshot(), t}
}

func (t *watchedTable) nextProposal() []byte {
	t.nextCalls++
	return t.configTable.nextProposal()
}

func (t *watchedSnapshot) Next(least int) bool {
	before := len(t.Encoded())
	whole := t.incrementalSnapshot.Next(least)
	t.table.bytesByStep[t.table.nextCalls] += len(t.Encoded()) - before
	return whole
}

// A snapshot of a large configuration is encoded over many steps while entries are committed, at the bound of the log and where a lost
// replica is replaced, and what is recovered from the disk is what was committed.
func TestSnapshotOfALargeTableIsSpreadOverSteps(t *testing.T) {
	sim := newSimulation(1, 4, 3)
	sim.stable = true
	sim.disks = true
	var tables [3]*watchedTable
	sim.configure = func(i int, group *Replica) {
		tables[i] = &watchedTable{configTable: group.configs, bytesByStep: map[int]int{}}
		group.tables[2] = tables[i]
	}
	sim.startAll()
	sim.run(5_000 * ms)
	require.NotNil(t, sim.leader())
	const pieces, each = 30, 1_000
	for k := range pieces {
		var changes []configsync.Item
		for n := range each {
			changes = append(changes, tenantItem(fmt.Sprintf("tenant-%d-%d", k, n)))
		}
		v := sim.propose(t, 0, configsync.Command{Kind: configsync.CommandPut, Caller: "a", Seq: uint64(k + 1), Piece: k, MorePieces: k < pieces-1, Changes: changes})
		require.True(t, v.Done, v.Refused)
	}
	sim.run(sim.now + 4_000*ms)
	size := sim.leader().replica.configs.table.Agreed().All.Bytes()
	const most = 256 << 10 // bytes in a step
	check := func(x *watchedTable, what string) {
		assert.Greater(t, len(x.bytesByStep), size/most, what)
		for _, n := range x.bytesByStep {
			assert.LessOrEqual(t, n, most, what)
		}
		clear(x.bytesByStep)
	}
	node := sim.leader()
	self := node.owner()
	for n := range 2_500 { // more than maxLogEntries
		node.replicaInputs = append(node.replicaInputs, Input{ClaimCommands: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: uint64(1_000 + n), Key: key(1), Duration: ms}}})
		sim.wakeNow(sim.indexOf(node))
		sim.run(sim.now + 8*ms)
	}
	for i := range tables {
		check(tables[i], "at the bound of the log")
	}
	lost := (sim.indexOf(node) + 1) % 3
	sim.kill(lost)
	sim.nodes[lost].disk = nil
	sim.start(lost)
	sim.propose(t, sim.indexOf(node), configsync.Command{Kind: configsync.CommandPut, Caller: "b", Seq: 1, Base: 1, Changes: []configsync.Item{tenantItem("x")}})
	sim.run(sim.now + 8_000*ms)
	check(tables[sim.indexOf(node)], "a replaced replica")
	assert.Equal(t, uint64(2), sim.nodes[lost].replica.configs.table.Head().All.Version)
	sim.killReplicas()
	sim.startAll()
	sim.run(sim.now + 4_000*ms)
	for i, h := range sim.heads() {
		assert.Equal(t, uint64(2), h.All.Version, "replica %d is back from its disk", i)
		assert.Equal(t, pieces*each+1, sim.nodes[i].replica.configs.table.Agreed().All.Len(configsync.Tenants))
		assert.LessOrEqual(t, len(sim.nodes[i].replica.snapshots.parts), 2)
	}
}
