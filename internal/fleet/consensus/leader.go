package consensus

import (
	"go.etcd.io/raft/v3"
)

const (
	heartbeatInterval    = 80 * ms    // ns
	minElectionTimeout   = 600 * ms   // ns without contact to a leader; timeouts are drawn from here to twice that
	leaderSilenceTimeout = 1_200 * ms // ns without contact to a majority after which a leader steps down, so that others may be elected
	stepDownInterval     = 3_000 * ms // ns between announcements of a leader that stepped down: two such learn of each other, and others can be elected in between
	leaderTickInterval   = 50 * ms    // ns
	snapshotTimeout      = 1_000 * ms // ns that a snapshot may be on its way
	snapshotRetryBackoff = 50 * ms    // ns until a snapshot is sent that is still being written
)

func (r *raftReplica) resetElectionTimer() {
	r.leadership.electionAt = r.now + minElectionTimeout + r.random.Int63n(minElectionTimeout)
}

func (r *raftReplica) campaign() {
	r.Counters.Campaigns++
	_ = r.raft.node.Campaign() // refused where this replica is no voter: the next timeout tries again
	r.followLeader()
}

// followLeader takes note of a change of leader.
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
		r.leadership.lastContact[replica.ID] = r.now
	}
	r.log(false, "this node leads the council, term %d", r.raft.node.BasicStatus().GetTerm())
}

// steppedDown reports whether this replica leads and has not been in contact with a majority for leaderSilenceTimeout. It then sends
// nothing, so that replicas which still receive its messages, but can't reach it, elect another.
func (r *raftReplica) steppedDown() bool {
	if !r.IsLeader() {
		return false
	}
	inContact := 0
	for _, replica := range r.replicas {
		if replica.ID == r.raft.id || r.now-r.leadership.lastContact[replica.ID] < leaderSilenceTimeout {
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
		r.replaceRestarted()
	}
}

func (r *raftReplica) heartbeat() {
	r.leadership.heartbeatAt = r.now + heartbeatInterval
	r.raft.node.Tick()
	if !r.steppedDown() {
		r.leadership.leaderContactAt = r.now
		return
	}
	if r.now >= r.leadership.announceAt {
		r.leadership.announceAt = r.now + stepDownInterval
		r.leadership.announcing = true
	}
}
