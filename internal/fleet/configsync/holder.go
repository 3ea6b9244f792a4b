package configsync

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	firstPart    = 32          // one node in so many is drawn for the first stage, and one of each zone
	tellGap      = 50 * ms     // ns between words to one neighbour: what changes meanwhile goes once
	tellBack     = 300 * ms    // ns before a neighbour that lags is told again: news cross
	tellEvery    = 10_000 * ms // ns between words that nothing asks for: the backstop for lost ones
	reportGap    = 100 * ms    // ns between reports, whatever is rumoured
	reportEvery  = 20_000 * ms // ns between reports that nothing asks for
	reportSpread = 40 * ms     // ns over which a fleet's reports on one rumour are drawn
	tookSpread   = 1_000 * ms  // ns over which reports are drawn that only say what is in force
	vouchFor     = 400 * ms    // ns that a seat's answer is waited for at first: twice a round trip between regions
	vouchMost    = 4_000 * ms  // ns at the most, once all seats were asked: a cut region hears within that of healing
	fetchFor     = 2_500 * ms  // ns that an exchange may take: a connection and a piece between regions, some times over
	fetchAgain   = 100 * ms    // ns before another peer is asked, doubled up to fetchMost
	fetchMost    = 4_000 * ms  // ns
	herdAfter    = 6_000 * ms  // ns without a gain, past which a seat is asked though neighbours are on the way there too
	strangerMost = 16_000 * ms // ns that a busy peer that isn't a neighbour is left alone at the most: a herd asks seats
	seatAfter    = 1_500 * ms  // ns without a neighbour that has it, past which a seat is asked
	partAgain    = 2_000 * ms  // ns before a peer is asked again that had nothing of what it is on the way to
	partNext     = 500 * ms    // ns before another such is asked
	asideFor     = 4_000 * ms  // ns that a peer is passed over for a lie, doubled with each up to asideMost: it may have believed another
	asideMost    = 900_000 * ms
	orderAgain   = 500 * ms   // ns to the next try at having a stop ordered
	rate         = 14_000     // bytes a second, all letters of this package, both ways: 21 KB less membership's and a reserve
	burst        = 32 << 10   // bytes that may go at once after a quiet time
	pieceMost    = 24 << 10   // bytes of records or blocks in one answer, or one block
	askerRate    = rate / 2   // bytes a second that one peer may have of this node
	eagerMost    = 700        // bytes of records in a datagram of 1,200
	missesMost   = 3          // peers that can't go on with records of another, past which they are dropped: they may be false
	wantedMost   = 16         // blocks asked for at once: more than fit an answer
	peersMost    = 96         // peers that something is known of: links, seats and some that ask
	holdMost     = 1 << 20    // bytes of records that a node keeps for others, of changes over some versions, and of those on their way
	journalMost  = 1 << 20    // bytes of records on disk after which all is written anew
	vouchesMost  = 2_000      // reports that a seat answers in a second: thrice a fleet's share of one change
	marksMost    = 16         // marks that were vouched for, with which records of a peer can end
	claimFor     = 5_000 * ms // ns that a rumour may stand unconfirmed: seats that come back learn what was agreed on meanwhile
	denialsMost  = 3          // answers of seats that know all and not of a rumour, past which it is a lie
	never        = 1<<63 - 1
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
	name      string
	neighbour bool
	head      HeadRevision // that it told
	has       Revision
	offer     []Record // that came with its word
	told      uint64   // h.news when it was told last
	toldAt    int64
	due       int64 // to be told again
	aside     int64
	lies      int
	claim     HeadRevision // the first that it told and no seat vouched for yet
	claimed   int64        // when it was told
	denied    int          // seats' answers against it
	again     int64        // not asked before
	tokens    int64
	filled    int64
	seen      int64
}

