package node

import (
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
