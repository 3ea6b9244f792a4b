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

func (h *Replicator) randomUpTo(most int64) int64 { return h.random.Int63n(most) + 1 }

// jitter is a time drawn between three quarters and five quarters.
func (h *Replicator) jitter(ns int64) int64 { return ns*3/4 + h.randomUpTo(ns/2) }

// Revision is what is in force.
func (h *Replicator) Revision() Revision { return h.applied }

// Content is what is in force.
func (h *Replicator) Content() *Content { return h.appliedContent }

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
func (h *Replicator) Status(now int64) Status {
	s := Status{Mark: h.applied, Source: h.source, Ready: h.ready, Head: h.head, TakenNS: now - h.appliedAt, HeardNS: -1, Refused: h.refused, Why: h.refusedReason,
		Behind: h.head.All.Version > h.applied.Version, Counters: h.Counters}
	if h.confirmedAt > 0 {
		s.HeardNS = now - h.confirmedAt
	}
	if s.Behind && h.goalSince > 0 {
		s.BehindNS = now - h.goalSince
	}
	return s
}

// Step takes what happened and says what to do, and when to step again at the latest.
func (h *Replicator) Step(now int64, inputs []Input) (effects []Effect, wake int64) {
	h.refillTokens(now)
	for k := range inputs {
		effects = h.handleInput(now, &inputs[k], effects)
	}
	effects = h.applyReady(now, effects)
	effects = h.announce(now, effects)
	effects = h.reportAndFetch(now, effects)
	return effects, max(h.nextDeadline(now), now+1)
}

func (h *Replicator) refillTokens(now int64) {
	if ns := now - h.refilledAt; ns > 0 {
		h.tokens = min(burstBytes, h.tokens+min(ns, 10_000*ms)*bytesPerSecond/1_000_000_000)
		if ns*bytesPerSecond >= 1_000_000_000 || h.tokens == burstBytes {
			h.refilledAt = now
		}
	}
}

// countSent counts a message. Answers without content are no part of what is paced: a herd that asks must not keep this node
// from giving to those that others can have it of.
func (h *Replicator) countSent(m *Message) {
	if m.Kind != Vouch && (m.Kind != Piece || m.hasContent()) {
		h.tokens -= int64(m.size())
	}
	h.Counters.BytesSent += int64(m.size())
}

// peerFor is what is peerFor of a peer; nil where there is no room for one more.
func (h *Replicator) peerFor(now int64, name string) *peer {
	p := h.peers[name]
	if p == nil {
		if len(h.peers) >= maxPeers {
			var old *peer
			for _, q := range h.peers { // the one that was silent longest and isn't wanted
				if !q.neighbour && q.backoffUntil <= now && (old == nil || cmp.Or(cmp.Compare(q.seenAt, old.seenAt), cmp.Compare(q.name, old.name)) < 0) {
					old = q
				}
			}
			if old == nil {
				return nil
			}
			delete(h.peers, old.name)
		}
		p = &peer{name: name, tokens: burstBytes, refilledAt: now}
		h.peers[name] = p
	}
	p.seenAt = now
	return p
}

