// Package admission decides about the load of a node: which invocations it accepts, in which order it runs them,
// which calls to its dependency it starts, which operations it sheds, how it drains and how much load it asks
// callers for.
//
// The host of a node creates one Controller and passes each batch of events to Decide, which returns the actions
// to carry out, in order. A Controller does no input or output, reads no clock and takes random numbers only from a
// seeded source, so that the same configuration and events always give the same actions. It is not safe for
// concurrent use.
//
// Times and durations are in nanoseconds, memory is in kilobytes. Some terms:
//
//   - Work is the core time that an invocation needs on a node at its usual speed, as estimated by the caller or by
//     default, in nanoseconds. Measured core time corrects this estimate.
//   - A request is read when the host has received it and reports it as an event of kind Arrived. The queueing delay is
//     the time from its arrival at the machine until then; the queue wait is the time after that.
//   - An execution pause is a period in which the node's process or its cores execute nothing.
package admission
