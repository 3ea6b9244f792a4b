package node

import (
	"errors"
	"fmt"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

const (
	noUseAfter = 2_000 * ms // ns without an executor past which the node says that it is of no use
	farewells  = 3          // times that a leaving node's last word goes round
)

// peers is the door to the other nodes; without members it is shut: no timer, no cost.
type peers struct {
	members *membership.Members
	fleet   envelope.Fleet
	inputs  []membership.Input
	wakeAt  int64
	loose   int64 // since when there is no executor, -1 while there is
	told    membership.Facts
	letters PeerMessageCounters
}

// PeerMessageCounters counts what came from peers and could not be used.
type PeerMessageCounters struct {
	Spoilt  int `json:"spoilt"`
	Version int `json:"another_version"`
	Fleet   int `json:"another_fleet"`
}

// peerLetter is the body of a letter that is a datagram or part of an exchange: membership's, or in a key of its own another
// door's. A build that lacks the door finds a message of no kind, and refuses it.
type peerLetter struct {
	membership.Message
	Configuration *configurationLetter `cbor:"10,keyasint,omitempty"`
}

// JoinFleet makes the node one of a fleet, before its first step.
func (r *StateMachine) JoinFleet(fleet string, members *membership.Members) {
	r.peers = peers{members: members, fleet: envelope.FleetOf(fleet), loose: -1}
	r.Invariants.Check(r.now == 0, "a node joins its fleet before its first step")
}

// Members is what the node knows of its fleet, nil outside one.
func (r *StateMachine) Members() *membership.Members { return r.peers.members }

// PeerMessageCounters is what could not be used of what peers sent.
func (r *StateMachine) PeerMessageCounters() PeerMessageCounters { return r.peers.letters }

// fromPeers takes a datagram or a part of an exchange.
func (r *StateMachine) fromPeers(in *Input) {
	p := &r.peers
	if p.members == nil {
		return
	}
	if in.Link >= configurationLinks && (in.Kind == PeerExchangeFailed || in.Kind == PeerResponseReceived) {
		r.answeredConfiguration(in)
		return
	}
	if in.Kind == PeerExchangeFailed {
		r.remark(Debug, "exchange with a peer came to nothing", "", in.Err)
		p.inputs = append(p.inputs, membership.Input{Kind: membership.ExchangeFailed, Link: in.Link})
		return
	}
	body := new(peerLetter)
	if err := envelope.Open(in.Bytes, p.fleet, body); err != nil {
		r.unusable(in, err)
		return
	}
	if body.Configuration != nil {
		r.fromConfiguration(in, body.Configuration)
		return
	}
	msg := &body.Message
	if datagram := msg.Kind <= membership.MessageGossip; datagram != (in.Kind == PeerDatagramReceived) || msg.Kind == 0 {
		r.unusable(in, fmt.Errorf("%w: kind %d does not belong there", envelope.ErrSpoilt, msg.Kind))
		return
	}
	if msg.Kind == membership.MessageViewRequest {
		if in.Kind == PeerRequestReceived && msg.Why == membership.LookClaims {
			if picture := r.Claims(); picture != nil {
				r.seal(Effect{Kind: ReplyToExchange, Link: in.Link}, picture)
			} else {
				r.do(Effect{Kind: ReplyToExchange, Link: in.Link})
			}
		} else if in.Kind == PeerRequestReceived {
			v := p.members.View()
			r.seal(Effect{Kind: ReplyToExchange, Link: in.Link}, &v)
		}
		return
	}
	kind := map[InputKind]membership.InputKind{PeerDatagramReceived: membership.DatagramReceived, PeerRequestReceived: membership.ExchangeOpened, PeerResponseReceived: membership.ExchangeAnswered}[in.Kind]
	p.inputs = append(p.inputs, membership.Input{Kind: kind, Link: in.Link, Message: msg})
}

// unusable counts and tells of what can't be used; an exchange of ours that brought it came to nothing.
func (r *StateMachine) unusable(in *Input, err error) {
	p := &r.peers
	switch {
	case errors.Is(err, envelope.ErrFleet):
		p.letters.Fleet++
	case errors.Is(err, envelope.ErrVersion):
		p.letters.Version++
	default:
		p.letters.Spoilt++
	}
	r.remark(Warn, "peer can't be understood", in.From, err)
	switch in.Kind {
	case PeerResponseReceived:
		p.inputs = append(p.inputs, membership.Input{Kind: membership.ExchangeFailed, Link: in.Link})
	case PeerRequestReceived:
		r.do(Effect{Kind: ReplyToExchange, Link: in.Link}) // without bytes: it is closed
	}
}

// keepPeers steps the membership when something came or is due.
func (r *StateMachine) keepPeers() {
	p := &r.peers
	if p.members == nil {
		return
	}
	if facts := r.facts(); facts != p.told {
		p.told = facts
		p.inputs = append(p.inputs, membership.Input{Kind: membership.FactsChanged, Facts: facts})
	}
	if r.now < p.wakeAt && len(p.inputs) == 0 {
		return
	}
	var effects []membership.Effect
	effects, p.wakeAt = p.members.Step(r.now, r.wall, p.inputs)
	clear(p.inputs)
	p.inputs = p.inputs[:0]
	r.carryPeers(effects)
}

func (r *StateMachine) carryPeers(effects []membership.Effect) {
	for k := range effects {
		switch e := &effects[k]; e.Kind {
		case membership.Send:
			r.seal(Effect{Kind: SendDatagram, Address: e.To}, &e.Message)
		case membership.Exchange:
			r.seal(Effect{Kind: OpenExchange, Link: e.Link, Address: e.To}, &e.Message)
		case membership.Reply:
			r.seal(Effect{Kind: ReplyToExchange, Link: e.Link}, &e.Message)
		case membership.ViewChanged:
			change := e.Change
			r.do(Effect{Kind: ViewChanged, Change: &change})
		case membership.WriteLog:
			r.remark(map[bool]LogLevel{true: Warn, false: Info}[e.Warn], e.Text, "", nil)
		}
	}
}

// facts are what the fleet is told of this node.
func (r *StateMachine) facts() (f membership.Facts) {
	p := &r.peers
	if r.post != nil && r.link != 0 {
		p.loose = -1
	} else if p.loose < 0 {
		p.loose = r.now
	}
	f.NoUse = r.hollow.onlySeat || !r.hollow.on && p.loose >= 0 && r.now-p.loose >= noUseAfter
	switch {
	case r.shut:
		f.Beat = 3
	case r.noticed:
		f.Beat = 1
	}
	if l := &r.levels; l.steps != nil {
		f.Level = uint8(l.steps.Level())
	}
	return f
}

// farewell tells the fleet that the node leaves now, some times over: nobody answers for a datagram that is lost.
func (r *StateMachine) farewell() {
	p := &r.peers
	if p.members == nil {
		return
	}
	for range farewells {
		effects, _ := p.members.Step(r.now, r.wall, []membership.Input{{Kind: membership.Leaving}})
		r.carryPeers(effects)
	}
}

func (r *StateMachine) seal(e Effect, body any) {
	var err error
	if e.Bytes, err = envelope.Seal(nil, r.peers.fleet, body); !r.Invariants.Check(err == nil, "what peers are told can be written") {
		return
	}
	if r.Invariants.Check(e.Kind != SendDatagram || len(e.Bytes) <= envelope.DatagramMost, "a datagram fits any path") {
		r.do(e)
	}
}

// peersDue is when the membership is to step again.
func (r *StateMachine) peersDue() int64 {
	p := &r.peers
	if p.members == nil {
		return never
	}
	at := p.wakeAt
	if p.loose >= 0 && r.now-p.loose < noUseAfter && !r.hollow.on {
		at = min(at, p.loose+noUseAfter)
	}
	return max(at, r.now+1)
}
