package node

import (
	"errors"
	"fmt"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

const (
	executorLossTimeout = 2_000 * ms // ns without an executor past which the node says that it is of no use
	leaveAnnouncements  = 3          // times that a leaving node's last word goes round
)

// fleetState is the door to the other nodes; without members it is shut: no timer, no cost.
type fleetState struct {
	members        *membership.Members
	id             envelope.Fleet
	inputs         []membership.Input
	wakeAt         int64
	executorLostAt int64 // since when there is no executor, -1 while there is
	announced      membership.Facts
	counters       PeerMessageCounters
}

// PeerMessageCounters counts what came from peers and could not be used.
type PeerMessageCounters struct {
	Spoilt  int `json:"spoilt"`
	Version int `json:"another_version"`
	Fleet   int `json:"another_fleet"`
}

// peerMessage is the body of a letter that is a datagram or part of an exchange: membership's, or in a key of its own another
// door's. A build that lacks the door finds a message of no kind, and refuses it.
type peerMessage struct {
	membership.Message
	Configuration *configMessage `cbor:"10,keyasint,omitempty"`
}

// JoinFleet makes the node one of a fleet, before its first step.
func (sm *StateMachine) JoinFleet(fleet string, members *membership.Members) {
	sm.fleet = fleetState{members: members, id: envelope.FleetOf(fleet), executorLostAt: -1}
	sm.Invariants.Check(sm.now == 0, "a node joins its fleet before its first step")
}

// Members is what the node knows of its fleet, nil outside one.
func (sm *StateMachine) Members() *membership.Members { return sm.fleet.members }

// PeerMessageCounters is what could not be used of what peers sent.
func (sm *StateMachine) PeerMessageCounters() PeerMessageCounters { return sm.fleet.counters }

// applyPeerInput takes a datagram or a part of an exchange.
func (sm *StateMachine) applyPeerInput(in *Input) {
	p := &sm.fleet
	if p.members == nil {
		return
	}
	if in.Link >= configLinkOffset && (in.Kind == PeerExchangeFailed || in.Kind == PeerResponseReceived) {
		sm.applyConfigResponse(in)
		return
	}
	if in.Kind == PeerExchangeFailed {
		sm.log(Debug, "exchange with a peer came to nothing", "", in.Err)
		p.inputs = append(p.inputs, membership.Input{Kind: membership.ExchangeFailed, Link: in.Link})
		return
	}
	body := new(peerMessage)
	if err := envelope.Open(in.Bytes, p.id, body); err != nil {
		sm.countUnusable(in, err)
		return
	}
	if body.Configuration != nil {
		sm.applyConfigMessage(in, body.Configuration)
		return
	}
	msg := &body.Message
	if datagram := msg.Kind <= membership.MessageGossip; datagram != (in.Kind == PeerDatagramReceived) || msg.Kind == 0 {
		sm.countUnusable(in, fmt.Errorf("%w: kind %d does not belong there", envelope.ErrSpoilt, msg.Kind))
		return
	}
	if msg.Kind == membership.MessageViewRequest {
		if in.Kind == PeerRequestReceived && msg.Why == membership.LookClaims {
			if picture := sm.Claims(); picture != nil {
				sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: in.Link}, picture)
			} else {
				sm.emit(Effect{Kind: ReplyToExchange, Link: in.Link})
			}
		} else if in.Kind == PeerRequestReceived {
			v := p.members.View()
			sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: in.Link}, &v)
		}
		return
	}
	kind := map[InputKind]membership.InputKind{PeerDatagramReceived: membership.DatagramReceived, PeerRequestReceived: membership.ExchangeOpened, PeerResponseReceived: membership.ExchangeAnswered}[in.Kind]
	p.inputs = append(p.inputs, membership.Input{Kind: kind, Link: in.Link, Message: msg})
}

