package node

import (
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/resultcache"
)

// EffectKind names what is to be done.
type EffectKind uint8

// The effects.
const (
	ReadConnection       EffectKind = iota // read frames from a new connection
	SendToConnection                       // write to a connection
	CloseAfterFlush                        // close it once all is written and nothing lies unread, giving the peer time to read; then Closed
	EvictConnection                        // the same without that time, and without waiting for the rest of a frame; it may follow CloseAfterFlush
	ResumeConnection                       // not yet: an invocation came on it meanwhile
	DiscardInput                           // read on slowly, only to see its end: nothing on it can be used
	DialExecutor                           // open a link to the executor, giving Joined or Parted
	SendToExecutor                         // write to the executor
	CloseExecutor                          // close the link to the executor, giving Parted
	DialCatalogue                          // open a link to the catalogue, giving Reached or Unreached
	SendToCatalogue                        // write to the catalogue
	CloseCatalogue                         // close the link to the catalogue, giving Broke
	SendReport                             // report to the control plane, giving Reported
	StopAccepting                          // close the listening socket once all that waits there is taken, giving ListenerClosed
	Exit                                   // all is done: end
	SetWakeup                              // step again at this time at the latest
	WriteLog                               // log
	SampleState                            // show the state
	LevelChanged                           // tell of a change of level
	WriteRecord                            // write Kept to the store, giving KeptWritten or KeptUnwritten
	SendDatagram                           // send a datagram to a peer
	OpenExchange                           // open an exchange with a peer, giving PeerAnswered or PeerMissed
	ReplyToExchange                        // answer the exchange that a peer opened; without bytes, close it
	ViewChanged                            // tell of a change of the view
	SendOnStream                           // write a letter to the stream Link, or where that is gone or 0 to one to Address
	CloseStream                            // end the stream
	VersionApplied                         // a version is in force, or with Err it is refused and nothing is changed
	PersistVersion                         // carry out Persisting on the disk, giving VersionKept
	ReportVersionInForce                   // tell of a version that came into force
	PersistReplicaWrite                    // carry out Write on the disk of the council's seat, in order, giving Persisted
	CallerTimeoutRaised                    // callers may wait for At ns from now on
)

// LogLevel is how loud a remark is.
type LogLevel uint8

// The levels of remarks.
const (
	Debug LogLevel = iota
	Info
	Warn
)

// Effect is one thing to do; only the fields of its kind are set.
type Effect struct {
	Kind        EffectKind
	Link        int
	Address     string // Dial, Reach, Report
	At          int64
	Bytes       []byte
	Ready       bool
	LogLevel    LogLevel
	Text        string
	ID          string
	Err         error
	State       *State       // Sample
	LevelChange *LevelChange // Turned
	Change      *membership.Change
	Record      *resultcache.Record
	Version     uint64 // Amended

	Write      *consensus.Write   // Persist
	Persisting *configsync.Effect // KeepVersion
	InForce    *VersionInForce    // InForce
}
