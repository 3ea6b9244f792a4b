package node

import (
	"topazpost/internal/nodeconfig"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
	"topazpost/internal/resultcache"
)

// InputKind is what kind of input an Input is.
type InputKind uint8

// The kinds of inputs. A dispatcher's connection is identified by a number of the host, any other link by that of the
// effect that opened it. No number is used twice.
const (
	ConnectionOpened      InputKind = iota // a dispatcher's connection was accepted
	FrameReceived                          // a frame was read from it
	FrameMalformed                         // what it brought can't be parsed any further
	ConnectionClosed                       // it is closed
	ListenerClosed                         // the listener is closed, and all connections that it had accepted were passed on
	ExecutorConnected                      // a link to the executor is open
	ExecutorLineReceived                   // a line was read from it
	ExecutorDisconnected                   // it ended, or could not be opened
	CatalogueConnected                     // a link to the catalogue is open
	CatalogueLineReceived                  // a line was read from it
	CatalogueDialFailed                    // it could not be opened
	CatalogueDisconnected                  // it ended
	ReportFinished                         // a report to the control plane succeeded, or failed with Err
	DrainRequested                         // the node is to drain
	AbortRequested                         // it is to abort what is pending and exit
	ReloadRequested                        // Addresses and Plan may have changed
	RecordsRecovered                       // Records that the store had from an earlier incarnation
	RecoveryCompleted                      // all of them were read
	RecordWritten                          // a record is durable
	RecordWriteFailed                      // it could not be written
	PeerDatagramReceived                   // a datagram of another node
	PeerRequestReceived                    // another node opened an exchange, with its message
	PeerResponseReceived                   // the response in an exchange of this node
	PeerExchangeFailed                     // an exchange of this node failed
	PeerMessageReceived                    // a message on a stream of another node
	PeerStreamClosed                       // a stream ended
	PlanChanged                            // Plan is the degradation plan from now on
	VersionPersisted                       // the last PersistVersion was carried out, or failed with Err
	ReplicaWritePersisted                  // the replica's writes up to Number are durable, or the disk failed with Err
	HollowClaimRequested                   // a hollow node is to claim the token in Bytes
	HollowCallsRequested                   // a hollow node is to have Link calls in flight
	VersionReceived                        // Version of the configuration is to be applied, Change
)

// Addresses is where a node reaches its peers.
type Addresses struct{ Executor, Catalogue, Control string }

// Input is something that happened; only the fields of its kind are set. The state machine owns its payloads from then on.
type Input struct {
	Kind      InputKind
	Link      int // the connection or link
	Frame     frame.Frame
	Line      lineprotocol.Line
	Err       error
	Addresses Addresses
	Plan      *DegradationPlan // nil for none
	Bytes     []byte           // of other nodes
	Records   []resultcache.Record
	Number    uint64
	From      string // address of the other node

	Version uint64
	Change  *nodeconfig.Amendment
}
