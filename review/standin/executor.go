package standin

import (
	"net"
	"strconv"
	"sync"
	"time"

	"topazpost/internal/protocol/lineprotocol"
)

const maxKeptNotices = 4_000

// Result is how a run of the executor goes: how long it takes and what it returns.
type Result struct {
	Takes time.Duration
	Body  []byte
}

// Run is one run that the executor started.
type Run struct {
	ID, Class, Body string
}

// Executor is the executor of one node. It keeps its notices, and runs go on while there is no link.
type Executor struct {
	Result func(r Run) Result
	Quiet  bool // runs are not recorded

	c        *Case
	listener net.Listener
	begun    time.Time

	mu      sync.Mutex
	link    net.Conn
	notices [][]byte // the last ones, by number - firstNotice
	first   int      // number of notices[0]
	runs    []Run
	known   map[string]bool // ids that were run
	running map[string]bool
	losing  bool // what is read is lost, as the link is about to break
}

// StartExecutor starts an executor whose runs go as result says.
func (c *Case) StartExecutor(result func(r Run) Result) (*Executor, error) {
	listener, err := net.Listen("tcp", Loopback)
	if err != nil {
		return nil, err
	}
	x := &Executor{Result: result, c: c, listener: listener, begun: time.Now(), first: 1, known: map[string]bool{}, running: map[string]bool{}}
	go x.accept()
	c.AtEnd(func() { listener.Close() })
	return x, nil
}

// Address is where the node connects to.
func (x *Executor) Address() string { return x.listener.Addr().String() }

// Runs are all runs so far.
func (x *Executor) Runs() []Run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]Run(nil), x.runs...)
}

// InProgress is how many runs have not ended.
func (x *Executor) InProgress() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running)
}

// BreakLink resets the link to the node. What the node sent in the last lost milliseconds before it is lost with it. Runs go on,
// and a new link is accepted at once.
func (x *Executor) BreakLink(lost time.Duration) {
	x.mu.Lock()
	x.losing = true
	x.mu.Unlock()
	time.Sleep(lost)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.losing = false
	if x.link == nil {
		return
	}
	if conn, ok := x.link.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	x.link.Close()
	x.link = nil
	x.c.Note("executor: the link broke, commands of its last %v are lost", lost)
}

func (x *Executor) accept() {
	for {
		conn, err := x.listener.Accept()
		if err != nil {
			return
		}
		go x.serve(conn)
	}
}

func (x *Executor) serve(conn net.Conn) {
	defer conn.Close()
	parser := lineprotocol.Parser{HasBody: func(words []string) bool { return words[0] == "EXEC" || words[0] == "RETURN" }}
	for {
		n, err := conn.Read(parser.Space())
		if err != nil {
			return
		}
		parser.Wrote(n)
		for {
			line, ok, err := parser.Next()
			if err != nil {
				return
			}
			if !ok {
				break
			}
			x.handle(conn, line)
		}
	}
}

// handle carries out a command.
func (x *Executor) handle(conn net.Conn, line lineprotocol.Line) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.losing {
		return
	}
	words := line.Words
	switch words[0] {
	case "JOIN":
		x.join(conn, words[1])
	case "METER":
		_, _ = conn.Write(lineprotocol.Append(nil, "METERS", words[1], "0.1", strconv.Itoa(len(x.running))))
	case "DIAG":
		_, _ = conn.Write(lineprotocol.Append(nil, "DIAGNOSED", words[1], "good"))
	case "EXEC":
		x.start(Run{ID: words[1], Class: words[2], Body: string(line.Body)})
	}
}

// join welcomes a link, which replaces the one before, and sends the notices that it lacks.
func (x *Executor) join(conn net.Conn, number string) {
	if x.link != nil {
		x.link.Close()
	}
	x.link = conn
	age := strconv.FormatInt(time.Since(x.begun).Milliseconds(), 10)
	_, _ = conn.Write(lineprotocol.Append(nil, "WELCOME", "old", age))
	after, _ := strconv.Atoi(number)
	for i, notice := range x.notices {
		if x.first+i > after {
			_, _ = conn.Write(notice)
		}
	}
}

// start begins a run; for one that was begun nothing happens.
func (x *Executor) start(r Run) {
	if x.known[r.ID] {
		return
	}
	x.known[r.ID] = true
	x.running[r.ID] = true
	x.runs = append(x.runs, r)
	if !x.Quiet {
		x.c.Note("executor: run %d: %s, class %s, body %q", len(x.runs), r.ID, r.Class, r.Body)
	}
	result := x.Result(r)
	time.AfterFunc(result.Takes, func() {
		x.end(r, result)
	})
}

// end ends a run and tells the node.
func (x *Executor) end(r Run, result Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.running, r.ID)
	number := x.first + len(x.notices)
	took := strconv.FormatInt(result.Takes.Milliseconds(), 10)
	notice := lineprotocol.AppendBody(nil, result.Body, "EXIT", strconv.Itoa(number), r.ID, "good", took)
	x.notices = append(x.notices, notice)
	if len(x.notices) > maxKeptNotices {
		x.notices = x.notices[1:]
		x.first++
	}
	if x.link != nil {
		_, _ = x.link.Write(notice)
	}
}
