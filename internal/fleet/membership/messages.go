package membership

// MessageKind names the purpose of a message.
type MessageKind uint8

// The kinds of messages. Ping, ack and gossip are datagrams; the others belong to exchanges.
const (
	MessagePing        MessageKind = iota + 1 // probe of a link, answered by an ack
	MessageAck                                // answer to a ping
	MessageGossip                             // changed records
	MessageSyncRequest                        // summaries of the sender's whole table, and its own record
	MessageSyncAnswer                         // records newer than the summaries, and the ids that are wanted
	MessageSyncPush                           // records that were wanted; answered by an empty MessageSyncAnswer
	MessageReject                             // answer to a sync request: the name is taken
	MessageViewRequest                        // request of a command; answered by a View instead of a message
)

// ViewRequestClaims in the Why of a MessageViewRequest asks for the claims instead of the view.
const ViewRequestClaims = "claims"

// Message is what members send one another.
type Message struct {
	Kind      MessageKind     `cbor:"1,keyasint"`
	From      ID              `cbor:"2,keyasint,omitempty"`
	Seq       uint32          `cbor:"3,keyasint,omitempty"`
	Digest    uint64          `cbor:"4,keyasint,omitempty"` // of the sender's table
	Neighbour bool            `cbor:"5,keyasint,omitempty"` // the sender watches the receiver
	Records   []Record        `cbor:"6,keyasint,omitempty"`
	Summaries []RecordSummary `cbor:"7,keyasint,omitempty"`
	Wanted    []ID            `cbor:"8,keyasint,omitempty"`
	Detail    string          `cbor:"9,keyasint,omitempty"` // MessageReject: the reason; MessageViewRequest: what is asked for
}

// InputKind names an event.
type InputKind uint8

// The kinds of inputs.
const (
	DatagramReceived InputKind = iota
	ExchangeOpened             // a peer opened the exchange Link with Message
	ExchangeAnswered           // the answer to an exchange that this node opened
	ExchangeFailed             // an exchange that this node opened failed
	FactsChanged               // the node's own facts changed
	Leaving                    // the node starts to drain
)

// Input is one event.
type Input struct {
	Kind       InputKind
	ExchangeID int
	Message    *Message
	Facts      Facts
}

// EffectKind names an action of the caller.
type EffectKind uint8

// The kinds of effects.
const (
	Send        EffectKind = iota // send Message to the address To as a datagram
	Exchange                      // open the exchange Link with To, send Message, wait for the answer
	Reply                         // answer the exchange Link
	ViewChanged                   // report Change
	WriteLog                      // log Text
)

// Effect is one action for the caller. Messages and their slices are valid until the next step.
type Effect struct {
	Kind       EffectKind
	To         string
	ExchangeID int
	Message    Message
	Change     Change
	Text       string
	Warn       bool
}
