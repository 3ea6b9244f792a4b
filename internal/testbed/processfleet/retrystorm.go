package processfleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"topazpost/internal/configfile"
)

const (
	callers            = 8                     // connections of a storm, each with some invocations open
	openPerCaller      = 4                     // of them
	tokensOpen         = 40                    // tokens of which invocations are drawn at a time: each comes again and again
	freshTokenInterval = 8                     // of so many invocations one opens a new token and retires the oldest
	freshCalls         = 2                     // the same in a storm of calls, in which more are wanted than may be
	callersMore        = 2                     // times as many callers in it
	maxRetryAfter      = 50 * time.Millisecond // that they wait at a Retry-After: their need is to go on
	defaultRunMS       = 30                    // ms of a run at the most
	retold             = 64                    // notices that a node hears anew which read none
	maxHistory         = 2_000_000             // invocations that are remembered whole
	answerTimeout      = 12 * time.Second      // past the client timeout, then an invocation counts as lost
	resultTimeout      = 60 * time.Second      // for a repeat that gets what was kept; a storm without one ends then, and its claim breaks
	nodeChangeInterval = 40                    // invocations after which a caller goes to another node
	pace               = 2                     // ms that a caller waits between answers at the most
	stormWindow        = 600_000               // ms: no token's window ends in a storm
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
	back    time.Duration // that a caller waits at the most at a Retry-After
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
		broke: map[string]bool{}, after: map[string]bool{}, runMost: defaultRunMS, where: map[string][]string{},
		runners: map[string]*executorStandIn{}, timeout: time.Duration(cmp.Or(n.Timeout, stormTimeout)), callers: callers, fresh: freshTokenInterval, back: answerTimeout}
	if n.Longest > 0 {
		s.runMost = int(n.Longest / configfile.Time(ms))
	}
	if n.Calls > 0 {
		s.callers = callers * callersMore
		s.fresh = freshCalls
		s.back = maxRetryAfter
		s.turns = callerTurn
	}
	return s
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

// begin sends the callers out.
func (s *retryStorm) begin(p *processes) {
	s.began = time.Now()
	p.dependency.started = s.began
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
	for end := time.Now().Add(resultTimeout); time.Now().Before(end); time.Sleep(time.Duration(pollInterval)) {
		s.mu.Lock()
		kept := s.counts["kept"]
		s.mu.Unlock()
		if kept > 0 {
			return
		}
	}
}

// measure ends the storm and compares the answers of callers with the ledger.
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
	m["twice"] = float64(twice)
	m["tokens_run"] = float64(len(s.runs))
	m["invocations"] = float64(s.asked)
	m["wrong_answers"] = float64(len(s.wrong))
	for _, what := range []string{"succeeded", "kept", "throttled", "unknown", "errored", "broken", "lost", "ordered_again"} {
		m[what] = float64(s.counts[what])
	}
	m["store_bytes"], m["per_s"] = float64(p.stored()), float64(s.asked)/(float64(p.now()-start)/1e9)
	m["broken_tokens"] = float64(len(s.broke))
	m["answered_later"] = float64(len(s.after))
	o.Timeline = append(o.Timeline, p.dependency.measure(m, p, spans)...)
	m["taken"] = 0
	m["unknown_claims"] = 0
	m["settled"] = 0
	m["taken_ended"] = 1
	for i := range p.daemons {
		pic, err := p.claims(i)
		if err != nil || pic.Table == nil {
			continue
		}
		m["taken"] = max(m["taken"], float64(pic.Table.Taken))
		m["unknown_claims"] = max(m["unknown_claims"], float64(pic.Table.Unknown))
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
	if p.scenario.Council == 0 {
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
