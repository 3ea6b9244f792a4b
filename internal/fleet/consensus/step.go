package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const minPause = 150 * ms // ns past a wake-up from which this process was paused, and not the others

// step handles what happened, by handle, and then carries out what is due.
func (r *raftReplica) step(now int64, handle func()) {
	paused := r.wakeAt > 0 && now-r.wakeAt > minPause
	r.now = now
	r.effects = append(r.effects[:0], r.earlyEffects...)
	r.earlyEffects = nil
	if paused && !r.IsLeader() { // messages of the leader may wait unread
		r.resetElectionTimer()
	}
	r.restartOnPanic(func() {
		handle()
		r.runTimers()
		r.propose()
		r.processReady()
		r.leadership.announcing = r.leadership.announcing && r.disk.pendingReady != nil
	})
}

// restartOnPanic restarts this replica as a new incarnation where raft or a table can't go on. It guards against messages that no
// correct replica sends. It also hides faults of this program, so each is counted and logged.
func (r *raftReplica) restartOnPanic(do func()) {
	defer func() {
		if cause := recover(); cause != nil {
			r.Counters.PanicRestarts++
			r.restart()
			r.log(true, "the council's seat could not go on and begins anew: %v", cause)
		}
	}()
	do()
}

func (r *raftReplica) runTimers() {
	switch {
	case !r.bootstrap.done:
		r.tickBootstrap()
	case r.disk.rejoinAnswers != nil:
		r.tickRejoin()
		return
	case r.bootstrapTimedOut():
		r.restart() // nothing was ever committed or acknowledged, and others may have given this bootstrap up
	}
	r.requestChunk()
	if r.IsLeader() {
		r.runLeaderTimers()
		return
	}
	if r.now >= r.leadership.electionAt {
		r.resetElectionTimer()
		if r.bootstrap.done {
			r.campaign()
		}
	}
}

// nextDeadline is when the next timer expires.
func (r *raftReplica) nextDeadline() int64 {
	at := int64(never)
	if !r.bootstrap.done {
		at = min(at, r.bootstrap.discoveryAt)
	}
	if r.disk.rejoinAnswers != nil {
		return min(at, r.disk.rejoinAt)
	}
	if r.snapshots.fetch != nil {
		at = min(at, r.snapshots.fetch.requestAt)
	}
	if r.snapshots.writer != nil && !r.snapshots.writer.complete() {
		return r.now
	}
	if r.IsLeader() {
		return min(at, r.leadership.heartbeatAt, r.leadership.tickAt)
	}
	return min(at, r.leadership.electionAt)
}

// handleRaft passes a raft message of another replica on to raft.
func (r *raftReplica) handleRaft(in *Message) {
	m := new(pb.Message)
	if proto.Unmarshal(in.Raft, m) != nil || m.GetTo() != r.raft.id || !slices.Contains(r.members, in.From) || r.disk.rejoinAnswers != nil {
		return
	}
	if len(r.leadership.lastContact) >= maxTrackedIDs {
		clear(r.leadership.lastContact)
	}
	r.leadership.lastContact[m.GetFrom()] = r.now
	r.leadership.lastIDs[in.From] = m.GetFrom()
	r.trackPeerWrite(m.GetFrom(), in.WriteNumber, in.From)
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgVote: // a replica that is in contact with a leader, or leads, does not help to replace it
		if r.leadership.leaderID != 0 && r.now < r.leadership.leaderContactAt+minElectionTimeout && m.GetFrom() != r.leadership.leaderID {
			return
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= r.raft.node.BasicStatus().GetTerm() {
			r.leadership.leaderContactAt = r.now
			r.resetElectionTimer()
		}
	}
	if m.GetType() == pb.MsgSnap && r.awaitParts(m, in.From) {
		return
	}
	_ = r.raft.node.Step(m) // what it refuses is outdated
	r.followLeader()
}

// propose proposes what is queued at the tables.
func (r *raftReplica) propose() {
	for {
		parts := map[uint8]cbor.RawMessage{}
		for i, t := range r.tables {
			if part := t.nextProposal(); part != nil {
				parts[uint8(i)+1] = part
			}
		}
		if len(parts) == 0 {
			return
		}
		if text, err := cborEncoding.Marshal(parts); err == nil {
			_ = r.raft.node.Propose(text) // whoever asked for a dropped proposal asks again
		}
	}
}

// processReady carries out raft's Ready batches until there is none, or the disk is waited for.
func (r *raftReplica) processReady() {
	for !r.disk.blocked() && r.raft.node.HasReady() {
		rd := r.raft.node.Ready()
		if r.disk.enabled && mustPersist(&rd) {
			r.persistReady(&rd)
			if !r.disk.unsafeNoWait {
				return
			}
			r.disk.pendingReady = nil
		}
		r.applyReady(&rd)
	}
	r.continueSnapshot()
	if !r.disk.blocked() {
		r.compact()
	}
}

func mustPersist(rd *raft.Ready) bool {
	return !raft.IsEmptySnap(rd.Snapshot) || !raft.IsEmptyHardState(rd.HardState) || len(rd.Entries) > 0
}

// applyReady carries a Ready batch out, once it is on the disk where there is one.
func (r *raftReplica) applyReady(rd *raft.Ready) {
	if !raft.IsEmptySnap(rd.Snapshot) {
		mustSucceed(r.raft.storage.ApplySnapshot(rd.Snapshot))
		r.restoreSnapshot(rd.Snapshot)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		mustSucceed(r.raft.storage.SetHardState(rd.HardState))
	}
	mustSucceed(r.raft.storage.Append(rd.Entries))
	r.sendRaftMessages(rd.Messages)
	for _, e := range rd.CommittedEntries {
		r.applyEntry(e)
	}
	r.raft.node.Advance(*rd)
	r.followLeader()
}

// sendRaftMessages sends raft's messages, unless this replica is stepped down.
func (r *raftReplica) sendRaftMessages(messages []*pb.Message) {
	steppedDown := r.steppedDown()
	for _, m := range messages {
		if m.GetType() == pb.MsgSnap {
			r.snapshots.sentAt[m.GetTo()] = r.now // raft waits for a report, also of one that is not sent
			if r.snapshots.writer != nil {        // the last snapshot may be older than the receiver's membership
				r.snapshots.sentAt[m.GetTo()] += snapshotRetryBackoff - snapshotTimeout
				continue
			}
		}
		if !steppedDown || r.leadership.announcing {
			r.sendRaftMessage(m)
		}
	}
}

func (r *raftReplica) sendRaftMessage(m *pb.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for _, name := range r.members {
		// A replica that lags may not know the receiver's incarnation as a member yet, but have had a message of it.
		if r.replicas[name].ID == m.GetTo() || r.leadership.lastIDs[name] == m.GetTo() {
			r.send(name, Message{Kind: MessageRaft, Raft: text, WriteNumber: r.disk.lastPersisted})
			return
		}
	}
}