// Replicator is a node's side: what it has, whom it asks for what is missing, what it tells others. The reducer owns it.
type Replicator struct {
	Counters Counters
	Statuses StatusTable // at a seat: who reported what

	terms   ReplicatorConfig
	chance  *rand.Rand
	source  string
	view    View
	peers   map[string]*peer
	agreed  *Agreed      // at a seat
	current bool         // that seat is in touch with the council
	head    HeadRevision // vouched for
	forked  Revision     // the last that a seat vouched for against what one did before
	marks   []Revision   // the last that were vouched for, by version
	heard   int64        // when a seat last vouched, 0 for never
	began   int64

	mark, ready         Revision // in force; had, and not lower
	content, next       *Content
	since               int64 // when mark was taken
	log                 []*Record
	logged              int
	taking, refused     Revision
	checked             Revision // was given to be checked, before it is its turn
	taken               *Content // that of taking
	why                 string
	kept                Revision
	journal             int // bytes of records on disk
	full                bool
	news                uint64 // counts what neighbours should be told of
	tokens, filled      int64
	report              int64 // when the next is due
	reported            int64 // when the last was sent
	seq                 uint32
	waiting             int64 // until an answer to it is late, 0 while none is open
	tries               int
	doubts              int    // answers in a row that did not confirm a rumour
	judged              uint32 // the last report whose answer was held against peers
	fetch               fetch
	turns               [2]int64 // when the next neighbour, and the next other, that is put off may ask again
	run                 run
	staged              *Content
	deltas              deltas // what staged differs in, from ready
	span                deltas // the last step over versions whose records aren't known
	index               []byte // of indexed
	indexed             Revision
	lacking             int64 // since when there is a goal
	ordered             int64
	vouches, vouchesFor int64
	drawnFor            uint64 // a version, and whether this node is of its first stage
	drawnIn             bool
	trusting            bool // mutation: digests are not compared
}

// NewReplicator begins with what a node has.
func NewReplicator(now int64, terms ReplicatorConfig, start InitialState) *Replicator {
	if start.Content == nil {
		start.Content = &Content{}
	}
	h := &Replicator{terms: terms, chance: rand.New(rand.NewSource(terms.Seed)), peers: map[string]*peer{}, source: start.Source, began: now, since: now,
		mark: start.Mark, ready: start.Mark, kept: start.Mark, content: start.Content, next: start.Content, tokens: burst, filled: now,
		journal: max(0, start.Journal), full: start.Journal < 0 || start.Mark.Version == 0}
	if digest := start.Content.Digest(); digest != start.Mark.Digest { // of no agreed version, whatever it is called
		h.mark, h.ready, h.full = Revision{Digest: digest}, Revision{Digest: digest}, true
		h.kept = h.mark
	}
	h.report = now + h.draw(reportSpread)
	return h
}

func (h *Replicator) draw(most int64) int64 { return h.chance.Int63n(most) + 1 }

// about is a time drawn between three quarters and five quarters.
func (h *Replicator) about(ns int64) int64 { return ns*3/4 + h.draw(ns/2) }

// Revision is what is in force.
func (h *Replicator) Revision() Revision { return h.mark }

// Content is what is in force.
func (h *Replicator) Content() *Content { return h.content }

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
	s := Status{Mark: h.mark, Source: h.source, Ready: h.ready, Head: h.head, TakenNS: now - h.since, HeardNS: -1, Refused: h.refused, Why: h.why,
		Behind: h.head.All.Version > h.mark.Version, Counters: h.Counters}
	if h.heard > 0 {
		s.HeardNS = now - h.heard
	}
	if s.Behind && h.lacking > 0 {
		s.BehindNS = now - h.lacking
	}
	return s
}

// Step takes what happened and says what to do, and when to step again at the latest.
func (h *Replicator) Step(now int64, inputs []Input) (effects []Effect, wake int64) {
	h.fill(now)
	for k := range inputs {
		effects = h.input(now, &inputs[k], effects)
	}
	effects = h.advance(now, effects)
	effects = h.tell(now, effects)
	effects = h.ask(now, effects)
	return effects, max(h.due(now), now+1)
}

func (h *Replicator) fill(now int64) {
	if ns := now - h.filled; ns > 0 {
		h.tokens = min(burst, h.tokens+min(ns, 10_000*ms)*rate/1_000_000_000)
		if ns*rate >= 1_000_000_000 || h.tokens == burst {
			h.filled = now
		}
	}
}

// sent counts a message. Answers without content are no part of what is paced: a herd that asks must not keep this node
// from giving to those that others can have it of.
func (h *Replicator) sent(m *Message) {
	if m.Kind != Vouch && (m.Kind != Piece || m.content()) {
		h.tokens -= int64(m.size())
	}
	h.Counters.BytesSent += int64(m.size())
}