// countUnusable counts and tells of what can't be used; an exchange of ours that brought it came to nothing.
func (sm *StateMachine) countUnusable(in *Input, err error) {
	p := &sm.fleet
	switch {
	case errors.Is(err, envelope.ErrFleet):
		p.counters.Fleet++
	case errors.Is(err, envelope.ErrVersion):
		p.counters.Version++
	default:
		p.counters.Spoilt++
	}
	sm.log(Warn, "peer can't be understood", in.From, err)
	switch in.Kind {
	case PeerResponseReceived:
		p.inputs = append(p.inputs, membership.Input{Kind: membership.ExchangeFailed, Link: in.Link})
	case PeerRequestReceived:
		sm.emit(Effect{Kind: ReplyToExchange, Link: in.Link}) // without bytes: it is closed
	}
}

// stepMembership steps the membership when something came or is due.
func (sm *StateMachine) stepMembership() {
	p := &sm.fleet
	if p.members == nil {
		return
	}
	if facts := sm.facts(); facts != p.announced {
		p.announced = facts
		p.inputs = append(p.inputs, membership.Input{Kind: membership.FactsChanged, Facts: facts})
	}
	if sm.now < p.wakeAt && len(p.inputs) == 0 {
		return
	}
	var effects []membership.Effect
	effects, p.wakeAt = p.members.Step(sm.now, sm.wall, p.inputs)
	clear(p.inputs)
	p.inputs = p.inputs[:0]
	sm.executeMembershipEffects(effects)
}

func (sm *StateMachine) executeMembershipEffects(effects []membership.Effect) {
	for k := range effects {
		switch e := &effects[k]; e.Kind {
		case membership.Send:
			sm.sendEnvelope(Effect{Kind: SendDatagram, Address: e.To}, &e.Message)
		case membership.Exchange:
			sm.sendEnvelope(Effect{Kind: OpenExchange, Link: e.Link, Address: e.To}, &e.Message)
		case membership.Reply:
			sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: e.Link}, &e.Message)
		case membership.ViewChanged:
			change := e.Change
			sm.emit(Effect{Kind: ViewChanged, Change: &change})
		case membership.WriteLog:
			sm.log(map[bool]LogLevel{true: Warn, false: Info}[e.Warn], e.Text, "", nil)
		}
	}
}

// facts are what the fleet is told of this node.
func (sm *StateMachine) facts() (f membership.Facts) {
	p := &sm.fleet
	if sm.controller != nil && sm.executorLink != 0 {
		p.executorLostAt = -1
	} else if p.executorLostAt < 0 {
		p.executorLostAt = sm.now
	}
	f.NoUse = sm.hollow.replicaOnly || !sm.hollow.on && p.executorLostAt >= 0 && sm.now-p.executorLostAt >= executorLossTimeout
	switch {
	case sm.acceptStopped:
		f.Beat = 3
	case sm.drainRequested:
		f.Beat = 1
	}
	if l := &sm.degradation; l.steps != nil {
		f.Level = uint8(l.steps.Level())
	}
	return f
}

// announceLeaving tells the fleet that the node leaves now, some times over: nobody answers for a datagram that is lost.
func (sm *StateMachine) announceLeaving() {
	p := &sm.fleet
	if p.members == nil {
		return
	}
	for range leaveAnnouncements {
		effects, _ := p.members.Step(sm.now, sm.wall, []membership.Input{{Kind: membership.Leaving}})
		sm.executeMembershipEffects(effects)
	}
}

func (sm *StateMachine) sendEnvelope(e Effect, body any) {
	var err error
	if e.Bytes, err = envelope.Seal(nil, sm.fleet.id, body); !sm.Invariants.Check(err == nil, "what peers are told can be written") {
		return
	}
	if sm.Invariants.Check(e.Kind != SendDatagram || len(e.Bytes) <= envelope.DatagramMost, "a datagram fits any path") {
		sm.emit(e)
	}
}

// membershipDue is when the membership is to step again.
func (sm *StateMachine) membershipDue() int64 {
	p := &sm.fleet
	if p.members == nil {
		return never
	}
	at := p.wakeAt
	if p.executorLostAt >= 0 && sm.now-p.executorLostAt < executorLossTimeout && !sm.hollow.on {
		at = min(at, p.executorLostAt+executorLossTimeout)
	}
	return max(at, sm.now+1)
}
