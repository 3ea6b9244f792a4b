package server

import (
	"errors"
	"net"
	"os"
	"time"

	"topazpost/internal/node"
)

// accept takes connections while descriptors last; without one it waits a little, and so never spins. After stopAccepting it
// goes on until nothing waits to be accepted, for as long as that takes descriptors to come free.
func (c *connections) accept() error {
	timeouts := 0 // tries that found nothing since the end of intake
	accepted, since := 0, time.Time{}
	end := func() error {
		c.server.listener.Close()
		c.server.log.Info().Msg("no connection more is taken")
		c.server.enqueueDispatcherInput(node.Input{Kind: node.ListenerClosed})
		return nil
	}
	for next := 1; ; next++ {
		select {
		case c.slots <- struct{}{}:
		default:
			select {
			case c.slots <- struct{}{}:
			case <-c.server.ctx.Done():
				return nil
			}
			accepted, since = 0, time.Now()
		}
		conn, err := c.server.listener.Accept()
		for err != nil {
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded) && timeouts < maxFinalAcceptTimeouts:
				if timeouts++; timeouts == 1 {
					accepted, since = 0, time.Now()
				}
				c.server.listener.SetDeadline(time.Now().Add(finalAcceptTimeout))
			case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
				return end()
			default:
				c.server.limitedLog.Warn().Err(err).Msg("no connection could be accepted")
				time.Sleep(acceptBackoff)
			}
			conn, err = c.server.listener.Accept()
		}
		if timeouts > 0 {
			timeouts = 1
			c.server.listener.SetDeadline(time.Now().Add(finalAcceptTimeout))
		}
		k := &connection{link: next, conn: conn.(*net.TCPConn), queuedFrames: make(chan struct{}, maxQueuedFrames)}
		c.mu.Lock()
		c.open[next] = k
		c.mu.Unlock()
		if !c.server.enqueueDispatcherInput(node.Input{Kind: node.ConnectionOpened, Link: next}) {
			k.conn.Close()
			return nil
		}
		if accepted++; timeouts > 0 && accepted >= maxFinalAccepts && time.Since(since) >= finalAcceptWindow {
			return end()
		}
	}
}

// stopAccepting ends the listening socket once all that the system took is accepted: an invocation written to a connection
// that waits there would be lost with it.
func (c *connections) stopAccepting() { c.server.listener.SetDeadline(expiredDeadline) }