func (h *Replicator) handleInput(now int64, i *Input, effects []Effect) []Effect {
	if i.Message != nil {
		h.Counters.BytesReceived += int64(i.Message.size())
		if i.Kind == Answered && i.Message.hasContent() { // what others send unasked must not keep this node from what it needs
			h.tokens -= int64(i.Message.size())
		}
	}
	switch i.Kind {
	case Viewed:
		h.handleView(now, i.View)
	case Ordered:
		if h.agreed = i.Agreed; h.agreed != nil {
			effects = h.confirm(now, h.agreed.Head, effects)
		}
	case Stood:
		h.groupCurrent = i.Current
	case Came:
		switch p := h.peerFor(now, i.From); {
		case i.Message == nil || p == nil:
		case i.Message.Kind == Tell:
			h.handleAnnouncement(now, p, i.Message)
		case i.Message.Kind == Report:
			effects = h.handleReport(now, i.From, i.Message, effects)
		case i.Message.Kind == Vouch:
			if !slices.Contains(h.view.Seats, i.From) { // nobody else vouches for anything
				h.penalize(now, p)
				break
			}
			effects = h.handleConfirmation(now, i.Message, effects)
		}
	case Asked:
		m := &Message{Kind: Piece, Has: h.ready}
		if i.Message != nil && i.Message.Kind == Fetch {
			h.serveFetch(now, i.From, i.Message, m)
		}
		h.countSent(m)
		effects = append(effects, Effect{Kind: Reply, Link: i.Link, Message: m})
	case Answered:
		if h.fetch.deadline > 0 && i.Link == h.fetch.link {
			h.fetch.deadline = 0
			effects = h.handleFetchAnswer(now, i.Message, effects)
		}
	case Missed:
		if h.fetch.deadline > 0 && i.Link == h.fetch.link {
			h.handleFetchFailure(now)
		}
	case Took:
		effects = h.handleApplied(now, i, effects)
	case Checked:
		if i.Why != "" && i.Mark == h.validating && i.Mark != h.refused && h.applying != i.Mark && h.applied != i.Mark {
			effects = h.refuse(now, i.Mark, i.Why, effects)
		}
	case Saved:
		if i.Why != "" {
			h.rewriteDisk = true
			effects = append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf("configuration %d can't be kept on disk: %s", h.persisted.Version, i.Why)})
		}
	}
	return effects
}

// handleView takes another view.
func (h *Replicator) handleView(now int64, v *View) {
	if v == nil {
		return
	}
	if h.answerDeadline == 0 && !slices.Equal(h.view.Seats, v.Seats) {
		h.reportAt = min(h.reportAt, now+h.randomUpTo(appliedReportSpread))
	}
	h.view, h.canaryVersion = *v, 0
	for _, p := range h.peers {
		p.neighbour = false
	}
	for _, name := range v.Neighbours {
		if p := h.peerFor(now, name); p != nil {
			p.neighbour = true
			if p.announcedChange == 0 && p.announceAt == 0 {
				p.announceAt = now + h.randomUpTo(minAnnounceInterval)
			}
		}
	}
}

// penalize sets a peer aside: it told what isn't so. It may be at fault itself or have believed another; it isn't asked either way.
func (h *Replicator) penalize(now int64, p *peer) {
	h.Counters.InvalidResponses++
	if p.backoffUntil > now {
		return
	}
	p.backoffUntil = now + min(minPeerBackoff<<min(p.invalidResponses, 10), maxPeerBackoff)
	p.invalidResponses++
	p.head, p.ready, p.offered, p.unconfirmed = HeadRevision{}, Revision{}, nil, HeadRevision{}
}

