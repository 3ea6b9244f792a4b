package processfleet

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazpost/internal/configfile"
	"topazpost/internal/protocol/frame"
)

const (
	callers     = 8                     // connections of a storm, each with some invocations open
	openEach    = 4                     // of them
	tokensOpen  = 40                    // tokens of which invocations are drawn at a time: each comes again and again
	freshEvery  = 8                     // of so many invocations one opens a new token and retires the oldest
	freshCalls  = 2                     // the same in a storm of calls, in which more are wanted than may be
	callersMore = 2                     // times as many callers in it
	backMost    = 50 * time.Millisecond // that they wait where they are told to come back: their need is to go on
	runUsual    = 30                    // ms of a run at the most
	retold      = 64                    // notices that a node hears anew which read none
	historyMost = 2_000_000             // invocations that are remembered whole
	answerMost  = 12 * time.Second      // past the client timeout, then an invocation counts as lost
	keptMost    = 60 * time.Second      // for a repeat that gets what was kept; a storm without one ends then, and its claim breaks
	changeEvery = 40                    // invocations after which a caller goes to another node
	pace        = 2                     // ms that a caller waits between answers at the most
	stormWindow = 600_000               // ms: no token's window ends in a storm
	// client timeout in a storm, where none is given
	stormTimeout = configfile.Time(5_000 * ms)
)

// retryStorm is callers that repeat tokens at any node, and the ledger of all that the executors did.
type retryStorm struct {
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

	runMost int                 // ms of a run
	where   map[string][]string // calls and executors of each run
	timeout time.Duration       // client timeout
	callers int
	fresh   int           // of so many invocations one opens a new token
	back    time.Duration // that a caller waits at the most where it is told to come back
	began   time.Time
	turns   int64                       // ns after which callers go to other nodes, 0 in a storm without calls
	runners map[string]*executorStandIn // where each call runs, until its request is over
	history []Told
}

// Told is one invocation as its caller saw it: what became of it, empty where its connection broke. Times are ns.
type Told struct {
	Token, Outcome string
	From, To       int64
	Caller         int
}

// sent is an invocation that waits for its answer.
type sent struct {
	token, call string
	at          time.Time
}

func newRetryStorm(seed int64, n *Scenario) *retryStorm {
	s := &retryStorm{stop: make(chan struct{}), chance: rand.New(rand.NewSource(seed)), counts: map[string]int{}, runs: map[string]int{},
		broke: map[string]bool{}, after: map[string]bool{}, runMost: runUsual, where: map[string][]string{},
		runners: map[string]*executorStandIn{}, timeout: time.Duration(cmp.Or(n.Timeout, stormTimeout)), callers: callers, fresh: freshEvery, back: answerMost}
	if n.Longest > 0 {
		s.runMost = int(n.Longest / configfile.Time(ms))
	}
	if n.Calls > 0 {
		s.callers, s.fresh, s.back, s.turns = callers*callersMore, freshCalls, backMost, turnFor
	}
	return s
}

// executorStandIn is a node's executor, which outlives the node: what a node that was killed began goes on, and the next life hears
// of its end. A link gets all notices after the last one read; to one that read none, the last ones are told anew.
type executorStandIn struct {
	storm    *retryStorm
	name     string
	listener net.Listener
	mu       sync.Mutex
	conn     net.Conn
	notices  []string          // forms that lack their number
	ran      map[string]bool   // calls: one that is ordered again, as its order may not have been read, runs once
	supply   *dependency       // that each run makes a call of, or nil
	standing map[string]string // results of runs that wait for their call
}

func newExecutorStandIn(s *retryStorm, calls *dependency) (*executorStandIn, error) {
	b := &executorStandIn{storm: s, supply: calls, standing: map[string]string{}, ran: map[string]bool{}}
	var err error
	b.listener, err = Accept(b.serve)
	return b, err
}

// Accept listens on loopback and serves each connection by itself.
func Accept(serve func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l, nil
}

