package consensus

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A replica that starts without its state can't know what it voted for, so it takes a new raft ID instead of that of its earlier
// incarnation. If no member belongs to a group, they bootstrap one: each replica binds its incarnation to the set of raft IDs that it has
// discovered, that is, it will start a group only of exactly these, and starts it when all members are bound to the same set. If a group
// exists, its leader replaces the earlier incarnation by the new one in the group's membership.

const (
	discoveryInterval = 100 * ms    // between discovery messages of a replica that belongs to no group
	bindingTimeout    = 3_000 * ms  // after which an incarnation gives up a bootstrap that does not complete
	bootstrapTimeout  = 10_000 * ms // after which a replica gives up a new group that had no leader
)

// tickBootstrap binds this incarnation to the discovered raft IDs, starts the group when all members are bound to the same set, and else
// sends discovery messages.
func (r *raftReplica) tickBootstrap() {
	visible := r.visibleSetHash()
	switch {
	case r.bootstrap.boundSetHash == 0 && visible != 0:
		r.bootstrap.boundSetHash = visible
		r.bootstrap.boundAt = r.now
		r.bootstrap.discoveryAt = r.now
	case r.bootstrap.boundSetHash != 0 && r.now-r.bootstrap.boundAt > bindingTimeout:
		r.restart() // this raft ID has not voted or acknowledged anything
	}
	if r.bootstrap.boundSetHash != 0 && r.allBound() {
		r.startGroup()
		return
	}
	if r.now >= r.bootstrap.discoveryAt {
		r.bootstrap.discoveryAt = r.now + discoveryInterval
		r.broadcastDiscovery()
	}
}

// bootstrapTimedOut reports whether this replica started a group which for bootstrapTimeout had no leader and committed nothing.
func (r *raftReplica) bootstrapTimedOut() bool {
	last, err := r.raft.storage.LastIndex()
	mustSucceed(err)
	return last == 1 && r.raft.appliedIndex == 1 && r.leadership.leaderID == 0 && r.now-r.bootstrap.boundAt > bootstrapTimeout
}

func (r *raftReplica) broadcastDiscovery() {
	for _, name := range r.members {
		if name != r.self {
			r.sendDiscovery(name)
		}
	}
}

func (r *raftReplica) sendDiscovery(to string) {
	r.send(to, Message{
		Kind:         MessageDiscovery,
		RaftID:       r.raft.id,
		Incarnation:  r.incarnation,
		BoundSetHash: r.bootstrap.boundSetHash,
		Unassigned:   !r.bootstrap.inGroup,
	})
}

// visibleSetHash returns a hash of the raft IDs of all members, or 0 if one of them is unknown or belongs to a group already.
func (r *raftReplica) visibleSetHash() uint64 {
	hash := xxhash.New()
	for _, name := range r.members {
		id := r.raft.id
		if name != r.self {
			m, known := r.bootstrap.discovered[name]
			if !known || !m.Unassigned {
				return 0
			}
			id = m.RaftID
		}
		_, _ = fmt.Fprintf(hash, "%s %x\n", name, id) // a hash returns no error
	}
	return hash.Sum64() | 1 // 0 stands for no set
}

// allBound reports whether all other members are bound to the same set as this replica.
func (r *raftReplica) allBound() bool {
	for _, name := range r.members {
		if name != r.self && r.bootstrap.discovered[name].BoundSetHash != r.bootstrap.boundSetHash {
			return false
		}
	}
	return true
}

// startGroup starts the group of the discovered incarnations. All replicas start it from the same empty state.
func (r *raftReplica) startGroup() {
	r.replicas[r.self] = replicaIncarnation{r.raft.id, r.incarnation}
	voters := []uint64{r.raft.id}
	for _, name := range r.members {
		if name != r.self {
			m := r.bootstrap.discovered[name]
			r.replicas[name] = replicaIncarnation{m.RaftID, m.Incarnation}
			voters = append(voters, m.RaftID)
		}
	}
	slices.Sort(voters)
	r.storeInitialState(&pb.ConfState{Voters: voters})
	r.rewriteBase()
	r.startRaft(1)
	r.resetElectionTimer()
	if len(r.members) == 1 {
		r.leadership.electionAt = r.now
	}
	r.logLine(false, "consensus: bootstrapped a group of %d replicas with empty tables", len(r.members))
	r.broadcastDiscovery()
}

