package consensus

import "slices"

const (
	rejoinInterval = 100 * ms   // ns between requests of a replica that is back from its disk
	rejoinTimeout  = 3_000 * ms // ns that it waits for all others; then a majority is enough
)

// trackPeerWrite notes the write that a peer's messages depend on, and answers a peer whose state is older than it was before.
func (r *raftReplica) trackPeerWrite(id, number uint64, from string) {
	if number == 0 {
		return
	}
	if len(r.disk.peerWrites) >= maxTrackedIDs && !r.isMember(id) {
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

// tickRejoin asks the others for this replica's last write that they know of, and goes on once they have answered: an old disk lacks
// what was acknowledged, and votes. It guards against a volume that was set back; where no other answers, the group is back only
// after rejoinTimeout.
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

// answerRejoin sends a member the last write known of its raft ID, and the incarnation that is a member now.
func (r *raftReplica) answerRejoin(to string, id uint64) {
	if r.bootstrap.done {
		r.send(to, Message{Kind: MessageRejoinAnswer, RaftID: id, Incarnation: r.replicas[to].Incarnation, WriteNumber: r.disk.peerWrites[id]})
	}
}

// handleRejoinAnswer takes another member's answer, and restarts a replica whose disk is behind what it acknowledged.
func (r *raftReplica) handleRejoinAnswer(m *Message) {
	if m.RaftID != r.raft.id || !r.disk.enabled || !slices.Contains(r.members, m.From) || m.From == r.self {
		return
	}
	switch {
	case m.WriteNumber > r.disk.lastWrite:
		r.log(true, "this seat's disk is behind what it had acknowledged: %s heard its write %d, and the last there was %d; it begins anew",
			m.From, m.WriteNumber, r.disk.lastWrite)
		r.restart()
	case m.Incarnation > r.incarnation:
		r.log(true, "another life has this seat's place by what %s knows; it begins anew", m.From)
		r.restart()
	case r.disk.rejoinAnswers != nil:
		r.disk.rejoinAnswers[m.From] = true
	}
}