func (b *executorStandIn) serve(conn net.Conn) {
	defer b.disconnected(conn)
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
			b.conn = conn
			fmt.Fprint(conn, "WELCOME old 60000\r\n")
			read, _ := strconv.Atoi(w[1])
			if read == 0 && len(b.notices) > retold {
				b.notices = b.notices[len(b.notices)-retold:]
			}
			for n := read; n < len(b.notices); n++ {
				fmt.Fprintf(conn, b.notices[n], n+1)
			}
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
		if len(w) == 3 && w[0] == "RETURN" && b.supply != nil {
			size, _ := strconv.Atoi(w[2])
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
			b.supply.callReturned(w[1])
			b.mu.Lock()
			if result, stands := b.standing[w[1]]; stands {
				delete(b.standing, w[1])
				b.notify(fmt.Sprintf("EXIT %%d %s good 5 %d\r\n%s\r\n", w[1], len(result), result))
			}
			b.mu.Unlock()
		}
	}
}

// run has its effect at once and its end later.
func (b *executorStandIn) run(call, token string) {
	s := b.storm
	b.mu.Lock()
	again := b.ran[call]
	b.ran[call] = true
	b.mu.Unlock()
	if again {
		s.count("ordered_again", "")
		return
	}
	s.mu.Lock()
	s.runs[token]++
	s.runners[call] = b
	s.where[token] = append(s.where[token], fmt.Sprintf("%s at %s", call, b.listener.Addr()))
	after := time.Duration(s.chance.Intn(s.runMost)) * time.Millisecond
	result := fmt.Sprintf("%s run %d", token, s.runs[token])
	s.mu.Unlock()
	if b.supply != nil {
		time.AfterFunc(s.timeout, func() { s.callEnded(call) })
	}
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.supply != nil {
			if b.standing[call] = result; !s.running(call) {
				b.cut(call)
				return
			}
			if b.conn != nil {
				b.supply.callWanted(call, b)
			}
			b.notify(fmt.Sprintf("CALLOUT %%d %s 3\r\nask\r\n", call))
			return
		}
		b.notify(fmt.Sprintf("EXIT %%d %s good 5 %d\r\n%s\r\n", call, len(result), result))
	})
}

// cut ends a run that stands at a call for a request that is over, as executors do: left to stand it would hold a place at
// its node for good.
func (b *executorStandIn) cut(call string) {
	if _, stands := b.standing[call]; stands {
		delete(b.standing, call)
		b.supply.callReturned(call)
		b.notify(fmt.Sprintf("EXIT %%d %s cut 5 0\r\n\r\n", call))
	}
}

func (s *retryStorm) running(call string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runners[call] != nil
}

// callEnded is the end of a request: it was answered, or its client timeout has passed.
func (s *retryStorm) callEnded(call string) {
	s.mu.Lock()
	b := s.runners[call]
	delete(s.runners, call)
	s.mu.Unlock()
	if b != nil && b.supply != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.cut(call)
	}
}

// notify writes the next notice; what is not read is told on the next link.
func (b *executorStandIn) notify(notice string) {
	b.notices = append(b.notices, notice)
	if b.conn != nil {
		fmt.Fprintf(b.conn, notice, len(b.notices))
	}
}

// disconnected is the end of a link: a node that was killed hears no more on it.
func (b *executorStandIn) disconnected(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn == conn {
		if b.conn = nil; b.supply != nil {
			b.supply.executorDisconnected(b)
		}
	}
	conn.Close()
}

// begin sends the callers out.
func (s *retryStorm) begin(p *processes) {
	s.began = time.Now()
	p.supply.started = s.began
	for k := range s.callers {
		s.group.Go(func() { s.call(p, k, rand.New(rand.NewSource(int64(k)))) })
	}
}

