package server

import (
	"context"
	"net"
	"sync"
	"time"

	"topazpost/internal/node"
	"topazpost/internal/protocol/lineprotocol"
)

const (
	dialWait     = time.Second // for a connection on the same machine or the next
	linkPending  = 4 << 20     // bytes that may wait on a link; then it is opened anew
	linkWriteEnd = 10 * time.Second
)

// kind is how a link speaks: what its events are handed on as, and which of its lines have a body.
type kind struct {
	up, failed, line, end node.InputKind
	counted               func(words []string) bool
}

var (
	toExecutor = kind{node.ExecutorConnected, node.ExecutorDisconnected, node.ExecutorLineReceived, node.ExecutorDisconnected, func(words []string) bool {
		return words[0] == "EXIT" && len(words) == 6 || words[0] == "CALLOUT" && len(words) == 4
	}}
	toCatalogue = kind{node.CatalogueConnected, node.CatalogueDialFailed, node.CatalogueLineReceived, node.CatalogueDisconnected,
		func(words []string) bool { return len(words) == 3 && words[1] == "DATA" }}
)

// link is a connection that this node opened, with lines on it: to the executor or to the catalogue.
type link struct {
	s       *Server
	number  int
	kind    kind
	stop    context.CancelFunc // ends it, while it is being opened too
	mu      sync.Mutex
	pending []byte
	writing bool
	by      int64 // when what is pending is of no use any more, 0 for never
	net     net.Conn
}

// open dials and hands on what comes until the end. Only the loop opens, writes to and closes links.
func (s *Server) open(number int, address string, kind kind) {
	ctx, stop := context.WithCancel(s.ctx)
	l := &link{s: s, number: number, kind: kind, stop: stop}
	s.links[number] = l
	s.group.Go(func() error {
		defer stop()
		if kind.up == node.CatalogueConnected { // one that was left may not have given its descriptor back yet
			select {
			case s.calls <- struct{}{}:
				defer func() { <-s.calls }()
			case <-ctx.Done():
				s.tell(node.Input{Kind: kind.failed, Link: number, Err: ctx.Err()})
				return nil
			}
		}
		conn, err := (&net.Dialer{Timeout: dialWait}).DialContext(ctx, "tcp", address)
		if err != nil {
			s.tell(node.Input{Kind: kind.failed, Link: number, Err: err})
			return nil
		}
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		l.mu.Lock()
		l.net = conn
		l.mu.Unlock()
		s.tell(node.Input{Kind: kind.up, Link: number})
		err = l.read()
		conn.Close()
		s.tell(node.Input{Kind: kind.end, Link: number, Err: err})
		return nil
	})
}

func (l *link) read() error {
	parser := lineprotocol.Parser{HasBody: l.kind.counted}
	for {
		n, err := l.net.Read(parser.Space())
		if err != nil {
			return err
		}
		parser.Wrote(n)
		for {
			line, ok, err := parser.Next()
			if err != nil {
				l.s.limited.Warn().Err(err).Msg("link can't be parsed")
				return err
			}
			if !ok {
				break
			}
			line.Body = append([]byte{}, line.Body...)
			if !l.s.tell(node.Input{Kind: l.kind.line, Link: l.number, Line: line}) {
				return l.s.ctx.Err()
			}
		}
	}
}

// write leaves bytes to a writer that is started when there is something to write.
// write hands bytes to a link's writer. With by, a moment of the node's clock, they are of no use after it: the link ends
// instead.
func (s *Server) write(number int, b []byte, by int64) {
	l := s.links[number]
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(b) > linkPending {
		s.limited.Warn().Int("link", number).Msg("link takes nothing, opened anew")
		l.stop()
		return
	}
	l.pending, l.by = append(l.pending, b...), by
	if !l.writing && l.net != nil {
		l.writing = true
		s.group.Go(func() error { l.writeOut(); return nil })
	}
}

func (l *link) writeOut() {
	var spare []byte
	for {
		l.mu.Lock()
		b := l.pending
		if l.pending = spare[:0]; len(b) == 0 {
			l.pending, l.writing = nil, false
			l.mu.Unlock()
			return
		}
		by := l.by
		l.mu.Unlock()
		if by > 0 {
			if now, _ := l.s.clock.Now(); now > by {
				l.stop()
				return
			}
		}
		l.net.SetWriteDeadline(time.Now().Add(linkWriteEnd))
		if _, err := l.net.Write(b); err != nil {
			l.net.Close()
			return
		}
		spare = b
	}
}

// disconnect closes a link, or gives up opening it.
func (s *Server) disconnect(number int) {
	if l := s.links[number]; l != nil {
		l.stop()
	}
}
