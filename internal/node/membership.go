package node

import (
	"errors"
	"fmt"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

const (
	executorLossTimeout = 2_000 * ms // ns without an executor after which the node announces that it accepts no work
	leaveAnnouncements  = 3          // times that a leaving node announces that it leaves
)

// Phases of a drain as a node announces them to its fleet. The values are sent to other nodes; 2 is not in use.
const (
	drainPhaseRequested     = 1
	drainPhaseAcceptStopped = 3
)

// fleetState holds the node's membership of a fleet. Outside a fleet, members is nil and membership takes no timer and no time.
type fleetState struct {
	members        *membership.Members
	id             envelope.FleetID
	inputs         []membership.Input
	wakeAt         int64 // when the membership must step again
	executorLostAt int64 // when the node was first seen without an executor, -1 while it has one
	announcedFacts membership.Facts
	counters       PeerMessageCounters
}

// PeerMessageCounters counts the messages from peers that this node rejected, by reason.
type PeerMessageCounters struct {
	Malformed    int `json:"spoilt"` // or valid, but not expected where it came
	OtherVersion int `json:"another_version"`
	OtherFleet   int `json:"another_fleet"`
}

// add counts a rejected message under the reason that err gives.
func (c *PeerMessageCounters) add(err error) {
	switch {
	case errors.Is(err, envelope.ErrFleet):
		c.OtherFleet++
	case errors.Is(err, envelope.ErrVersion):
		c.OtherVersion++
	default:
		c.Malformed++
	}
}

// peerMessage is the body of a datagram or of a message of an exchange. It is a message of the membership, or, under its own key, a
// message of another component. A build without that component decodes a membership message of kind 0 and rejects it.
type peerMessage struct {
	membership.Message
	Configuration *configMessage `cbor:"10,keyasint,omitempty"`
}

// JoinFleet makes the node a member of a fleet. It must be called before the first step.
func (sm *StateMachine) JoinFleet(fleet string, members *membership.Members) {
	sm.fleet = fleetState{members: members, id: envelope.FleetIDOf(fleet), executorLostAt: -1}
	sm.Invariants.Check(sm.now == 0, "a node joins its fleet before its first step")
}

// Members returns what the node knows of its fleet, nil outside a fleet.
func (sm *StateMachine) Members() *membership.Members { return sm.fleet.members }

// PeerMessageCounters returns the counts of rejected messages from peers.
func (sm *StateMachine) PeerMessageCounters() PeerMessageCounters { return sm.fleet.counters }

// open checks that an encoded message is of this fleet, and decodes its body.
func (fs *fleetState) open(text []byte, body any) error { return envelope.Open(text, fs.id, body) }

// seal encodes a body as a message of this fleet.
func (fs *fleetState) seal(body any) ([]byte, error) { return envelope.Seal(nil, fs.id, body) }

// addressOf returns the address of the member with a name.
func (fs *fleetState) addressOf(name string) (address string, known bool) {
	return fs.members.AddressOf(name)
}

// selfName returns this node's name in its fleet.
func (fs *fleetState) selfName() string { return fs.members.Self().Name }

// applyPeerInput handles a datagram, or a request, response or failure of an exchange.
func (sm *StateMachine) applyPeerInput(in *Input) {
	fs := &sm.fleet
	if fs.members == nil {
		return
	}
	if isConfigExchange(in) {
		sm.applyConfigResponse(in)
		return
	}
	if in.Kind == PeerExchangeFailed {
		sm.log(Debug, "exchange with a peer failed", "", in.Err)
		fs.inputs = append(fs.inputs, membership.Input{Kind: membership.ExchangeFailed, ExchangeID: in.Link})
		return
	}
	body := new(peerMessage)
	if err := fs.open(in.Bytes, body); err != nil {
		sm.rejectPeerMessage(in, err)
		return
	}
	if body.Configuration != nil {
		sm.applyConfigMessage(in, body.Configuration)
		return
	}
	sm.applyMembershipMessage(in, &body.Message)
}

// applyMembershipMessage queues a message for the membership, or answers a command's request for the view or the claims.
func (sm *StateMachine) applyMembershipMessage(in *Input, msg *membership.Message) {
	datagram := msg.Kind <= membership.MessageGossip
	if datagram != (in.Kind == PeerDatagramReceived) || msg.Kind == 0 {
		sm.rejectPeerMessage(in, fmt.Errorf("%w: unexpected membership message of kind %d", envelope.ErrChecksum, msg.Kind))
		return
	}
	if msg.Kind == membership.MessageViewRequest {
		if in.Kind == PeerRequestReceived {
			sm.answerViewRequest(in.Link, msg)
		}
		return
	}
	next := membership.Input{ExchangeID: in.Link, Message: msg}
	switch in.Kind {
	case PeerDatagramReceived:
		next.Kind = membership.DatagramReceived
	case PeerRequestReceived:
		next.Kind = membership.ExchangeOpened
	case PeerResponseReceived:
		next.Kind = membership.ExchangeAnswered
	}
	sm.fleet.inputs = append(sm.fleet.inputs, next)
}

// answerViewRequest answers a command that requests the view of the fleet, or the summary of claims.
func (sm *StateMachine) answerViewRequest(link int, msg *membership.Message) {
	if msg.Detail != membership.ViewRequestClaims {
		view := sm.fleet.members.View()
		sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &view)
		return
	}
	summary := sm.ConsensusSummary()
	if summary == nil {
		sm.emit(Effect{Kind: ReplyToExchange, Link: link}) // no bytes: the host closes the exchange
		return
	}
	sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: link}, summary)
}

