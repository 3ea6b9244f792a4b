package consensus

import "slices"

const (
	rejoinInterval = 100 * ms   // between the requests of a replica that recovered from its disk
	rejoinTimeout  = 3_000 * ms // that it waits for the answers of all other members; then a majority is enough
)

// trackPeerWrite records the last persisted write that a peer's messages carry. If the number is lower than
// before, the message was delayed or the peer's disk is outdated: the peer is told of the later write, and compares it with its own.
func (r *raftReplica) trackPeerWrite(id, number uint64, from string) {
	if number == 0 {
		return
	}
	if len(r.disk.peerWrites) >= maxTrackedIDs && !r.isMember(id) { // members are always tracked
		return
	}
	before := r.disk.peerWrites[id]
	switch {
	case number > before:
		r.disk.peerWrites[id] = number
		r.disk.peerWritesChanged = true
	case number < before:
		r.answerRejoin(from, id)
	}
}

func (r *raftReplica) startRejoin() {
	r.disk.rejoinAnswers = map[string]bool{}
	r.disk.rejoinAt = r.now
	r.disk.rejoinDeadline = r.now + rejoinTimeout
}

// tickRejoin asks the other members for the last write of this replica that they know of, and takes part in the group again when enough
// have answered. This guards against a volume that was restored to an older state, which lacks votes and acknowledged entries. If not all
// other members answer, this replica waits for rejoinTimeout.
func (r *raftReplica) tickRejoin() {
	d := &r.disk
	known := len(d.rejoinAnswers) + 1
	if known == len(r.members) || 2*known > len(r.members) && r.now >= d.rejoinDeadline {
		d.rejoinAnswers = nil
		r.resetElectionTimer()
		return
	}
	if r.now < d.rejoinAt {
		return
	}
	d.rejoinAt = r.now + rejoinInterval
	for _, name := range r.members {
		if name != r.self && !d.rejoinAnswers[name] {
			r.send(name, Message{Kind: MessageRejoin, RaftID: r.raft.id, Incarnation: r.incarnation})
		}
	}
}

// answerRejoin sends a member the last write that is known of a raft ID, and the incarnation of that member that belongs to the group.
func (r *raftReplica) answerRejoin(to string, id uint64) {
	if r.bootstrap.inGroup {
		r.send(to, Message{Kind: MessageRejoinAnswer, RaftID: id, Incarnation: r.replicas[to].Incarnation, WriteNumber: r.disk.peerWrites[id]})
	}
}

// handleRejoinAnswer handles the answer of another member. It restarts this replica if its disk lacks writes that it acknowledged, or if a
// later incarnation has replaced it.
func (r *raftReplica) handleRejoinAnswer(m *Message) {
	if m.RaftID != r.raft.id || !r.disk.enabled || !slices.Contains(r.members, m.From) || m.From == r.self {
		return
	}
	switch {
	case m.WriteNumber > r.disk.lastWrite:
		r.logLine(true, "consensus: this replica's disk lacks acknowledged writes: %s knows of write %d, but the last on the disk is %d; restarting without state as a new incarnation",
			m.From, m.WriteNumber, r.disk.lastWrite)
		r.restart()
	case m.Incarnation > r.incarnation:
		r.logLine(true, "consensus: according to %s, a later incarnation of this replica is a member of the group; restarting without state as a new incarnation", m.From)
		r.restart()
	case r.disk.rejoinAnswers != nil:
		r.disk.rejoinAnswers[m.From] = true
	}
}
