package capacity

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"topazpost/internal/protocol/frame"
)

const (
	answerTimeout        = 5 * time.Second // for an answer, past the client timeout of generated operations
	connectionsPerSource = 1_000           // connections from one source address: of some 28,000 ports, each is taken for a minute after its connection ended
	tracked              = 60_000_000      // us that the histogram holds at the most
	maxOpening           = 32              // connections that are opened at a time
)

// callers are connections of dispatchers to one node.
type callers struct {
	address string
	conns   []*callerConn

	mu        sync.Mutex
	added     *hdrhistogram.Histogram // us that an answer took beyond its run
	succeeded int
	throttled int
	errored   int
	waiting   atomic.Int64
	ended     atomic.Int64 // connections that the node ended
}

type callerConn struct {
	all    *callers
	number int

	mu     sync.Mutex
	net    net.Conn // nil where there is none
	last   uint32
	open   map[uint32]time.Time
	check  chan bool
	noMore bool
}

func newCallers(address string, count int) *callers {
	c := &callers{address: address, added: hdrhistogram.New(1, tracked, 3)}
	for k := range count {
		c.conns = append(c.conns, &callerConn{all: c, number: k})
	}
	return c
}

// connect opens a connection and starts its reader. mu is held.
func (k *callerConn) connect() error {
	d := net.Dialer{Timeout: answerTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 200, 0, byte(1+k.number/connectionsPerSource))}}
	conn, err := d.Dial("tcp", k.all.address)
	if err != nil {
		return err
	}
	k.net = conn
	k.last = 0
	k.open = map[uint32]time.Time{}
	k.noMore = false
	go k.read(conn)
	return nil
}

func (k *callerConn) read(conn net.Conn) {
	defer conn.Close()
	var parser frame.Parser
	for {
		n, err := conn.Read(parser.Space())
		if err != nil {
			break
		}
		parser.Wrote(n)
		for {
			f, ok, err := parser.Next()
			if err != nil || !ok {
				break
			}
			k.take(&f)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.net == conn {
		k.net = nil
		k.all.ended.Add(1)
		k.all.waiting.Add(-int64(len(k.open)))
		k.open = nil
	}
}

func (k *callerConn) take(f *frame.Frame) {
	k.mu.Lock()
	began, asked := k.open[f.Stream]
	delete(k.open, f.Stream)
	check := k.check
	if f.Type == frame.GoAway {
		k.noMore = true
	}
	k.mu.Unlock()
	switch {
	case f.Type == frame.HealthStatus && check != nil:
		check <- true
	case f.Type == frame.Answer && asked:
		k.all.answered(time.Since(began), f)
		k.all.waiting.Add(-1)
	}
}

func (c *callers) answered(took time.Duration, f *frame.Frame) {
	_, body, err := frame.Fields(f.Payload[1:])
	run, malformed := strconv.ParseInt(string(body), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case f.Payload[0] == frame.Throttled:
		c.throttled++
	case f.Payload[0] != frame.Succeeded || err != nil || malformed != nil:
		c.errored++
	default:
		c.succeeded++
		_ = c.added.RecordValue(max(1, (took - time.Duration(run)).Microseconds()))
	}
}

// invoke sends one invocation, over a new connection where there is none that may bring more.
func (k *callerConn) invoke(fields []frame.Field) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.net != nil && k.noMore && len(k.open) == 0 {
		k.net.Close()
		k.net = nil
	}
	if k.net == nil {
		if err := k.connect(); err != nil {
			return err
		}
	}
	k.last++
	k.open[k.last] = time.Now()
	k.all.waiting.Add(1)
	_, err := k.net.Write(frame.AppendInvocation(nil, k.last, fields, []byte("x")))
	return err
}

// openAll opens all connections; each brings one health check, as one that brings nothing is closed by the node.
func (c *callers) openAll() error {
	failed := make(chan error, len(c.conns))
	places := make(chan struct{}, maxOpening)
	var group sync.WaitGroup
	for _, k := range c.conns {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			if err := k.probe(); err != nil {
				failed <- err
			}
		})
	}
	group.Wait()
	select {
	case err := <-failed:
		return fmt.Errorf("of %d connections: %w", len(c.conns), err)
	default:
		return nil
	}
}

var errUnchecked = errors.New("no answer to a health check")

