// Package membership is the failure detector and membership protocol of a fleet. Each node probes a few neighbours on
// rings over the fleet and publishes the links that work in its own record. Records spread by gossip; nodes whose tables of
// records differ synchronize them in exchanges, each a request with an answer. The view is the set of members that this node
// reaches over a path of links that both ends publish, and of those lost for less than the suspicion timeout. Neighbours are
// members next to each other on a ring.
//
// The package does no I/O and reads no clock: Step takes inputs and returns effects.
package membership
