package consensus

import (
	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// applyEntry applies a committed entry to the tables or to the group's membership.
func (r *raftReplica) applyEntry(e *pb.Entry) {
	r.raft.appliedIndex = e.GetIndex()
	if len(e.GetData()) == 0 && e.GetType() == pb.EntryNormal {
		return
	}
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		r.applyConfChange(e)
	case pb.EntryNormal:
		r.applyToTables(e.GetData())
	}
}

// applyToTables applies the commands of an entry to their tables. An entry that can't be decoded is ignored: all replicas decode the same
// bytes, so all ignore it.
func (r *raftReplica) applyToTables(data []byte) {
	var commandsByTable map[uint8]cbor.RawMessage
	if cborDecoding.Unmarshal(data, &commandsByTable) != nil {
		return
	}
	r.Counters.AppliedEntries++
	for key := range commandsByTable {
		if key == 0 || int(key) > len(r.tables) {
			panic(errNewerTable)
		}
	}
	for i, t := range r.tables {
		commands := commandsByTable[uint8(i)+1]
		if commands == nil {
			continue
		}
		r.snapshots.cachedEncodings[i] = nil
		if r.snapshots.writer != nil {
			r.snapshots.writer.changed[i] = true
		}
		t.Apply(r.agreedTime(), commands)
	}
}
