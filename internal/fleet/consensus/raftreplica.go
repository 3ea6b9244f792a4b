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
	ms    = int64(1_000_000) // ns in a millisecond
	never = 1<<63 - 1        // ns

	maxMessageBytes     = 256 << 10 // of entries in one message
	maxUncommittedBytes = 4 << 20   // of entries that are not committed yet; raft drops proposals above it
	maxInFlightMessages = 64        // append messages on their way to one replica
	maxTrackedIDs       = 64        // raft IDs remembered per replica: several incarnations of five replicas
)

// Table is one replicated table of a group: its content depends only on the parts of the committed entries that were applied to it,
// so it is the same at all replicas. A replica holds tables and does not look into them.
type Table interface {
	// Apply carries out the table's part of an entry, at the agreed time. It panics at what this build doesn't support, since the table
	// would diverge from the others'. A part that can't be decoded is ignored, as it is by all replicas.
	Apply(at int64, part []byte)
	// Snapshot encodes the whole table. It is called only after a part was applied.
	Snapshot() ([]byte, error)
	// Restore replaces the table's content; empty text stands for an empty table. An error ends this incarnation of the replica.
	Restore(text []byte) error
}

// replicatedTable is a table together with what its host does around it at this replica alone.
type replicatedTable interface {
	Table
	reset()                 // a new incarnation of the replica begins: nothing is known and nobody waits
	becomeLeader()          // this replica has become the leader
	leaderTick()            // the leader queues the table's own proposals
	storedSeparately() bool // it is large and changes seldom: snapshots refer to it by its digest
	nextProposal() []byte   // the next part to propose, nil where there is none; each is returned once
}

var (
	errMissingPart  = errors.New("a part that the snapshot names is not here")
	errNewerTable   = errors.New("a table of a newer version: what the others know would not be known here")
	errNewerCommand = errors.New("a command of a newer version: the others' tables would not be this one's any more")
)

