package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazpost/frame"
)

const (
	callers     = 8                // connections of a storm, each with some invocations open
	openEach    = 4                // of them
	tokensOpen  = 40               // tokens of which invocations are drawn at a time: each comes again and again
	freshEvery  = 8                // of so many invocations one opens a new token and retires the oldest
	runMost     = 30               // ms of a run at the most
	answerMost  = 12 * time.Second // past the client timeout, then an invocation counts as lost
	changeEvery = 40               // invocations after which a caller goes to another node
	pace        = 2                // ms that a caller waits between answers at the most
	stormWindow = 600_000          // ms: no token's window ends in a storm
)

// storm is callers that repeat tokens at any node, and the ledger of all that the executors did.
type storm struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex

	chance *rand.Rand
	tokens []string
	next   int
	asked  int
	counts map[string]int // what became of invocations
	wrong  []string
	runs   map[string]int
	broke  map[string]bool // tokens whose caller lost its connection before an answer
	after  map[string]bool // of them, those that were answered with their result later
	taken  int
}

func newStorm(seed int64) *storm {
	return &storm{stop: make(chan struct{}), chance: rand.New(rand.NewSource(seed)), counts: map[string]int{}, runs: map[string]int{},
		broke: map[string]bool{}, after: map[string]bool{}}
}

// bench is a node's executor, which outlives the node: what a node that was killed began goes on, and the next life hears
// of its end. Numbers of notices start anew with each life.
type bench struct {
	storm    *storm
	listener net.Listener
	mu       sync.Mutex
	notices  int
	conn     net.Conn
}

func newBench(s *storm) (*bench, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bench{storm: s, listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *bench) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		b.mu.Lock()
		switch {
		case len(w) == 2 && w[0] == "JOIN":
			if b.conn = conn; w[1] == "0" {
				b.notices = 0
			}
			fmt.Fprint(conn, "WELCOME old 60000\r\n")
		case len(w) == 2 && w[0] == "METER":
			fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", w[1])
		}
		b.mu.Unlock()
		if len(w) == 4 && w[0] == "EXEC" {
			size, _ := strconv.Atoi(w[3])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			b.run(w[1], string(body[:size]))
		}
	}
}

// run has its effect at once and its end later.
func (b *bench) run(call, token string) {
	s := b.storm
	s.mu.Lock()
	s.runs[token]++
	after := time.Duration(s.chance.Intn(runMost)) * time.Millisecond
	result := fmt.Sprintf("%s run %d", token, s.runs[token])
	s.mu.Unlock()
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.notices++
		fmt.Fprintf(b.conn, "EXIT %d %s good 5 %d\r\n%s\r\n", b.notices, call, len(result), result)
	})
}

// begin sends the callers out.
func (s *storm) begin(p *processes) {
	for k := range callers {
		s.group.Go(func() { s.call(p, rand.New(rand.NewSource(int64(k)))) })
	}
}

// measure ends the storm and holds what callers were told against the ledger.
func (s *storm) measure(o *Outcome, p *processes, start int64) {
	close(s.stop)
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := o.Measures
	twice := 0
	for token, runs := range s.runs {
		if runs > 1 {
			twice++
			o.Timeline = append(o.Timeline, fmt.Sprintf("%s ran %d times", token, runs))
		}
	}
	o.Timeline = append(o.Timeline, s.wrong...)
	m["twice"], m["tokens_run"], m["invocations"], m["wrong_answers"] = float64(twice), float64(len(s.runs)), float64(s.asked), float64(len(s.wrong))
	for _, what := range []string{"succeeded", "kept", "throttled", "unknown", "errored", "broken", "lost"} {
		m[what] = float64(s.counts[what])
	}
	m["store_bytes"], m["per_s"] = float64(p.stored()), float64(s.asked)/(float64(p.now()-start)/1e9)
	m["broken_tokens"], m["answered_later"] = float64(len(s.broke)), float64(len(s.after))
	for _, k := range []string{"taken", "unknown_claims", "settled"} {
		m[k] = 0
	}
	for i := range p.daemons {
		pic, err := p.claims(i)
		if err != nil {
			continue
		}
		if pic.Desk != nil {
			m["taken"] += float64(pic.Desk.Taken)
		}
		if pic.Table != nil {
			m["unknown_claims"], m["settled"] = max(m["unknown_claims"], float64(pic.Table.Unknown)), max(m["settled"], float64(pic.Table.Settled))
		}
	}
}

