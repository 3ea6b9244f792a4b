package server

import (
	"errors"
	"os"
	"time"

	"topazpost/internal/node"
	"topazpost/internal/protocol/frame"
)

const (
	partialFrameTimeout = 2 * time.Second       // without another byte; a dispatcher writes a frame with one call
	discardInterval     = 20 * time.Millisecond // between reads of unusable input, so that the peer's speed doesn't matter
	discardReadSize     = 4 << 10
)

// Reasons for which no more frames are read from a connection.
var (
	errPartialFrame   = errors.New("connection: a frame was not completed in time")
	errInputDiscarded = errors.New("connection: its input is discarded")
	errClosedLocally  = errors.New("connection: closed by this node")
)

// read is the connection's reader: it passes frames on while they can be used, then discards input until the connection ends.
// A close over unread bytes would reset the connection and destroy answers that are on their way.
func (c *connections) read(conn *connection) {
	err := c.readFrames(conn)
	switch {
	case errors.Is(err, frame.ErrLength), errors.Is(err, errPartialFrame):
		c.server.enqueueDispatcherInput(node.Input{Kind: node.FrameMalformed, Link: conn.link, Err: err})
		conn.clearReadDeadline()
		err = c.discard(conn)
	case errors.Is(err, errInputDiscarded):
		conn.clearReadDeadline()
		err = c.discard(conn)
	case errors.Is(err, errClosedLocally):
		err = c.discard(conn)
	}
	c.server.enqueueDispatcherInput(node.Input{Kind: node.ConnectionClosed, Link: conn.link, Err: err})
	c.release(conn)
}

// discard reads slowly until the peer closes, or until lingerTimeout after this side was closed. Calls in what it reads are
// not run, as they could not be answered.
func (c *connections) discard(conn *connection) error {
	buffer := make([]byte, discardReadSize)
	for {
		conn.mu.Lock()
		writeClosed := conn.writeClosed
		noLinger := conn.noLinger
		conn.mu.Unlock()
		if writeClosed && noLinger {
			return errClosedLocally
		}
		_, err := conn.socket.Read(buffer)
		switch {
		case err == nil:
			time.Sleep(discardInterval)
		case errors.Is(err, os.ErrDeadlineExceeded) && !writeClosed:
			conn.tryCloseWrite()
		default:
			return err
		}
	}
}

// frameReader reads the frames of one connection. Its deadlines bound how long a frame that has begun may stay incomplete.
type frameReader struct {
	connections *connections
	conn        *connection
	parser      frame.Parser

	partial  bool      // a frame has begun and is incomplete
	nextBy   time.Time // when more of it must have arrived
	frameBy  time.Time // when all of it must have arrived
	overdue  bool      // a deadline of it has passed once
	idle     bool      // a read has found nothing since idleAt
	idleAt   time.Time
	complete bool // the last read completed a frame
}

// readFrames passes frames on until the connection's end, the first malformed frame, the first that isn't completed in time, or
// the last before this side was closed.
func (c *connections) readFrames(conn *connection) error {
	r := frameReader{connections: c, conn: conn}
	for {
		n, err := conn.socket.Read(r.parser.Space())
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if err := r.deadlinePassed(time.Now()); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		r.idle = false
		r.parser.Wrote(n)
		if err := r.passOn(); err != nil {
			return err
		}
		r.setDeadline()
	}
}

// deadlinePassed decides whether reading goes on after a deadline. One that passed while the process did not run doesn't
// prove that nothing lies unread, so a second read follows shortly.
func (r *frameReader) deadlinePassed(now time.Time) error {
	switch {
	case r.partial && now.Before(r.nextBy) && !r.conn.evicting(): // woken for the close, which waits for the rest of the frame
		r.conn.setReadDeadline(r.nextBy)
	case r.partial && r.overdue:
		return errPartialFrame
	case r.partial:
		r.overdue = true
		r.idle = false
		r.idleAt = now
		r.conn.setReadDeadline(now.Add(pauseGracePeriod))
	case !r.idle || now.Sub(r.idleAt) > pauseThreshold:
		r.overdue = false
		r.idle = true
		r.idleAt = now
		r.conn.setReadDeadline(now.Add(pauseGracePeriod))
	default:
		if r.conn.tryCloseWrite() {
			return errClosedLocally
		}
		r.idle = false
	}
	return nil
}

// passOn hands the complete frames to the state machine, each once it has a place in the connection's queue.
func (r *frameReader) passOn() error {
	c := r.connections
	r.complete = false
	for {
		f, ok, err := r.parser.Next()
		if err != nil {
			return err
		}
		if !ok {
			return nil
		}
		r.complete = true
		if r.conn.discarding.Load() {
			return errInputDiscarded
		}
		f.Payload = append([]byte(nil), f.Payload...)
		select {
		case r.conn.queuedFrames <- struct{}{}:
		case <-c.server.ctx.Done():
			return c.server.ctx.Err()
		}
		if !c.server.enqueueDispatcherInput(node.Input{Kind: node.FrameReceived, Link: r.conn.link, Frame: f}) {
			return c.server.ctx.Err()
		}
	}
}

// setDeadline sets the deadline of the next read: for an incomplete frame, or none.
func (r *frameReader) setDeadline() {
	wasPartial := r.partial
	r.partial = r.parser.Incomplete()
	if !r.partial {
		if wasPartial {
			r.conn.clearReadDeadline()
		}
		return
	}
	now := time.Now()
	if r.complete || !wasPartial { // past the longest client timeout no caller waits for it
		r.frameBy = now.Add(time.Duration(r.connections.maxClientTimeout.Load()))
	}
	r.overdue = false
	r.nextBy = now.Add(partialFrameTimeout)
	if r.nextBy.After(r.frameBy) {
		r.nextBy = r.frameBy
	}
	if r.conn.evicting() {
		r.nextBy = now
	}
	r.conn.setReadDeadline(r.nextBy)
}