// known is what is known of a peer; nil where there is no room for one more.
func (h *Replicator) known(now int64, name string) *peer {
	p := h.peers[name]
	if p == nil {
		if len(h.peers) >= peersMost {
			var old *peer
			for _, q := range h.peers { // the one that was silent longest and isn't wanted
				if !q.neighbour && q.aside <= now && (old == nil || cmp.Or(cmp.Compare(q.seen, old.seen), cmp.Compare(q.name, old.name)) < 0) {
					old = q
				}
			}
			if old == nil {
				return nil
			}
			delete(h.peers, old.name)
		}
		p = &peer{name: name, tokens: burst, filled: now}
		h.peers[name] = p
	}
	p.seen = now
	return p
}

func (h *Replicator) input(now int64, i *Input, effects []Effect) []Effect {
	if i.Message != nil {
		h.Counters.BytesReceived += int64(i.Message.size())
		if i.Kind == Answered && i.Message.content() { // what others send unasked must not keep this node from what it needs
			h.tokens -= int64(i.Message.size())
		}
	}
	switch i.Kind {
	case Viewed:
		h.see(now, i.View)
	case Ordered:
		if h.agreed = i.Agreed; h.agreed != nil {
			effects = h.vouched(now, h.agreed.Head, effects)
		}
	case Stood:
		h.current = i.Current
	case Came:
		switch p := h.known(now, i.From); {
		case i.Message == nil || p == nil:
		case i.Message.Kind == Tell:
			h.hear(now, p, i.Message)
		case i.Message.Kind == Report:
			effects = h.vouch(now, i.From, i.Message, effects)
		case i.Message.Kind == Vouch:
			if !slices.Contains(h.view.Seats, i.From) { // nobody else vouches for anything
				h.lie(now, p)
				break
			}
			effects = h.answered(now, i.Message, effects)
		}
	case Asked:
		m := &Message{Kind: Piece, Has: h.ready}
		if i.Message != nil && i.Message.Kind == Fetch {
			h.serve(now, i.From, i.Message, m)
		}
		h.sent(m)
		effects = append(effects, Effect{Kind: Reply, Link: i.Link, Message: m})
	case Answered:
		if h.fetch.until > 0 && i.Link == h.fetch.link {
			h.fetch.until = 0
			effects = h.came(now, i.Message, effects)
		}
	case Missed:
		if h.fetch.until > 0 && i.Link == h.fetch.link {
			h.missed(now)
		}
	case Took:
		effects = h.took(now, i, effects)
	case Checked:
		if i.Why != "" && i.Mark == h.checked && i.Mark != h.refused && h.taking != i.Mark && h.mark != i.Mark {
			effects = h.refuse(now, i.Mark, i.Why, effects)
		}
	case Saved:
		if i.Why != "" {
			h.full = true
			effects = append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf("configuration %d can't be kept on disk: %s", h.kept.Version, i.Why)})
		}
	}
	return effects
}

// see takes another view.
func (h *Replicator) see(now int64, v *View) {
	if v == nil {
		return
	}
	if h.waiting == 0 && !slices.Equal(h.view.Seats, v.Seats) {
		h.report = min(h.report, now+h.draw(tookSpread))
	}
	h.view, h.drawnFor = *v, 0
	for _, p := range h.peers {
		p.neighbour = false
	}
	for _, name := range v.Neighbours {
		if p := h.known(now, name); p != nil {
			p.neighbour = true
			if p.told == 0 && p.due == 0 {
				p.due = now + h.draw(tellGap)
			}
		}
	}
}

// lie sets a peer aside: it told what isn't so. It may be at fault itself or have believed another; it isn't asked either way.
func (h *Replicator) lie(now int64, p *peer) {
	h.Counters.InvalidResponses++
	if p.aside > now {
		return
	}
	p.aside = now + min(asideFor<<min(p.lies, 10), asideMost)
	p.lies++
	p.head, p.has, p.offer, p.claim = HeadRevision{}, Revision{}, nil, HeadRevision{}
}

// belied says whether a peer told of another content for a version that was vouched for, or is held here.
func (h *Replicator) belied(marks ...Revision) bool {
	for _, x := range marks {
		other := func(y Revision) bool { return x.Version == y.Version && x.Version > 0 && x.Digest != y.Digest }
		if other(h.ready) || other(h.head.All) || other(h.head.First) || slices.ContainsFunc(h.marks, other) {
			return true
		}
	}
	return false
}

