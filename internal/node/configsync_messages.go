package node

import (
	"fmt"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
)

const configLinkOffset = 1 << 32 // added to the numbers of exchanges of the replicator, to tell them from those of membership

// configMessage is what nodes, and operators' commands, send each other on the configuration.
type configMessage struct {
	From    string              `cbor:"1,keyasint,omitempty"`
	Message *configsync.Message `cbor:"2,keyasint,omitempty"` // between replicators
	Query   *configsync.Query   `cbor:"3,keyasint,omitempty"` // of a command
	Answer  *configsync.Answer  `cbor:"4,keyasint,omitempty"` // to it
}

// configMessageBody is the body of a message on the configuration, without the fields of membership's.
type configMessageBody struct {
	Configuration *configMessage `cbor:"10,keyasint"`
}

// ConfigQueryBody returns the message body by which an operator's command sends a query; DecodeConfigAnswer decodes the answer.
func ConfigQueryBody(q *configsync.Query) any {
	return configMessageBody{&configMessage{Query: q}}
}

// DecodeConfigAnswer decodes a node's answer to a query of an operator's command.
func DecodeConfigAnswer(text []byte, fleet envelope.Fleet) (*configsync.Answer, error) {
	var body configMessageBody
	if err := envelope.Open(text, fleet, &body); err != nil {
		return nil, err
	}
	if body.Configuration == nil || body.Configuration.Answer == nil {
		return nil, envelope.ErrBody
	}
	return body.Configuration.Answer, nil
}

// isConfigExchange says whether an input ends an exchange of the replicator's.
func isConfigExchange(in *Input) bool {
	return in.Link >= configLinkOffset && (in.Kind == PeerExchangeFailed || in.Kind == PeerResponseReceived)
}

// applyConfigMessage applies a message of another node or of a command.
func (sm *StateMachine) applyConfigMessage(in *Input, received *configMessage) {
	cs := &sm.configSync
	m := received.Message
	request := in.Kind == PeerRequestReceived
	switch {
	case cs.replicator == nil:
		if request {
			sm.emit(Effect{Kind: ReplyToExchange, Link: in.Link}) // without bytes: it is closed
		}
	case request && received.Query != nil:
		sm.applyOperatorQuery(in.Link, received.Query)
	case request && m != nil && m.Kind == configsync.MessageFetch:
		cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.ExchangeOpened, From: received.From, Link: in.Link, Message: m})
	case in.Kind == PeerDatagramReceived && m != nil && m.Kind >= configsync.MessageAnnounce && m.Kind <= configsync.MessageConfirm:
		cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.DatagramReceived, From: received.From, Message: m})
	default:
		sm.rejectPeerMessage(in, fmt.Errorf("%w: a configuration message that does not belong there", envelope.ErrSpoilt))
	}
}

// applyConfigResponse applies the end of an exchange of the replicator's.
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

// decodeConfigResponse reads a response that carries a piece of the configuration, nil where it is none.
func (sm *StateMachine) decodeConfigResponse(in *Input) *configMessage {
	var body configMessageBody
	if err := sm.fleet.open(in.Bytes, &body); err != nil {
		sm.log(Warn, "answer of a peer on the configuration can't be understood", in.From, err)
		return nil
	}
	response := body.Configuration
	if response == nil || response.Message == nil || response.Message.Kind != configsync.MessageContent {
		return nil
	}
	return response
}

// sendConfigEnvelope emits an effect with a message on the configuration.
func (sm *StateMachine) sendConfigEnvelope(e Effect, m *configMessage) {
	m.From = sm.fleet.selfName()
	sm.sendEnvelope(e, configMessageBody{m})
}

// sendConfigMessage sends a datagram; records that make it too long are left out, and will be fetched.
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
	if sm.Invariants.Check(err == nil && len(text) <= envelope.MaxDatagramBytes, "a configuration message can be encoded, and fits any path") {
		sm.emit(Effect{Kind: SendDatagram, Address: address, Bytes: text})
	}
}

// openConfigExchange opens an exchange of the replicator's; to a node without a known address it fails at once.
func (sm *StateMachine) openConfigExchange(e *configsync.Effect) {
	address, known := sm.fleet.addressOf(e.To)
	if !known {
		cs := &sm.configSync
		cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.ExchangeFailed, Link: e.Link})
		return
	}
	sm.sendConfigEnvelope(Effect{Kind: OpenExchange, Link: configLinkOffset + e.Link, Address: address}, &configMessage{Message: e.Message})
}
