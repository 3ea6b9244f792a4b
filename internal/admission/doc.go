// Package admission makes every decision of a node about its load: which invocations it accepts, in which order
// it runs them, which dependency calls it starts, what it sheds, how it drains and what load it asks callers for.
//
// The host of a node creates one Controller and passes each batch of events to Decide, which returns the actions
// to carry out, in order. A Controller does no input or output, reads no clock and draws chance from a seeded
// source only, so that the same configuration and events always give the same actions. It is not safe for
// concurrent use.
//
// Times and durations are in nanoseconds, memory is in kilobytes.
package admission
