package consensus

import (
	"maps"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// simDisk is the simulated disk of a replica, with the writes in flight.
type simDisk struct {
	contents DiskContents
	inFlight []*Write
	freeAt   int64 // when the last write in flight completes
}

func (d *simDisk) apply(write *Write) {
	if write.DiscardEarlier {
		d.contents = DiskContents{}
		return
	}
	if write.Base != nil {
		d.contents = DiskContents{Base: write.Base, Parts: maps.Clone(write.Parts)}
	}
	d.contents.Records = append(d.contents.Records[:len(d.contents.Records):len(d.contents.Records)], write.Records...)
}

// crash applies the first few of the writes in flight and discards the others. None of them was reported as persisted.
func (d *simDisk) crash(random *rand.Rand) {
	for _, write := range d.inFlight[:random.Intn(len(d.inFlight)+1)] {
		d.apply(write)
	}
	d.inFlight = nil
	d.freeAt = 0
}

func (s *simulation) recoverFromDisk(node *simNode) {
	if node.disk == nil {
		node.disk = &simDisk{}
	}
	if err := node.replica.Recover(s.now, node.disk.contents); err != nil {
		s.fail("%s can't recover from its disk: %v", node.name, err)
	}
	if node.replica.Resumed() {
		s.resumed++
	}
}

// persist applies a write after all earlier ones, usually within a few milliseconds, rarely up to 300 ms later.
func (s *simulation) persist(i int, write *Write) {
	node := s.nodes[i]
	d := node.disk
	took := ms/10 + s.random.Int63n(2*ms+s.maxExtraWrite)
	if s.random.Intn(200) == 0 {
		took += s.random.Int63n(300 * ms)
	}
	d.freeAt = max(d.freeAt, s.now) + took
	d.inFlight = append(d.inFlight, write)
	s.at(d.freeAt, i, func() {
		d.apply(d.inFlight[0])
		d.inFlight = d.inFlight[1:]
		node.replicaInputs = append(node.replicaInputs, Input{Persisted: write.Number})
		s.wakeNow(i)
	})
}

// newDiskSimulation returns a simulation without faults whose replicas have disks and a leader.
func newDiskSimulation(t *testing.T, nodes, replicas int) *simulation {
	sim := newSimulation(1, nodes, replicas)
	sim.stable = true
	sim.disks = true
	for i := range nodes {
		sim.start(i)
	}
	sim.run(5_000 * ms)
	require.NotNil(t, sim.leader(), "the group has a leader 5 s after the start")
	return sim
}

// killReplicas kills all nodes with replicas at once.
func (s *simulation) killReplicas() {
	for i := range s.members {
		s.kill(i)
	}
}

func (s *simulation) startAll() {
	for i := range s.nodes {
		s.start(i)
	}
}

// assertReplicasAgree requires that replicas that have applied the same entries have equal tables.
func (s *simulation) assertReplicasAgree(t assert.TestingT) {
	byIndex := map[uint64]string{}
	for _, node := range s.nodes[:len(s.members)] {
		if !node.up || !node.replica.bootstrap.inGroup {
			continue
		}
		encoded := ""
		for i := range node.replica.tables {
			node.replica.snapshots.cachedEncodings[i] = nil // the next snapshot encodes the table again
			part, err := node.replica.tables[i].Snapshot()
			assert.NoError(t, err)
			encoded += string(part)
		}
		if before, known := byIndex[node.replica.raft.appliedIndex]; known {
			assert.True(t, before == encoded, "tables at entry %d differ", node.replica.raft.appliedIndex)
		}
		byIndex[node.replica.raft.appliedIndex] = encoded
	}
}
