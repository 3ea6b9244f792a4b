package consensus

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"topazpost/internal/cborcodec"
)

const (
	ms       = int64(1_000_000) // one millisecond: all times and durations are int64 nanoseconds
	maxInt64 = 1<<63 - 1        // a time that is never reached, or no limit on bytes

	maxMessageBytes     = 256 << 10 // bytes of entries in one append message
	maxUncommittedBytes = 4 << 20   // bytes of entries that are not committed yet; raft drops proposals above this
	maxInFlightMessages = 64        // unacknowledged append messages to one replica
	maxTrackedIDs       = 64        // raft IDs of other replicas whose contacts or writes are tracked: several incarnations of five replicas
)

// Table is one replicated table of a group. Its content depends only on the committed commands that were applied to it, so it is the same
// at all replicas. The raft replica does not interpret the content.
type Table interface {
	// Apply applies the table's encoded commands of an entry. At is the time of the claims table, which the leader's commands advance, so
	// it is the same at all replicas. Apply panics at a command that this build doesn't support, because the table would diverge from those
	// of other replicas. It ignores commands that can't be decoded, which all replicas do alike.
	Apply(at int64, commands []byte)
	// Snapshot encodes the whole table.
	Snapshot() ([]byte, error)
	// Restore replaces the table's content by an encoded one; an empty encoding stands for an empty table. After an error the replica can't
	// go on as this incarnation.
	Restore(encoded []byte) error
}

// replicatedTable is a table together with the state that is not replicated: queued commands, and those that this replica has to answer.
type replicatedTable interface {
	Table
	reset()                 // empties the table and the queues for a new incarnation of the replica
	becomeLeader()          // is called when this replica becomes the leader
	leaderTick()            // queues the leader's own commands
	storedSeparately() bool // reports whether snapshots refer to the table by its digest, because it is large and changes seldom
	nextProposal() []byte   // removes the next commands from the queue and encodes them, nil if there are none
}

var (
	errMissingPart  = errors.New("consensus: the snapshot refers to a part that this replica lacks")
	errNewerTable   = errors.New("consensus: an entry has commands on a table that only newer versions support; this replica would lack its content")
	errNewerCommand = errors.New("consensus: an entry has a command that only newer versions support; this replica's tables would diverge from the others")
)

// replicaIncarnation identifies one incarnation of a replica. A replica that restarts without its state gets a higher incarnation and
// another raft ID, so that it can't vote or acknowledge in place of the incarnation whose state was lost. The raft ID is a hash that
// includes the incarnation; the incarnation tells which of two raft IDs of a member is later.
type replicaIncarnation struct {
	RaftID      uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Counters are a replica's counters as operators see them.
type Counters struct {
	CommittedCommands int `json:"agreed"`    // commands applied to any table
	AppliedEntries    int `json:"entries"`   // entries with commands
	Campaigns         int `json:"stood"`     // elections that this replica started
	Snapshots         int `json:"snapshots"` // snapshots written or restored
	ReplacedMembers   int `json:"reseated"`  // replacements of members' incarnations that were committed
	PanicRestarts     int `json:"broken"`    // panics after which this replica restarted as a new incarnation
}

// raftState is the node of the raft library with its storage, and the indexes of the last applied entry and of the last snapshot.
type raftState struct {
	id            uint64
	storage       *raft.MemoryStorage
	node          *raft.RawNode
	appliedIndex  uint64
	snapshotIndex uint64
	confState     *pb.ConfState
}

// leadershipState is the known leader, the last contacts to other replicas, and the timers of elections and of leadership.
type leadershipState struct {
	leaderID              uint64
	leaderContactAt       int64             // when the leader was last known to be in contact; at the leader itself, when a majority last was
	lastContact           map[uint64]int64  // when a replica was last known to be in contact, by raft ID
	lastRaftIDs           map[string]uint64 // the raft ID in a member's last message
	electionAt            int64
	heartbeatAt           int64
	tickAt                int64
	nextSilentHeartbeatAt int64
	sendDespiteSilence    bool // send the next messages although this leader lost the majority
}

// bootstrapState is the state of discovering the other members and starting a group.
type bootstrapState struct {
	inGroup      bool   // the replica belongs to a group, by bootstrap, a received snapshot or recovery
	boundSetHash uint64 // hash of the raft IDs with which this incarnation starts a group, 0 if undecided
	boundAt      int64
	discovered   map[string]Message // last discovery message by member
	discoveryAt  int64
}

// snapshotState is the snapshot being written or received, and the parts that snapshots refer to.
type snapshotState struct {
	sentAt          map[uint64]int64  // when raft last sent a snapshot, by raft ID of the receiver; removed at snapshotTimeout
	cachedEncodings [][]byte          // tables as of the last snapshot, nil for those that changed since
	cachedDigests   []string          // of cachedEncodings, empty if unknown
	parts           map[string][]byte // encoded tables that snapshots refer to, by digest
	previousDigests []string          // of the parts that the second to last snapshot refers to
	fetch           *partFetch        // nil unless a received snapshot waits for parts that this replica lacks
	writer          *snapshotWriter   // nil unless a snapshot is being written
}

// raftReplica is the part of a replica below its tables: raft, bootstrap and membership, elections, snapshots, storage, and the dispatch of
// committed entries to the tables.
type raftReplica struct {
	Counters Counters

	self               string
	members            []string // sorted
	replicas           map[string]replicaIncarnation
	incarnation        uint64 // of the current state; restart raises it above itself and processIncarnation
	processIncarnation uint64 // differs at each start of the process
	random             *rand.Rand
	now                int64
	wakeAt             int64
	effects            []Effect
	earlyEffects       []Effect          // emitted before the first step, which returns them
	tables             []replicatedTable // a table's key in an entry is its index plus one
	agreedTime         func() int64      // the claims table's time, which is the same at all replicas

	raft       raftState
	leadership leadershipState
	bootstrap  bootstrapState
	snapshots  snapshotState
	disk       diskState
}

func newRaftReplica(names []string, self string, incarnation uint64, now, seed int64) *raftReplica {
	return &raftReplica{
		self:               self,
		members:            slices.Sorted(slices.Values(names)),
		incarnation:        incarnation,
		processIncarnation: incarnation,
		random:             rand.New(rand.NewSource(seed ^ int64(incarnation))),
		now:                now,
	}
}

// initialize begins an incarnation without state, under a new raft ID.
func (r *raftReplica) initialize() {
	r.raft.id = xxhash.Sum64String(fmt.Sprintf("%s %d %d", r.self, r.incarnation, r.random.Uint64())) | 1
	r.raft.storage = raft.NewMemoryStorage()
	r.raft.appliedIndex = 0
	r.raft.snapshotIndex = 0
	r.raft.confState = nil
	r.replicas = map[string]replicaIncarnation{}
	r.bootstrap.inGroup = false
	r.bootstrap.boundSetHash = 0
	r.bootstrap.discovered = map[string]Message{}
	r.leadership.leaderID = 0
	r.leadership.lastContact = map[uint64]int64{}
	r.leadership.lastRaftIDs = map[string]uint64{}
	r.leadership.sendDespiteSilence = false
	r.snapshots = snapshotState{
		sentAt:          map[uint64]int64{},
		cachedEncodings: make([][]byte, len(r.tables)),
		cachedDigests:   make([]string, len(r.tables)),
		parts:           map[string][]byte{},
	}
	r.disk.peerWrites = map[uint64]uint64{}
	r.disk.peerWritesChanged = false
	r.disk.pendingReady = nil
	r.disk.rejoinAnswers = nil
	if r.disk.enabled && r.disk.nonEmpty {
		r.emitWrite(Write{DiscardEarlier: true}, nil)
	}
	for _, t := range r.tables {
		t.reset()
	}
	r.bootstrap.discoveryAt = r.now
	r.leadership.tickAt = r.now
	r.startRaft(0)
	r.resetElectionTimer()
}

// restart discards the state of this replica and begins its next incarnation, under a new raft ID.
func (r *raftReplica) restart() {
	r.incarnation = max(r.incarnation, r.processIncarnation) + 1
	r.initialize()
}

// startRaft creates the node of the raft library. This package times elections itself, with its own random numbers, so that a seed
// determines them; the ticks of the library only send the leader's heartbeats.
func (r *raftReplica) startRaft(applied uint64) {
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        r.raft.id,
		ElectionTick:              1 << 30,
		HeartbeatTick:             1,
		Storage:                   r.raft.storage,
		Applied:                   applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInFlightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxCommittedSizePerReady:  maxUncommittedBytes,
		PreVote:                   true,
		StepDownOnRemoval:         true,
		Logger:                    raftLogger{},
	})
	mustSucceed(err)
	r.raft.node = node
}

