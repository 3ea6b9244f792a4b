package configsync

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	canaryOneIn               = 32          // one node in so many is drawn for the first stage, and one of each zone
	minAnnounceInterval       = 50 * ms     // ns between words to one neighbour: what changes meanwhile goes once
	reannounceDelay           = 300 * ms    // ns before a neighbour that lags is told again: news cross
	announceInterval          = 10_000 * ms // ns between words that nothing asks for: the backstop for lost ones
	minReportInterval         = 100 * ms    // ns between reports, whatever is rumoured
	reportInterval            = 20_000 * ms // ns between reports that nothing asks for
	unconfirmedReportSpread   = 40 * ms     // ns over which a fleet's reports on one rumour are drawn
	appliedReportSpread       = 1_000 * ms  // ns over which reports are drawn that only say what is in force
	minAnswerTimeout          = 400 * ms    // ns that a seat's answer is waited for at first: twice a round trip between regions
	maxAnswerTimeout          = 4_000 * ms  // ns at the most, once all seats were asked: a cut region hears within that of healing
	fetchTimeout              = 2_500 * ms  // ns that an exchange may take: a connection and a piece between regions, some times over
	minFetchBackoff           = 100 * ms    // ns before another peer is asked, doubled up to fetchMost
	maxFetchBackoff           = 4_000 * ms  // ns
	thunderingHerdDelay       = 6_000 * ms  // ns without a gain, past which a seat is asked though neighbours are on the way there too
	maxNonNeighbourWait       = 16_000 * ms // ns that a busy peer that isn't a neighbour is left alone at the most: a herd asks seats
	replicaFallbackDelay      = 1_500 * ms  // ns without a neighbour that has it, past which a seat is asked
	partialPeerBackoff        = 2_000 * ms  // ns before a peer is asked again that had nothing of what it is on the way to
	partialFetchBackoff       = 500 * ms    // ns before another such is asked
	minPeerBackoff            = 4_000 * ms  // ns that a peer is passed over for a lie, doubled with each up to asideMost: it may have believed another
	maxPeerBackoff            = 900_000 * ms
	stopRetryInterval         = 500 * ms           // ns to the next try at having a stop ordered
	bytesPerSecond            = 14_000             // bytes a second, all letters of this package, both ways: 21 KB less membership's and a reserve
	burstBytes                = 32 << 10           // bytes that may go at once after a quiet time
	maxPieceBytes             = 24 << 10           // bytes of records or blocks in one answer, or one block
	peerBytesPerSecond        = bytesPerSecond / 2 // bytes a second that one peer may have of this node
	maxEagerBytes             = 700                // bytes of records in a datagram of 1,200
	maxRunMisses              = 3                  // peers that can't go on with records of another, past which they are dropped: they may be false
	maxWantedBlocks           = 16                 // blocks asked for at once: more than fit an answer
	maxPeers                  = 96                 // peers that something is known of: links, seats and some that ask
	maxRetainedBytes          = 1 << 20            // bytes of records that a node keeps for others, of changes over some versions, and of those on their way
	maxJournalBytes           = 1 << 20            // bytes of records on disk after which all is written anew
	maxConfirmationsPerSecond = 2_000              // reports that a seat answers in a second: thrice a fleet's share of one change
	maxConfirmedRevisions     = 16                 // marks that were vouched for, with which records of a peer can end
	unconfirmedGracePeriod    = 5_000 * ms         // ns that a rumour may stand unconfirmed: seats that come back learn what was agreed on meanwhile
	maxDenials                = 3                  // answers of seats that know all and not of a rumour, past which it is a lie
	never                     = 1<<63 - 1
)

// ReplicatorConfig are what a holder goes by.
type ReplicatorConfig struct {
	Name string
	Seed int64
}

// InitialState is what a node has at its start.
type InitialState struct {
	Mark    Revision // version 0 where it is the file's
	Content *Content
	Source  string // what operators are told: disk, file
	Journal int    // bytes of records on disk behind the content that was read; -1 where all must be written anew
}

// Counters are what operators see. Bytes are of messages as they were estimated.
type Counters struct {
	Applied          int   `json:"taken"`
	Refused          int   `json:"refused"`
	InvalidResponses int   `json:"lies"` // of peers: what didn't come to its digest, or no seat knew of
	Busy             int   `json:"busy"` // asks of others that were put off
	Missed           int   `json:"missed"`
	Dropped          int   `json:"dropped"` // reports of others that were not answered
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_came"`
}