// claims follows the first rumour of a peer that no seat vouched for yet, true while there is one.
func (p *peer) claims(now int64, mine *HeadRevision) bool {
	if !p.claim.newer(mine) {
		p.claim, p.claimed, p.denied = p.head, now, 0
	}
	return p.claim.newer(mine)
}

// deny holds a seat's answer against the peers that told of more. It counts where that seat knows all and the report was sent
// long after the rumour: a seat that is back, or cut off from the others, says nothing against a peer that knows better.
func (h *Replicator) deny(now int64) {
	if h.judged == h.seq {
		return // an answer that came twice
	}
	h.judged = h.seq
	mine := h.heads()
	for _, p := range h.peers {
		if p.aside > now || !p.claims(now, &mine) || h.reported < p.claimed+claimFor {
			continue
		}
		if p.denied++; p.denied >= denialsMost {
			h.lie(now, p)
		}
	}
}

// hear takes a neighbour's word. It only says whom to ask: what isn't vouched for by a seat is a rumour.
func (h *Replicator) hear(now int64, p *peer, m *Message) {
	if p.aside > now {
		return
	}
	if h.belied(m.Head.All, m.Head.First, m.Has) {
		h.lie(now, p)
		return
	}
	p.head, p.has = m.Head.marks(), m.Has
	mine := h.heads()
	p.claims(now, &mine)
	if mine.newer(&p.head) || h.ready.Version > p.has.Version { // it lacks what this node can tell
		p.due = min(p.due, max(now, p.toldAt)+tellBack)
	}
	switch {
	case !h.rumour(now):
	case h.waiting == 0:
		h.report = min(h.report, max(now+h.draw(reportSpread), h.reported+reportGap<<min(h.doubts/2, 4)))
	default: // another seat is asked soon, however long this one is waited for
		h.waiting = min(h.waiting, max(now, h.reported+vouchFor))
	}
	if p.offer = nil; p.neighbour && len(m.Records) > 0 && m.Records[0].Version > h.ready.Version {
		size := 0
		for k := range m.Records {
			size += m.Records[k].bytes()
		}
		if size <= eagerMost {
			p.offer = m.Records
		}
	}
}

// heads is what neighbours are told of what was vouched for.
func (h *Replicator) heads() HeadRevision { return h.head.marks() }

// marks is a head without what only seats tell.
func (h HeadRevision) marks() HeadRevision {
	return HeadRevision{All: h.All, First: h.First, Stopped: h.Stopped}
}

// rumour says whether some neighbour told of something newer than was vouched for.
func (h *Replicator) rumour(now int64) bool {
	mine := h.heads()
	for _, p := range h.peers {
		if p.aside <= now && p.head.newer(&mine) {
			return true
		}
	}
	return false
}

// vouch answers a report at a seat.
func (h *Replicator) vouch(now int64, from string, m *Message, effects []Effect) []Effect {
	if h.agreed == nil {
		return effects
	}
	if now >= h.vouchesFor+1_000*ms {
		h.vouches, h.vouchesFor = 0, now
	}
	if h.vouches++; h.vouches > vouchesMost {
		h.Counters.Dropped++
		return effects
	}
	h.Statuses.Report(now, from, m.Has, m.Refused, m.Why, m.Age)
	answer := &Message{Kind: Vouch, Seq: m.Seq, Head: h.agreed.Head, Current: h.current}
	h.sent(answer)
	return append(effects, Effect{Kind: Send, To: from, Message: answer})
}

// answered takes a seat's word.
func (h *Replicator) answered(now int64, m *Message, effects []Effect) []Effect {
	if m.Seq != h.seq {
		return h.vouched(now, m.Head, effects) // late, and true all the same
	}
	if h.waiting > 0 {
		h.waiting = 0
		h.report = now + h.about(reportEvery)
	}
	effects = h.vouched(now, m.Head, effects)
	if !h.rumour(now) {
		if h.tries, h.doubts = 0, 0; h.refused.Version > 0 && h.refused == h.head.First && !h.head.Stopped && h.head.First != h.head.All {
			h.tries = 1 + int(h.seq)%max(1, len(h.view.Seats)) // the seat that knows may be lost before it had the stop ordered
			h.report = now + h.about(vouchFor)
		}
		return effects
	}
	h.tries++ // this seat lags behind what a neighbour heard, or that one lied: another seat is asked
	if m.Current {
		h.deny(now)
	}
	h.report = now + h.about(min(vouchFor<<min(h.doubts/denialsMost, 5), vouchMost))
	h.doubts++
	return effects
}

