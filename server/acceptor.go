package server

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"

	"topazpost/internal/node"
)

const (
	acceptBackoff = 20 * time.Millisecond

	// When the node stops accepting, connections that the kernel has accepted already are still taken. They are all taken
	// after maxFinalTimeouts timeouts, or once that many were accepted in a row, without waiting for a slot, in so long a time.
	finalAcceptTimeout = 5 * time.Millisecond
	maxFinalTimeouts   = 2 // one may be due to a pause of the process
	minFinalAccepts    = 64
	minFinalAcceptTime = 50 * time.Millisecond
)

// acceptor accepts dispatchers' connections while there are slots for them.
type acceptor struct {
	ctx      context.Context
	listener *net.TCPListener
	log      zerolog.Logger
	slots    chan struct{}

	timeouts int       // since the node stopped accepting
	accepted int       // in a row without waiting for a slot
	since    time.Time // when that row began
}

// accept accepts connections until the listener is closed. After stopAccepting it goes on until no connection waits in the
// kernel's queue, however long it takes for slots to become free.
func (c *connections) accept() error {
	s := c.server
	a := acceptor{ctx: s.ctx, listener: s.listener, slots: c.slots, log: s.limitedLog}
	for link := 1; ; link++ {
		if !a.acquireSlot() {
			return nil
		}
		conn, ok := a.next()
		if !ok {
			break
		}
		if !c.add(link, conn) {
			return nil
		}
		if a.queueEmptied() {
			break
		}
	}
	s.listener.Close()
	s.log.Info().Msg("no connection more is taken")
	s.enqueueDispatcherInput(node.Input{Kind: node.ListenerClosed})
	return nil
}

// acquireSlot waits for a slot; false means that the node has ended.
func (a *acceptor) acquireSlot() bool {
	select {
	case a.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case a.slots <- struct{}{}:
		a.restartRow()
		return true
	case <-a.ctx.Done():
		return false
	}
}

// next accepts a connection; false means that the listener is closed, or that its queue is empty after stopAccepting.
func (a *acceptor) next() (net.Conn, bool) {
	for {
		conn, err := a.listener.Accept()
		if err == nil {
			if a.timeouts > 0 {
				a.timeouts = 1
				a.listener.SetDeadline(time.Now().Add(finalAcceptTimeout))
			}
			return conn, true
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && a.timeouts < maxFinalTimeouts:
			a.timeouts++
			if a.timeouts == 1 {
				a.restartRow()
			}
			a.listener.SetDeadline(time.Now().Add(finalAcceptTimeout))
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil, false
		default:
			a.log.Warn().Err(err).Msg("no connection could be accepted")
			time.Sleep(acceptBackoff)
		}
	}
}

func (a *acceptor) restartRow() {
	a.accepted = 0
	a.since = time.Now()
}

// queueEmptied counts an accepted connection, and reports whether all that waited at stopAccepting are accepted by now,
// however many arrive after them.
func (a *acceptor) queueEmptied() bool {
	a.accepted++
	return a.timeouts > 0 && a.accepted >= minFinalAccepts && time.Since(a.since) >= minFinalAcceptTime
}

// stopAccepting closes the listener once the connections in the kernel's queue are accepted: calls that were sent on one of
// them would be lost with it.
func (c *connections) stopAccepting() { c.server.listener.SetDeadline(expiredDeadline) }