// peer is what is known of another node.
type peer struct {
	name             string
	neighbour        bool
	head             HeadRevision // that it told
	ready            Revision
	offered          []Record // that came with its word
	announcedChange  uint64   // h.news when it was told last
	announcedAt      int64
	announceAt       int64 // to be told again
	backoffUntil     int64
	invalidResponses int
	unconfirmed      HeadRevision // the first that it told and no seat vouched for yet
	unconfirmedSince int64        // when it was told
	denials          int          // seats' answers against it
	retryAt          int64        // not asked before
	tokens           int64
	refilledAt       int64
	seenAt           int64
}

// Replicator is a node's side: what it has, whom it asks for what is missing, what it tells others. The reducer owns it.
type Replicator struct {
	Counters Counters
	Statuses StatusTable // at a seat: who reported what

	config       ReplicatorConfig
	random       *rand.Rand
	source       string
	view         View
	peers        map[string]*peer
	agreed       *Agreed      // at a seat
	groupCurrent bool         // that seat is in touch with the council
	head         HeadRevision // vouched for
	conflicting  Revision     // the last that a seat vouched for against what one did before
	confirmed    []Revision   // the last that were vouched for, by version
	confirmedAt  int64        // when a seat last vouched, 0 for never
	startedAt    int64

	applied, ready                    Revision // in force; had, and not lower
	appliedContent, readyContent      *Content
	appliedAt                         int64 // when mark was taken
	log                               []*Record
	logSize                           int
	applying, refused                 Revision
	validating                        Revision // was given to be checked, before it is its turn
	applyingContent                   *Content // that of taking
	refusedReason                     string
	persisted                         Revision
	journalSize                       int // bytes of records on disk
	rewriteDisk                       bool
	changes                           uint64 // counts what neighbours should be told of
	tokens, refilledAt                int64
	reportAt                          int64 // when the next is due
	reportedAt                        int64 // when the last was sent
	reportSeq                         uint32
	answerDeadline                    int64 // until an answer to it is late, 0 while none is open
	reportAttempts                    int
	unconfirmedAnswers                int    // answers in a row that did not confirm a rumour
	deniedSeq                         uint32 // the last report whose answer was held against peers
	fetch                             fetchState
	admissionSlots                    [2]int64 // when the next neighbour, and the next other, that is put off may ask again
	run                               recordRun
	assembled                         *Content
	assembledDeltas                   blockDeltas // what staged differs in, from ready
	spanDeltas                        blockDeltas // the last step over versions whose records aren't known
	blockIndex                        []byte      // of indexed
	indexRevision                     Revision
	goalSince                         int64 // since when there is a goal
	stopOrderedAt                     int64
	confirmations, confirmationsSince int64
	canaryVersion                     uint64 // a version, and whether this node is of its first stage
	inCanary                          bool
	skipDigests                       bool // mutation: digests are not compared
}

// NewReplicator begins with what a node has.
func NewReplicator(now int64, terms ReplicatorConfig, start InitialState) *Replicator {
	if start.Content == nil {
		start.Content = &Content{}
	}
	h := &Replicator{config: terms, random: rand.New(rand.NewSource(terms.Seed)), peers: map[string]*peer{}, source: start.Source, startedAt: now, appliedAt: now,
		applied: start.Mark, ready: start.Mark, persisted: start.Mark, appliedContent: start.Content, readyContent: start.Content, tokens: burstBytes, refilledAt: now,
		journalSize: max(0, start.Journal), rewriteDisk: start.Journal < 0 || start.Mark.Version == 0}
	if digest := start.Content.Digest(); digest != start.Mark.Digest { // of no agreed version, whatever it is called
		h.applied, h.ready, h.rewriteDisk = Revision{Digest: digest}, Revision{Digest: digest}, true
		h.persisted = h.applied
	}
	h.reportAt = now + h.randomUpTo(unconfirmedReportSpread)
	return h
}

func (r *Replicator) randomUpTo(most int64) int64 { return r.random.Int63n(most) + 1 }

// jitter is a time drawn between three quarters and five quarters.
func (r *Replicator) jitter(ns int64) int64 { return ns*3/4 + r.randomUpTo(ns/2) }

// Revision is what is in force.
func (r *Replicator) Revision() Revision { return r.applied }

// Content is what is in force.
func (r *Replicator) Content() *Content { return r.appliedContent }

