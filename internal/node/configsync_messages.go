package node

import (
	"fmt"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
)

const configLinkOffset = 1 << 32 // added to the replicator's exchange numbers to keep them distinct from those of membership

// configMessage is a message about the configuration, between two nodes or between an operator's command and a node.
type configMessage struct {
	From          string              `cbor:"1,keyasint,omitempty"`
	Message       *configsync.Message `cbor:"2,keyasint,omitempty"` // between the replicators of two nodes
	OperatorQuery *configsync.Query   `cbor:"3,keyasint,omitempty"` // from an operator's command
	Answer        *configsync.Answer  `cbor:"4,keyasint,omitempty"` // to the query
}

// configMessageBody is the body of an envelope that carries a configuration message. No field of a membership message has its key, so
// a build without configuration replication decodes a membership message of no kind, which it rejects.
type configMessageBody struct {
	Configuration *configMessage `cbor:"10,keyasint"`
}

// ConfigQueryBody returns the message body by which an operator's command sends a query; DecodeConfigAnswer decodes the answer.
func ConfigQueryBody(q *configsync.Query) any {
	return configMessageBody{&configMessage{OperatorQuery: q}}
}

// DecodeConfigAnswer decodes a node's answer to a query of an operator's command.
func DecodeConfigAnswer(text []byte, fleet envelope.FleetID) (*configsync.Answer, error) {
	var body configMessageBody
	if err := envelope.Open(text, fleet, &body); err != nil {
		return nil, err
	}
	if body.Configuration == nil || body.Configuration.Answer == nil {
		return nil, envelope.ErrBody
	}
	return body.Configuration.Answer, nil
}

// isConfigExchange reports whether an input is the end of an exchange that the replicator opened.
func isConfigExchange(in *Input) bool {
	return in.Link >= configLinkOffset && (in.Kind == PeerExchangeFailed || in.Kind == PeerResponseReceived)
}

// applyConfigMessage handles a configuration message from another node or from an operator's command.
func (sm *StateMachine) applyConfigMessage(in *Input, received *configMessage) {
	cs := &sm.configSync
	m := received.Message
	request := in.Kind == PeerRequestReceived
	switch {
	case cs.replicator == nil:
		if request {
			sm.emit(Effect{Kind: ReplyToExchange, Link: in.Link}) // without bytes, so the exchange is closed
		}
	case request && received.OperatorQuery != nil:
		sm.applyOperatorQuery(in.Link, received.OperatorQuery)
	case request && m != nil && m.Kind == configsync.MessageFetch:
		cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.ExchangeOpened, From: received.From, Link: in.Link, Message: m})
	case in.Kind == PeerDatagramReceived && m != nil && m.Kind >= configsync.MessageAnnounce && m.Kind <= configsync.MessageConfirm:
		cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.DatagramReceived, From: received.From, Message: m})
	default:
		sm.rejectPeerMessage(in, fmt.Errorf("%w: configuration message is neither a query, a fetch request nor a datagram of a replicator", envelope.ErrChecksum))
	}
}

// applyConfigResponse passes the response to an exchange of the replicator, or its failure, on to the replicator.
func (sm *StateMachine) applyConfigResponse(in *Input) {
	cs := &sm.configSync
	if cs.replicator == nil {
		return
	}
	next := configsync.Input{Kind: configsync.ExchangeFailed, Link: in.Link - configLinkOffset}
	if in.Kind == PeerResponseReceived {
		if response := sm.decodeConfigResponse(in); response != nil {
			next.Kind = configsync.ExchangeAnswered
			next.From = response.From
			next.Message = response.Message
		}
	}
	cs.inputs = append(cs.inputs, next)
}

// decodeConfigResponse decodes a response with a part of the configuration. It returns nil for any other response.
func (sm *StateMachine) decodeConfigResponse(in *Input) *configMessage {
	var body configMessageBody
	if err := sm.fleet.open(in.Bytes, &body); err != nil {
		sm.log(Warn, "configuration response of a peer can't be decoded; treating the exchange as failed", in.From, err)
		return nil
	}
	response := body.Configuration
	if response == nil || response.Message == nil || response.Message.Kind != configsync.MessageContent {
		return nil
	}
	return response
}

// sendConfigEnvelope emits an effect that carries a configuration message of this node.
func (sm *StateMachine) sendConfigEnvelope(e Effect, m *configMessage) {
	m.From = sm.fleet.selfName()
	sm.sendEnvelope(e, configMessageBody{m})
}

// sendConfigMessage sends a message to a node as a datagram. If its records make it too long it is sent without them, and the receiver
// fetches them.
func (sm *StateMachine) sendConfigMessage(to string, m *configsync.Message) {
	address, known := sm.fleet.addressOf(to)
	if !known {
		return
	}
	out := &configMessage{From: sm.fleet.selfName(), Message: m}
	text, err := sm.fleet.seal(configMessageBody{out})
	if err == nil && len(text) > envelope.MaxDatagramBytes && len(m.Records) > 0 {
		short := *m
		short.Records = nil
		out.Message = &short
		text, err = sm.fleet.seal(configMessageBody{out})
	}
	if sm.Invariants.Check(err == nil && len(text) <= envelope.MaxDatagramBytes, "a configuration message can be encoded and fits in a datagram") {
		sm.emit(Effect{Kind: SendDatagram, Address: address, Bytes: text})
	}
}

// openConfigExchange opens an exchange for the replicator. It fails at once if the other node's address is not known.
func (sm *StateMachine) openConfigExchange(e *configsync.Effect) {
	address, known := sm.fleet.addressOf(e.To)
	if !known {
		cs := &sm.configSync
		cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.ExchangeFailed, Link: e.Link})
		return
	}
	sm.sendConfigEnvelope(Effect{Kind: OpenExchange, Link: configLinkOffset + e.Link, Address: address}, &configMessage{Message: e.Message})
}
