package configsync

// View is a node's membership view: names of other nodes.
type View struct {
	Neighbours []string // peers on the links that membership maintains
	Replicas   []string // nodes with a replica of the consensus group
	Zone       []string // live members of the node's own zone; without a zone, those without one
}

// Agreed is the state of a replica's table, passed to the replicator of its node.
type Agreed struct {
	Head                RolloutState
	All, Canary, Newest *Content
	Log                 []*Record
}

// Agreed returns the table's state, to be passed to the replicator after each change.
func (t *Table) Agreed() *Agreed { return &Agreed{t.head, t.all, t.canary, t.newest, t.log} }

// InputKind is the kind of an Input.
type InputKind uint8

// The kinds of inputs.
const (
	ViewChanged           InputKind = iota // the membership view changed: View
	DatagramReceived                       // a datagram from From arrived
	ExchangeOpened                         // From opened an exchange on Link
	ExchangeAnswered                       // the answer to this node's exchange on Link arrived
	ExchangeFailed                         // this node's exchange on Link failed
	VersionApplied                         // ApplyVersion is done: Revision is in force on this node, or could not be applied, with the reason in Why
	VersionChecked                         // CheckVersion is done: Revision can be applied, or can't be, with the reason in Why
	VersionPersisted                       // the last PersistVersion is done, or failed, with the reason in Why
	AgreementChanged                       // the table of this node's replica changed: Agreed
	ReplicaContactChanged                  // this node's replica gained or lost contact with the consensus group: ReplicaCurrent
)

// Input is one event for the replicator, which takes ownership of all data that the input refers to.
type Input struct {
	Kind           InputKind
	From           string
	Link           int
	Message        *Message
	View           *View
	Agreed         *Agreed
	ReplicaCurrent bool
	Revision       Revision
	Why            string
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects.
const (
	Send           EffectKind = iota // send Message to To as a datagram
	Exchange                         // open an exchange with To on Link, send Message, and wait for the answer
	Reply                            // answer the exchange on Link with Message
	ApplyVersion                     // apply Revision: Diff(Old, New) are the changes; answered by VersionApplied. It replaces a pending CheckVersion
	CheckVersion                     // check whether Revision could be applied, and change nothing; answered by VersionChecked
	PersistVersion                   // write Revision to disk: append Records, or write all of New if Full; answered by VersionPersisted
	ProposeCommand                   // have the replica propose Command
	WriteLog                         // log Text, as a warning if Warn
)

// Effect is one action to carry out. All data that it refers to must not be modified.
type Effect struct {
	Kind     EffectKind
	To       string
	Link     int
	Message  *Message
	Revision Revision
	Canary   bool // ApplyVersion, CheckVersion: for the canary stage
	Old, New *Content
	Records  []*Record
	Full     bool
	Command  *Command
	Text     string
	Warn     bool
}