// awaitResults has a storm whose claim is that repeats get what was kept go on until one did: after its faults, and on a slow
// machine longer than the storm was to last.
func (s *retryStorm) awaitResults(n *Scenario) {
	if !slices.ContainsFunc(n.Claims, func(c Claim) bool { return c.Measure == "kept" && c.Least != nil && *c.Least >= 1 }) {
		return
	}
	for end := time.Now().Add(keptMost); time.Now().Before(end); time.Sleep(time.Duration(look)) {
		s.mu.Lock()
		kept := s.counts["kept"]
		s.mu.Unlock()
		if kept > 0 {
			return
		}
	}
}

// measure ends the storm and holds what callers were told against the ledger.
func (s *retryStorm) measure(o *Outcome, p *processes, spans []*faultSpan, start int64) {
	close(s.stop)
	s.group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := o.Measures
	twice := 0
	for token, runs := range s.runs {
		if runs > 1 {
			twice++
			o.Timeline = append(o.Timeline, fmt.Sprintf("%s ran %d times: %v", token, runs, s.where[token]))
		}
	}
	o.Timeline = append(o.Timeline, s.wrong...)
	o.History = s.history
	m["twice"], m["tokens_run"], m["invocations"], m["wrong_answers"] = float64(twice), float64(len(s.runs)), float64(s.asked), float64(len(s.wrong))
	for _, what := range []string{"succeeded", "kept", "throttled", "unknown", "errored", "broken", "lost", "ordered_again"} {
		m[what] = float64(s.counts[what])
	}
	m["store_bytes"], m["per_s"] = float64(p.stored()), float64(s.asked)/(float64(p.now()-start)/1e9)
	m["broken_tokens"], m["answered_later"] = float64(len(s.broke)), float64(len(s.after))
	o.Timeline = append(o.Timeline, p.supply.measure(m, p, spans)...)
	m["taken"], m["unknown_claims"], m["settled"], m["taken_ended"] = 0, 0, 0, 1
	for i := range p.daemons {
		pic, err := p.claims(i)
		if err != nil || pic.Table == nil {
			continue
		}
		m["taken"], m["unknown_claims"] = max(m["taken"], float64(pic.Table.Taken)), max(m["unknown_claims"], float64(pic.Table.Unknown))
		m["settled"] = max(m["settled"], float64(pic.Table.Settled))
		if pic.Table.Taken > 0 {
			m["taken_ended"] = min(m["taken_ended"], float64(pic.Table.TakenEnded)/float64(pic.Table.Taken))
		}
	}
}

// claimsView is what a node shows of claims.
type claimsView struct {
	Table *struct {
		Unknown, Settled, Taken int
		TakenEnded              int `json:"taken_ended"`
	}
}