// Status is what operators see.
type Status struct {
	Mark     Revision
	Source   string // where it came from: disk, file, fleet
	Ready    Revision
	Head     HeadRevision
	TakenNS  int64 // since Mark is in force here
	HeardNS  int64 // since a seat vouched for what holds; -1 for never
	Behind   bool  // something newer is in force for all, as far as known
	BehindNS int64
	Refused  Revision
	Why      string
	Counters Counters
}

// Status says how this node stands.
func (r *Replicator) Status(now int64) Status {
	status := Status{Mark: r.applied, Source: r.source, Ready: r.ready, Head: r.head, TakenNS: now - r.appliedAt, HeardNS: -1, Refused: r.refused, Why: r.refusedReason,
		Behind: r.head.All.Version > r.applied.Version, Counters: r.Counters}
	if r.confirmedAt > 0 {
		status.HeardNS = now - r.confirmedAt
	}
	if status.Behind && r.goalSince > 0 {
		status.BehindNS = now - r.goalSince
	}
	return status
}

// Step takes what happened and says what to do, and when to step again at the latest.
func (r *Replicator) Step(now int64, inputs []Input) (effects []Effect, wake int64) {
	r.refillTokens(now)
	for k := range inputs {
		effects = r.handleInput(now, &inputs[k], effects)
	}
	effects = r.applyReady(now, effects)
	effects = r.announce(now, effects)
	effects = r.reportAndFetch(now, effects)
	return effects, max(r.nextDeadline(now), now+1)
}

func (r *Replicator) refillTokens(now int64) {
	if ns := now - r.refilledAt; ns > 0 {
		r.tokens = min(burstBytes, r.tokens+min(ns, 10_000*ms)*bytesPerSecond/1_000_000_000)
		if ns*bytesPerSecond >= 1_000_000_000 || r.tokens == burstBytes {
			r.refilledAt = now
		}
	}
}

// countSent counts a message. Answers without content are no part of what is paced: a herd that asks must not keep this node
// from giving to those that others can have it of.
func (r *Replicator) countSent(m *Message) {
	if m.Kind != Vouch && (m.Kind != Piece || m.hasContent()) {
		r.tokens -= int64(m.size())
	}
	r.Counters.BytesSent += int64(m.size())
}

// peerFor is what is peerFor of a peer; nil where there is no room for one more.
func (r *Replicator) peerFor(now int64, name string) *peer {
	p := r.peers[name]
	if p == nil {
		if len(r.peers) >= maxPeers {
			var old *peer
			for _, q := range r.peers { // the one that was silent longest and isn't wanted
				if !q.neighbour && q.backoffUntil <= now && (old == nil || cmp.Or(cmp.Compare(q.seenAt, old.seenAt), cmp.Compare(q.name, old.name)) < 0) {
					old = q
				}
			}
			if old == nil {
				return nil
			}
			delete(r.peers, old.name)
		}
		p = &peer{name: name, tokens: burstBytes, refilledAt: now}
		r.peers[name] = p
	}
	p.seenAt = now
	return p
}

func (r *Replicator) handleInput(now int64, in *Input, effects []Effect) []Effect {
	if in.Message != nil {
		r.Counters.BytesReceived += int64(in.Message.size())
		if in.Kind == Answered && in.Message.hasContent() { // what others send unasked must not keep this node from what it needs
			r.tokens -= int64(in.Message.size())
		}
	}
	switch in.Kind {
	case Viewed:
		r.handleView(now, in.View)
	case Ordered:
		if r.agreed = in.Agreed; r.agreed != nil {
			effects = r.confirm(now, r.agreed.Head, effects)
		}
	case Stood:
		r.groupCurrent = in.Current
	case Came:
		switch p := r.peerFor(now, in.From); {
		case in.Message == nil || p == nil:
		case in.Message.Kind == Tell:
			r.handleAnnouncement(now, p, in.Message)
		case in.Message.Kind == Report:
			effects = r.handleReport(now, in.From, in.Message, effects)
		case in.Message.Kind == Vouch:
			if !slices.Contains(r.view.Seats, in.From) { // nobody else vouches for anything
				r.penalize(now, p)
				break
			}
			effects = r.handleConfirmation(now, in.Message, effects)
		}
	case Asked:
		m := &Message{Kind: Piece, Has: r.ready}
		if in.Message != nil && in.Message.Kind == Fetch {
			r.serveFetch(now, in.From, in.Message, m)
		}
		r.countSent(m)
		effects = append(effects, Effect{Kind: Reply, Link: in.Link, Message: m})
	case Answered:
		if r.fetch.deadline > 0 && in.Link == r.fetch.link {
			r.fetch.deadline = 0
			effects = r.handleFetchAnswer(now, in.Message, effects)
		}
	case Missed:
		if r.fetch.deadline > 0 && in.Link == r.fetch.link {
			r.handleFetchFailure(now)
		}
	case Took:
		effects = r.handleApplied(now, in, effects)
	case Checked:
		if in.Why != "" && in.Mark == r.validating && in.Mark != r.refused && r.applying != in.Mark && r.applied != in.Mark {
			effects = r.refuse(now, in.Mark, in.Why, effects)
		}
	case Saved:
		if in.Why != "" {
			r.rewriteDisk = true
			effects = append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf("configuration %d can't be kept on disk: %s", r.persisted.Version, in.Why)})
		}
	}
	return effects
}

