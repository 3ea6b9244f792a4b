// Package admission decides about the load of a node: which invocations it accepts, in which order it runs them,
// which calls to its dependency it starts, which operations it sheds, how it drains and how much load it asks
// callers for.
//
// The host of a node creates one Controller and passes each batch of events to Decide, which returns the actions
// to carry out, in order. A Controller does no input or output, reads no clock and takes random numbers only from a
// seeded source, so that the same configuration and events always give the same actions. It is not safe for
// concurrent use.
//
// Times and durations are in nanoseconds, memory is in kilobytes.
package admission