// claims asks a node by the command that operators have.
func (p *processes) claims(i int) (*claimsView, error) {
	if p.night.Council == 0 {
		return nil, errors.New("no council")
	}
	out, err := exec.Command(p.program, "claims", "--fleet", "rig", "--json", p.bind[i]).Output()
	if err != nil {
		return nil, err
	}
	pic := new(claimsView)
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
func (s *retryStorm) draw() (token, call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if len(s.tokens) < tokensOpen || s.chance.Intn(s.fresh) == 0 {
		s.next++
		s.tokens = append(s.tokens, fmt.Sprint("t", s.next))
		if len(s.tokens) > tokensOpen {
			s.tokens = s.tokens[1:]
		}
	}
	return s.tokens[s.chance.Intn(len(s.tokens))], fmt.Sprintf("%016x", s.asked)
}

func (s *retryStorm) count(what string, wrong string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
	if wrong != "" && len(s.wrong) < shown {
		s.wrong = append(s.wrong, wrong)
	}
}

func (s *retryStorm) isEnding() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// nextTurn counts the spans in which callers go to the same nodes.
func (s *retryStorm) nextTurn() int64 {
	if s.turns == 0 {
		return 0
	}
	return int64(time.Since(s.began)) / s.turns
}

// call is one caller: some invocations open at a time on a connection to a node, then on one to another.
func (s *retryStorm) call(p *processes, caller int, chance *rand.Rand) {
	for !s.isEnding() {
		turn := s.nextTurn()
		_, addresses := p.serving()
		if n := int64(len(addresses)); s.turns > 0 && n > 0 { // in one turn alike to all nodes, in the next to some
			to := turn + int64(caller)
			if turn%2 == 1 {
				to = turnNodes*turn + int64(caller%turnNodes)
			}
			addresses = addresses[to%n:][:1]
		}
		if len(addresses) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", addresses[chance.Intn(len(addresses))], time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.serveConnection(conn, caller, chance, turn)
		conn.Close()
	}
}

func (s *retryStorm) serveConnection(conn net.Conn, caller int, chance *rand.Rand, turn int64) {
	open := map[uint32]sent{}
	defer func() { s.connectionBroken(open, caller) }()
	var parser frame.Parser
	for stream := uint32(1); ; {
		ending := s.isEnding() || stream > changeEvery || s.nextTurn() != turn
		for !ending && len(open) < openEach {
			token, call := s.draw()
			open[stream] = sent{token, call, time.Now()}
			if _, err := conn.Write(invocation("hold", stream, call, token)); err != nil {
				return
			}
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
				for range open {
					s.count("lost", fmt.Sprintf("no answer within %s", answerMost))
				}
				return
			}
			return
		}
		parser.Wrote(n)
		var back time.Duration
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
				back = max(back, s.answered(open, &f, caller))
			}
		}
		time.Sleep(min(back, s.back) + time.Duration(chance.Intn(pace*1_000))*time.Microsecond)
	}
}

func invocation(op string, stream uint32, call, token string) []byte {
	return frame.AppendInvocation(nil, stream, []frame.Field{{Name: "op", Value: op}, {Name: "call", Value: call},
		{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "src", Value: "1"},
		{Name: "heap", Value: "1"}, {Name: "dedupe", Value: token}}, []byte(token))
}

func (s *retryStorm) connectionBroken(open map[uint32]sent, caller int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range open {
		s.counts["broken"]++
		s.broke[o.token] = true
		s.record(o, "", caller)
	}
}

func (s *retryStorm) record(o sent, outcome string, caller int) {
	if len(s.history) < historyMost {
		s.history = append(s.history, Told{o.token, outcome, o.at.UnixNano(), time.Now().UnixNano(), caller})
	}
}

// answered takes an answer, and says when the caller may ask again.
func (s *retryStorm) answered(open map[uint32]sent, f *frame.Frame, caller int) (back time.Duration) {
	o, asked := open[f.Stream]
	token := o.token
	if !asked {
		s.count("wrong", fmt.Sprintf("stream %d has more than one answer", f.Stream))
		return
	}
	delete(open, f.Stream)
	s.callEnded(o.call)
	fields, body, err := frame.Fields(f.Payload[1:])
	if err != nil {
		s.count("wrong", err.Error())
		return
	}
	noted := map[string]string{}
	for _, x := range fields {
		noted[x.Name] = x.Value
	}
	told, wrong := "errored", ""
	outcome := "unknown"
	switch f.Payload[0] {
	case frame.Succeeded:
		told, outcome = "succeeded", string(body)
		if noted["kept"] != "" {
			told = "kept"
		}
		if outcome != token+" run 1" {
			wrong = fmt.Sprintf("token %s was answered %q", token, body)
		}
	case frame.Throttled:
		told, outcome = "throttled", "throttled"
		ms, _ := strconv.Atoi(noted["pushback"])
		back = time.Duration(ms) * time.Millisecond
	default:
		if noted["outcome"] == "unknown" {
			told = "unknown"
		}
	}
	s.count(told, wrong)
	s.mu.Lock()
	defer s.mu.Unlock()
	if told == "succeeded" || told == "kept" {
		if s.broke[token] {
			s.after[token] = true
		}
	}
	s.record(o, outcome, caller)
	return back
}