// handleView takes another view.
func (r *Replicator) handleView(now int64, view *View) {
	if view == nil {
		return
	}
	if r.answerDeadline == 0 && !slices.Equal(r.view.Seats, view.Seats) {
		r.reportAt = min(r.reportAt, now+r.randomUpTo(appliedReportSpread))
	}
	r.view, r.canaryVersion = *view, 0
	for _, p := range r.peers {
		p.neighbour = false
	}
	for _, name := range view.Neighbours {
		if p := r.peerFor(now, name); p != nil {
			p.neighbour = true
			if p.announcedChange == 0 && p.announceAt == 0 {
				p.announceAt = now + r.randomUpTo(minAnnounceInterval)
			}
		}
	}
}

// penalize sets a peer aside: it told what isn't so. It may be at fault itself or have believed another; it isn't asked either way.
func (r *Replicator) penalize(now int64, p *peer) {
	r.Counters.InvalidResponses++
	if p.backoffUntil > now {
		return
	}
	p.backoffUntil = now + min(minPeerBackoff<<min(p.invalidResponses, 10), maxPeerBackoff)
	p.invalidResponses++
	p.head, p.ready, p.offered, p.unconfirmed = HeadRevision{}, Revision{}, nil, HeadRevision{}
}

// contradictsConfirmed says whether a peer told of another content for a version that was vouched for, or is held here.
func (r *Replicator) contradictsConfirmed(revisions ...Revision) bool {
	for _, told := range revisions {
		other := func(known Revision) bool {
			return told.Version == known.Version && told.Version > 0 && told.Digest != known.Digest
		}
		if other(r.ready) || other(r.head.All) || other(r.head.First) || slices.ContainsFunc(r.confirmed, other) {
			return true
		}
	}
	return false
}

// trackUnconfirmed follows the first rumour of a peer that no seat vouched for yet, true while there is one.
func (p *peer) trackUnconfirmed(now int64, mine *HeadRevision) bool {
	if !p.unconfirmed.newer(mine) {
		p.unconfirmed, p.unconfirmedSince, p.denials = p.head, now, 0
	}
	return p.unconfirmed.newer(mine)
}

// countDenials holds a seat's answer against the peers that told of more. It counts where that seat knows all and the report was sent
// long after the rumour: a seat that is back, or cut off from the others, says nothing against a peer that knows better.
func (r *Replicator) countDenials(now int64) {
	if r.deniedSeq == r.reportSeq {
		return // an answer that came twice
	}
	r.deniedSeq = r.reportSeq
	mine := r.announcedHead()
	for _, p := range r.peers {
		if p.backoffUntil > now || !p.trackUnconfirmed(now, &mine) || r.reportedAt < p.unconfirmedSince+unconfirmedGracePeriod {
			continue
		}
		if p.denials++; p.denials >= maxDenials {
			r.penalize(now, p)
		}
	}
}

