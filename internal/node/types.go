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
	Opened         InputKind = iota // a dispatcher's connection was accepted
	Read                            // a frame came on it
	Malformed                       // what came on it can't be read any further
	Closed                          // it is gone
	ListenerClosed                  // the listening socket is closed, and all that the system took there was handed on
	Joined                          // a link to the executor is up
	Told                            // a line came on it
	Parted                          // it ended, or could not be had
	Reached                         // a link to the catalogue is up
	Replied                         // a line came on it
	Unreached                       // a link to the catalogue could not be had
	Broke                           // it ended
	Reported                        // a report to the control plane ended
	Notice                          // the node is to drain
	Abort                           // it is to be done with that now: what is in hand is aborted and answered
	Reload                          // the peers have new addresses, and there may be another plan of levels
	KeptRecords                     // records of an earlier life that the store held
	KeptRead                        // all of them were read
	KeptWritten                     // what was to be kept is written
	KeptUnwritten                   // it could not be
	PeerCame                        // a datagram of a peer
	PeerAsked                       // a peer opened an exchange, with its message
	PeerAnswered                    // the answer to an exchange of ours
	PeerMissed                      // an exchange of ours came to nothing
	PeerTold                        // a letter on a stream of a peer
	PeerHungUp                      // a stream ended
	Adopt                           // there is a plan of levels, another one, or none any more
	VersionKept                     // the last KeepVersion was carried out, or wasn't: Err
	Persisted                       // writes of the council's seat count up to Number, or the disk failed
	TokenWanted                     // a hollow node is to claim a token, Bytes
	CallsWanted                     // a hollow node wants so many calls at a time, Link
	Amend                           // a version of the configuration is to come into force
)

// Addresses are where the peers of a node are.
type Addresses struct{ Executor, Catalogue, Control string }

// Input is one thing that happened. Payloads and bodies belong to the reducer from then on.
type Input struct {
	Kind   InputKind
	Link   int // the connection or link
	Frame  frame.Frame
	Line   lineprotocol.Line
	Err    error
	To     Addresses // Reload
	Plan   *Plan     // Adopt, Reload; nil for none
	Bytes  []byte    // of peers
	Kept   []resultcache.Record
	Number uint64 // Persisted
	From   string // address of the peer that sent them

	Version uint64                // Amend
	Change  *nodeconfig.Amendment // Amend
}

// EffectKind names what is to be done.
type EffectKind uint8

// The effects.
const (
	Receive         EffectKind = iota // read frames from a new connection
	Send                              // write to a connection
	CloseAfterFlush                   // close it once all is written and nothing lies unread, giving the peer time to read; then Closed
	Evict                             // the same without that time, and without waiting for the rest of a frame; it may follow CloseAfterFlush
	Resume                            // not yet: an invocation came on it meanwhile
	Ignore                            // read on slowly, only to see its end: nothing on it can be used
	Dial                              // open a link to the executor, giving Joined or Parted
	Tell                              // write to the executor
	Part                              // close the link to the executor, giving Parted
	Reach                             // open a link to the catalogue, giving Reached or Unreached
	Ask                               // write to the catalogue
	Quit                              // close the link to the catalogue, giving Broke
	Report                            // report to the control plane, giving Reported
	StopAccepting                     // close the listening socket once all that waits there is taken, giving ListenerClosed
	Leave                             // all is done: end
	Wake                              // step again at this time at the latest
	Remark                            // log
	Sample                            // show the state
	Turned                            // tell of a change of level
	Keep                              // write Kept to the store, giving KeptWritten or KeptUnwritten
	PeerSend                          // send a datagram to a peer
	PeerExchange                      // open an exchange with a peer, giving PeerAnswered or PeerMissed
	PeerReply                         // answer the exchange that a peer opened; without bytes, close it
	ViewChanged                       // tell of a change of the view
	PeerStream                        // write a letter to the stream Link, or where that is gone or 0 to one to Address
	PeerHangUp                        // end the stream
	Amended                           // a version is in force, or with Err it is refused and nothing is changed
	KeepVersion                       // carry out Persisting on the disk, giving VersionKept
	InForce                           // tell of a version that came into force
	Persist                           // carry out Write on the disk of the council's seat, in order, giving Persisted
	Slower                            // callers may wait for At ns from now on
)

// Level is how loud a remark is.
type Level uint8

// The levels of remarks.
const (
	Debug Level = iota
	Info
	Warn
)

// Effect is one thing to do; only the fields of its kind are set.
type Effect struct {
	Kind    EffectKind
	Link    int
	Address string // Dial, Reach, Report
	At      int64
	Bytes   []byte
	Ready   bool
	Level   Level
	Text    string
	ID      string
	Err     error
	State   *State // Sample
	Turn    *Turn  // Turned
	Change  *membership.Change
	Kept    *resultcache.Record
	Version uint64 // Amended

	Write      *consensus.Write   // Persist
	Persisting *configsync.Effect // KeepVersion
	InForce    *VersionInForce    // InForce
}
