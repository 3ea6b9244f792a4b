package server

import (
	"errors"
	"math"
	"time"

	"topazpost/internal/node"
)

const (
	maxInputsPerStep = 256 // of each queue, so that the effects of the first input aren't delayed

	pauseThreshold   = 20 * time.Millisecond // a timer that fires later than this shows that the process did not run
	pauseGracePeriod = 2 * time.Millisecond  // for readers to deliver what arrived during a pause, before timeouts count
)

// errDrained ends a node that is drained.
var errDrained = errors.New("server: drained")

// eventLoop feeds the state machine; its goroutine is the only one in which the state changes.
type eventLoop struct {
	server        *Server
	timer         *time.Timer
	wakeAt        int64         // when the state machine asked to be woken, by its clock
	drainRequests chan struct{} // nil once the drain was requested
	inputs        []node.Input

	datagrams chan peerMessage // nil without a fleet, as the next two
	messages  chan peerMessage // of streams
	exchanges chan node.Input
}

// loop runs the event loop until the node is drained or its context ends.
func (s *Server) loop() error {
	l := eventLoop{
		server:        s,
		timer:         time.NewTimer(0),
		wakeAt:        math.MaxInt64,
		drainRequests: s.drainRequests,
		inputs:        make([]node.Input, 0, maxInputsPerStep),
	}
	defer l.timer.Stop()
	if s.config.Levels != nil {
		l.inputs = append(l.inputs, node.Input{Kind: node.PlanChanged, Plan: s.config.Levels})
	}
	if s.fleet != nil {
		l.datagrams = s.fleet.datagrams
		l.messages = s.fleet.streams.received
		l.exchanges = s.fleet.exchangeInputs
	}
	for {
		if err := l.await(); err != nil {
			return err
		}
		l.takeQueued()
		if err := l.step(); err != nil {
			return err
		}
	}
}

// await waits for the first input of a step, or for the time of the next one.
func (l *eventLoop) await() error {
	s := l.server
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-l.timer.C: // a reply that lies unread after a pause must not count as one that never came
		if now, _ := s.clock.Now(); now-l.wakeAt > int64(pauseThreshold) {
			time.Sleep(pauseGracePeriod)
		}
	case in := <-s.inputs:
		l.inputs = append(l.inputs, in)
	case in := <-s.dispatcherInputs:
		l.inputs = append(l.inputs, in)
	case m := <-l.datagrams:
		l.inputs = append(l.inputs, m.input())
	case in := <-l.exchanges:
		l.inputs = append(l.inputs, in)
	case m := <-l.messages:
		l.inputs = append(l.inputs, m.input())
	case <-l.drainRequests:
		l.drainRequests = nil
		l.inputs = append(l.inputs, node.Input{Kind: node.DrainRequested})
	case <-s.abortRequests:
		l.inputs = append(l.inputs, node.Input{Kind: node.AbortRequested})
	case next := <-s.reloadRequests:
		l.inputs = append(l.inputs, s.reloadInput(next))
	}
	return nil
}

// reloadInput is the input for another config; the fields that a running node doesn't take are logged.
func (s *Server) reloadInput(next *Config) node.Input {
	for _, field := range s.config.changedFields(next) {
		s.log.Warn().Str("field", field).Msg("configuration: a new value here takes a new start")
	}
	return node.Input{Kind: node.ReloadRequested, Addresses: next.addresses(), Plan: next.Levels}
}

// takeQueued adds the inputs that wait, up to a bound for each queue.
func (l *eventLoop) takeQueued() {
	l.inputs = appendQueued(l.inputs, l.server.inputs, maxInputsPerStep)
	l.inputs = appendQueued(l.inputs, l.server.dispatcherInputs, maxInputsPerStep)
	if l.server.fleet != nil {
		l.inputs = l.server.fleet.appendQueued(l.inputs)
	}
}

// step gives the inputs to the state machine and carries out its effects.
func (l *eventLoop) step() error {
	s := l.server
	now, wall := s.clock.Now()
	l.wakeAt = math.MaxInt64
	effects := s.state.Step(now, wall, l.inputs)
	if after, _ := s.clock.Now(); after-now > s.longestStep {
		s.longestStep = after - now
	}
	for _, e := range effects {
		switch e.Kind {
		case node.SetWakeup:
			l.wakeAt = e.At
		case node.Exit:
			s.logAndFlush()
			return errDrained
		default:
			s.apply(&e)
		}
	}
	s.forgetEndedLinks(l.inputs)
	s.conns.releaseFrames(l.inputs)
	clear(l.inputs)
	l.inputs = l.inputs[:0]
	s.conns.flush()
	l.timer.Reset(time.Duration(max(0, l.wakeAt-now)))
	return nil
}

// logAndFlush logs the counters of a drained node and writes out what is still queued.
func (s *Server) logAndFlush() {
	s.log.Info().Interface("counters", s.state.Counters).Interface("levels", s.state.ServiceCountsByLevel()).
		Interface("results", s.state.ResultCacheCounters()).Interface("peers", s.fleetCounters()).
		Interface("claims", s.state.ConsensusSummary()).Interface("configuration", s.state.ConfigSyncStatus()).
		Interface("did_not_hold", s.state.Invariants.All()).Msg("drained, leaving")
	s.conns.flushAll()
	if s.fleet != nil {
		s.fleet.flush()
	}
}

// appendQueued appends the inputs that are queued, up to the limit.
func appendQueued(inputs []node.Input, queue chan node.Input, limit int) []node.Input {
	for range limit {
		select {
		case in := <-queue:
			inputs = append(inputs, in)
		default:
			return inputs
		}
	}
	return inputs
}

// forgetEndedLinks removes the links that have ended.
func (s *Server) forgetEndedLinks(inputs []node.Input) {
	for i := range inputs {
		switch inputs[i].Kind {
		case node.ExecutorDisconnected, node.CatalogueDialFailed, node.CatalogueDisconnected:
			delete(s.links, inputs[i].Link)
		}
	}
}

// enqueueDispatcherInput queues an input from a dispatcher; false means that the node has ended.
func (s *Server) enqueueDispatcherInput(in node.Input) bool { return s.enqueue(s.dispatcherInputs, in) }

// enqueueInput queues an input from the node's own peers or disks; false means that the node has ended.
func (s *Server) enqueueInput(in node.Input) bool { return s.enqueue(s.inputs, in) }

func (s *Server) enqueue(queue chan node.Input, in node.Input) bool {
	select {
	case queue <- in:
		return true
	case <-s.ctx.Done():
		return false
	}
}