// handleAnnouncement takes a neighbour's word. It only says whom to ask: what isn't vouched for by a seat is a rumour.
func (r *Replicator) handleAnnouncement(now int64, p *peer, m *Message) {
	if p.backoffUntil > now {
		return
	}
	if r.contradictsConfirmed(m.Head.All, m.Head.First, m.Has) {
		r.penalize(now, p)
		return
	}
	p.head, p.ready = m.Head.announced(), m.Has
	mine := r.announcedHead()
	p.trackUnconfirmed(now, &mine)
	if mine.newer(&p.head) || r.ready.Version > p.ready.Version { // it lacks what this node can tell
		p.announceAt = min(p.announceAt, max(now, p.announcedAt)+reannounceDelay)
	}
	switch {
	case !r.hasUnconfirmed(now):
	case r.answerDeadline == 0:
		r.reportAt = min(r.reportAt, max(now+r.randomUpTo(unconfirmedReportSpread), r.reportedAt+minReportInterval<<min(r.unconfirmedAnswers/2, 4)))
	default: // another seat is asked soon, however long this one is waited for
		r.answerDeadline = min(r.answerDeadline, max(now, r.reportedAt+minAnswerTimeout))
	}
	if p.offered = nil; p.neighbour && len(m.Records) > 0 && m.Records[0].Version > r.ready.Version {
		size := 0
		for k := range m.Records {
			size += m.Records[k].bytes()
		}
		if size <= maxEagerBytes {
			p.offered = m.Records
		}
	}
}

// announcedHead is what neighbours are told of what was vouched for.
func (r *Replicator) announcedHead() HeadRevision { return r.head.announced() }

// announced is a head without what only seats tell.
func (h HeadRevision) announced() HeadRevision {
	return HeadRevision{All: h.All, First: h.First, Stopped: h.Stopped}
}

// hasUnconfirmed says whether some neighbour told of something newer than was vouched for.
func (r *Replicator) hasUnconfirmed(now int64) bool {
	mine := r.announcedHead()
	for _, p := range r.peers {
		if p.backoffUntil <= now && p.head.newer(&mine) {
			return true
		}
	}
	return false
}

// handleReport answers a report at a seat.
func (r *Replicator) handleReport(now int64, from string, m *Message, effects []Effect) []Effect {
	if r.agreed == nil {
		return effects
	}
	if now >= r.confirmationsSince+1_000*ms {
		r.confirmations, r.confirmationsSince = 0, now
	}
	if r.confirmations++; r.confirmations > maxConfirmationsPerSecond {
		r.Counters.Dropped++
		return effects
	}
	r.Statuses.Report(now, from, m.Has, m.Refused, m.Why, m.Age)
	answer := &Message{Kind: Vouch, Seq: m.Seq, Head: r.agreed.Head, Current: r.groupCurrent}
	r.countSent(answer)
	return append(effects, Effect{Kind: Send, To: from, Message: answer})
}

// handleConfirmation takes a seat's word.
func (r *Replicator) handleConfirmation(now int64, m *Message, effects []Effect) []Effect {
	if m.Seq != r.reportSeq {
		return r.confirm(now, m.Head, effects) // late, and true all the same
	}
	if r.answerDeadline > 0 {
		r.answerDeadline = 0
		r.reportAt = now + r.jitter(reportInterval)
	}
	effects = r.confirm(now, m.Head, effects)
	if !r.hasUnconfirmed(now) {
		if r.reportAttempts, r.unconfirmedAnswers = 0, 0; r.refused.Version > 0 && r.refused == r.head.First && !r.head.Stopped && r.head.First != r.head.All {
			r.reportAttempts = 1 + int(r.reportSeq)%max(1, len(r.view.Seats)) // the seat that knows may be lost before it had the stop ordered
			r.reportAt = now + r.jitter(minAnswerTimeout)
		}
		return effects
	}
	r.reportAttempts++ // this seat lags behind what a neighbour heard, or that one lied: another seat is asked
	if m.Current {
		r.countDenials(now)
	}
	r.reportAt = now + r.jitter(min(minAnswerTimeout<<min(r.unconfirmedAnswers/maxDenials, 5), maxAnswerTimeout))
	r.unconfirmedAnswers++
	return effects
}

// confirm takes what a seat stands for. Versions never go back, and one version has one digest.
func (r *Replicator) confirm(now int64, head HeadRevision, effects []Effect) []Effect {
	r.confirmedAt = now
	for _, newRevision := range [...]Revision{head.All, head.First} {
		for _, known := range [...]Revision{r.head.All, r.head.First} {
			if newRevision.Version == known.Version && newRevision.Digest != known.Digest {
				if r.conflicting == newRevision {
					return effects
				}
				r.conflicting = newRevision
				return append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf(
					"seats vouch for two contents of version %d, %s and %s: they forgot; this node keeps what it has", newRevision.Version, known.Digest, newRevision.Digest)})
			}
		}
	}
	if head.newer(&r.head) {
		if head.announced() != r.head.announced() {
			r.changes++
			r.unconfirmedAnswers = 0
		}
		r.head = head
		for _, m := range [...]Revision{head.All, head.First} {
			if k := len(r.confirmed); k == 0 || r.confirmed[k-1].Version < m.Version {
				r.confirmed = append(r.confirmed, m)
			}
		}
		r.confirmed = r.confirmed[max(0, len(r.confirmed)-maxConfirmedRevisions):]
		for _, p := range r.peers {
			if p.backoffUntil <= now && r.contradictsConfirmed(p.unconfirmed.All, p.unconfirmed.First, p.head.All, p.head.First, p.ready) {
				r.penalize(now, p)
			}
		}
	}
	return effects
}