// storeInitialState stores a snapshot of the empty tables as the log's first entry.
func (r *raftReplica) storeInitialState(conf *pb.ConfState) {
	one := uint64(1)
	mustSucceed(r.raft.storage.ApplySnapshot(&pb.Snapshot{
		Data:     r.encodeSnapshot(r.newSnapshotWriter()),
		Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &one, Term: &one},
	}))
	mustSucceed(r.raft.storage.SetHardState(&pb.HardState{Term: &one, Commit: &one}))
	r.raft.confState = conf
	r.raft.appliedIndex = 1
	r.raft.snapshotIndex = 1
	r.bootstrap.inGroup = true
}

func (r *raftReplica) handleDiscovery(m *Message) {
	if !slices.Contains(r.members, m.From) || m.From == r.self {
		return
	}
	before, known := r.bootstrap.discovered[m.From]
	if known && m.Incarnation < before.Incarnation {
		return // delayed message of an earlier incarnation
	}
	r.bootstrap.discovered[m.From] = *m
	if m.Unassigned && (r.bootstrap.inGroup || !known || before.RaftID != m.RaftID || before.BoundSetHash != m.BoundSetHash) {
		r.sendDiscovery(m.From)
	}
}

// proposeReplacements proposes to replace an incarnation that lost its state by the next one of the same member. It proposes one
// replacement at a time.
func (r *raftReplica) proposeReplacements() {
	for _, name := range r.members {
		m, known := r.bootstrap.discovered[name]
		before, isMember := r.replicas[name]
		if known && m.Unassigned && isMember && m.RaftID != before.RaftID && m.Incarnation > before.Incarnation && name != r.self {
			r.proposeReplacement(name, replicaIncarnation{m.RaftID, m.Incarnation}, before)
			return
		}
	}
}

func (r *raftReplica) proposeReplacement(name string, next, previous replicaIncarnation) {
	context, err := cbor.Marshal(map[string]replicaIncarnation{name: next})
	if err != nil {
		return
	}
	remove := pb.ConfChangeRemoveNode
	add := pb.ConfChangeAddNode
	auto := pb.ConfChangeTransitionAuto
	change := &pb.ConfChangeV2{Transition: &auto, Context: context, Changes: []*pb.ConfChangeSingle{
		{Type: &remove, NodeId: &previous.RaftID},
		{Type: &add, NodeId: &next.RaftID},
	}}
	_ = r.raft.node.ProposeConfChange(change) // if it is dropped, the next tick proposes it again
}

// applyConfChange applies a change of the group's membership, and starts a snapshot, because a new incarnation can't use a snapshot from
// before it was a member.
func (r *raftReplica) applyConfChange(e *pb.Entry) {
	change, err := decodeConfChange(e)
	if err != nil {
		return
	}
	r.raft.confState = r.raft.node.ApplyConfChange(change)
	defer r.startSnapshot()
	var replacements map[string]replicaIncarnation
	if len(change.Context) == 0 || cbor.Unmarshal(change.Context, &replacements) != nil {
		return
	}
	for name, replica := range replacements {
		r.replicas[name] = replica
		r.leadership.lastContact[replica.RaftID] = r.now
		r.Counters.ReplacedMembers++
		r.logLine(false, "consensus: %s is a member as a new incarnation, without the state of the previous one", name)
	}
}

func decodeConfChange(e *pb.Entry) (*pb.ConfChangeV2, error) {
	if e.GetType() == pb.EntryConfChange {
		change := new(pb.ConfChange)
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			return nil, err
		}
		return change.AsV2(), nil
	}
	change := new(pb.ConfChangeV2)
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		return nil, err
	}
	return change, nil
}
