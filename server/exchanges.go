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

const (
	maxQueuedExchangeInputs = 64 // more than there are exchanges in progress, in both directions
	maxServedExchanges      = 16 // more are closed unread
	maxOpenedExchanges      = 8
	exchangeTimeout         = 2 * time.Second // for all of an exchange
)

var errTooManyExchanges = errors.New("exchange: too many are in progress")

// offerExchangeInput queues an input from an exchange, or drops it: what peers send never waits, and so delays nothing.
func (f *fleetSockets) offerExchangeInput(in node.Input) bool {
	select {
	case f.exchangeInputs <- in:
		return true
	default:
		f.counters.Dropped.Add(1)
		return false
	}
}

// acceptExchanges accepts connections of peers, for exchanges and streams, until the listener is closed.
func (f *fleetSockets) acceptExchanges() {
	slots := make(chan struct{}, maxServedExchanges)
	for {
		conn, err := f.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.server.limitedLog.Warn().Err(err).Msg("no exchange could be accepted")
			time.Sleep(acceptBackoff)
			continue
		}
		select {
		case slots <- struct{}{}:
			f.server.group.Go(func() error {
				releaseSlot := sync.OnceFunc(func() { <-slots })
				defer releaseSlot()
				defer conn.Close()
				f.serveConn(f.wrapConn(conn, ""), releaseSlot)
				return nil
			})
		default:
			f.counters.Refused.Add(1)
			conn.Close()
		}
	}
}

// serveConn serves an exchange, or a stream, which gives its slot back.
func (f *fleetSockets) serveConn(conn net.Conn, releaseSlot func()) {
	conn.SetDeadline(time.Now().Add(exchangeTimeout))
	var header [4]byte
	_, err := io.ReadFull(conn, header[:])
	if err == nil && binary.LittleEndian.Uint32(header[:]) == streamMagic {
		conn.SetDeadline(time.Time{})
		releaseSlot()
		if f.config.ConsensusGroup != nil {
			f.streams.accept(conn)
		}
		return
	}
	var payload []byte
	if err == nil {
		payload, err = readMessage(io.MultiReader(bytes.NewReader(header[:]), conn))
	}
	if err != nil {
		f.server.limitedLog.Debug().Err(err).Msg("exchange of a peer ended early")
		return
	}
	f.serveExchange(conn, payload)
}

// serveExchange passes a request on and writes the response to it, if one comes in time.
func (f *fleetSockets) serveExchange(conn net.Conn, request []byte) {
	number, response := f.addPendingResponse()
	defer f.removePendingResponse(number)
	if !f.offerExchangeInput(node.Input{Kind: node.PeerRequestReceived, Link: number, From: conn.RemoteAddr().String(), Bytes: request}) {
		return
	}
	select {
	case b := <-response:
		if len(b) > 0 {
			_ = writeMessage(conn, b) // the peer sees that no response came
		}
	case <-time.After(exchangeTimeout):
	case <-f.server.ctx.Done():
	}
}

func (f *fleetSockets) addPendingResponse() (number int, response <-chan []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastExchange++
	pending := make(chan []byte, 1)
	f.pendingResponses[f.lastExchange] = pending
	return f.lastExchange, pending
}

func (f *fleetSockets) removePendingResponse(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pendingResponses, number)
}

// reply passes on the response to a peer's request.
func (f *fleetSockets) reply(e *node.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if response := f.pendingResponses[e.Link]; response != nil {
		delete(f.pendingResponses, e.Link)
		response <- e.Bytes
	}
}

// openExchange sends a request to a peer and passes the response on. It dials from the address that peers know, so that they
// can identify the sender.
func (f *fleetSockets) openExchange(e *node.Effect) {
	link := e.Link
	address := e.Address
	request := e.Bytes
	select {
	case f.exchangeSlots <- struct{}{}:
	default:
		f.offerExchangeInput(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: errTooManyExchanges})
		return
	}
	f.server.group.Go(func() error {
		defer func() { <-f.exchangeSlots }()
		response, err := exchange(f.server.ctx, f.config.Bind, address, request, f.wrapConn)
		if err != nil {
			f.offerExchangeInput(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: err})
		} else {
			f.offerExchangeInput(node.Input{Kind: node.PeerResponseReceived, Link: link, From: address, Bytes: response})
		}
		return nil
	})
}

// Swap opens an exchange with a node: it sends one message and reads one. From is the local address to dial from, empty for
// any.
func Swap(ctx context.Context, from, to string, payload []byte) ([]byte, error) {
	return exchange(ctx, from, to, payload, func(conn net.Conn, _ string) net.Conn { return conn })
}

func exchange(ctx context.Context, from, to string, request []byte, wrapConn func(conn net.Conn, to string) net.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	dialer := peerDialer(from)
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	conn = wrapConn(conn, to)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := writeMessage(conn, request); err != nil {
		return nil, err
	}
	return readMessage(conn)
}

// peerDialer dials from the IP of a local address, if that names one.
func peerDialer(from string) net.Dialer {
	host, _, err := net.SplitHostPort(from)
	if err != nil {
		return net.Dialer{}
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return net.Dialer{}
	}
	return net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}
}

func writeMessage(to io.Writer, payload []byte) error {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	_, err := to.Write(append(b, payload...))
	return err
}

// readMessage reads a length and a message.
func readMessage(from io.Reader) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return nil, err
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length < envelope.HeaderBytes || length > envelope.MaxExchangeBytes {
		return nil, fmt.Errorf("exchange: a length of %d, %d to %d may be", length, envelope.HeaderBytes, envelope.MaxExchangeBytes)
	}
	return readPayload(from, length)
}

// readPayload reads so many bytes; its buffer grows with what arrives, whatever the length says.
func readPayload(from io.Reader, length uint32) ([]byte, error) {
	payload, err := io.ReadAll(io.LimitReader(from, int64(length)))
	if err == nil && len(payload) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
}
