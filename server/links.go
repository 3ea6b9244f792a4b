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
	dialTimeout         = time.Second // for a connection on the same machine or the next
	maxLinkPendingBytes = 4 << 20     // bytes that may wait on a link; then it is opened anew
	linkWriteTimeout    = 10 * time.Second
)

// linkKind is how a link speaks: what its events are handed on as, and which of its lines have a body.
type linkKind struct {
	connected, dialFailed, lineReceived, disconnected node.InputKind
	hasBody                                           func(words []string) bool
}

// link is a connection that this node opened, with lines on it: to the executor or to the catalogue.
type link struct {
	server    *Server
	number    int
	kind      linkKind
	cancel    context.CancelFunc // ends it, while it is being opened too
	mu        sync.Mutex
	pending   []byte
	writing   bool
	expiresAt int64 // when what is pending is of no use any more, 0 for never
	conn      net.Conn
}

// openLink dials and hands on what comes until the end. Only the loop opens, writes to and closes links.
func (s *Server) openLink(number int, address string, kind linkKind) {
	ctx, stop := context.WithCancel(s.ctx)
	l := &link{server: s, number: number, kind: kind, cancel: stop}
	s.links[number] = l
	s.group.Go(func() error {
		defer stop()
		if kind.connected == node.CatalogueConnected { // one that was left may not have given its descriptor back yet
			select {
			case s.catalogueSlots <- struct{}{}:
				defer func() { <-s.catalogueSlots }()
			case <-ctx.Done():
				s.enqueueInput(node.Input{Kind: kind.dialFailed, Link: number, Err: ctx.Err()})
				return nil
			}
		}
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			s.enqueueInput(node.Input{Kind: kind.dialFailed, Link: number, Err: err})
			return nil
		}
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		l.mu.Lock()
		l.conn = conn
		l.mu.Unlock()
		s.enqueueInput(node.Input{Kind: kind.connected, Link: number})
		err = l.read()
		conn.Close()
		s.enqueueInput(node.Input{Kind: kind.disconnected, Link: number, Err: err})
		return nil
	})
}

func (l *link) read() error {
	parser := lineprotocol.Parser{Counted: l.kind.hasBody}
	for {
		n, err := l.conn.Read(parser.Space())
		if err != nil {
			return err
		}
		parser.Wrote(n)
		for {
			line, ok, err := parser.Next()
			if err != nil {
				l.server.limitedLog.Warn().Err(err).Msg("link can't be parsed")
				return err
			}
			if !ok {
				break
			}
			line.Body = append([]byte{}, line.Body...)
			if !l.server.enqueueInput(node.Input{Kind: l.kind.lineReceived, Link: l.number, Line: line}) {
				return l.server.ctx.Err()
			}
		}
	}
}

// writeToLink leaves bytes to a writer that is started when there is something to writeToLink.
// writeToLink hands bytes to a link's writer. With by, a moment of the node's clock, they are of no use after it: the link ends
// instead.
func (s *Server) writeToLink(number int, b []byte, expiresAt int64) {
	l := s.links[number]
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(b) > maxLinkPendingBytes {
		s.limitedLog.Warn().Int("link", number).Msg("link takes nothing, opened anew")
		l.cancel()
		return
	}
	l.pending, l.expiresAt = append(l.pending, b...), expiresAt
	if !l.writing && l.conn != nil {
		l.writing = true
		s.group.Go(func() error { l.flush(); return nil })
	}
}

func (l *link) flush() {
	var spare []byte
	for {
		l.mu.Lock()
		b := l.pending
		if l.pending = spare[:0]; len(b) == 0 {
			l.pending, l.writing = nil, false
			l.mu.Unlock()
			return
		}
		expiresAt := l.expiresAt
		l.mu.Unlock()
		if expiresAt > 0 {
			if now, _ := l.server.clock.Now(); now > expiresAt {
				l.cancel()
				return
			}
		}
		l.conn.SetWriteDeadline(time.Now().Add(linkWriteTimeout))
		if _, err := l.conn.Write(b); err != nil {
			l.conn.Close()
			return
		}
		spare = b
	}
}

// closeLink closes a link, or gives up opening it.
func (s *Server) closeLink(number int) {
	if l := s.links[number]; l != nil {
		l.cancel()
	}
}
