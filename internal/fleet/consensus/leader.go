package consensus

import (
	"go.etcd.io/raft/v3"
)

const (
	heartbeatInterval       = 80 * ms    // several heartbeats may be lost within minElectionTimeout
	minElectionTimeout      = 600 * ms   // without contact to a leader; each time-out is drawn at random between this and twice this
	majorityTimeout         = 1_200 * ms // without contact to a majority, after which a leader keeps silent, so that another may be elected
	silentHeartbeatInterval = 3_000 * ms // between the heartbeats of a silent leader: two silent leaders learn of each other, and in between another can be elected
	leaderTickInterval      = 50 * ms    // between the leader's own commands
	snapshotTimeout         = 1_000 * ms // after which a snapshot that was sent is reported to raft as failed
	snapshotRetryBackoff    = 50 * ms    // until raft tries again to send a snapshot that was held back
)

func (r *raftReplica) resetElectionTimer() {
	r.leadership.electionAt = r.now + minElectionTimeout + r.random.Int63n(minElectionTimeout)
}

func (r *raftReplica) campaign() {
	r.Counters.Campaigns++
	_ = r.raft.node.Campaign() // fails if this replica is no voter; it campaigns again at the next timeout
	r.followLeader()
}

// followLeader records a change of leader.
func (r *raftReplica) followLeader() {
	leaderID := r.raft.node.BasicStatus().Lead
	if leaderID == r.leadership.leaderID {
		return
	}
	r.leadership.leaderID = leaderID
	if leaderID == 0 {
		return
	}
	r.leadership.leaderContactAt = r.now
	if r.IsLeader() {
		r.becomeLeader()
	}
}

func (r *raftReplica) becomeLeader() {
	r.leadership.heartbeatAt = r.now
	r.leadership.tickAt = r.now
	for _, t := range r.tables {
		t.becomeLeader()
	}
	clear(r.leadership.lastContact)
	for _, replica := range r.replicas {
		r.leadership.lastContact[replica.RaftID] = r.now
	}
	r.logLine(false, "consensus: this replica leads the group in term %d", r.raft.node.BasicStatus().GetTerm())
}

// lostMajority reports whether this replica leads but has had no contact to a majority for majorityTimeout. It remains raft's leader, but
// stops sending raft messages, so that replicas that receive them, but can't reach this one, elect another leader.
func (r *raftReplica) lostMajority() bool {
	if !r.IsLeader() {
		return false
	}
	inContact := 0
	for _, replica := range r.replicas {
		if replica.RaftID == r.raft.id || r.now-r.leadership.lastContact[replica.RaftID] < majorityTimeout {
			inContact++
		}
	}
	return 2*inContact <= len(r.replicas)
}

func (r *raftReplica) runLeaderTimers() {
	if r.now >= r.leadership.heartbeatAt {
		r.heartbeat()
	}
	for id, sentAt := range r.snapshots.sentAt {
		if r.now >= sentAt+snapshotTimeout {
			delete(r.snapshots.sentAt, id)
			r.raft.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
	if r.now >= r.leadership.tickAt {
		r.leadership.tickAt = r.now + leaderTickInterval
		for _, t := range r.tables {
			t.leaderTick()
		}
		r.proposeReplacements()
	}
}

// heartbeat has raft send the leader's heartbeats. A leader that lost the majority sends them only every
// silentHeartbeatInterval.
func (r *raftReplica) heartbeat() {
	r.leadership.heartbeatAt = r.now + heartbeatInterval
	r.raft.node.Tick()
	if !r.lostMajority() {
		r.leadership.leaderContactAt = r.now
		return
	}
	if r.now >= r.leadership.nextSilentHeartbeatAt {
		r.leadership.nextSilentHeartbeatAt = r.now + silentHeartbeatInterval
		r.leadership.sendDespiteSilence = true
	}
}
