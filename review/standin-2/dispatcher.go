package standin

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/internal/protocol/frame"
)

// Invocation is what a dispatcher sends; an empty field is left out.
type Invocation struct {
	Operation string
	Tenant    string
	Token     string
	Body      string
	TTL       time.Duration
	Again     bool // a further try
	HeapKB    float64
	Work      float64 // ms to expect
}

// Answer is what came for an invocation.
type Answer struct {
	Invocation Invocation
	ID         string
	SentAt     time.Time
	At         time.Time // of the answer, zero where none came
	Code       byte
	Body       string
	Fields     map[string]string
	Ended      bool // the connection ended before an answer
}

// String is the answer in a few words.
func (a *Answer) String() string {
	if a.Ended {
		return "no answer, the connection ended"
	}
	if a.At.IsZero() {
		return "no answer"
	}
	return fmt.Sprintf("%d %q kept=%s", a.Code, a.Body, a.Fields["kept"])
}

var lastID atomic.Uint64

func init() { lastID.Store(uint64(time.Now().UnixNano())) }

// Dispatcher is one connection of a dispatcher to a node.
type Dispatcher struct {
	record *Record
	name   string
	conn   net.Conn

	mu     sync.Mutex
	stream uint32
	open   map[uint32]*pending
	goAway bool
	ended  bool
	second []string // answers that came for no open stream
}

type pending struct {
	answer Answer
	done   chan struct{}
}

// Dial connects a dispatcher to a node.
func Dial(record *Record, name, address string) (*Dispatcher, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{record: record, name: name, conn: conn, open: map[uint32]*pending{}}
	go d.read()
	return d, nil
}

// Close closes the connection.
func (d *Dispatcher) Close() { d.conn.Close() }

// GoneAway reports whether the node has asked for no new request on this connection, or has ended it.
func (d *Dispatcher) GoneAway() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.goAway || d.ended
}

// Stray are the answers that came for no open stream.
func (d *Dispatcher) Stray() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.second...)
}

// Sent is an invocation that was sent.
type Sent struct {
	ID     string
	Stream uint32
	p      *pending
	d      *Dispatcher
}

// Send sends an invocation.
func (d *Dispatcher) Send(v Invocation) (*Sent, error) {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	heap := v.HeapKB
	if heap == 0 {
		heap = 24.5
	}
	now := time.Now()
	fields := []frame.Field{{Name: "op", Value: v.Operation}, {Name: "call", Value: id}, {Name: "recv", Value: strconv.FormatInt(now.UnixMilli(), 10)},
		{Name: "src", Value: "4"}, {Name: "heap", Value: strconv.FormatFloat(heap, 'f', 1, 64)}, {Name: "crit", Value: "0.6250"}}
	for _, f := range []frame.Field{{Name: "org", Value: v.Tenant}, {Name: "dedupe", Value: v.Token}} {
		if f.Value != "" {
			fields = append(fields, f)
		}
	}
	if v.Work > 0 {
		fields = append(fields, frame.Field{Name: "work", Value: strconv.FormatFloat(v.Work, 'f', 2, 64)})
	}
	if v.TTL > 0 {
		fields = append(fields, frame.Field{Name: "ttl", Value: strconv.FormatInt(v.TTL.Milliseconds(), 10)})
	}
	if v.Again {
		fields = append(fields, frame.Field{Name: "rep", Value: "1"})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended || d.goAway {
		return nil, net.ErrClosed
	}
	d.stream++
	p := &pending{answer: Answer{Invocation: v, ID: id, SentAt: now}, done: make(chan struct{})}
	d.open[d.stream] = p
	d.record.Line("%s: sends %s %s tenant=%q token=%q body=%q", d.name, id, v.Operation, v.Tenant, v.Token, v.Body)
	if _, err := d.conn.Write(frame.AppendInvocation(nil, d.stream, fields, []byte(v.Body))); err != nil {
		delete(d.open, d.stream)
		return nil, err
	}
	return &Sent{ID: id, Stream: d.stream, p: p, d: d}, nil
}

// Cancel tells the node that nobody waits for an invocation any more.
func (s *Sent) Cancel() {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.record.Line("%s: gives up %s", s.d.name, s.ID)
	_, _ = s.d.conn.Write(frame.Append(nil, frame.Cancel, s.Stream, nil)) // an error shows at the reader
}

// Wait waits for the answer, up to a time.
func (s *Sent) Wait(atMost time.Duration) Answer {
	select {
	case <-s.p.done:
	case <-time.After(atMost):
	}
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	return s.p.answer
}

// Call sends an invocation and waits for its answer.
func (d *Dispatcher) Call(v Invocation, atMost time.Duration) (Answer, error) {
	s, err := d.Send(v)
	if err != nil {
		return Answer{}, err
	}
	return s.Wait(atMost), nil
}

func (d *Dispatcher) read() {
	var parser frame.Parser
	for {
		n, err := d.conn.Read(parser.Space())
		if err != nil {
			break
		}
		parser.Wrote(n)
		for {
			f, ok, err := parser.Next()
			if err != nil || !ok {
				break
			}
			d.take(&f)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for stream, p := range d.open {
		d.record.Line("%s: no answer to %s, the connection ended", d.name, p.answer.ID)
		p.answer.Ended = true
		close(p.done)
		delete(d.open, stream)
	}
}

func (d *Dispatcher) take(f *frame.Frame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch f.Type {
	case frame.GoAway:
		d.goAway = true
	case frame.Answer:
		d.answered(f)
	}
}

func (d *Dispatcher) answered(f *frame.Frame) {
	p := d.open[f.Stream]
	if p == nil || len(f.Payload) == 0 {
		d.second = append(d.second, fmt.Sprintf("stream %d: %q", f.Stream, f.Payload))
		d.record.Line("%s: an answer to no open stream: %d %q", d.name, f.Stream, f.Payload)
		return
	}
	delete(d.open, f.Stream)
	fields, body, err := frame.Fields(f.Payload[1:])
	a := &p.answer
	a.At = time.Now()
	a.Code = f.Payload[0]
	a.Body = string(body)
	a.Fields = map[string]string{}
	for _, field := range fields {
		a.Fields[field.Name] = field.Value
	}
	if err != nil {
		a.Code = 0
	}
	d.record.Line("%s: answer to %s: %d %q %v", d.name, a.ID, a.Code, a.Body, a.Fields)
	close(p.done)
}