// contradictsConfirmed says whether a peer told of another content for a version that was vouched for, or is held here.
func (h *Replicator) contradictsConfirmed(marks ...Revision) bool {
	for _, x := range marks {
		other := func(y Revision) bool { return x.Version == y.Version && x.Version > 0 && x.Digest != y.Digest }
		if other(h.ready) || other(h.head.All) || other(h.head.First) || slices.ContainsFunc(h.confirmed, other) {
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
func (h *Replicator) countDenials(now int64) {
	if h.deniedSeq == h.reportSeq {
		return // an answer that came twice
	}
	h.deniedSeq = h.reportSeq
	mine := h.announcedHead()
	for _, p := range h.peers {
		if p.backoffUntil > now || !p.trackUnconfirmed(now, &mine) || h.reportedAt < p.unconfirmedSince+unconfirmedGracePeriod {
			continue
		}
		if p.denials++; p.denials >= maxDenials {
			h.penalize(now, p)
		}
	}
}

// handleAnnouncement takes a neighbour's word. It only says whom to ask: what isn't vouched for by a seat is a rumour.
func (h *Replicator) handleAnnouncement(now int64, p *peer, m *Message) {
	if p.backoffUntil > now {
		return
	}
	if h.contradictsConfirmed(m.Head.All, m.Head.First, m.Has) {
		h.penalize(now, p)
		return
	}
	p.head, p.ready = m.Head.announced(), m.Has
	mine := h.announcedHead()
	p.trackUnconfirmed(now, &mine)
	if mine.newer(&p.head) || h.ready.Version > p.ready.Version { // it lacks what this node can tell
		p.announceAt = min(p.announceAt, max(now, p.announcedAt)+reannounceDelay)
	}
	switch {
	case !h.hasUnconfirmed(now):
	case h.answerDeadline == 0:
		h.reportAt = min(h.reportAt, max(now+h.randomUpTo(unconfirmedReportSpread), h.reportedAt+minReportInterval<<min(h.unconfirmedAnswers/2, 4)))
	default: // another seat is asked soon, however long this one is waited for
		h.answerDeadline = min(h.answerDeadline, max(now, h.reportedAt+minAnswerTimeout))
	}
	if p.offered = nil; p.neighbour && len(m.Records) > 0 && m.Records[0].Version > h.ready.Version {
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
func (h *Replicator) announcedHead() HeadRevision { return h.head.announced() }

// announced is a head without what only seats tell.
func (h HeadRevision) announced() HeadRevision {
	return HeadRevision{All: h.All, First: h.First, Stopped: h.Stopped}
}

// hasUnconfirmed says whether some neighbour told of something newer than was vouched for.
func (h *Replicator) hasUnconfirmed(now int64) bool {
	mine := h.announcedHead()
	for _, p := range h.peers {
		if p.backoffUntil <= now && p.head.newer(&mine) {
			return true
		}
	}
	return false
}

// handleReport answers a report at a seat.
func (h *Replicator) handleReport(now int64, from string, m *Message, effects []Effect) []Effect {
	if h.agreed == nil {
		return effects
	}
	if now >= h.confirmationsSince+1_000*ms {
		h.confirmations, h.confirmationsSince = 0, now
	}
	if h.confirmations++; h.confirmations > maxConfirmationsPerSecond {
		h.Counters.Dropped++
		return effects
	}
	h.Statuses.Report(now, from, m.Has, m.Refused, m.Why, m.Age)
	answer := &Message{Kind: Vouch, Seq: m.Seq, Head: h.agreed.Head, Current: h.groupCurrent}
	h.countSent(answer)
	return append(effects, Effect{Kind: Send, To: from, Message: answer})
}

// handleConfirmation takes a seat's word.
func (h *Replicator) handleConfirmation(now int64, m *Message, effects []Effect) []Effect {
	if m.Seq != h.reportSeq {
		return h.confirm(now, m.Head, effects) // late, and true all the same
	}
	if h.answerDeadline > 0 {
		h.answerDeadline = 0
		h.reportAt = now + h.jitter(reportInterval)
	}
	effects = h.confirm(now, m.Head, effects)
	if !h.hasUnconfirmed(now) {
		if h.reportAttempts, h.unconfirmedAnswers = 0, 0; h.refused.Version > 0 && h.refused == h.head.First && !h.head.Stopped && h.head.First != h.head.All {
			h.reportAttempts = 1 + int(h.reportSeq)%max(1, len(h.view.Seats)) // the seat that knows may be lost before it had the stop ordered
			h.reportAt = now + h.jitter(minAnswerTimeout)
		}
		return effects
	}
	h.reportAttempts++ // this seat lags behind what a neighbour heard, or that one lied: another seat is asked
	if m.Current {
		h.countDenials(now)
	}
	h.reportAt = now + h.jitter(min(minAnswerTimeout<<min(h.unconfirmedAnswers/maxDenials, 5), maxAnswerTimeout))
	h.unconfirmedAnswers++
	return effects
}

// confirm takes what a seat stands for. Versions never go back, and one version has one digest.
func (h *Replicator) confirm(now int64, head HeadRevision, effects []Effect) []Effect {
	h.confirmedAt = now
	for _, x := range [...]Revision{head.All, head.First} {
		for _, y := range [...]Revision{h.head.All, h.head.First} {
			if x.Version == y.Version && x.Digest != y.Digest {
				if h.conflicting == x {
					return effects
				}
				h.conflicting = x
				return append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf(
					"seats vouch for two contents of version %d, %s and %s: they forgot; this node keeps what it has", x.Version, y.Digest, x.Digest)})
			}
		}
	}
	if head.newer(&h.head) {
		if head.announced() != h.head.announced() {
			h.changes++
			h.unconfirmedAnswers = 0
		}
		h.head = head
		for _, m := range [...]Revision{head.All, head.First} {
			if k := len(h.confirmed); k == 0 || h.confirmed[k-1].Version < m.Version {
				h.confirmed = append(h.confirmed, m)
			}
		}
		h.confirmed = h.confirmed[max(0, len(h.confirmed)-maxConfirmedRevisions):]
		for _, p := range h.peers {
			if p.backoffUntil <= now && h.contradictsConfirmed(p.unconfirmed.All, p.unconfirmed.First, p.head.All, p.head.First, p.ready) {
				h.penalize(now, p)
			}
		}
	}
	return effects
}

// goal is what is to be fetched next, if anything: what is in force for all, then what stands at the first stage.
func (h *Replicator) goal() (Revision, bool) {
	switch {
	case h.head.All.Version > h.ready.Version:
		return h.head.All, true
	case h.ready == h.head.All && h.applied.Version < h.ready.Version && h.ready != h.refused: // it is taken first
	case h.head.First.Version > h.ready.Version && !h.head.Stopped:
		return h.head.First, true
	}
	return Revision{}, false
}

// isCanary says whether this node is of the first stage of a version: one in 32, the first of its zone, and those that refused another.
func (h *Replicator) isCanary(version uint64) bool {
	if h.refused.Version > h.applied.Version {
		return true
	}
	if h.canaryVersion != version {
		mine := canaryHash(h.config.Name, version)
		h.canaryVersion, h.inCanary = version, mine%canaryOneIn == 0 || !slices.ContainsFunc(h.view.Zone, func(name string) bool {
			return name != h.config.Name && canaryHash(name, version) < mine
		})
	}
	return h.inCanary
}

func canaryHash(name string, version uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d", name, version))
}

// applyReady takes what is at hand.
func (h *Replicator) applyReady(now int64, effects []Effect) []Effect {
	if goal, ok := h.goal(); ok && h.agreed != nil { // a seat's node has it
		for _, c := range [...]*Content{h.agreed.All, h.agreed.First} {
			if c.Digest() == goal.Digest {
				h.setReady(goal, c, nil)
				break
			}
		}
	}
	if goal, ok := h.goal(); !ok {
		h.goalSince = 0
	} else if h.goalSince == 0 {
		h.goalSince, h.fetch.failures, h.fetch.nextAt = now, 0, now
	} else if h.indexRevision.Version <= h.ready.Version || h.indexRevision.Version > goal.Version {
		h.blockIndex = nil
	}
	if _, ok := h.goal(); ok && h.run.content == nil {
		for _, name := range h.view.Neighbours {
			p := h.peers[name]
			if p == nil || len(p.offered) == 0 || p.offered[0].Version != h.ready.Version+1 || p.offered[0].Base != h.ready.Digest {
				continue
			}
			offer := p.offered
			if p.offered = nil; h.extendRun(now, p, offer) {
				break
			}
		}
	}
	if h.agreed != nil {
		if who, why, ok := h.Statuses.refusal(h.head.First); ok && !h.head.Stopped && h.head.First.Version > h.head.All.Version && now >= h.stopOrderedAt+stopRetryInterval {
			h.stopOrderedAt = now
			effects = append(effects, Effect{Kind: Order, Command: &Command{Kind: Stop, Version: h.head.First.Version, Who: who, Why: why}})
		}
	}
	if h.applying.Version > 0 || h.ready.Version <= h.applied.Version || h.ready == h.refused {
		return effects
	}
	first := h.ready == h.head.First && h.ready.Version > h.head.All.Version
	if first && h.head.Stopped || !first && h.ready != h.head.All {
		return effects
	}
	if first && !h.isCanary(h.ready.Version) { // a refusal anywhere stops a version while it stands at the first stage
		if h.validating == h.ready {
			return effects
		}
		h.validating = h.ready
		return append(effects, Effect{Kind: Check, Mark: h.ready, First: true, Old: h.appliedContent, New: h.readyContent})
	}
	h.applying, h.applyingContent = h.ready, h.readyContent
	return append(effects, Effect{Kind: Take, Mark: h.ready, First: first, Old: h.appliedContent, New: h.readyContent})
}

// refuse notes that a version can't be taken here, and has seats told.
func (h *Replicator) refuse(now int64, mark Revision, why string, effects []Effect) []Effect {
	h.refused, h.refusedReason = mark, truncate(why, maxReasonBytes)
	h.Counters.Refused++
	h.reportAt = min(h.reportAt, now)
	h.recordOwnStatus(now)
	return append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf("configuration %d can't be taken, %d stays in force: %s", mark.Version, h.applied.Version, h.refusedReason)})
}

// handleApplied notes that a version is in force here, or can't be.
func (h *Replicator) handleApplied(now int64, i *Input, effects []Effect) []Effect {
	if i.Mark != h.applying || h.applying.Version == 0 {
		return effects
	}
	content := h.applyingContent
	h.applying, h.applyingContent = Revision{}, nil
	if i.Why != "" {
		return h.refuse(now, i.Mark, i.Why, effects)
	}
	h.Counters.Applied++
	h.applied, h.appliedContent, h.appliedAt, h.source = i.Mark, content, now, "fleet"
	h.recordOwnStatus(now)
	if h.answerDeadline == 0 {
		h.reportAt = min(h.reportAt, now+h.randomUpTo(appliedReportSpread))
	}
	return h.persist(effects)
}

// recordOwnStatus has a seat's own board know of its node.
func (h *Replicator) recordOwnStatus(now int64) {
	if h.agreed != nil {
		h.Statuses.Report(now, h.config.Name, h.applied, h.refused, h.refusedReason, now-h.appliedAt)
	}
}

// persist has the disk follow.
func (h *Replicator) persist(effects []Effect) []Effect {
	e := Effect{Kind: Persist, Mark: h.applied, New: h.appliedContent}
	e.Records = recordsBetween(h.availableRecords(), h.persisted, h.applied.Version)
	size := 0
	for _, r := range e.Records {
		size += r.bytes()
	}
	if e.Full = h.rewriteDisk || len(e.Records) == 0 || e.Records[len(e.Records)-1].Version != h.applied.Version || h.journalSize+size > maxJournalBytes; e.Full {
		e.Records, size, h.journalSize = nil, 0, 0
	}
	h.persisted, h.rewriteDisk = h.applied, false
	h.journalSize += size
	return append(effects, e)
}

// availableRecords are those that this node can give away.
func (h *Replicator) availableRecords() []*Record {
	if h.agreed != nil {
		return h.agreed.Log
	}
	return h.log
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
func (h *Replicator) setReady(mark Revision, content *Content, records []*Record) {
	if len(records) == 0 {
		h.log, h.logSize, h.spanDeltas = nil, 0, blockDeltas{}
	}
	for _, r := range records {
		h.log, h.logSize = append(h.log, r), h.logSize+r.bytes()
	}
	for len(h.log) > 0 && (h.logSize > maxRetainedBytes || len(h.log) > maxLogRecords) {
		h.logSize -= h.log[0].bytes()
		h.log = h.log[1:] // not cleared: effects go on showing it
	}
	h.ready, h.readyContent = mark, content
	h.run, h.assembled, h.blockIndex, h.assembledDeltas = recordRun{}, nil, nil, blockDeltas{}
	h.fetch.failures = 0
	h.changes++
}

// announce has neighbours know what is new, each at its time.
func (h *Replicator) announce(now int64, effects []Effect) []Effect {
	for _, name := range h.view.Neighbours {
		p := h.peers[name]
		if p == nil || !(p.announcedChange < h.changes && now >= p.announcedAt+minAnnounceInterval || p.announceAt > 0 && now >= p.announceAt) {
			continue
		}
		m := &Message{Kind: Tell, Head: h.announcedHead(), Has: h.ready}
		if h.tokens > burstBytes/2 {
			m.Records = wireRecords(recordsBetween(h.availableRecords(), p.ready, h.ready.Version), maxEagerBytes, true)
		}
		p.announcedChange, p.announcedAt, p.announceAt = h.changes, now, now+h.jitter(announceInterval)
		h.countSent(m)
		effects = append(effects, Effect{Kind: Send, To: name, Message: m})
	}
	return effects
}

// wireRecords are records as they travel, as many as fit, or none unless all do.
func wireRecords(list []*Record, most int, all bool) (records []Record) {
	for _, r := range list {
		w := r.wire()
		if most -= w.bytes(); most < 0 {
			if all {
				return nil
			}
			break
		}
		records = append(records, w)
	}
	return records
}

// reportAndFetch reports to a seat and fetches what is missing.
func (h *Replicator) reportAndFetch(now int64, effects []Effect) []Effect {
	if h.answerDeadline > 0 && now >= h.answerDeadline {
		h.answerDeadline = 0
		h.reportAttempts++
		h.reportAt = now + h.randomUpTo(h.answerTimeout()/4)
	}
	if h.answerDeadline == 0 && now >= h.reportAt && now >= h.reportedAt+minReportInterval {
		if seat := h.reportTarget(h.reportAttempts); seat == "" || h.agreed != nil && !h.hasUnconfirmed(now) { // a seat knows by itself
			h.reportAt = now + h.jitter(reportInterval)
		} else {
			h.reportSeq++
			m := &Message{Kind: Report, Seq: h.reportSeq, Has: h.applied, Refused: h.refused, Why: h.refusedReason, Age: now - h.appliedAt}
			h.reportedAt, h.answerDeadline = now, now+h.answerTimeout()
			h.countSent(m)
			effects = append(effects, Effect{Kind: Send, To: seat, Message: m})
		}
	}
	if h.fetch.deadline > 0 && now >= h.fetch.deadline {
		h.handleFetchFailure(now)
	}
	if goal, ok := h.goal(); ok && h.fetch.deadline == 0 && now >= h.fetch.nextAt && h.tokens > 0 {
		p := h.choosePeer(now, goal)
		if p == nil {
			h.fetch.nextAt = now + h.jitter(minFetchBackoff)
			return effects
		}
		h.fetch.link++
		h.fetch.peer, h.fetch.deadline, h.fetch.want = p.name, now+fetchTimeout, goal
		m := &Message{Kind: Fetch, Has: h.ready, Want: goal}
		if h.run.content != nil {
			m.Has = h.run.revision
		}
		if h.fetch.base, h.fetch.index, h.fetch.missing = h.assemblyBase(), nil, nil; h.blockIndex != nil {
			h.requestMissing(m)
		}
		if len(m.Wanted) == 0 {
			h.blockIndex, m.Sums = nil, h.fetch.base.pageSums()
		} else {
			m.Has, m.Want = h.ready, h.indexRevision // changes of blocks are from the one to the other
		}
		h.fetch.from = m.Has
		h.countSent(m)
		effects = append(effects, Effect{Kind: Exchange, To: p.name, Link: h.fetch.link, Message: m})
	}
	return effects
}

// answerTimeout is how long a seat's answer is waited for: longer once all were asked.
func (h *Replicator) answerTimeout() int64 {
	return min(minAnswerTimeout<<min(h.reportAttempts/max(1, len(h.view.Seats)), 5), maxAnswerTimeout)
}

// reportTarget is the one to report to at a try: each node has its own order of them.
func (h *Replicator) reportTarget(try int) string {
	if len(h.view.Seats) == 0 {
		return ""
	}
	seats := slices.Clone(h.view.Seats)
	slices.SortFunc(seats, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(h.config.Name+"\x00"+a), xxhash.Sum64String(h.config.Name+"\x00"+b))
	})
	return seats[try%len(seats)]
}

// nextDeadline is when there is something to do next.
func (h *Replicator) nextDeadline(now int64) int64 {
	at := max(h.reportAt, h.reportedAt+minReportInterval)
	if h.answerDeadline > 0 {
		at = h.answerDeadline
	}
	for _, name := range h.view.Neighbours {
		if p := h.peers[name]; p != nil {
			if at = min(at, max(p.announceAt, now)); p.announcedChange < h.changes {
				at = min(at, p.announcedAt+minAnnounceInterval)
			}
		}
	}
	if h.fetch.deadline > 0 {
		at = min(at, h.fetch.deadline)
	} else if _, ok := h.goal(); ok {
		next := h.fetch.nextAt
		if h.tokens <= 0 {
			next = max(next, now+(1-h.tokens)*1_000_000_000/bytesPerSecond)
		}
		at = min(at, next)
	}
	if h.agreed != nil && h.head.First.Version > h.head.All.Version && !h.head.Stopped {
		if _, _, ok := h.Statuses.refusal(h.head.First); ok {
			at = min(at, h.stopOrderedAt+stopRetryInterval)
		}
	}
	return at
}
