// Package configsync agrees on the versions of a fleet's configuration and distributes them: Table, replicated by a consensus group,
// decides which version is agreed on; Replicator, on each node, tracks which version the node has and fetches newer ones from its peers.
// The package does no I/O, reads no clock, and does not interpret values: an item is a name with a value in canonical JSON.
package configsync

import (
	"fmt"
	"math/rand"
	"slices"
)

const never = 1<<63 - 1 // ns

// ReplicatorConfig identifies a replicator and seeds its random choices.
type ReplicatorConfig struct {
	Name string
	Seed int64
}

// InitialState is the content that a node starts with.
type InitialState struct {
	ContentRevision Revision // version 0 if Content comes from the configuration file
	Content         *Content
	Source          string // shown to operators: "disk" or "file"
	Journal         int    // bytes of records on disk that follow the stored content; -1 if the whole file must be rewritten
}

// Counters are a replicator's counters as shown to operators. Byte counts are estimates, summed up by message.
type Counters struct {
	Applied          int   `json:"taken"`
	Refused          int   `json:"refused"`
	InvalidResponses int   `json:"lies"`    // from peers: content that does not match its digest, or versions that the replicas deny
	Busy             int   `json:"busy"`    // fetches of other nodes that were deferred
	Missed           int   `json:"missed"`  // fetches of this node that failed
	Dropped          int   `json:"dropped"` // reports of other nodes that were not answered
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_came"`
}

// diskState describes what is stored on disk.
type diskState struct {
	revision    Revision
	journalSize int  // bytes of records that follow the content
	rewrite     bool // the next write must store the whole content
}

// canaryState caches, for one version, whether this node belongs to its canary stage.
type canaryState struct {
	version uint64
	member  bool
}

// Replicator tracks the versions that a node has, fetches missing ones from peers, and announces its own to neighbours.
type Replicator struct {
	Counters Counters
	Statuses StatusTable // on a replica: the statuses that nodes reported

	config    ReplicatorConfig
	random    *rand.Rand
	source    string
	startedAt int64
	view      View
	peers     map[string]*peer
	tokens    int64  // bytes that may be sent now; negative while in debt
	changes   uint64 // incremented with each change that neighbours must be told

	agreed       *Agreed // state of the table on a replica, nil elsewhere
	groupCurrent bool    // on a replica: it is in contact with the consensus group

	head               RolloutState // the newest head that a replica confirmed
	confirmed          []Revision   // the last confirmed revisions, in order of version
	confirmedAt        int64        // time of the last confirmation, 0 for never
	conflicting        Revision     // the last revision confirmed by a replica that contradicts an earlier confirmation
	confirmations      int64        // on a replica: reports received since confirmationsSince
	confirmationsSince int64
	stopProposedAt     int64

	applied         Revision
	appliedContent  *Content
	appliedAt       int64
	ready           Revision // the newest revision with complete content here; its version is at least applied's
	readyContent    *Content
	applying        Revision
	applyingContent *Content
	validating      Revision // last passed to a CheckVersion effect, while only canaries apply it
	refused         Revision
	refusedReason   string
	canary          canaryState

	log        []*Record // consecutive records, the last of which leads to ready
	logSize    int
	spanDeltas blockDeltas // changes of the last move to ready that skipped versions whose records are unknown
	disk       diskState

	reports        reportState
	goalSince      int64 // since when there has been a goal, 0 for none
	fetch          fetchState
	chain          recordChain
	assembly       blockAssembly
	admissionSlots [2]int64 // when the next deferred peer may ask again: neighbours, other peers
	refilledAt     int64
	skipDigests    bool // fault injected by tests: digests are not compared
}

// NewReplicator returns a replicator that starts with the given content.
func NewReplicator(now int64, config ReplicatorConfig, start InitialState) *Replicator {
	if start.Content == nil {
		start.Content = &Content{}
	}
	r := &Replicator{
		config:         config,
		random:         rand.New(rand.NewSource(config.Seed)),
		peers:          map[string]*peer{},
		source:         start.Source,
		startedAt:      now,
		applied:        start.ContentRevision,
		appliedContent: start.Content,
		appliedAt:      now,
		ready:          start.ContentRevision,
		readyContent:   start.Content,
		tokens:         burstBytes,
		refilledAt:     now,
		disk: diskState{
			revision:    start.ContentRevision,
			journalSize: max(0, start.Journal),
			rewrite:     start.Journal < 0 || start.ContentRevision.Version == 0,
		},
	}
	digest := start.Content.Digest()
	if digest != start.ContentRevision.Digest { // the content belongs to no agreed version, whatever version it names
		r.applied = Revision{Digest: digest}
		r.ready = r.applied
		r.disk.revision = r.applied
		r.disk.rewrite = true
	}
	r.reports.dueAt = now + r.randomUpTo(unconfirmedReportSpread)
	return r
}

