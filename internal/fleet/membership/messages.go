package membership

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of messages. Ping, ack and gossip are datagrams; the others belong to exchanges.
const (
	MessagePing        MessageKind = iota + 1 // probe of a link, answered by an ack
	MessageAck                                // answer to a ping
	MessageGossip                             // changed records
	MessageSyncRequest                        // summaries of the sender's table, and the sender's record
	MessageSyncAnswer                         // records newer than the summaries, and the IDs of records that the sender requests
	MessageSyncPush                           // records that were requested; answered by an empty MessageSyncAnswer
	MessageReject                             // answer to a sync request: another node uses the name
	MessageViewRequest                        // request from a command-line tool; the answer is a View, not a Message
)

// ViewRequestClaims is the Detail of a MessageViewRequest that requests the summary of claims instead of the view.
const ViewRequestClaims = "claims"

// Message is a message between members.
type Message struct {
	Kind       MessageKind     `cbor:"1,keyasint"`
	From       ID              `cbor:"2,keyasint,omitempty"`
	Seq        uint32          `cbor:"3,keyasint,omitempty"`
	Digest     uint64          `cbor:"4,keyasint,omitempty"` // of the sender's table
	LinkWanted bool            `cbor:"5,keyasint,omitempty"` // a ring of the sender needs the link to the receiver
	Records    []Record        `cbor:"6,keyasint,omitempty"`
	Summaries  []RecordSummary `cbor:"7,keyasint,omitempty"`
	Wanted     []ID            `cbor:"8,keyasint,omitempty"`
	Detail     string          `cbor:"9,keyasint,omitempty"` // MessageReject: the reason; MessageViewRequest: ViewRequestClaims, or another value for the view
}

// InputKind is the kind of an input.
type InputKind uint8

// The kinds of inputs.
const (
	DatagramReceived InputKind = iota
	ExchangeOpened             // a peer opened the exchange ExchangeID with Message
	ExchangeAnswered           // Message answers an exchange that this node opened
	ExchangeFailed             // an exchange that this node opened failed
	FactsChanged               // the facts of this node changed to Facts, except for Version and Zone, which are from Config
	Leaving                    // the node leaves the fleet after its drain
)

// Input is an event that Step applies.
type Input struct {
	Kind       InputKind
	ExchangeID int
	Message    *Message
	Facts      Facts
}

// EffectKind is the kind of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	Send        EffectKind = iota // send Message to the address To as a datagram
	Exchange                      // open the exchange ExchangeID with To by sending Message; the answer is an input
	Reply                         // answer the exchange ExchangeID with Message
	ViewChanged                   // report Change
	WriteLog                      // log Text
)

// Effect is an action that the caller carries out. Messages and their slices are valid until the next step.
type Effect struct {
	Kind       EffectKind
	To         string
	ExchangeID int
	Message    Message
	Change     Change
	Text       string
	Warn       bool
}