// vouched takes what a seat stands for. Versions never go back, and one version has one digest.
func (h *Replicator) vouched(now int64, head HeadRevision, effects []Effect) []Effect {
	h.heard = now
	for _, x := range [...]Revision{head.All, head.First} {
		for _, y := range [...]Revision{h.head.All, h.head.First} {
			if x.Version == y.Version && x.Digest != y.Digest {
				if h.forked == x {
					return effects
				}
				h.forked = x
				return append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf(
					"seats vouch for two contents of version %d, %s and %s: they forgot; this node keeps what it has", x.Version, y.Digest, x.Digest)})
			}
		}
	}
	if head.newer(&h.head) {
		if head.marks() != h.head.marks() {
			h.news++
			h.doubts = 0
		}
		h.head = head
		for _, m := range [...]Revision{head.All, head.First} {
			if k := len(h.marks); k == 0 || h.marks[k-1].Version < m.Version {
				h.marks = append(h.marks, m)
			}
		}
		h.marks = h.marks[max(0, len(h.marks)-marksMost):]
		for _, p := range h.peers {
			if p.aside <= now && h.belied(p.claim.All, p.claim.First, p.head.All, p.head.First, p.has) {
				h.lie(now, p)
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
	case h.ready == h.head.All && h.mark.Version < h.ready.Version && h.ready != h.refused: // it is taken first
	case h.head.First.Version > h.ready.Version && !h.head.Stopped:
		return h.head.First, true
	}
	return Revision{}, false
}

// drawn says whether this node is of the first stage of a version: one in 32, the first of its zone, and those that refused another.
func (h *Replicator) drawn(version uint64) bool {
	if h.refused.Version > h.mark.Version {
		return true
	}
	if h.drawnFor != version {
		mine := drawnBy(h.terms.Name, version)
		h.drawnFor, h.drawnIn = version, mine%firstPart == 0 || !slices.ContainsFunc(h.view.Zone, func(name string) bool {
			return name != h.terms.Name && drawnBy(name, version) < mine
		})
	}
	return h.drawnIn
}

func drawnBy(name string, version uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d", name, version))
}

// advance takes what is at hand.
func (h *Replicator) advance(now int64, effects []Effect) []Effect {
	if goal, ok := h.goal(); ok && h.agreed != nil { // a seat's node has it
		for _, c := range [...]*Content{h.agreed.All, h.agreed.First} {
			if c.Digest() == goal.Digest {
				h.readied(goal, c, nil)
				break
			}
		}
	}
	if goal, ok := h.goal(); !ok {
		h.lacking = 0
	} else if h.lacking == 0 {
		h.lacking, h.fetch.fails, h.fetch.next = now, 0, now
	} else if h.indexed.Version <= h.ready.Version || h.indexed.Version > goal.Version {
		h.index = nil
	}
	if _, ok := h.goal(); ok && h.run.content == nil {
		for _, name := range h.view.Neighbours {
			p := h.peers[name]
			if p == nil || len(p.offer) == 0 || p.offer[0].Version != h.ready.Version+1 || p.offer[0].Base != h.ready.Digest {
				continue
			}
			offer := p.offer
			if p.offer = nil; h.extend(now, p, offer) {
				break
			}
		}
	}
	if h.agreed != nil {
		if who, why, ok := h.Statuses.refusal(h.head.First); ok && !h.head.Stopped && h.head.First.Version > h.head.All.Version && now >= h.ordered+orderAgain {
			h.ordered = now
			effects = append(effects, Effect{Kind: Order, Command: &Command{Kind: Stop, Version: h.head.First.Version, Who: who, Why: why}})
		}
	}
	if h.taking.Version > 0 || h.ready.Version <= h.mark.Version || h.ready == h.refused {
		return effects
	}
	first := h.ready == h.head.First && h.ready.Version > h.head.All.Version
	if first && h.head.Stopped || !first && h.ready != h.head.All {
		return effects
	}
	if first && !h.drawn(h.ready.Version) { // a refusal anywhere stops a version while it stands at the first stage
		if h.checked == h.ready {
			return effects
		}
		h.checked = h.ready
		return append(effects, Effect{Kind: Check, Mark: h.ready, First: true, Old: h.content, New: h.next})
	}
	h.taking, h.taken = h.ready, h.next
	return append(effects, Effect{Kind: Take, Mark: h.ready, First: first, Old: h.content, New: h.next})
}

// refuse notes that a version can't be taken here, and has seats told.
func (h *Replicator) refuse(now int64, mark Revision, why string, effects []Effect) []Effect {
	h.refused, h.why = mark, cut(why, reasonMost)
	h.Counters.Refused++
	h.report = min(h.report, now)
	h.note(now)
	return append(effects, Effect{Kind: Remark, Warn: true, Text: fmt.Sprintf("configuration %d can't be taken, %d stays in force: %s", mark.Version, h.mark.Version, h.why)})
}

// took notes that a version is in force here, or can't be.
func (h *Replicator) took(now int64, i *Input, effects []Effect) []Effect {
	if i.Mark != h.taking || h.taking.Version == 0 {
		return effects
	}
	content := h.taken
	h.taking, h.taken = Revision{}, nil
	if i.Why != "" {
		return h.refuse(now, i.Mark, i.Why, effects)
	}
	h.Counters.Applied++
	h.mark, h.content, h.since, h.source = i.Mark, content, now, "fleet"
	h.note(now)
	if h.waiting == 0 {
		h.report = min(h.report, now+h.draw(tookSpread))
	}
	return h.persist(effects)
}

// note has a seat's own board know of its node.
func (h *Replicator) note(now int64) {
	if h.agreed != nil {
		h.Statuses.Report(now, h.terms.Name, h.mark, h.refused, h.why, now-h.since)
	}
}

// persist has the disk follow.
func (h *Replicator) persist(effects []Effect) []Effect {
	e := Effect{Kind: Persist, Mark: h.mark, New: h.content}
	e.Records = between(h.records(), h.kept, h.mark.Version)
	size := 0
	for _, r := range e.Records {
		size += r.bytes()
	}
	if e.Full = h.full || len(e.Records) == 0 || e.Records[len(e.Records)-1].Version != h.mark.Version || h.journal+size > journalMost; e.Full {
		e.Records, size, h.journal = nil, 0, 0
	}
	h.kept, h.full = h.mark, false
	h.journal += size
	return append(effects, e)
}

// records are those that this node can give away.
func (h *Replicator) records() []*Record {
	if h.agreed != nil {
		return h.agreed.Log
	}
	return h.log
}

// between are the records after a mark up to a version, none where the log doesn't reach.
func between(log []*Record, after Revision, until uint64) []*Record {
	if len(log) == 0 || after.Version+1 < log[0].Version || after.Version+1 > log[len(log)-1].Version || after.Version >= until {
		return nil
	}
	log = log[after.Version+1-log[0].Version:]
	if log[0].Base != after.Digest {
		return nil
	}
	return log[:min(until-after.Version, uint64(len(log)))]
}

// readied notes that a version is at hand; records lead to it from the one before, or nothing is known of them.
func (h *Replicator) readied(mark Revision, content *Content, records []*Record) {
	if len(records) == 0 {
		h.log, h.logged, h.span = nil, 0, deltas{}
	}
	for _, r := range records {
		h.log, h.logged = append(h.log, r), h.logged+r.bytes()
	}
	for len(h.log) > 0 && (h.logged > holdMost || len(h.log) > logMost) {
		h.logged -= h.log[0].bytes()
		h.log = h.log[1:] // not cleared: effects go on showing it
	}
	h.ready, h.next = mark, content
	h.run, h.staged, h.index, h.deltas = run{}, nil, nil, deltas{}
	h.fetch.fails = 0
	h.news++
}

// tell has neighbours know what is new, each at its time.
func (h *Replicator) tell(now int64, effects []Effect) []Effect {
	for _, name := range h.view.Neighbours {
		p := h.peers[name]
		if p == nil || !(p.told < h.news && now >= p.toldAt+tellGap || p.due > 0 && now >= p.due) {
			continue
		}
		m := &Message{Kind: Tell, Head: h.heads(), Has: h.ready}
		if h.tokens > burst/2 {
			m.Records = wired(between(h.records(), p.has, h.ready.Version), eagerMost, true)
		}
		p.told, p.toldAt, p.due = h.news, now, now+h.about(tellEvery)
		h.sent(m)
		effects = append(effects, Effect{Kind: Send, To: name, Message: m})
	}
	return effects
}

// wired are records as they travel, as many as fit, or none unless all do.
func wired(list []*Record, most int, all bool) (records []Record) {
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

// ask reports to a seat and fetches what is missing.
func (h *Replicator) ask(now int64, effects []Effect) []Effect {
	if h.waiting > 0 && now >= h.waiting {
		h.waiting = 0
		h.tries++
		h.report = now + h.draw(h.patience()/4)
	}
	if h.waiting == 0 && now >= h.report && now >= h.reported+reportGap {
		if seat := h.seat(h.tries); seat == "" || h.agreed != nil && !h.rumour(now) { // a seat knows by itself
			h.report = now + h.about(reportEvery)
		} else {
			h.seq++
			m := &Message{Kind: Report, Seq: h.seq, Has: h.mark, Refused: h.refused, Why: h.why, Age: now - h.since}
			h.reported, h.waiting = now, now+h.patience()
			h.sent(m)
			effects = append(effects, Effect{Kind: Send, To: seat, Message: m})
		}
	}
	if h.fetch.until > 0 && now >= h.fetch.until {
		h.missed(now)
	}
	if goal, ok := h.goal(); ok && h.fetch.until == 0 && now >= h.fetch.next && h.tokens > 0 {
		p := h.supplier(now, goal)
		if p == nil {
			h.fetch.next = now + h.about(fetchAgain)
			return effects
		}
		h.fetch.link++
		h.fetch.to, h.fetch.until, h.fetch.want = p.name, now+fetchFor, goal
		m := &Message{Kind: Fetch, Has: h.ready, Want: goal}
		if h.run.content != nil {
			m.Has = h.run.mark
		}
		if h.fetch.base, h.fetch.index, h.fetch.missing = h.base(), nil, nil; h.index != nil {
			h.missing(m)
		}
		if len(m.Wanted) == 0 {
			h.index, m.Sums = nil, h.fetch.base.pageSums()
		} else {
			m.Has, m.Want = h.ready, h.indexed // changes of blocks are from the one to the other
		}
		h.fetch.has = m.Has
		h.sent(m)
		effects = append(effects, Effect{Kind: Exchange, To: p.name, Link: h.fetch.link, Message: m})
	}
	return effects
}

// patience is how long a seat's answer is waited for: longer once all were asked.
func (h *Replicator) patience() int64 {
	return min(vouchFor<<min(h.tries/max(1, len(h.view.Seats)), 5), vouchMost)
}

// seat is the one to report to at a try: each node has its own order of them.
func (h *Replicator) seat(try int) string {
	if len(h.view.Seats) == 0 {
		return ""
	}
	seats := slices.Clone(h.view.Seats)
	slices.SortFunc(seats, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(h.terms.Name+"\x00"+a), xxhash.Sum64String(h.terms.Name+"\x00"+b))
	})
	return seats[try%len(seats)]
}

// due is when there is something to do next.
func (h *Replicator) due(now int64) int64 {
	at := max(h.report, h.reported+reportGap)
	if h.waiting > 0 {
		at = h.waiting
	}
	for _, name := range h.view.Neighbours {
		if p := h.peers[name]; p != nil {
			if at = min(at, max(p.due, now)); p.told < h.news {
				at = min(at, p.toldAt+tellGap)
			}
		}
	}
	if h.fetch.until > 0 {
		at = min(at, h.fetch.until)
	} else if _, ok := h.goal(); ok {
		next := h.fetch.next
		if h.tokens <= 0 {
			next = max(next, now+(1-h.tokens)*1_000_000_000/rate)
		}
		at = min(at, next)
	}
	if h.agreed != nil && h.head.First.Version > h.head.All.Version && !h.head.Stopped {
		if _, _, ok := h.Statuses.refusal(h.head.First); ok {
			at = min(at, h.ordered+orderAgain)
		}
	}
	return at
}