// IsLeader reports whether this replica leads the group, as far as it knows: another may have been elected since.
func (r *raftReplica) IsLeader() bool { return r.leadership.leaderID == r.raft.id }

// IsCurrent reports whether this replica has applied all committed entries except the most recent ones, which may still be in transit.
// This holds if it is in contact with a leader, or leads and is in contact with a majority, and has applied an entry of the current term,
// and thus all entries before it.
func (r *raftReplica) IsCurrent() bool {
	if !r.bootstrap.inGroup || r.leadership.leaderID == 0 || r.now >= r.leadership.leaderContactAt+minElectionTimeout || r.lostMajority() {
		return false
	}
	term, err := r.raft.storage.Term(r.raft.appliedIndex)
	return err == nil && term == r.raft.node.BasicStatus().GetTerm()
}

// Leader returns the name of the leader that this replica knows, empty if it knows none.
func (r *raftReplica) Leader() string {
	for name, replica := range r.replicas {
		if replica.RaftID == r.leadership.leaderID {
			return name
		}
	}
	return ""
}

func (r *raftReplica) isMember(id uint64) bool {
	for _, replica := range r.replicas {
		if replica.RaftID == id {
			return true
		}
	}
	return false
}

func (r *raftReplica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *raftReplica) logLine(warn bool, format string, args ...any) {
	r.emit(Effect{Kind: WriteLog, Warn: warn, Text: fmt.Sprintf(format, args...)})
}

func (r *raftReplica) send(to string, m Message) {
	m.From = r.self
	if m.Kind == MessageVerdicts {
		m.Leader = r.Leader()
	}
	r.emit(Effect{Kind: Send, To: to, Message: m})
}

// mustSucceed panics at an error that a correct program doesn't produce, so that this incarnation ends instead of going on from an unknown
// state.
func mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}

var cborDecoding = cborcodec.MustDecMode(cbor.DecOptions{MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden})

var cborEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	mustSucceed(err)
	return mode
}()

// raftLogger discards the log of the raft library, since this package logs the important events as effects. It panics at fatal errors,
// which ends the incarnation.
type raftLogger struct{}

func (raftLogger) Debug(...any)                   {}
func (raftLogger) Debugf(string, ...any)          {}
func (raftLogger) Error(...any)                   {}
func (raftLogger) Errorf(string, ...any)          {}
func (raftLogger) Info(...any)                    {}
func (raftLogger) Infof(string, ...any)           {}
func (raftLogger) Warning(...any)                 {}
func (raftLogger) Warningf(string, ...any)        {}
func (raftLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (raftLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