// picture is what a node shows of claims.
type picture struct {
	Desk  *struct{ Taken int }
	Table *struct{ Unknown, Settled, Taken int }
}

// claims asks a node by the command that operators have.
func (p *processes) claims(i int) (*picture, error) {
	if p.night.Council == 0 {
		return nil, errors.New("no council")
	}
	out, err := exec.Command(p.program, "claims", "--fleet", "rig", "--json", p.bind[i]).Output()
	if err != nil {
		return nil, err
	}
	pic := new(picture)
	return pic, json.Unmarshal(out, pic)
}

func (p *processes) stored() (sum int64) {
	files, _ := filepath.Glob(filepath.Join(p.folder, "*.kept", "*"))
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			sum += info.Size()
		}
	}
	return sum
}

// draw is the next invocation's token: an older one, most of the time.
func (s *storm) draw() (token, call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if len(s.tokens) < tokensOpen || s.chance.Intn(freshEvery) == 0 {
		s.next++
		s.tokens = append(s.tokens, fmt.Sprint("t", s.next))
		if len(s.tokens) > tokensOpen {
			s.tokens = s.tokens[1:]
		}
	}
	return s.tokens[s.chance.Intn(len(s.tokens))], fmt.Sprintf("%016x", s.asked)
}

func (s *storm) count(what string, wrong string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
	if wrong != "" && len(s.wrong) < shown {
		s.wrong = append(s.wrong, wrong)
	}
}

func (s *storm) ending() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// call is one caller: some invocations open at a time on a connection to a node, then on one to another.
func (s *storm) call(p *processes, chance *rand.Rand) {
	for !s.ending() {
		_, addresses := p.serving()
		if len(addresses) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", addresses[chance.Intn(len(addresses))], time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.converse(conn, chance)
		conn.Close()
	}
}

func (s *storm) converse(conn net.Conn, chance *rand.Rand) {
	open := map[uint32]string{}
	var parser frame.Parser
	for stream := uint32(1); ; {
		ending := s.ending() || stream > changeEvery
		for !ending && len(open) < openEach {
			token, call := s.draw()
			text := frame.AppendInvocation(nil, stream, []frame.Field{{Name: "op", Value: "hold"}, {Name: "call", Value: call},
				{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "src", Value: "1"},
				{Name: "heap", Value: "1"}, {Name: "token", Value: token}}, []byte(token))
			if _, err := conn.Write(text); err != nil {
				open[stream] = token
				s.broken(open)
				return
			}
			open[stream] = token
			stream++
		}
		if len(open) == 0 {
			return
		}
		conn.SetReadDeadline(time.Now().Add(answerMost))
		n, err := conn.Read(parser.Space())
		if err != nil {
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				s.count("lost", fmt.Sprintf("%d invocations had no answer within %s", len(open), answerMost))
				return
			}
			s.broken(open)
			return
		}
		parser.Wrote(n)
		for {
			f, ok, err := parser.Next()
			if err != nil {
				s.count("errored", "an answer can't be read: "+err.Error())
				return
			}
			if !ok {
				break
			}
			if f.Type == frame.Answer {
				s.answered(open, &f)
			}
		}
		time.Sleep(time.Duration(chance.Intn(pace*1_000)) * time.Microsecond)
	}
}

func (s *storm) broken(open map[uint32]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, token := range open {
		s.counts["broken"]++
		s.broke[token] = true
	}
}

func (s *storm) answered(open map[uint32]string, f *frame.Frame) {
	token, asked := open[f.Stream]
	if !asked {
		s.count("wrong", fmt.Sprintf("stream %d has more than one answer", f.Stream))
		return
	}
	delete(open, f.Stream)
	fields, body, err := frame.Fields(f.Payload[1:])
	if err != nil {
		s.count("wrong", err.Error())
		return
	}
	noted := map[string]string{}
	for _, x := range fields {
		noted[x.Name] = x.Value
	}
	switch f.Payload[0] {
	case frame.Succeeded:
		what, wrong := "succeeded", ""
		if noted["kept"] != "" {
			what = "kept"
		}
		if string(body) != token+" run 1" {
			wrong = fmt.Sprintf("token %s was answered %q", token, body)
		}
		s.count(what, wrong)
		s.mu.Lock()
		if s.broke[token] {
			s.after[token] = true
		}
		s.mu.Unlock()
	case frame.Throttled:
		s.count("throttled", "")
	default:
		if noted["outcome"] == "unknown" {
			s.count("unknown", "")
		} else {
			s.count("errored", "")
		}
	}
}