func (r *Replicator) randomUpTo(limit int64) int64 { return r.random.Int63n(limit) + 1 }

// jitter returns a random duration between 3/4 and 5/4 of ns.
func (r *Replicator) jitter(ns int64) int64 { return ns*3/4 + r.randomUpTo(ns/2) }

// Revision returns the revision in force on this node.
func (r *Replicator) Revision() Revision { return r.applied }

// Content returns the content in force on this node.
func (r *Replicator) Content() *Content { return r.appliedContent }

// Status is a replicator's state as shown to operators.
type Status struct {
	Revision Revision `cbor:"Mark" json:"Mark"`
	Source   string   // where Revision came from: "disk", "file" or "fleet"
	Ready    Revision
	Head     RolloutState
	TakenNS  int64 // ns since Revision came into force on this node
	HeardNS  int64 // ns since the last confirmation; -1 for never
	Behind   bool  // a newer version is known to be in force for all nodes
	BehindNS int64 // ns since a newer version became known; 0 if not Behind
	Refused  Revision
	Why      string // reason of Refused
	Counters Counters
}

// Status returns the replicator's state at a time, with the ages of its revision and of the last confirmation.
func (r *Replicator) Status(now int64) Status {
	status := Status{
		Revision: r.applied,
		Source:   r.source,
		Ready:    r.ready,
		Head:     r.head,
		TakenNS:  now - r.appliedAt,
		HeardNS:  -1,
		Behind:   r.head.All.Version > r.applied.Version,
		Refused:  r.refused,
		Why:      r.refusedReason,
		Counters: r.Counters,
	}
	if r.confirmedAt > 0 {
		status.HeardNS = now - r.confirmedAt
	}
	if status.Behind && r.goalSince > 0 {
		status.BehindNS = now - r.goalSince
	}
	return status
}

// Step handles inputs and due timers. It returns the effects to carry out and the time by which Step must be called again.
func (r *Replicator) Step(now int64, inputs []Input) (effects []Effect, wake int64) {
	r.refillTokens(now)
	for k := range inputs {
		effects = r.handleInput(now, &inputs[k], effects)
	}
	effects = r.advance(now, effects)
	effects = r.announce(now, effects)
	effects = r.sendReport(now, effects)
	effects = r.sendFetch(now, effects)
	return effects, max(r.nextDeadline(now), now+1)
}

func (r *Replicator) handleInput(now int64, in *Input, effects []Effect) []Effect {
	r.countReceived(in)
	switch in.Kind {
	case ViewChanged:
		r.handleView(now, in.View)
	case AgreementChanged:
		r.agreed = in.Agreed
		if r.agreed != nil {
			effects = r.confirm(now, r.agreed.Head, effects)
		}
	case ReplicaContactChanged:
		r.groupCurrent = in.ReplicaCurrent
	case DatagramReceived:
		effects = r.handleDatagram(now, in, effects)
	case ExchangeOpened:
		effects = r.replyToFetch(now, in, effects)
	case ExchangeAnswered:
		if r.fetch.awaits(in.Link) {
			r.fetch.deadline = 0
			r.handleFetchAnswer(now, in.Message)
		}
	case ExchangeFailed:
		if r.fetch.awaits(in.Link) {
			r.handleFetchFailure(now)
		}
	case VersionApplied:
		effects = r.handleApplied(now, in, effects)
	case VersionChecked:
		effects = r.handleChecked(now, in, effects)
	case VersionPersisted:
		effects = r.handleSaved(in, effects)
	}
	return effects
}

func (r *Replicator) handleDatagram(now int64, in *Input, effects []Effect) []Effect {
	p := r.peerFor(now, in.From)
	if in.Message == nil || p == nil {
		return effects
	}
	switch in.Message.Kind {
	case MessageAnnounce:
		r.handleAnnouncement(now, p, in.Message)
	case MessageReport:
		return r.handleReport(now, in.From, in.Message, effects)
	case MessageConfirm:
		if !slices.Contains(r.view.Replicas, in.From) { // only replicas may confirm
			r.penalize(now, p)
			return effects
		}
		return r.handleConfirmation(now, in.Message, effects)
	}
	return effects
}

func warning(format string, args ...any) Effect {
	return Effect{Kind: WriteLog, Warn: true, Text: fmt.Sprintf(format, args...)}
}

// nextDeadline returns the time at which the next timer expires.
func (r *Replicator) nextDeadline(now int64) int64 {
	return min(r.reports.deadline(), r.announceDeadline(now), r.fetchDeadline(now), r.stopDeadline())
}
