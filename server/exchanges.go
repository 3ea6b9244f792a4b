package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/node"
)

// errTooManyExchanges says that an exchange was not opened.
var errTooManyExchanges = errors.New("too many exchanges are under way")

// offerExchangeInput hands a part of an exchange on if there is room; what peers send never waits, and so never holds up anybody.
func (p *fleetSockets) offerExchangeInput(in node.Input) bool {
	select {
	case p.exchangeInputs <- in:
		return true
	default:
		p.counters.Dropped.Add(1)
		return false
	}
}

// acceptExchanges takes exchanges that peers open.
func (p *fleetSockets) acceptExchanges() {
	slots := make(chan struct{}, maxServedExchanges)
	for {
		conn, err := p.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.server.limitedLog.Warn().Err(err).Msg("no exchange could be accepted")
			time.Sleep(acceptBackoff)
			continue
		}
		select {
		case slots <- struct{}{}:
			p.server.group.Go(func() error {
				free := sync.OnceFunc(func() { <-slots })
				defer func() { conn.Close(); free() }()
				p.serveConn(p.wrapConn(conn, ""), free)
				return nil
			})
		default:
			p.counters.Refused.Add(1)
			conn.Close()
		}
	}
}

func (p *fleetSockets) serveConn(conn net.Conn, releaseSlot func()) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	var header [4]byte
	_, err := io.ReadFull(conn, header[:])
	if err == nil && binary.LittleEndian.Uint32(header[:]) == streamMagic {
		conn.SetDeadline(time.Time{})
		releaseSlot()
		if p.config.Council != nil {
			p.streams.accept(conn)
		}
		return
	}
	var payload []byte
	if err == nil {
		payload, err = readMessage(io.MultiReader(bytes.NewReader(header[:]), conn))
	}
	if err != nil {
		p.server.limitedLog.Debug().Err(err).Msg("exchange of a peer ended early")
		return
	}
	response := make(chan []byte, 1)
	p.mu.Lock()
	p.lastExchange++
	number := p.lastExchange
	p.pendingResponses[number] = response
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pendingResponses, number)
		p.mu.Unlock()
	}()
	if !p.offerExchangeInput(node.Input{Kind: node.PeerRequestReceived, Link: number, From: conn.RemoteAddr().String(), Bytes: payload}) {
		return
	}
	select {
	case b := <-response:
		if len(b) > 0 {
			_ = writeMessage(conn, b) // the peer sees that no response came
		}
	case <-time.After(exchangeTimeout):
	case <-p.server.ctx.Done():
	}
}

func (p *fleetSockets) reply(e *node.Effect) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response := p.pendingResponses[e.Link]; response != nil {
		delete(p.pendingResponses, e.Link)
		response <- e.Bytes
	}
}

// openExchange carries an exchange of ours out. It is dialled from the address that peers know, so that they can tell who
// asks.
func (p *fleetSockets) openExchange(e *node.Effect) {
	link, address, payload := e.Link, e.Address, e.Bytes
	select {
	case p.exchangeSlots <- struct{}{}:
	default:
		p.offerExchangeInput(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: errTooManyExchanges})
		return
	}
	p.server.group.Go(func() error {
		defer func() { <-p.exchangeSlots }()
		response, err := exchange(p.server.ctx, p.config.Bind, address, payload, p.wrapConn)
		if err != nil {
			p.offerExchangeInput(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: err})
		} else {
			p.offerExchangeInput(node.Input{Kind: node.PeerResponseReceived, Link: link, From: address, Bytes: response})
		}
		return nil
	})
}

// Swap opens an exchange with a node: one letter there, one back. From is the local address it is dialled from, empty
// for any.
func Swap(ctx context.Context, from, to string, payload []byte) ([]byte, error) {
	return exchange(ctx, from, to, payload, func(conn net.Conn, _ string) net.Conn { return conn })
}

func exchange(ctx context.Context, from, to string, payload []byte, wrapConn func(conn net.Conn, to string) net.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	dialer := net.Dialer{}
	if host, _, err := net.SplitHostPort(from); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	conn = wrapConn(conn, to)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := writeMessage(conn, payload); err != nil {
		return nil, err
	}
	return readMessage(conn)
}

func writeMessage(to io.Writer, payload []byte) error {
	_, err := to.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(payload))), payload...))
	return err
}

// readMessage reads a length and so many bytes; memory grows with what really comes, not with what is said.
func readMessage(from io.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length < envelope.Head || length > envelope.ExchangeMost {
		return nil, fmt.Errorf("a length of %d, %d to %d may be", length, envelope.Head, envelope.ExchangeMost)
	}
	payload, err := io.ReadAll(io.LimitReader(from, int64(length)))
	if err == nil && len(payload) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
}
