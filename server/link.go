package server

import (
	"net"
	"sync"
	"time"

	"topazpost/lines"
	"topazpost/reducer"
)

const (
	dialWait     = time.Second // for a connection on the same machine or the next
	linkPending  = 4 << 20     // bytes that may wait on a link; then it is opened anew
	linkWriteEnd = 10 * time.Second
)

// link is a connection that this node opened, with lines on it: to the executor or to the catalogue.
type link struct {
	s        *Server
	number   int
	net      net.Conn
	line, by reducer.InputKind // what a line and the end are handed on as
	mu       sync.Mutex
	pending  []byte
	wake     chan struct{}
}

// open dials and hands on what comes until the end. Counted says which lines have a body.
func (s *Server) open(address string, up, failed, line, end reducer.InputKind, counted func([]string) bool) *link {
	s.lastLink++
	l := &link{s: s, number: s.lastLink, line: line, by: end, wake: make(chan struct{}, 1)}
	s.group.Go(func() error {
		conn, err := (&net.Dialer{Timeout: dialWait}).DialContext(s.ctx, "tcp", address)
		if err != nil {
			s.put(reducer.Input{Kind: failed, Link: l.number, Err: err})
			return nil
		}
		l.mu.Lock()
		l.net = conn
		l.mu.Unlock()
		done := make(chan struct{})
		s.group.Go(func() error { l.writeOut(done); return nil })
		s.put(reducer.Input{Kind: up, Link: l.number})
		err = l.read(counted)
		close(done)
		conn.Close()
		s.put(reducer.Input{Kind: end, Link: l.number, Err: err})
		return nil
	})
	return l
}

func (l *link) read(counted func([]string) bool) error {
	stop := make(chan struct{})
	defer close(stop)
	l.s.group.Go(func() error {
		select {
		case <-l.s.ctx.Done():
			l.net.Close()
		case <-stop:
		}
		return nil
	})
	parser := lines.Parser{Counted: counted}
	for {
		n, err := l.net.Read(parser.Space())
		if err != nil {
			return err
		}
		parser.Wrote(n)
		for {
			line, ok, err := parser.Next()
			if err != nil {
				l.s.loud.Warn().Err(err).Msg("link can't be parsed")
				return err
			}
			if !ok {
				break
			}
			line.Body = append([]byte{}, line.Body...)
			if !l.s.put(reducer.Input{Kind: l.line, Link: l.number, Line: line}) {
				return l.s.ctx.Err()
			}
		}
	}
}

// write leaves bytes to the writer; they are dropped where the link is not this one any more.
func (l *link) write(number int, b []byte) {
	if l == nil || number != l.number {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(b) > linkPending {
		l.s.loud.Warn().Msg("link takes nothing, opened anew")
		l.net.Close()
		return
	}
	l.pending = append(l.pending, b...)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) writeOut(done chan struct{}) {
	var spare []byte
	for {
		select {
		case <-done:
			return
		case <-l.wake:
		}
		l.mu.Lock()
		b := l.pending
		l.pending = spare[:0]
		l.mu.Unlock()
		l.net.SetWriteDeadline(time.Now().Add(linkWriteEnd))
		if _, err := l.net.Write(b); err != nil {
			l.net.Close()
			return
		}
		spare = b
	}
}

// hangUp closes the link.
func (l *link) hangUp(number int) {
	if l == nil || number != l.number {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.net != nil {
		l.net.Close()
	}
}

func (s *Server) dialExecutor() {
	s.executor = s.open(s.plate.Executor, reducer.Joined, reducer.Parted, reducer.Told, reducer.Parted,
		func(words []string) bool {
			return words[0] == "EXIT" && len(words) == 6 || words[0] == "CALLOUT" && len(words) == 4
		})
}

func (s *Server) dialCatalogue() {
	s.below = s.open(s.plate.Catalog, reducer.Reached, reducer.Unreached, reducer.Replied, reducer.Broke,
		func(words []string) bool { return len(words) == 3 && words[1] == "DATA" })
}
