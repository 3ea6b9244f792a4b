package standin

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/internal/protocol/frame"
)

var errNoAnswer = errors.New("no answer in time")

var dispatchers atomic.Int64 // so many were numbered

// Answer is what a node answered to a try.
type Answer struct {
	Code   byte // 20 served, 50 refused, 51 failed
	Fields map[string]string
	Body   string
}

// String describes an answer for the record.
func (a *Answer) String() string {
	return fmt.Sprintf("code %d, fields %v, body %q", a.Code, a.Fields, a.Body)
}

// Try is one try of a request.
type Try struct {
	Op, Token, Body string
	Retry           bool
	More            []frame.Field
}

// Dispatcher is one connection of a dispatcher, with up to 32 tries open.
type Dispatcher struct {
	conn   net.Conn
	number int64         // of the dispatcher
	open   chan struct{} // one for each open try

	mu      sync.Mutex
	stream  uint32
	answers map[uint32]chan *Answer
	err     error
}

// Dial opens a connection to a node.
func Dial(address string) (*Dispatcher, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	const maxOpen = 32
	d := &Dispatcher{conn: conn, number: dispatchers.Add(1), open: make(chan struct{}, maxOpen), answers: map[uint32]chan *Answer{}}
	go d.read()
	return d, nil
}

// DialUntil opens a connection as soon as the node listens.
func DialUntil(address string, limit time.Duration) (d *Dispatcher, err error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if d, err = Dial(address); err == nil {
			return d, nil
		}
	}
	return nil, err
}

// Close closes the connection.
func (d *Dispatcher) Close() { d.conn.Close() }

// NewID returns the id of a new try: 16 hex digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send writes a try and returns its stream and the channel of its answer, which is closed where the connection ends first.
func (d *Dispatcher) Send(t Try) (stream uint32, answer <-chan *Answer, err error) {
	d.open <- struct{}{}
	fields := []frame.Field{
		{Name: "op", Value: t.Op},
		{Name: "call", Value: NewID()},
		{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{Name: "src", Value: strconv.FormatInt(d.number, 10)},
		{Name: "heap", Value: "20"},
	}
	if t.Token != "" {
		fields = append(fields, frame.Field{Name: "dedupe", Value: t.Token})
	}
	if t.Retry {
		fields = append(fields, frame.Field{Name: "rep", Value: "1"})
	}
	fields = append(fields, t.More...)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return 0, nil, d.err
	}
	d.stream++
	c := make(chan *Answer, 1)
	d.answers[d.stream] = c
	_, err = d.conn.Write(frame.AppendInvocation(nil, d.stream, fields, []byte(t.Body)))
	return d.stream, c, err
}

// Cancel tells the node that nobody waits for a stream any more.
func (d *Dispatcher) Cancel(stream uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answers[stream] == nil {
		return
	}
	delete(d.answers, stream) // one answer does no harm
	<-d.open
	_, _ = d.conn.Write(frame.Append(nil, frame.Cancel, stream, nil))
}

// Ask sends a try and waits for its answer.
func (d *Dispatcher) Ask(t Try, limit time.Duration) (*Answer, error) {
	_, c, err := d.Send(t)
	if err != nil {
		return nil, err
	}
	select {
	case a, ok := <-c:
		if !ok {
			return nil, net.ErrClosed
		}
		return a, nil
	case <-time.After(limit):
		return nil, errNoAnswer
	}
}

func (d *Dispatcher) read() {
	var parser frame.Parser
	for {
		n, err := d.conn.Read(parser.Space())
		if err != nil {
			d.fail(err)
			return
		}
		parser.Wrote(n)
		for {
			f, ok, err := parser.Next()
			if err != nil {
				d.fail(err)
				return
			}
			if !ok {
				break
			}
			d.received(&f)
		}
	}
}

func (d *Dispatcher) received(f *frame.Frame) {
	if f.Type != frame.Answer || f.Stream == 0 || len(f.Payload) == 0 {
		return
	}
	a := &Answer{Code: f.Payload[0], Fields: map[string]string{}}
	fields, body, err := frame.Fields(f.Payload[1:])
	if err != nil {
		return
	}
	for _, field := range fields {
		a.Fields[field.Name] = field.Value
	}
	a.Body = string(body)
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.answers[f.Stream]; c != nil {
		delete(d.answers, f.Stream)
		c <- a
		<-d.open
	}
}

// fail ends all open tries.
func (d *Dispatcher) fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = err
	for stream, c := range d.answers {
		delete(d.answers, stream)
		close(c)
		<-d.open
	}
}
