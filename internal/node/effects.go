package node

import (
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/resultcache"
)

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects. An input after "then" is the one that the host delivers when the effect is carried out.
// CloseWithoutLinger may follow CloseAfterFlush on the same connection.
const (
	ReadConnection       EffectKind = iota // start reading frames from the connection Link
	SendToConnection                       // write Bytes to the connection Link
	CloseAfterFlush                        // close the connection Link once everything is written and read, leaving the peer time to read it; then ConnectionClosed
	CloseWithoutLinger                     // close the connection Link once everything is written, leaving the peer no time to read it, even within a frame
	ResumeConnection                       // cancel the close of the connection Link, on which a request has arrived
	DiscardInput                           // discard all further input of the connection Link: read slowly, only to notice its end
	DialExecutor                           // open the link Link to the executor at Address; then ExecutorConnected or ExecutorDisconnected
	SendToExecutor                         // write Bytes to the executor's link
	CloseExecutor                          // close the executor's link; then ExecutorDisconnected
	DialCatalogue                          // open the link Link to the catalogue at Address; then CatalogueConnected or CatalogueDialFailed
	SendToCatalogue                        // write Bytes to the catalogue's link, unless At is set and has passed
	CloseCatalogue                         // close the catalogue's link; then CatalogueDisconnected
	SendReport                             // report Ready to the control plane at Address; then ReportFinished
	StopAccepting                          // close the listener once all waiting connections are accepted; then ListenerClosed
	Exit                                   // end the process
	SetWakeup                              // call Step again at the time At at the latest
	WriteLog                               // write the log entry Text with LogLevel, ID and Err
	PublishState                           // publish the sample State
	PublishLevelChange                     // publish LevelChange, a change of the degradation level or plan
	WriteRecord                            // write Record to the result store; then RecordWritten or RecordWriteFailed
	SendDatagram                           // send Bytes to the node at Address as a datagram
	OpenExchange                           // send Bytes to the node at Address as a request; then PeerResponseReceived or PeerExchangeFailed
	ReplyToExchange                        // answer the request Link of another node with Bytes; without Bytes, close its exchange
	PublishViewChange                      // publish ViewChange, a change of the membership view
	SendOnStream                           // write Bytes to the stream Link, or to a stream to Address if Link is 0 or has ended
	CloseStream                            // close the stream Link
	ReportVersionOutcome                   // Version of the configuration is in force, with Text on its changes, or was rejected with Err and has changed nothing
	PersistVersion                         // write the configuration in ConfigWrite to disk; then VersionPersisted
	ReportVersionInForce                   // publish InForce, a version of the configuration that came into force
	PersistReplicaWrite                    // carry out ReplicaWrite on the replica's disk, in the order of the effects; then ReplicaWritePersisted
	RaiseCallerTimeout                     // allow callers to wait for up to At nanoseconds for an answer from now on
)

// LogLevel is the severity of a log entry.
type LogLevel uint8

// The severities of log entries.
const (
	Debug LogLevel = iota
	Info
	Warn
)

// Effect is an action that the host carries out. Only the fields of its kind are set.
type Effect struct {
	Kind        EffectKind
	Link        int    // number of the connection, link, stream, exchange or report
	Address     string // where to dial or to send
	At          int64  // ns, a time or, with RaiseCallerTimeout, a duration
	Bytes       []byte
	Ready       bool // the node is ready for invocations
	LogLevel    LogLevel
	Text        string // of a log entry, or on the changes of a version
	ID          string // subject of a log entry
	Err         error
	State       *State
	LevelChange *LevelChange
	ViewChange  *membership.Change
	Record      *resultcache.Record
	Version     uint64

	ReplicaWrite *consensus.Write
	ConfigWrite  *configsync.Effect
	InForce      *VersionInForce
}
