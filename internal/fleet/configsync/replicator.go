// Package configsync agrees on the versions of a fleet's configuration and spreads them: Table decides which version is agreed on, and
// Replicator which one a node has and whom it asks for what is missing. It does no I/O, reads no clock, and never looks into a value:
// items are names and canonical JSON.
package configsync

import (
	"fmt"
	"math/rand"
	"slices"
)

const never = 1<<63 - 1 // ns

// ReplicatorConfig is a replicator's configuration.
type ReplicatorConfig struct {
	Name string
	Seed int64
}

// InitialState is what a node has at its start.
type InitialState struct {
	ContentRevision Revision // version 0 where it is the file's
	Content         *Content
	Source          string // shown to operators: disk, file
	Journal         int    // bytes of records on disk behind the content that was read; -1 where all must be rewritten
}

// Counters are a replicator's counters as operators see them. Bytes are estimates by message.
type Counters struct {
	Applied          int   `json:"taken"`
	Refused          int   `json:"refused"`
	InvalidResponses int   `json:"lies"`    // of peers: what doesn't match its digest, or is denied by the replicas
	Busy             int   `json:"busy"`    // fetches of others that were put off
	Missed           int   `json:"missed"`  // fetches that failed
	Dropped          int   `json:"dropped"` // reports of others that were not answered
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_came"`
}

// diskState is what the disk holds.
type diskState struct {
	revision    Revision
	journalSize int  // bytes of records behind the content
	rewrite     bool // the next write must be of the whole content
}

// canaryState is the last version that was drawn for, and whether this node is at its canary stage.
type canaryState struct {
	version uint64
	member  bool
}

// Replicator is a node's side: which version it has, whom it asks for what is missing, and what it announces to others.
type Replicator struct {
	Counters Counters
	Statuses StatusTable // at a replica of the group: the nodes' reports

	config    ReplicatorConfig
	random    *rand.Rand
	source    string
	startedAt int64
	view      View
	peers     map[string]*peer
	tokens    int64  // bytes that may be sent now
	changes   uint64 // counts what is to be announced

	agreed       *Agreed // at a replica of the group
	groupCurrent bool    // at a replica: it is in contact with the group

	head               HeadRevision // confirmed
	confirmed          []Revision   // the last that were confirmed, by version
	confirmedAt        int64        // last confirmation, 0 for never
	conflicting        Revision     // the last that a replica confirmed against an earlier confirmation
	confirmations      int64        // given since confirmationsSince, at a replica
	confirmationsSince int64
	stopOrderedAt      int64

	applied         Revision
	appliedContent  *Content
	appliedAt       int64
	ready           Revision // complete here, and not lower than applied
	readyContent    *Content
	applying        Revision
	applyingContent *Content
	validating      Revision // was given to be checked before its stage
	refused         Revision
	refusedReason   string
	canary          canaryState

	log        []*Record // that lead to ready
	logSize    int
	spanDeltas blockDeltas // the last step over versions whose records aren't known
	disk       diskState

	reports        reportState
	goalSince      int64 // since when there is a goal, 0 for none
	fetch          fetchState
	chain          recordChain
	assembly       blockAssembly
	admissionSlots [2]int64 // when the next neighbour, and the next other, that is put off may ask again
	refilledAt     int64
	skipDigests    bool // fault injection of tests: digests are not compared
}

// NewReplicator returns a replicator that begins with what a node has.
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
	if digest != start.ContentRevision.Digest { // of no agreed version, whatever it is called
		r.applied = Revision{Digest: digest}
		r.ready = r.applied
		r.disk.revision = r.applied
		r.disk.rewrite = true
	}
	r.reports.dueAt = now + r.randomUpTo(unconfirmedReportSpread)
	return r
}

func (r *Replicator) randomUpTo(limit int64) int64 { return r.random.Int63n(limit) + 1 }

// jitter is a random time between three quarters and five quarters.
func (r *Replicator) jitter(ns int64) int64 { return ns*3/4 + r.randomUpTo(ns/2) }

// Revision is the revision that is in force.
func (r *Replicator) Revision() Revision { return r.applied }

// Content is the content that is in force.
func (r *Replicator) Content() *Content { return r.appliedContent }

// Status is a replicator's state as operators see it.
type Status struct {
	Revision Revision `cbor:"Mark" json:"Mark"`
	Source   string   // of Revision: disk, file, fleet
	Ready    Revision
	Head     HeadRevision
	TakenNS  int64 // since Revision is in force here
	HeardNS  int64 // since the last confirmation; -1 for never
	Behind   bool  // something newer is in force for all, as far as known
	BehindNS int64
	Refused  Revision
	Why      string
	Counters Counters
}

// Status returns this node's status.
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

// Step handles what happened, and returns what is to be done and the latest time of the next step.
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
		if !slices.Contains(r.view.Replicas, in.From) { // only replicas confirm
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

// nextDeadline is when the next timer expires.
func (r *Replicator) nextDeadline(now int64) int64 {
	return min(r.reports.deadline(), r.announceDeadline(now), r.fetchDeadline(now), r.stopDeadline())
}
