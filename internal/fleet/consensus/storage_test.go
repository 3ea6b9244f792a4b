package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
)

// Guards against losing a token's result, or running the token again, when all nodes restart.
func TestGroupsRecoverFromDisks(t *testing.T) {
	for _, replicas := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			sim := newDiskSimulation(t, replicas+1, replicas)
			a := sim.ask(1, 1, replicas)
			sim.run(sim.now + 500*ms)
			require.Equal(t, "hold//t1 run 1", a.outcome)
			ids := map[string]uint64{}
			for _, node := range sim.nodes[:replicas] {
				ids[node.name] = node.replica.raft.id
			}
			sim.killReplicas()
			sim.kill(replicas)
			sim.run(sim.now + 60_000*ms)
			sim.startAll()
			sim.run(sim.now + 3_000*ms)
			for _, node := range sim.nodes[:replicas] {
				assert.Equal(t, ids[node.name], node.replica.raft.id, "the replica resumes with its raft ID")
			}
			b := sim.ask(2, 1, replicas)
			sim.run(sim.now + 500*ms)
			assert.Equal(t, a.outcome, b.outcome)
			assert.Equal(t, 1, sim.runs[1])
			sim.assertReplicasAgree(t)
		})
	}
}

// Guards against a replica that lost its disk and goes on under its old raft ID, or is never replaced.
func TestReplicaThatLostItsDiskIsReplaced(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	sim.ask(1, 1, 3)
	sim.run(sim.now + 500*ms)
	before := sim.nodes[0].replica.raft.id
	sim.kill(0)
	sim.nodes[0].disk = nil
	sim.start(0)
	sim.run(sim.now + 3_000*ms)
	replica := sim.nodes[0].replica
	assert.NotEqual(t, before, replica.raft.id)
	assert.NotNil(t, replica.claims.Find(key(1)))
	sim.killReplicas() // what the replaced replica received is on its new disk
	sim.startAll()
	sim.run(sim.now + 3_000*ms)
	assert.Equal(t, replica.raft.id, sim.nodes[0].replica.raft.id)
	assert.NotNil(t, sim.nodes[0].replica.claims.Find(key(1)))
}

// Guards against votes by outdated state, when a volume was restored to an older state.
func TestReplicaWithOutdatedDiskRestarts(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	i := (sim.indexOf(sim.leader()) + 1) % 3
	old := sim.nodes[i].disk.contents
	before := sim.nodes[i].replica.raft.id
	a := sim.ask(1, 1, 3)
	sim.run(sim.now + 500*ms)
	sim.killReplicas()
	sim.nodes[i].disk.contents = old
	sim.startAll()
	sim.run(sim.now + 5_000*ms)
	replica := sim.nodes[i].replica
	assert.NotEqual(t, before, replica.raft.id, "the replica does not vote with outdated state")
	assert.True(t, replica.bootstrap.inGroup)
	assert.NotNil(t, replica.claims.Find(key(1)))
	b := sim.ask(2, 1, 3)
	sim.run(sim.now + 500*ms)
	assert.Equal(t, a.outcome, b.outcome)
	sim.assertReplicasAgree(t)
}

// Guards against messages that depend on state which a crash of this node could lose.
func TestNothingIsSentBeforeItIsPersisted(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	node := sim.leader()
	replica := node.replica
	number := replica.disk.lastWrite
	self := node.owner()
	effects, _ := replica.Step(sim.now, []Input{{Persisted: number}, {ClaimCommands: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: 99, Key: key(1), Duration: ms}}}})
	var write *Write
	for _, e := range effects {
		if e.Kind == Persist {
			write = e.Write
		}
		assert.NotEqual(t, Send, e.Kind, "nothing is sent before the entry is on the disk")
	}
	require.NotNil(t, write)
	assert.Greater(t, write.Number, number)
	effects, _ = replica.Step(sim.now+1, []Input{{Persisted: write.Number}})
	assert.True(t, slices.ContainsFunc(effects, func(e Effect) bool { return e.Kind == Send }), "the messages are sent when the entry is on the disk")
}

