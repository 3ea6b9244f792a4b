// Package node holds the one state of a real node. Step takes what happened and returns what is to be
// done; it has no goroutine, no socket and no clock. All that it decides by is package control.
package node

import (
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
	"topazpost/internal/resultcache"
)

// InputKind names what happened.
type InputKind uint8

// The inputs. A connection is named by a number of the server's, a link by that of the effect that opened it;
// neither is ever used twice.
const (
	ConnectionOpened      InputKind = iota // a dispatcher's connection was accepted
	FrameReceived                          // a frame came on it
	FrameMalformed                         // what came on it can't be read any further
	ConnectionClosed                       // it is gone
	ListenerClosed                         // the listening socket is closed, and all that the system took there was handed on
	ExecutorConnected                      // a link to the executor is up
	ExecutorLineReceived                   // a line came on it
	ExecutorDisconnected                   // it ended, or could not be had
	CatalogueConnected                     // a link to the catalogue is up
	CatalogueLineReceived                  // a line came on it
	CatalogueDialFailed                    // a link to the catalogue could not be had
	CatalogueDisconnected                  // it ended
	ReportFinished                         // a report to the control plane ended
	DrainRequested                         // the node is to drain
	AbortRequested                         // it is to be done with that now: what is in hand is aborted and answered
	ReloadRequested                        // the peers have new addresses, and there may be another plan of levels
	RecordsRecovered                       // records of an earlier life that the store held
	RecoveryCompleted                      // all of them were read
	RecordWritten                          // what was to be kept is written
	RecordWriteFailed                      // it could not be
	PeerDatagramReceived                   // a datagram of a peer
	PeerRequestReceived                    // a peer opened an exchange, with its message
	PeerResponseReceived                   // the answer to an exchange of ours
	PeerExchangeFailed                     // an exchange of ours came to nothing
	PeerMessageReceived                    // a letter on a stream of a peer
	PeerStreamClosed                       // a stream ended
	PlanChanged                            // there is a plan of levels, another one, or none any more
	VersionPersisted                       // the last KeepVersion was carried out, or wasn't: Err
	ReplicaWritePersisted                  // writes of the council's seat count up to Number, or the disk failed
	HollowClaimRequested                   // a hollow node is to claim a token, Bytes
	HollowCallsRequested                   // a hollow node wants so many calls at a time, Link
	VersionReceived                        // a version of the configuration is to come into force
)

// Addresses are where the peers of a node are.
type Addresses struct{ Executor, Catalogue, Control string }

// Input is one thing that happened. Payloads and bodies belong to the reducer from then on.
type Input struct {
	Kind      InputKind
	Link      int // the connection or link
	Frame     frame.Frame
	Line      lineprotocol.Line
	Err       error
	Addresses Addresses        // Reload
	Plan      *DegradationPlan // Adopt, Reload; nil for none
	Bytes     []byte           // of peers
	Records   []resultcache.Record
	Number    uint64 // Persisted
	From      string // address of the peer that sent them

	Version uint64                // Amend
	Change  *nodeconfig.Amendment // Amend
}

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