// goal is what is to be fetched next, if anything: what is in force for all, then what stands at the first stage.
func (r *Replicator) goal() (Revision, bool) {
	switch {
	case r.head.All.Version > r.ready.Version:
		return r.head.All, true
	case r.ready == r.head.All && r.applied.Version < r.ready.Version && r.ready != r.refused: // it is taken first
	case r.head.First.Version > r.ready.Version && !r.head.Stopped:
		return r.head.First, true
	}
	return Revision{}, false
}

// isCanary says whether this node is of the first stage of a version: one in 32, the first of its zone, and those that refused another.
func (r *Replicator) isCanary(version uint64) bool {
	if r.refused.Version > r.applied.Version {
		return true
	}
	if r.canaryVersion != version {
		mine := canaryHash(r.config.Name, version)
		r.canaryVersion, r.inCanary = version, mine%canaryOneIn == 0 || !slices.ContainsFunc(r.view.Zone, func(name string) bool {
			return name != r.config.Name && canaryHash(name, version) < mine
		})
	}
	return r.inCanary
}

func canaryHash(name string, version uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d", name, version))
}

// applyReady takes what is at hand.
func (r *Replicator) applyReady(now int64, effects []Effect) []Effect {
	if goal, ok := r.goal(); ok && r.agreed != nil { // a seat's node has it
		for _, c := range [...]*Content{r.agreed.All, r.agreed.First} {
			if c.Digest() == goal.Digest {
				r.setReady(goal, c, nil)
				break
			}
		}
	}
	if goal, ok := r.goal(); !ok {
		r.goalSince = 0
	} else if r.goalSince == 0 {
		r.goalSince, r.fetch.failures, r.fetch.nextAt = now, 0, now
	} else if r.indexRevision.Version <= r.ready.Version || r.indexRevision.Version > goal.Version {
		r.blockIndex = nil
	}
	if _, ok := r.goal(); ok && r.run.content == nil {
		for _, name := range r.view.Neighbours {
			p := r.peers[name]
			if p == nil || len(p.offered) == 0 || p.offered[0].Version != r.ready.Version+1 || p.offered[0].Base != r.ready.Digest {
				continue
			}
			offer := p.offered
			if p.offered = nil; r.extendRun(now, p, offer) {
				break
			}
		}
	}
	if r.agreed != nil {
		if who, why, ok := r.Statuses.refusal(r.head.First); ok && !r.head.Stopped && r.head.First.Version > r.head.All.Version && now >= r.stopOrderedAt+stopRetryInterval {
			r.stopOrderedAt = now
			effects = append(effects, Effect{Kind: Order, Command: &Command{Kind: Stop, Version: r.head.First.Version, Who: who, Why: why}})
		}
	}
	if r.applying.Version > 0 || r.ready.Version <= r.applied.Version || r.ready == r.refused {
		return effects
	}
	first := r.ready == r.head.First && r.ready.Version > r.head.All.Version
	if first && r.head.Stopped || !first && r.ready != r.head.All {
		return effects
	}
	if first && !r.isCanary(r.ready.Version) { // a refusal anywhere stops a version while it stands at the first stage
		if r.validating == r.ready {
			return effects
		}
		r.validating = r.ready
		return append(effects, Effect{Kind: Check, Mark: r.ready, First: true, Old: r.appliedContent, New: r.readyContent})
	}
	r.applying, r.applyingContent = r.ready, r.readyContent
	return append(effects, Effect{Kind: Take, Mark: r.ready, First: first, Old: r.appliedContent, New: r.readyContent})
}

// refuse notes that a version can't be taken here, and has seats told.
func (r *Replicator) refuse(now int64, revision Revision, why string, effects []Effect) []Effect {
	r.refused, r.refusedReason = revision, truncate(why, maxReasonBytes)
	r.Counters.Refused++
	r.reportAt = min(r.reportAt, now)
	r.recordOwnStatus(now)
	return append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf("configuration %d can't be taken, %d stays in force: %s", revision.Version, r.applied.Version, r.refusedReason)})
}

