package node

import (
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/resultcache"
)

// EffectKind is what kind of effect an Effect is.
type EffectKind uint8

// The kinds of effects, with the inputs that follow them.
const (
	ReadConnection       EffectKind = iota // read frames from a new connection
	SendToConnection                       // write Bytes to a connection
	CloseAfterFlush                        // close it once all is written and read, giving the peer time to read; then ConnectionClosed
	EvictConnection                        // close it without that time, even within a frame; may follow CloseAfterFlush
	ResumeConnection                       // cancel CloseAfterFlush: an invocation has crossed it
	DiscardInput                           // read on slowly, only to see its end
	DialExecutor                           // open a link to the executor; then ExecutorConnected or ExecutorDisconnected
	SendToExecutor                         // write Bytes to it
	CloseExecutor                          // close it; then ExecutorDisconnected
	DialCatalogue                          // open a link to the catalogue; then CatalogueConnected or CatalogueDialFailed
	SendToCatalogue                        // write Bytes to it, unless At is set and has passed
	CloseCatalogue                         // close it; then CatalogueDisconnected
	SendReport                             // report Ready to the control plane; then ReportFinished
	StopAccepting                          // close the listener once all waiting connections are accepted; then ListenerClosed
	Exit                                   // end the process
	SetWakeup                              // step again at At at the latest
	WriteLog                               // write a log entry
	SampleState                            // publish State
	LevelChanged                           // the degradation level has changed
	WriteRecord                            // write Record to the store; then RecordWritten or RecordWriteFailed
	SendDatagram                           // send Bytes to another node
	OpenExchange                           // send Bytes in an exchange; then PeerResponseReceived or PeerExchangeFailed
	ReplyToExchange                        // answer the exchange that another node opened; without Bytes, close it
	ViewChanged                            // the view of the fleet has changed
	SendOnStream                           // write a message to the stream Link, or if that is gone or 0, to one to Address
	CloseStream                            // close the stream
	VersionApplied                         // Version is in force, or with Err it is refused and nothing has changed
	PersistVersion                         // carry out Persisting on the disk; then VersionPersisted
	ReportVersionInForce                   // publish that a version came into force
	PersistReplicaWrite                    // carry out Write on the replica's disk, in order; then ReplicaWritePersisted
	CallerTimeoutRaised                    // callers may wait for At nanoseconds from now on
)

// LogLevel is the severity of a log entry.
type LogLevel uint8

// The severities of log entries.
const (
	Debug LogLevel = iota
	Info
	Warn
)

// Effect is something that the host is to do; only the fields of its kind are set.
type Effect struct {
	Kind        EffectKind
	Link        int
	Address     string
	At          int64
	Bytes       []byte
	Ready       bool
	LogLevel    LogLevel
	Text        string
	ID          string // call that a log entry is about
	Err         error
	State       *State
	LevelChange *LevelChange
	Change      *membership.Change
	Record      *resultcache.Record
	Version     uint64

	Write      *consensus.Write
	Persisting *configsync.Effect
	InForce    *VersionInForce
}