// rejectPeerMessage counts and logs a message that can't be decoded or is out of place. If it was the response in an exchange of this
// node, that exchange fails; if it was the request of another node's, that exchange is closed.
func (sm *StateMachine) rejectPeerMessage(in *Input, err error) {
	fs := &sm.fleet
	fs.counters.add(err)
	sm.log(Warn, "message from a peer rejected", in.From, err)
	switch in.Kind {
	case PeerResponseReceived:
		fs.inputs = append(fs.inputs, membership.Input{Kind: membership.ExchangeFailed, ExchangeID: in.Link})
	case PeerRequestReceived:
		sm.emit(Effect{Kind: ReplyToExchange, Link: in.Link}) // no bytes: the host closes the exchange
	}
}

// stepMembership steps the membership if it has inputs, if its timer is due or if this node's facts have changed.
func (sm *StateMachine) stepMembership() {
	fs := &sm.fleet
	if fs.members == nil {
		return
	}
	if facts := sm.updateFacts(); facts != fs.announcedFacts {
		fs.announcedFacts = facts
		fs.inputs = append(fs.inputs, membership.Input{Kind: membership.FactsChanged, Facts: facts})
	}
	if sm.now < fs.wakeAt && len(fs.inputs) == 0 {
		return
	}
	var effects []membership.Effect
	effects, fs.wakeAt = fs.members.Step(sm.now, sm.wall, fs.inputs)
	clear(fs.inputs)
	fs.inputs = fs.inputs[:0]
	sm.executeMembershipEffects(effects)
}

func (sm *StateMachine) executeMembershipEffects(effects []membership.Effect) {
	for k := range effects {
		e := &effects[k]
		switch e.Kind {
		case membership.Send:
			sm.sendEnvelope(Effect{Kind: SendDatagram, Address: e.To}, &e.Message)
		case membership.Exchange:
			sm.sendEnvelope(Effect{Kind: OpenExchange, Link: e.ExchangeID, Address: e.To}, &e.Message)
		case membership.Reply:
			sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: e.ExchangeID}, &e.Message)
		case membership.ViewChanged:
			change := e.Change
			sm.emit(Effect{Kind: PublishViewChange, ViewChange: &change})
		case membership.WriteLog:
			sm.logComponent(e.Warn, e.Text)
		}
	}
}

// logComponent writes a log entry of a component that works without a log of its own, such as the membership.
func (sm *StateMachine) logComponent(warn bool, text string) {
	level := Info
	if warn {
		level = Warn
	}
	sm.log(level, text, "", nil)
}

// updateFacts records whether the node has an executor, and returns what the node announces to its fleet about itself.
func (sm *StateMachine) updateFacts() (f membership.Facts) {
	fs := &sm.fleet
	if sm.controller != nil && sm.executor.isConnected() {
		fs.executorLostAt = -1
	} else if fs.executorLostAt < 0 {
		fs.executorLostAt = sm.now
	}
	executorLost := fs.executorLostAt >= 0 && sm.now-fs.executorLostAt >= executorLossTimeout
	f.NoExecutor = sm.hollow.isReplicaOnly() || !sm.hollow.enabled() && executorLost
	switch {
	case sm.drain.isAcceptStopped():
		f.DrainPhase = drainPhaseAcceptStopped
	case sm.drain.isRequested():
		f.DrainPhase = drainPhaseRequested
	}
	f.Level = uint8(sm.degradation.level())
	return f
}

// announceLeaving announces several times that the node leaves now: datagrams may be lost, and nobody acknowledges these.
func (sm *StateMachine) announceLeaving() {
	fs := &sm.fleet
	if fs.members == nil {
		return
	}
	for range leaveAnnouncements {
		effects, _ := fs.members.Step(sm.now, sm.wall, []membership.Input{{Kind: membership.Leaving}})
		sm.executeMembershipEffects(effects)
	}
}

// sendEnvelope emits an effect whose bytes are a body encoded as a message of this fleet.
func (sm *StateMachine) sendEnvelope(e Effect, body any) {
	var err error
	e.Bytes, err = sm.fleet.seal(body)
	if !sm.Invariants.Check(err == nil, "a message to a peer can be encoded") {
		return
	}
	if sm.Invariants.Check(e.Kind != SendDatagram || len(e.Bytes) <= envelope.MaxDatagramBytes, "a datagram fits any path") {
		sm.emit(e)
	}
}

// membershipDue returns when the membership must step again at the latest.
func (sm *StateMachine) membershipDue() int64 {
	fs := &sm.fleet
	if fs.members == nil {
		return never
	}
	at := fs.wakeAt
	if fs.executorLostAt >= 0 && sm.now-fs.executorLostAt < executorLossTimeout && !sm.hollow.enabled() {
		at = min(at, fs.executorLostAt+executorLossTimeout)
	}
	return max(at, sm.now+1)
}