// handleApplied notes that a version is in force here, or can't be.
func (r *Replicator) handleApplied(now int64, in *Input, effects []Effect) []Effect {
	if in.Mark != r.applying || r.applying.Version == 0 {
		return effects
	}
	content := r.applyingContent
	r.applying, r.applyingContent = Revision{}, nil
	if in.Why != "" {
		return r.refuse(now, in.Mark, in.Why, effects)
	}
	r.Counters.Applied++
	r.applied, r.appliedContent, r.appliedAt, r.source = in.Mark, content, now, "fleet"
	r.recordOwnStatus(now)
	if r.answerDeadline == 0 {
		r.reportAt = min(r.reportAt, now+r.randomUpTo(appliedReportSpread))
	}
	return r.persist(effects)
}

// recordOwnStatus has a seat's own board know of its node.
func (r *Replicator) recordOwnStatus(now int64) {
	if r.agreed != nil {
		r.Statuses.Report(now, r.config.Name, r.applied, r.refused, r.refusedReason, now-r.appliedAt)
	}
}

// persist has the disk follow.
func (r *Replicator) persist(effects []Effect) []Effect {
	e := Effect{Kind: Persist, Mark: r.applied, New: r.appliedContent}
	e.Records = recordsBetween(r.availableRecords(), r.persisted, r.applied.Version)
	size := 0
	for _, record := range e.Records {
		size += record.bytes()
	}
	if e.Full = r.rewriteDisk || len(e.Records) == 0 || e.Records[len(e.Records)-1].Version != r.applied.Version || r.journalSize+size > maxJournalBytes; e.Full {
		e.Records, size, r.journalSize = nil, 0, 0
	}
	r.persisted, r.rewriteDisk = r.applied, false
	r.journalSize += size
	return append(effects, e)
}

// availableRecords are those that this node can give away.
func (r *Replicator) availableRecords() []*Record {
	if r.agreed != nil {
		return r.agreed.Log
	}
	return r.log
}

// recordsBetween are the records after a mark up to a version, none where the log doesn't reach.
func recordsBetween(log []*Record, after Revision, until uint64) []*Record {
	if len(log) == 0 || after.Version+1 < log[0].Version || after.Version+1 > log[len(log)-1].Version || after.Version >= until {
		return nil
	}
	log = log[after.Version+1-log[0].Version:]
	if log[0].Base != after.Digest {
		return nil
	}
	return log[:min(until-after.Version, uint64(len(log)))]
}

// setReady notes that a version is at hand; records lead to it from the one before, or nothing is known of them.
func (r *Replicator) setReady(revision Revision, content *Content, records []*Record) {
	if len(records) == 0 {
		r.log, r.logSize, r.spanDeltas = nil, 0, blockDeltas{}
	}
	for _, record := range records {
		r.log, r.logSize = append(r.log, record), r.logSize+record.bytes()
	}
	for len(r.log) > 0 && (r.logSize > maxRetainedBytes || len(r.log) > maxLogRecords) {
		r.logSize -= r.log[0].bytes()
		r.log = r.log[1:] // not cleared: effects go on showing it
	}
	r.ready, r.readyContent = revision, content
	r.run, r.assembled, r.blockIndex, r.assembledDeltas = recordRun{}, nil, nil, blockDeltas{}
	r.fetch.failures = 0
	r.changes++
}

// announce has neighbours know what is new, each at its time.
func (r *Replicator) announce(now int64, effects []Effect) []Effect {
	for _, name := range r.view.Neighbours {
		peer := r.peers[name]
		if peer == nil || !(peer.announcedChange < r.changes && now >= peer.announcedAt+minAnnounceInterval || peer.announceAt > 0 && now >= peer.announceAt) {
			continue
		}
		m := &Message{Kind: Tell, Head: r.announcedHead(), Has: r.ready}
		if r.tokens > burstBytes/2 {
			m.Records = wireRecords(recordsBetween(r.availableRecords(), peer.ready, r.ready.Version), maxEagerBytes, true)
		}
		peer.announcedChange, peer.announcedAt, peer.announceAt = r.changes, now, now+r.jitter(announceInterval)
		r.countSent(m)
		effects = append(effects, Effect{Kind: Send, To: name, Message: m})
	}
	return effects
}

