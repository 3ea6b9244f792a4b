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

// largeTable is a table of one megabyte, of which each command replaces the whole content.
type largeTable struct {
	encoded   []byte
	queued    []byte
	snapshots int // calls of Snapshot
}

func (t *largeTable) Apply(_ int64, part []byte) { t.encoded = bytes.Repeat(part, 1<<20) }
func (t *largeTable) reset()                     { t.encoded = []byte{0} }
func (t *largeTable) becomeLeader()              {}
func (t *largeTable) leaderTick()                {}
func (t *largeTable) storedSeparately() bool     { return true }

func (t *largeTable) Snapshot() ([]byte, error) {
	t.snapshots++
	return t.encoded, nil
}

func (t *largeTable) Restore(encoded []byte) error {
	t.encoded = encoded
	return nil
}

func (t *largeTable) nextProposal() []byte {
	part := t.queued
	t.queued = nil
	return part
}

// Guards against encoding a separately stored table again for each snapshot, and against sending it inside of snapshots.
func TestLargeTableIsEncodedOncePerContent(t *testing.T) {
	sim := newSimulation(1, 4, 3)
	sim.stable = true
	sim.disks = true
	tables := make([]*largeTable, 3)
	sim.configure = func(i int, replica *Replica) {
		tables[i] = &largeTable{}
		replica.tables = append(replica.tables, tables[i])
		replica.initialize()
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
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[lost].encoded, "round %d: the replaced replica received the table in chunks", round)
	}
	snapshot, err := leader.replica.raft.storage.Snapshot()
	require.NoError(t, err)
	assert.Less(t, len(snapshot.GetData()), 64<<10, "the snapshot refers to the table by its digest")
	assert.LessOrEqual(t, tables[i].snapshots, 2, "encoded once empty, and once with the content")
	assert.LessOrEqual(t, len(leader.replica.snapshots.parts), 2)
	sim.killReplicas()
	sim.startAll()
	sim.run(sim.now + 4_000*ms)
	for k := range tables {
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[k].encoded, "the table is recovered from the disk")
	}
}

// countingTable is a configuration table that counts the bytes of snapshots that each step encodes.
type countingTable struct {
	*configTable
	nextCalls   int         // calls of nextProposal: each step makes at least one before it encodes
	bytesByStep map[int]int // bytes encoded, by the value of nextCalls
}

type countingSnapshot struct {
	incrementalSnapshot
	table *countingTable
}

func (t *countingTable) beginSnapshot() incrementalSnapshot {
	return &countingSnapshot{t.configTable.beginSnapshot(), t}
}

func (t *countingTable) nextProposal() []byte {
	t.nextCalls++
	return t.configTable.nextProposal()
}

func (t *countingSnapshot) Next(minBytes int) bool {
	before := len(t.Encoded())
	complete := t.incrementalSnapshot.Next(minBytes)
	t.table.bytesByStep[t.table.nextCalls] += len(t.Encoded()) - before
	return complete
}

// Guards against steps that encode much of a large configuration at once and so delay heartbeats: when the log is truncated, and when a
// lost replica is replaced. The replicas then recover the committed configuration from their disks.
func TestSnapshotOfLargeTableIsSpreadOverSteps(t *testing.T) {
	sim := newSimulation(1, 4, 3)
	sim.stable = true
	sim.disks = true
	var tables [3]*countingTable
	sim.configure = func(i int, replica *Replica) {
		tables[i] = &countingTable{configTable: replica.configs, bytesByStep: map[int]int{}}
		replica.tables[2] = tables[i]
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
	const maxStepBytes = 256 << 10
	check := func(x *countingTable, occasion string) {
		assert.Greater(t, len(x.bytesByStep), size/maxStepBytes, occasion)
		for _, n := range x.bytesByStep {
			assert.LessOrEqual(t, n, maxStepBytes, occasion)
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
		check(tables[i], "when the log is truncated")
	}
	lost := (sim.indexOf(node) + 1) % 3
	sim.kill(lost)
	sim.nodes[lost].disk = nil
	sim.start(lost)
	sim.propose(t, sim.indexOf(node), configsync.Command{Kind: configsync.CommandPut, Caller: "b", Seq: 1, Base: 1, Changes: []configsync.Item{tenantItem("x")}})
	sim.run(sim.now + 8_000*ms)
	check(tables[sim.indexOf(node)], "when a lost replica is replaced")
	assert.Equal(t, uint64(2), sim.nodes[lost].replica.configs.table.Head().All.Version)
	sim.killReplicas()
	sim.startAll()
	sim.run(sim.now + 4_000*ms)
	for i, h := range sim.heads() {
		assert.Equal(t, uint64(2), h.All.Version, "replica %d recovered from its disk", i)
		assert.Equal(t, pieces*each+1, sim.nodes[i].replica.configs.table.Agreed().All.Len(configsync.Tenants))
		assert.LessOrEqual(t, len(sim.nodes[i].replica.snapshots.parts), 2)
	}
}
