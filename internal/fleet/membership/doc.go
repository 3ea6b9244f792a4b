// Package membership is the failure detector and membership protocol of a fleet. Each node probes a few neighbours on
// rings over the fleet and publishes the links that work in its own record. Records spread by gossip; tables that differ
// are synchronized in exchanges. The view is the set of members that a path of links, confirmed by both ends, leads to.
//
// The package does no I/O and reads no clock: Step takes inputs and returns effects.
package membership
