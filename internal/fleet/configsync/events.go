package configsync

// View is whom a node can reach, by name, without itself.
type View struct {
	Neighbours []string // along membership's links
	Replicas   []string // the replicas
	Zone       []string // live members of its own zone, or of none where it knows none
}

// Agreed is the state of a replica's table, for the replicator of its node.
type Agreed struct {
	Head                HeadRevision
	All, Canary, Newest *Content
	Log                 []*Record
}

// Agreed returns the table's state, which the replicator gets after each change.
func (t *Table) Agreed() *Agreed { return &Agreed{t.head, t.all, t.canary, t.newest, t.log} }

// InputKind names what happened.
type InputKind uint8

// The kinds of inputs.
const (
	ViewChanged           InputKind = iota // the view changed
	DatagramReceived                       // a datagram of From
	ExchangeOpened                         // From opened an exchange on Link
	ExchangeAnswered                       // the answer to an exchange of this node on Link
	ExchangeFailed                         // an exchange of this node on Link failed
	VersionApplied                         // Revision is in force at this node, or can't be: Why
	VersionChecked                         // Revision could be applied, or can't be: Why
	VersionPersisted                       // the last PersistVersion was carried out, or wasn't: Why
	AgreementChanged                       // the table of this node's replica changed
	ReplicaContactChanged                  // this node's replica is in contact with the group, or not any more: ReplicaCurrent
)

// Input is one event. The replicator owns what it points to.
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

// EffectKind names what is to be done.
type EffectKind uint8

// The kinds of effects.
const (
	Send           EffectKind = iota // a datagram to To
	Exchange                         // open Link to To, write Message, wait for the answer
	Reply                            // answer the exchange on Link
	ApplyVersion                     // apply Revision: Diff(Old, New) are the changes; answered by VersionApplied. It replaces a pending CheckVersion
	CheckVersion                     // check whether Revision could be applied, and change nothing; answered by VersionChecked
	PersistVersion                   // write Revision to the disk: Records after what was written before, or all of New where Full; answered by VersionPersisted
	ProposeCommand                   // have the replica propose Command
	WriteLog                         // log Text
)

// Effect is one thing to do. What it points to must not be changed.
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
