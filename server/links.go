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
	dialTimeout         = time.Second // to the same machine or one nearby
	maxLinkPendingBytes = 4 << 20     // past it the link is opened anew
	linkWriteTimeout    = 10 * time.Second
)

// linkKind is the kind of peer that a link leads to: the inputs for its events, and which of its lines have a body.
type linkKind struct {
	connected    node.InputKind
	dialFailed   node.InputKind
	lineReceived node.InputKind
	disconnected node.InputKind
	hasBody      func(words []string) bool
	usesSlot     bool // each link takes one of the catalogue's slots
}

// link is a connection that this node opens for the line protocol: to the executor or to the catalogue.
type link struct {
	server *Server
	number int
	kind   linkKind
	cancel context.CancelFunc // ends the link, also while it is being opened

	mu        sync.Mutex
	conn      net.Conn // nil until it is open
	pending   []byte
	writing   bool
	expiresAt int64 // when the pending bytes become useless, 0 for never
}

// openLink opens a link. Only the event loop opens, writes to and closes links.
func (s *Server) openLink(number int, address string, kind linkKind) {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{server: s, number: number, kind: kind, cancel: cancel}
	s.links[number] = l
	s.group.Go(func() error {
		defer cancel()
		l.run(ctx, address)
		return nil
	})
}

// run takes a slot, where the link needs one, and carries the connection.
func (l *link) run(ctx context.Context, address string) {
	if l.kind.usesSlot { // a link that was closed may not have freed its descriptor yet
		select {
		case l.server.catalogueSlots <- struct{}{}:
			defer func() { <-l.server.catalogueSlots }()
		case <-ctx.Done():
			l.report(l.kind.dialFailed, ctx.Err())
			return
		}
	}
	l.carry(ctx, address)
}

// carry dials and passes lines on until the connection ends.
func (l *link) carry(ctx context.Context, address string) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		l.report(l.kind.dialFailed, err)
		return
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.report(l.kind.connected, nil)
	err = l.read()
	conn.Close()
	l.report(l.kind.disconnected, err)
}

// report queues an event of the link for the state machine.
func (l *link) report(kind node.InputKind, err error) {
	l.server.enqueueInput(node.Input{Kind: kind, Link: l.number, Err: err})
}

// read passes lines on until the connection ends or can't be parsed.
func (l *link) read() error {
	parser := lineprotocol.Parser{HasBody: l.kind.hasBody}
	for {
		n, err := l.conn.Read(parser.Space())
		if err != nil {
			return err
		}
		parser.Wrote(n)
		if err := l.passOn(&parser); err != nil {
			return err
		}
	}
}

// passOn queues the complete lines for the state machine.
func (l *link) passOn(parser *lineprotocol.Parser) error {
	for {
		line, ok, err := parser.Next()
		if err != nil {
			l.server.limitedLog.Warn().Err(err).Msg("link can't be parsed")
			return err
		}
		if !ok {
			return nil
		}
		line.Body = append([]byte{}, line.Body...)
		if !l.server.enqueueInput(node.Input{Kind: l.kind.lineReceived, Link: l.number, Line: line}) {
			return l.server.ctx.Err()
		}
	}
}

// writeToLink queues bytes and starts the link's writer where it isn't running. Bytes not written by expiresAt, a time of the
// node's clock, are useless: the link is closed then.
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
	l.pending = append(l.pending, b...)
	l.expiresAt = expiresAt
	if !l.writing && l.conn != nil {
		l.writing = true
		s.group.Go(func() error { l.flush(); return nil })
	}
}

// flush is the link's writer: it writes until nothing is pending.
func (l *link) flush() {
	var spare []byte
	for {
		b, expiresAt := l.takePending(spare)
		if len(b) == 0 {
			return
		}
		if l.expired(expiresAt) {
			l.cancel()
			return
		}
		l.conn.SetWriteDeadline(time.Now().Add(linkWriteTimeout))
		if _, err := l.conn.Write(b); err != nil {
			l.conn.Close()
			return
		}
		spare = b
	}
}

// takePending takes the pending bytes and leaves a spare buffer for the next ones; without any the writer ends.
func (l *link) takePending(spare []byte) (b []byte, expiresAt int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b = l.pending
	if len(b) == 0 {
		l.pending = nil
		l.writing = false
		return nil, 0
	}
	l.pending = spare[:0]
	return b, l.expiresAt
}

func (l *link) expired(expiresAt int64) bool {
	if expiresAt <= 0 {
		return false
	}
	now, _ := l.server.clock.Now()
	return now > expiresAt
}

// closeLink closes a link, also while it is being opened.
func (s *Server) closeLink(number int) {
	if l := s.links[number]; l != nil {
		l.cancel()
	}
}