// probe sends a health check and waits for its answer.
func (k *callerConn) probe() error {
	check := make(chan bool, 1)
	k.mu.Lock()
	if k.net == nil {
		if err := k.connect(); err != nil {
			k.mu.Unlock()
			return err
		}
	}
	k.check = check
	k.last++
	_, err := k.net.Write(frame.Append(nil, frame.HealthCheck, k.last, []byte{0}))
	k.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-check:
		return nil
	case <-time.After(answerTimeout):
		return errUnchecked
	}
}

func (c *callers) closeAll() {
	for _, k := range c.conns {
		k.mu.Lock()
		if k.net != nil {
			k.net.Close()
			k.net = nil
		}
		k.mu.Unlock()
	}
}

func (c *callers) opened() (n int) {
	for _, k := range c.conns {
		k.mu.Lock()
		if k.net != nil {
			n++
		}
		k.mu.Unlock()
	}
	return n
}

// send spreads invocations evenly over a time: operations and tenants of the shape are drawn, connections take turns.
func (c *callers) send(s shape, aSecond float64, length time.Duration, chance *rand.Rand) error {
	began := time.Now()
	count := int(aSecond * length.Seconds())
	for n := range count {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / aSecond * 1e9))))
		k := c.conns[chance.Intn(len(c.conns))]
		fields := []frame.Field{{Name: "op", Value: routeName(chance.Intn(max(1, s.routes)))},
			{Name: "call", Value: fmt.Sprintf("%016x", chance.Uint64())}, {Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
			{Name: "src", Value: strconv.Itoa(k.number)}, {Name: "heap", Value: "1"}}
		if s.tenants > 0 {
			fields = append(fields, frame.Field{Name: "org", Value: tenantName(chance.Intn(s.tenants))})
		}
		if err := k.invoke(fields); err != nil {
			return err
		}
	}
	for end := time.Now().Add(answerTimeout); c.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// counts are the invocations that succeeded, and those that were throttled or errored.
func (c *callers) counts() (good, bad int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.succeeded, c.throttled + c.errored
}

// latency is a quantile of what answers took beyond their runs, in ms.
func (c *callers) latency(part float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return inMS(c.added, part)
}

// straight sends runs to an executor with no node between, and gives what they took beyond their time, in us: the part of
// an added latency that is the laboratory's own and the machine's.
func straight(e *executor, aSecond float64, length time.Duration) (*hdrhistogram.Histogram, error) {
	conn, err := net.Dial("tcp", e.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	added := hdrhistogram.New(1, tracked, 3)
	count := int(aSecond * length.Seconds())
	sent := make([]atomic.Int64, count)
	failed := make(chan error, 1)
	go func() {
		in := bufio.NewReader(conn)
		for done := 0; done < count; {
			line, err := in.ReadString('\n')
			if err != nil {
				failed <- err
				return
			}
			w := strings.Fields(line)
			if len(w) != 6 || w[0] != "EXIT" {
				continue
			}
			body, err := in.ReadString('\n')
			if err != nil {
				failed <- err
				return
			}
			call, _ := strconv.ParseInt(w[2], 16, 64)
			run, _ := strconv.ParseInt(strings.TrimSpace(body), 10, 64)
			_ = added.RecordValue(max(1, (time.Now().UnixNano()-sent[call].Load()-run)/1e3))
			done++
		}
		failed <- nil
	}()
	began := time.Now()
	for n := range count {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / aSecond * 1e9))))
		sent[n].Store(time.Now().UnixNano())
		if _, err := fmt.Fprintf(conn, "EXEC %016x x 1\r\nx\r\n", n); err != nil {
			return nil, err
		}
	}
	select {
	case err := <-failed:
		return added, err
	case <-time.After(answerTimeout):
		return nil, errors.New("the executor did not answer")
	}
}

// beside sends invocations through a node and runs straight to its executor, both at the same time and pace, so that what
// the machine does to one it does to the other.
func (c *callers) beside(d *daemon, s shape, aSecond float64, length time.Duration, chance *rand.Rand) (*hdrhistogram.Histogram, error) {
	c.mu.Lock()
	c.added.Reset()
	c.mu.Unlock()
	var without *hdrhistogram.Histogram
	var group errgroup.Group
	group.Go(func() (err error) { without, err = straight(d.executor, aSecond, length); return err })
	group.Go(func() error { return c.send(s, aSecond, length, chance) })
	return without, group.Wait()
}

// inMS is a quantile of a histogram of us.
func inMS(h *hdrhistogram.Histogram, part float64) float64 {
	return float64(h.ValueAtQuantile(part*100)) / 1e3
}
