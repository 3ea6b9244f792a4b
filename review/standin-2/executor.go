package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// minHangStep is the least time after which a run that hung is looked at again.
const minHangStep = 5 * time.Millisecond

// Work is what an executor does for one run.
type Work struct {
	Time  time.Duration // on the cores, before each call and after the last one
	Calls int           // one after the other
}

// Run is one run, from the EXEC that started it.
type Run struct {
	Number int // among all runs of the executor, over all lives of its node
	ID     string
	Class  string
	Body   string
	At     time.Time

	life    int
	calls   int  // still to be made
	waiting bool // at a call
	ended   bool
}

// Result is what a run answers: no two runs answer the same.
func (r *Run) Result() string {
	return fmt.Sprintf("result of run %d, %s %s", r.Number, r.Class, r.Body)
}

// Executor is the executor of one node. It dies and starts anew with its node: Restart.
type Executor struct {
	// WorkOf says what a run takes. It must be set before the first run.
	WorkOf func(class, body string) Work
	// OnRun is told of each run that starts, if it is set.
	OnRun func(run *Run)

	record   *Record
	mu       sync.Mutex
	listener net.Listener
	life     int
	bornAt   time.Time
	conn     net.Conn // the present link, nil for none
	notices  []string // forms without their number, of this life
	byID     map[string]*Run
	over     map[string]bool // requests that need no run any more
	runs     []*Run
	hung     time.Duration // for which work has hung until now
	hungFrom time.Time     // zero while work goes on
}

// NewExecutor starts an executor.
func NewExecutor(record *Record) (*Executor, error) {
	x := &Executor{record: record, byID: map[string]*Run{}, over: map[string]bool{}, bornAt: time.Now()}
	err := x.Move()
	return x, err
}

// Move has it listen at another address; what is open at the old one stays open.
func (x *Executor) Move() error {
	l, err := listen(x.serve)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener != nil {
		x.listener.Close()
	}
	x.listener = l
	return nil
}

// Addr is where it listens.
func (x *Executor) Addr() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.listener.Addr().String()
}

// Close ends it.
func (x *Executor) Close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listener.Close()
	x.drop()
}

// Restart has it die and start anew, with its node: what ran is gone, and notices begin at 1.
func (x *Executor) Restart() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.drop()
	x.life++
	x.bornAt = time.Now()
	x.notices = nil
	x.byID = map[string]*Run{}
	x.over = map[string]bool{}
}

// Break breaks the link to the node.
func (x *Executor) Break() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.drop()
}

func (x *Executor) drop() {
	if x.conn != nil {
		x.conn.Close()
		x.conn = nil
	}
}

// Runs are the runs so far.
func (x *Executor) Runs() []*Run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]*Run(nil), x.runs...)
}

// Over tells it that a request is over: it was answered, or its caller left.
func (x *Executor) Over(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over[id] = true
	if r := x.byID[id]; r != nil && r.waiting && !r.ended {
		x.end(r, "cut", "")
	}
}

// Waits reports whether a run waits for a call.
func (x *Executor) Waits(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.byID[id]
	return r != nil && r.waiting && !r.ended
}

// serve takes the commands of one link.
func (x *Executor) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		words, body, err := readLine(in)
		if err != nil {
			return
		}
		x.mu.Lock()
		x.take(conn, words, body)
		x.mu.Unlock()
	}
}

// readLine reads a line, and the body of a command that has one.
func readLine(in *bufio.Reader) (words []string, body string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, "", err
	}
	words = strings.Fields(line)
	if len(words) == 0 {
		return nil, "", io.ErrUnexpectedEOF
	}
	switch words[0] {
	case "EXEC", "RETURN", "FETCH":
	default:
		return words, "", nil
	}
	size, err := strconv.Atoi(words[len(words)-1])
	if err != nil {
		return nil, "", err
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return nil, "", err
	}
	return words, string(b[:size]), nil
}

func (x *Executor) take(conn net.Conn, words []string, body string) {
	if words[0] == "JOIN" && len(words) == 2 {
		x.join(conn, words[1])
		return
	}
	if conn != x.conn { // a new link has replaced it
		return
	}
	switch {
	case words[0] == "METER" && len(words) == 2:
		fmt.Fprintf(conn, "METERS %s %s\r\n", words[1], x.gauges())
	case words[0] == "DIAG" && len(words) == 2:
		fmt.Fprintf(conn, "DIAGNOSED %s good\r\n", words[1])
	case words[0] == "EXEC" && len(words) == 4:
		x.exec(words[1], words[2], body)
	case words[0] == "RETURN" && len(words) == 3:
		x.returned(conn, words[1], body)
	}
}

