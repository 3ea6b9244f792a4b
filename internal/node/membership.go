package node

import (
	"errors"
	"fmt"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

const (
	executorLossTimeout = 2_000 * ms // ns without an executor past which the node announces that it accepts no work
	leaveAnnouncements  = 3          // times that a leaving node announces it
)

// Stages of a drain as the fleet is told of them.
const (
	drainPhaseRequested     = 1
	drainPhaseAcceptStopped = 3
)

// fleetState is the node's membership of a fleet; outside one members is nil, and there is no timer and no cost.
type fleetState struct {
	members        *membership.Members
	id             envelope.Fleet
	inputs         []membership.Input
	wakeAt         int64
	executorLostAt int64 // -1 while there is an executor
	announcedFacts membership.Facts
	counters       PeerMessageCounters
}

// PeerMessageCounters counts messages of peers that could not be used.
type PeerMessageCounters struct {
	Malformed    int `json:"spoilt"`
	OtherVersion int `json:"another_version"`
	OtherFleet   int `json:"another_fleet"`
}

// add counts a message by what is wrong with it.
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

// peerMessage is the body of a datagram or of a message of an exchange: membership's, or under a key of its own another
// component's. A build that lacks the component finds a message of no kind, and rejects it.
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

// PeerMessageCounters counts messages of peers that could not be used.
func (sm *StateMachine) PeerMessageCounters() PeerMessageCounters { return sm.fleet.counters }

// open decodes a message of this fleet.
func (fs *fleetState) open(text []byte, body any) error { return envelope.Open(text, fs.id, body) }

// seal encodes a message of this fleet.
func (fs *fleetState) seal(body any) ([]byte, error) { return envelope.Seal(nil, fs.id, body) }

// addressOf is the address of a member.
func (fs *fleetState) addressOf(name string) (address string, known bool) {
	return fs.members.AddressOf(name)
}

// selfName is this node's name in its fleet.
func (fs *fleetState) selfName() string { return fs.members.Self().Name }

// applyPeerInput applies a datagram or a part of an exchange.
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
		sm.log(Debug, "exchange with a peer came to nothing", "", in.Err)
		fs.inputs = append(fs.inputs, membership.Input{Kind: membership.ExchangeFailed, Link: in.Link})
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

// applyMembershipMessage applies a message of another node's membership, or answers a command's request for the view.
func (sm *StateMachine) applyMembershipMessage(in *Input, msg *membership.Message) {
	datagram := msg.Kind <= membership.MessageGossip
	if datagram != (in.Kind == PeerDatagramReceived) || msg.Kind == 0 {
		sm.rejectPeerMessage(in, fmt.Errorf("%w: kind %d does not belong there", envelope.ErrSpoilt, msg.Kind))
		return
	}
	if msg.Kind == membership.MessageViewRequest {
		if in.Kind == PeerRequestReceived {
			sm.answerViewRequest(in.Link, msg)
		}
		return
	}
	next := membership.Input{Link: in.Link, Message: msg}
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

// answerViewRequest answers a command that asks for the view, or for the summary of the claims.
func (sm *StateMachine) answerViewRequest(link int, msg *membership.Message) {
	if msg.Why != membership.ViewRequestClaims {
		view := sm.fleet.members.View()
		sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &view)
		return
	}
	summary := sm.Claims()
	if summary == nil {
		sm.emit(Effect{Kind: ReplyToExchange, Link: link}) // without bytes: it is closed
		return
	}
	sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: link}, summary)
}

// rejectPeerMessage counts and logs a message that can't be used; an exchange of this node's that brought it has failed.
func (sm *StateMachine) rejectPeerMessage(in *Input, err error) {
	fs := &sm.fleet
	fs.counters.add(err)
	sm.log(Warn, "peer can't be understood", in.From, err)
	switch in.Kind {
	case PeerResponseReceived:
		fs.inputs = append(fs.inputs, membership.Input{Kind: membership.ExchangeFailed, Link: in.Link})
	case PeerRequestReceived:
		sm.emit(Effect{Kind: ReplyToExchange, Link: in.Link}) // without bytes: it is closed
	}
}

// stepMembership steps the membership when something came or is due.
func (sm *StateMachine) stepMembership() {
	fs := &sm.fleet
	if fs.members == nil {
		return
	}
	if facts := sm.facts(); facts != fs.announcedFacts {
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
			sm.sendEnvelope(Effect{Kind: OpenExchange, Link: e.Link, Address: e.To}, &e.Message)
		case membership.Reply:
			sm.sendEnvelope(Effect{Kind: ReplyToExchange, Link: e.Link}, &e.Message)
		case membership.ViewChanged:
			change := e.Change
			sm.emit(Effect{Kind: ViewChanged, Change: &change})
		case membership.WriteLog:
			sm.logComponent(e.Warn, e.Text)
		}
	}
}

// logComponent logs what a component of the fleet reports.
func (sm *StateMachine) logComponent(warn bool, text string) {
	level := Info
	if warn {
		level = Warn
	}
	sm.log(level, text, "", nil)
}

// facts are what this node announces of itself.
func (sm *StateMachine) facts() (f membership.Facts) {
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

// announceLeaving announces that the node leaves now, some times over: nobody answers for a datagram that is lost.
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

// sendEnvelope emits an effect with a body sealed for this fleet.
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

// membershipDue is when the membership is to step again.
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
