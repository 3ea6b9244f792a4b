package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const pauseThreshold = 150 * ms // delay of a step after its requested wake-up from which this process counts as paused

// step handles the inputs by the given function, then runs the timers that are due, proposes queued commands, and processes the output of
// raft.
func (r *raftReplica) step(now int64, handle func()) {
	paused := r.wakeAt > 0 && now-r.wakeAt > pauseThreshold
	r.now = now
	r.effects = append(r.effects[:0], r.earlyEffects...)
	r.earlyEffects = nil
	if paused && !r.IsLeader() { // the leader may have sent messages during the pause that are still unread
		r.resetElectionTimer()
	}
	r.restartOnPanic(func() {
		handle()
		r.runTimers()
		r.propose()
		r.processReady()
		r.leadership.sendDespiteSilence = r.leadership.sendDespiteSilence && r.disk.pendingReady != nil
	})
}

// restartOnPanic calls a function, and restarts this replica as a new incarnation if raft or a table panics. It guards against messages
// that no correct replica sends. Since it also hides faults of this program, each panic is counted and logged.
func (r *raftReplica) restartOnPanic(do func()) {
	defer func() {
		if cause := recover(); cause != nil {
			r.Counters.PanicRestarts++
			r.restart()
			r.logLine(true, "consensus: the replica failed and restarted without state as a new incarnation: %v", cause)
		}
	}()
	do()
}

func (r *raftReplica) runTimers() {
	switch {
	case !r.bootstrap.inGroup:
		r.tickBootstrap()
	case r.disk.rejoinAnswers != nil:
		r.tickRejoin()
		return
	case r.bootstrapTimedOut():
		r.restart() // nothing was committed or acknowledged, and other members may have given this bootstrap up
	}
	r.requestChunk()
	if r.IsLeader() {
		r.runLeaderTimers()
		return
	}
	if r.now >= r.leadership.electionAt {
		r.resetElectionTimer()
		if r.bootstrap.inGroup {
			r.campaign()
		}
	}
}

// nextDeadline returns when the replica must step next: at once while a snapshot is being encoded, else when a timer expires. The check for
// expired commands does not cause a step.
func (r *raftReplica) nextDeadline() int64 {
	at := int64(maxInt64)
	if !r.bootstrap.inGroup {
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

// handleRaft passes another replica's raft message to raft, except a vote request that might replace a live leader and a snapshot that must
// wait for parts.
func (r *raftReplica) handleRaft(in *Message) {
	m := new(pb.Message)
	if proto.Unmarshal(in.Raft, m) != nil || m.GetTo() != r.raft.id || !slices.Contains(r.members, in.From) || r.disk.rejoinAnswers != nil {
		return
	}
	if len(r.leadership.lastContact) >= maxTrackedIDs { // members are added again by their next messages
		clear(r.leadership.lastContact)
	}
	r.leadership.lastContact[m.GetFrom()] = r.now
	r.leadership.lastRaftIDs[in.From] = m.GetFrom()
	r.trackPeerWrite(m.GetFrom(), in.WriteNumber, in.From)
	switch m.GetType() {
	case pb.MsgPreVote, pb.MsgVote: // a replica that leads, or is in contact with a leader, does not vote for another
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
	_ = r.raft.node.Step(m) // raft refuses outdated messages
	r.followLeader()
}

// propose proposes the queued commands of all tables, in entries with at most maxEntryCommands for each table.
func (r *raftReplica) propose() {
	for {
		commandsByTable := map[uint8]cbor.RawMessage{}
		for i, t := range r.tables {
			if encodedCommands := t.nextProposal(); encodedCommands != nil {
				commandsByTable[uint8(i)+1] = encodedCommands
			}
		}
		if len(commandsByTable) == 0 {
			return
		}
		if encoded, err := cborEncoding.Marshal(commandsByTable); err == nil {
			_ = r.raft.node.Propose(encoded) // raft may drop the proposal; the senders of its commands retry
		}
	}
}

// processReady processes raft's Ready batches until there are none left or one has to be written to the disk first. It also continues the
// snapshot in progress.
func (r *raftReplica) processReady() {
	for !r.disk.blocked() && r.raft.node.HasReady() {
		rd := r.raft.node.Ready()
		if r.disk.enabled && requiresPersisting(&rd) {
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

// requiresPersisting reports whether a Ready batch has state that must be on the disk before the batch is applied.
func requiresPersisting(rd *raft.Ready) bool {
	return !raft.IsEmptySnap(rd.Snapshot) || !raft.IsEmptyHardState(rd.HardState) || len(rd.Entries) > 0
}

// applyReady stores a Ready batch in memory, sends its messages and applies its committed entries. With a disk, it is called after the batch
// was persisted.
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

// sendRaftMessages sends raft's messages, unless this replica is a leader that lost the majority. It holds back a snapshot while the next
// one is being written.
func (r *raftReplica) sendRaftMessages(messages []*pb.Message) {
	lostMajority := r.lostMajority()
	for _, m := range messages {
		if m.GetType() == pb.MsgSnap {
			// Raft sends the receiver no other snapshot until this one is reported, even if it was not sent.
			r.snapshots.sentAt[m.GetTo()] = r.now
			if r.snapshots.writer != nil { // the last snapshot may be from before the receiver was a member
				// Back-dated, so that it times out after snapshotRetryBackoff.
				r.snapshots.sentAt[m.GetTo()] += snapshotRetryBackoff - snapshotTimeout
				continue
			}
		}
		if !lostMajority || r.leadership.sendDespiteSilence {
			r.sendRaftMessage(m)
		}
	}
}

func (r *raftReplica) sendRaftMessage(m *pb.Message) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return
	}
	for _, name := range r.members {
		// A replica that lags may not yet have applied the receiver's membership, but may have received a message from it.
		if r.replicas[name].RaftID == m.GetTo() || r.leadership.lastRaftIDs[name] == m.GetTo() {
			r.send(name, Message{Kind: MessageRaft, Raft: encoded, WriteNumber: r.disk.lastPersisted})
			return
		}
	}
}