// Guards against a leader that goes on after its disk failed, and against a replica that does not come back after its restart.
func TestReplicaWithFailedDiskSendsNothing(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	i := sim.indexOf(sim.leader())
	node := sim.nodes[i]
	node.replicaInputs = append(node.replicaInputs, Input{DiskErr: fmt.Errorf("no space left")})
	sim.wakeNow(i)
	sim.run(sim.now + 4_000*ms)
	require.NotNil(t, sim.leader())
	assert.NotEqual(t, i, sim.indexOf(sim.leader()), "another replica leads")
	sim.kill(i)
	sim.start(i)
	sim.run(sim.now + 2_000*ms)
	assert.Equal(t, sim.leader().replica.raft.appliedIndex, sim.nodes[i].replica.raft.appliedIndex, "the replica catches up after its restart")
}

// Guards against starting from a disk whose content belongs to another group or can't be decoded.
func TestDiskOfAnotherGroupIsRefused(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	c := NewReplica([]string{"n0", "n7", "n8"}, "n0", 1, 1, 1)
	assert.ErrorContains(t, c.Recover(1, sim.nodes[0].disk.contents), "restore the names")
	c = NewReplica(sim.members, "n0", 1, 1, 1)
	assert.ErrorContains(t, c.Recover(1, DiskContents{Base: []byte("no base")}), "can't be read by this build")
}

// Guards against a log on disk that grows without bound: a base replaces the records before it.
func TestLogOnDiskIsTruncatedAtSnapshot(t *testing.T) {
	sim := newDiskSimulation(t, 4, 3)
	node := sim.leader()
	self := node.owner()
	for n := range 2_500 { // more than maxLogEntries
		node.replicaInputs = append(node.replicaInputs, Input{ClaimCommands: []claims.Command{{Kind: claims.CommandClaim, Sender: self, Seq: uint64(1_000 + n), Key: key(1), Duration: ms}}})
		sim.wakeNow(sim.indexOf(node))
		sim.run(sim.now + 8*ms)
	}
	for _, node := range sim.nodes[:3] {
		assert.Less(t, len(node.disk.contents.Records), 3*maxLogEntries, "an entry has two records: its own, and one that commits it")
		assert.GreaterOrEqual(t, node.replica.Counters.Snapshots, 1)
	}
}

// commitOnTwoReplicas cuts one of three replicas off, stalls the disk of the follower that is left, and proposes a claim. The leader and
// the follower then crash, and the follower restarts from its disk, so that it and the third replica form a majority. It reports whether
// the leader committed the claim, and whether the claim survived.
func commitOnTwoReplicas(t *testing.T, fault func(replica *Replica)) (committed, survived bool) {
	sim := newSimulation(1, 4, 3)
	sim.stable = true
	sim.disks = true
	sim.configure = func(_ int, replica *Replica) { fault(replica) }
	sim.startAll()
	sim.run(5_000 * ms)
	leader := sim.leader()
	require.NotNil(t, leader)
	i := sim.indexOf(leader)
	follower := (i + 1) % 3
	third := (i + 2) % 3
	for k := range sim.nodes {
		sim.cutLinks[[2]int{third, k}], sim.cutLinks[[2]int{k, third}] = true, true
	}
	sim.nodes[follower].disk.freeAt = sim.now + 60_000*ms
	leader.replicaInputs = append(leader.replicaInputs, Input{ClaimCommands: []claims.Command{{Kind: claims.CommandClaim, Sender: claims.Owner{Name: "n3", Incarnation: sim.nodes[3].incarnation},
		Seq: 1_000, Key: key(1), Duration: 600_000 * ms, Retention: claimRetention}}})
	sim.wakeNow(i)
	sim.run(sim.now + 400*ms)
	committed = leader.replica.claims.Find(key(1)) != nil
	sim.nodes[follower].disk.inFlight = nil // the write has not reached the disk
	sim.kill(i)
	sim.kill(follower)
	clear(sim.cutLinks)
	sim.start(follower)
	sim.run(sim.now + 8_000*ms)
	require.NotNil(t, sim.leader(), "two of three elect a leader")
	return committed, sim.leader().replica.claims.Find(key(1)) != nil
}

// Guards against acknowledging an entry before it is on the disk, by which a committed entry could be lost.
func TestCommittedEntryIsOnMajorityOfDisks(t *testing.T) {
	committed, _ := commitOnTwoReplicas(t, func(*Replica) {})
	assert.False(t, committed, "one disk is no majority")
	committed, survived := commitOnTwoReplicas(t, func(replica *Replica) { replica.disk.unsafeNoWait = true })
	assert.True(t, committed && !survived, "a message sent before its state is persisted loses a committed entry")
}