// wireRecords are records as they travel, as many as fit, or none unless all do.
func wireRecords(list []*Record, most int, all bool) (records []Record) {
	for _, r := range list {
		wire := r.wire()
		if most -= wire.bytes(); most < 0 {
			if all {
				return nil
			}
			break
		}
		records = append(records, wire)
	}
	return records
}

// reportAndFetch reports to a seat and fetches what is missing.
func (r *Replicator) reportAndFetch(now int64, effects []Effect) []Effect {
	if r.answerDeadline > 0 && now >= r.answerDeadline {
		r.answerDeadline = 0
		r.reportAttempts++
		r.reportAt = now + r.randomUpTo(r.answerTimeout()/4)
	}
	if r.answerDeadline == 0 && now >= r.reportAt && now >= r.reportedAt+minReportInterval {
		if seat := r.reportTarget(r.reportAttempts); seat == "" || r.agreed != nil && !r.hasUnconfirmed(now) { // a seat knows by itself
			r.reportAt = now + r.jitter(reportInterval)
		} else {
			r.reportSeq++
			m := &Message{Kind: Report, Seq: r.reportSeq, Has: r.applied, Refused: r.refused, Why: r.refusedReason, Age: now - r.appliedAt}
			r.reportedAt, r.answerDeadline = now, now+r.answerTimeout()
			r.countSent(m)
			effects = append(effects, Effect{Kind: Send, To: seat, Message: m})
		}
	}
	if r.fetch.deadline > 0 && now >= r.fetch.deadline {
		r.handleFetchFailure(now)
	}
	if goal, ok := r.goal(); ok && r.fetch.deadline == 0 && now >= r.fetch.nextAt && r.tokens > 0 {
		p := r.choosePeer(now, goal)
		if p == nil {
			r.fetch.nextAt = now + r.jitter(minFetchBackoff)
			return effects
		}
		r.fetch.link++
		r.fetch.peer, r.fetch.deadline, r.fetch.want = p.name, now+fetchTimeout, goal
		m := &Message{Kind: Fetch, Has: r.ready, Want: goal}
		if r.run.content != nil {
			m.Has = r.run.revision
		}
		if r.fetch.base, r.fetch.index, r.fetch.missing = r.assemblyBase(), nil, nil; r.blockIndex != nil {
			r.requestMissing(m)
		}
		if len(m.Wanted) == 0 {
			r.blockIndex, m.Sums = nil, r.fetch.base.pageSums()
		} else {
			m.Has, m.Want = r.ready, r.indexRevision // changes of blocks are from the one to the other
		}
		r.fetch.from = m.Has
		r.countSent(m)
		effects = append(effects, Effect{Kind: Exchange, To: p.name, Link: r.fetch.link, Message: m})
	}
	return effects
}

// answerTimeout is how long a seat's answer is waited for: longer once all were asked.
func (r *Replicator) answerTimeout() int64 {
	return min(minAnswerTimeout<<min(r.reportAttempts/max(1, len(r.view.Seats)), 5), maxAnswerTimeout)
}

// reportTarget is the one to report to at a try: each node has its own order of them.
func (r *Replicator) reportTarget(try int) string {
	if len(r.view.Seats) == 0 {
		return ""
	}
	seats := slices.Clone(r.view.Seats)
	slices.SortFunc(seats, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(r.config.Name+"\x00"+a), xxhash.Sum64String(r.config.Name+"\x00"+b))
	})
	return seats[try%len(seats)]
}

// nextDeadline is when there is something to do next.
func (r *Replicator) nextDeadline(now int64) int64 {
	at := max(r.reportAt, r.reportedAt+minReportInterval)
	if r.answerDeadline > 0 {
		at = r.answerDeadline
	}
	for _, name := range r.view.Neighbours {
		if p := r.peers[name]; p != nil {
			if at = min(at, max(p.announceAt, now)); p.announcedChange < r.changes {
				at = min(at, p.announcedAt+minAnnounceInterval)
			}
		}
	}
	if r.fetch.deadline > 0 {
		at = min(at, r.fetch.deadline)
	} else if _, ok := r.goal(); ok {
		next := r.fetch.nextAt
		if r.tokens <= 0 {
			next = max(next, now+(1-r.tokens)*1_000_000_000/bytesPerSecond)
		}
		at = min(at, next)
	}
	if r.agreed != nil && r.head.First.Version > r.head.All.Version && !r.head.Stopped {
		if _, _, ok := r.Statuses.refusal(r.head.First); ok {
			at = min(at, r.stopOrderedAt+stopRetryInterval)
		}
	}
	return at
}