func (x *Executor) join(conn net.Conn, last string) {
	after, _ := strconv.Atoi(last)
	x.drop()
	x.conn = conn
	state := "old"
	if time.Since(x.bornAt) < 5*time.Second {
		state = "new"
	}
	fmt.Fprintf(conn, "WELCOME %s %d\r\n", state, time.Since(x.bornAt).Milliseconds())
	for n := after; n < len(x.notices); n++ {
		fmt.Fprintf(conn, x.notices[n], n+1)
	}
}

// gauges are the values of cpu_busy, runnable, mem_used and sockets.
func (x *Executor) gauges() string {
	on := 0
	for _, r := range x.byID {
		if !r.ended && !r.waiting {
			on++
		}
	}
	return fmt.Sprintf("%.2f %d 0.1 4", min(1, float64(on)/4), on)
}

func (x *Executor) exec(id, class, body string) {
	if r := x.byID[id]; r != nil {
		x.record.Line("executor: EXEC %s again", id)
		if r.ended {
			x.notify("EXIT %d " + id + " gone 0 0\r\n\r\n")
		}
		return
	}
	if x.over[id] {
		x.notify("EXIT %d " + id + " gone 0 0\r\n\r\n")
		return
	}
	work := x.WorkOf(class, body)
	r := &Run{Number: len(x.runs) + 1, ID: id, Class: class, Body: body, At: time.Now(), life: x.life, calls: work.Calls}
	x.byID[id] = r
	x.runs = append(x.runs, r)
	x.record.Line("executor: run %d starts, EXEC %s %s %q", r.Number, id, class, body)
	if x.OnRun != nil {
		x.OnRun(r)
	}
	x.goOn(r, work.Time)
}

// Hang has all work hang, or go on. Commands are taken meanwhile.
func (x *Executor) Hang(hang bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.record.Line("executor: work hangs: %v", hang)
	x.hung = x.hungUntilNow()
	x.hungFrom = time.Time{}
	if hang {
		x.hungFrom = time.Now()
	}
}

// hungUntilNow is for how long work has hung until now.
func (x *Executor) hungUntilNow() time.Duration {
	if x.hungFrom.IsZero() {
		return x.hung
	}
	return x.hung + time.Since(x.hungFrom)
}

// goOn has a run reach its next call, or its end, after its work.
func (x *Executor) goOn(r *Run, after time.Duration) {
	hungBefore := x.hungUntilNow()
	time.AfterFunc(after, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if r.life != x.life || r.ended {
			return
		}
		if hung := x.hungUntilNow() - hungBefore; hung > 0 {
			x.goOn(r, max(hung, minHangStep))
			return
		}
		switch {
		case r.calls == 0:
			x.end(r, "good", r.Result())
		case x.over[r.ID]:
			x.end(r, "cut", "")
		default:
			r.calls--
			r.waiting = true
			ask := "ask of " + r.ID
			x.notify(fmt.Sprintf("CALLOUT %%d %s %d\r\n%s\r\n", r.ID, len(ask), ask))
		}
	})
}

func (x *Executor) returned(conn net.Conn, id, body string) {
	r := x.byID[id]
	if r == nil || !r.waiting || r.ended {
		fmt.Fprintf(conn, "BAD RETURN %s\r\n", id)
		return
	}
	if body != "reply to ask of "+id {
		x.record.Line("executor: RETURN %s carries %q", id, body)
	}
	r.waiting = false
	x.goOn(r, x.WorkOf(r.Class, r.Body).Time)
}

func (x *Executor) end(r *Run, how, result string) {
	r.ended = true
	x.record.Line("executor: run %d ends, %s %s", r.Number, r.ID, how)
	x.notify(fmt.Sprintf("EXIT %%d %s %s 5 %d\r\n%s\r\n", r.ID, how, len(result), strings.ReplaceAll(result, "%", "%%")))
}

// notify records a notice under the next number and sends it on the present link.
func (x *Executor) notify(form string) {
	x.notices = append(x.notices, form)
	if x.conn != nil {
		fmt.Fprintf(x.conn, form, len(x.notices))
	}
}