// replicaIncarnation identifies one incarnation of a replica by its raft ID. A replica that restarts without its state gets another
// ID, so that it can't vote or acknowledge in place of the incarnation whose state was lost.
type replicaIncarnation struct {
	ID          uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Counters are a replica's counters as operators see them.
type Counters struct {
	CommittedCommands int `json:"agreed"` // commands
	AppliedEntries    int `json:"entries"`
	Campaigns         int `json:"stood"`
	Snapshots         int `json:"snapshots"`
	ReplacedMembers   int `json:"reseated"`
	PanicRestarts     int `json:"broken"` // faults after which the replica restarted as a new incarnation
}

// raftState is raft's node with its storage, and how far the log is applied.
type raftState struct {
	id            uint64
	storage       *raft.MemoryStorage
	node          *raft.RawNode
	appliedIndex  uint64
	snapshotIndex uint64
	confState     *pb.ConfState
}

// leadershipState is what a replica knows of the leader, and its timers of elections and of leadership.
type leadershipState struct {
	leaderID        uint64
	leaderContactAt int64             // last message of the leader
	lastContact     map[uint64]int64  // last message by raft ID
	lastIDs         map[string]uint64 // the raft ID that a member last used
	electionAt      int64
	heartbeatAt     int64
	tickAt          int64
	announceAt      int64
	announcing      bool // send this step's messages although stepped down
}

// bootstrapState is the state of forming a group.
type bootstrapState struct {
	done        bool
	boundSet    uint64 // hash of the raft IDs that this incarnation is bound to, 0 for none
	boundAt     int64
	discovered  map[string]Message // last discovery message by member
	discoveryAt int64
}

// snapshotState is the snapshot being written or received, and the parts that snapshots refer to.
type snapshotState struct {
	sentAt          map[uint64]int64  // by raft ID of the receiver
	cachedTexts     [][]byte          // encoded tables of the last snapshot, nil for those that changed since
	cachedDigests   []string          // of cachedTexts, where they are known
	parts           map[string][]byte // tables stored beside snapshots, by digest
	previousDigests []string          // parts that the last snapshot but one refers to
	fetch           *partFetch        // nil unless a received snapshot waits for parts
	writer          *snapshotWriter   // nil unless one is being written
}

// raftReplica is one member of a group: raft, bootstrap and membership, elections, and the dispatch of committed entries to tables.
type raftReplica struct {
	Counters Counters

	self               string
	members            []string // sorted
	replicas           map[string]replicaIncarnation
	incarnation        uint64
	processIncarnation uint64
	random             *rand.Rand
	now                int64
	wakeAt             int64
	effects            []Effect
	earlyEffects       []Effect          // emitted before the first step
	tables             []replicatedTable // a table's key in an entry is its index and one
	agreedTime         func() int64

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

// initialize begins an incarnation that knows nothing.
func (r *raftReplica) initialize() {
	r.raft.id = xxhash.Sum64String(fmt.Sprintf("%s %d %d", r.self, r.incarnation, r.random.Uint64())) | 1
	r.raft.storage = raft.NewMemoryStorage()
	r.raft.appliedIndex = 0
	r.raft.snapshotIndex = 0
	r.raft.confState = nil
	r.replicas = map[string]replicaIncarnation{}
	r.bootstrap.done = false
	r.bootstrap.boundSet = 0
	r.bootstrap.discovered = map[string]Message{}
	r.leadership.leaderID = 0
	r.leadership.lastContact = map[uint64]int64{}
	r.leadership.lastIDs = map[string]uint64{}
	r.leadership.announcing = false
	r.snapshots = snapshotState{
		sentAt:        map[uint64]int64{},
		cachedTexts:   make([][]byte, len(r.tables)),
		cachedDigests: make([]string, len(r.tables)),
		parts:         map[string][]byte{},
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

// restart begins another incarnation of this replica, under another raft ID, that knows nothing.
func (r *raftReplica) restart() {
	r.incarnation = max(r.incarnation, r.processIncarnation) + 1
	r.initialize()
}

// startRaft makes raft's node over the storage. Elections are timed by this package, from its own source of randomness: raft's ticks
// only send the leader's heartbeats.
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

// IsLeader reports whether this replica leads the group, as far as it knows.
func (r *raftReplica) IsLeader() bool { return r.leadership.leaderID == r.raft.id }

// IsCurrent reports whether this replica knows all that was committed but for what is on its way: it is in contact with a leader, or
// leads and is in contact with a majority, and has applied an entry of that leader's term, and with it all before.
func (r *raftReplica) IsCurrent() bool {
	if !r.bootstrap.done || r.leadership.leaderID == 0 || r.now >= r.leadership.leaderContactAt+minElectionTimeout || r.steppedDown() {
		return false
	}
	term, err := r.raft.storage.Term(r.raft.appliedIndex)
	return err == nil && term == r.raft.node.BasicStatus().GetTerm()
}

// Leader is the name of the replica that leads, as far as this one knows, empty where it knows none.
func (r *raftReplica) Leader() string {
	for name, replica := range r.replicas {
		if replica.ID == r.leadership.leaderID {
			return name
		}
	}
	return ""
}

func (r *raftReplica) isMember(id uint64) bool {
	for _, replica := range r.replicas {
		if replica.ID == id {
			return true
		}
	}
	return false
}

func (r *raftReplica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *raftReplica) log(warn bool, format string, args ...any) {
	r.emit(Effect{Kind: WriteLog, Warn: warn, Text: fmt.Sprintf(format, args...)})
}

func (r *raftReplica) send(to string, m Message) {
	m.From = r.self
	if m.Kind == MessageVerdicts {
		m.Leader = r.Leader()
	}
	r.emit(Effect{Kind: Send, To: to, Message: m})
}

// mustSucceed panics at an error that can't occur, so that this incarnation ends instead of going on from an unknown state.
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

// raftLogger drops raft's log: what matters is logged as effects. What raft holds to be fatal ends the incarnation.
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
