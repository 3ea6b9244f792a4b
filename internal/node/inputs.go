package node

import (
	"topazpost/internal/nodeconfig"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
	"topazpost/internal/resultcache"
)

// InputKind is the kind of an Input.
type InputKind uint8

// The kinds of inputs. Link numbers what an input is about. The state machine numbers its links to the executor and the
// catalogue, its reports and the exchanges that it opens, in the effects that open them. The host numbers dispatchers'
// connections, streams, and the exchanges that other nodes open. No number is used twice for the same kind of thing.
const (
	ConnectionOpened      InputKind = iota // a dispatcher's connection was accepted
	FrameReceived                          // Frame was read from a dispatcher's connection
	FrameMalformed                         // a dispatcher's connection can't be parsed any further, for Err
	ConnectionClosed                       // a dispatcher's connection is closed
	ListenerClosed                         // the listener is closed, after ConnectionOpened for all connections that it had accepted
	ExecutorConnected                      // a link to the executor is open
	ExecutorLineReceived                   // Line was read from the executor's link
	ExecutorDisconnected                   // the executor's link ended, or could not be opened
	CatalogueConnected                     // a link to the catalogue is open
	CatalogueLineReceived                  // Line was read from the catalogue's link
	CatalogueDialFailed                    // the catalogue's link could not be opened
	CatalogueDisconnected                  // the catalogue's link ended
	ReportFinished                         // a report to the control plane succeeded, or failed with Err
	DrainRequested                         // the node must drain
	AbortRequested                         // the node must abort pending invocations and exit
	ReloadRequested                        // Addresses and Plan may have changed
	RecordsRecovered                       // Records were read that an earlier incarnation of the node had stored
	RecoveryCompleted                      // all stored records were read, but for those at DamagedPlaces
	RecordWritten                          // Records are durable
	RecordWriteFailed                      // Records could not be written, for Err
	PeerDatagramReceived                   // a datagram arrived from another node
	PeerRequestReceived                    // another node opened an exchange with a request
	PeerResponseReceived                   // a response arrived in an exchange of this node
	PeerExchangeFailed                     // an exchange of this node failed
	PeerMessageReceived                    // a message arrived on a stream from another node
	PeerStreamClosed                       // a stream to or from another node ended
	PlanChanged                            // Plan is the degradation plan from now on
	VersionPersisted                       // the last PersistVersion effect was carried out, or failed with Err
	ReplicaWritePersisted                  // the replica's writes up to Number are durable, or the disk failed with Err
	HollowClaimRequested                   // a hollow node must claim the token in Bytes
	HollowCallsRequested                   // a hollow node must keep Link calls in flight
	VersionReceived                        // Version of the configuration must be applied, with the changes in Amendment
)

// Addresses are the addresses of the executor, the catalogue and the control plane.
type Addresses struct{ Executor, Catalogue, Control string }

// Input is an event from outside the state machine. Only the fields of its kind are set. The state machine takes ownership
// of the data that they refer to.
type Input struct {
	Kind      InputKind
	Link      int // number of the connection, link, stream, exchange or report; with HollowCallsRequested, of calls
	Frame     frame.Frame
	Line      lineprotocol.Line
	Err       error
	Addresses Addresses
	Plan      *DegradationPlan // nil for no plan
	Bytes     []byte           // message of another node, or a token
	Records   []resultcache.Record
	Number    uint64 // of the replica's last durable write
	From      string // address of the other node

	Version   uint64
	Amendment *nodeconfig.Amendment

	DamagedPlaces int // of the result store that can't be read
}
