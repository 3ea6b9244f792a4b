package processfleet

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxServeMS     = 120            // ms that a call takes at the most; one that is given up goes on to its end
	callHold       = 500 * ms       // longest use of a unit
	callLease      = 3_000 * ms     // of calls in hand
	bookLag        = 500 * ms       // that the book's leases are longer by
	maxLeaseMove   = 1_310 * ms     // a need of before is looked back on for 1 s at the most, an ask comes within 0.25 s, the other's within 0.06 s
	maxElection    = 2 * 1_200 * ms // until a council whose leader is gone has another: the longest wait of two seats that stood at once
	callerTurn     = 5 * second     // that callers keep to the same nodes in a storm of calls: all of them, then some, and so on
	turnNodes      = 2              // they go to so many in every other turn
	dependencyTick = 10 * ms        // between looks of the ledger at itself
	maxStall       = 100 * ms       // past the last one it stood still: calls may have lain unread
	maxTrace       = 4_000_000      // changes that are remembered
)

// dependency is what lies below all nodes, and counts the calls that it works on by itself.
type dependency struct {
	listener net.Listener
	limit    int
	mu       sync.Mutex
	stands   map[string]*waitingCall // calls that runs stand at
	wanted   int
	used     int
	trace    []usageSample
	works    map[*work]bool // calls in hand
	overs    []string

	ticked   time.Time
	blindTo  time.Time // it can't judge until then: it stood still itself
	blind    time.Duration
	unjudged int // calls past the limit meanwhile
	closed   chan struct{}
	chance   *rand.Rand
	inHand   int
	most     int
	calls    int
	over     int     // calls that came while the limit was in use
	area     float64 // calls in hand times seconds
	since    time.Time
	began    time.Time
	started  time.Time // of the storm
}

// waitingCall is a call that a run stands at, from the word of its executor to its result there. Its unit is in use from its
// arrival below to that result, for the longest use of a unit at the most.
type waitingCall struct {
	bench *executorStandIn
	used  bool
}

// work is a call in hand. Its end counts from when it is due: a timer that comes late on a busy machine makes none longer,
// as the dependency is to be done with a call within half of what a use of one unit may last.
type work struct {
	call        string
	from, until time.Time
}

// usageSample is how many calls were wanted and how many units were in usageSample from a moment on.
type usageSample struct {
	at           time.Time
	wanted, used int
}

func newDependency(seed int64, limit int) (*dependency, error) {
	s := &dependency{limit: limit, chance: rand.New(rand.NewSource(seed + 2)), stands: map[string]*waitingCall{}, works: map[*work]bool{}, ticked: time.Now(),
		closed: make(chan struct{})}
	go s.watch()
	var err error
	s.listener, err = Accept(s.serve)
	return s, err
}

func (s *dependency) change(by int) {
	now := time.Now()
	if s.began.IsZero() {
		s.began = now
		s.since = now
	}
	s.area += float64(s.inHand) * now.Sub(s.since).Seconds()
	s.since = now
	s.inHand += by
}

func (s *dependency) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		if len(w) != 4 || w[0] != "FETCH" {
			continue
		}
		size, _ := strconv.Atoi(w[3])
		if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
			return
		}
		s.mu.Lock()
		s.calls++
		after := time.Duration(s.chance.Intn(maxServeMS)) * time.Millisecond
		now := time.Now()
		x := &work{w[1], now, now.Add(after)}
		for other := range s.works {
			if !other.until.After(now) {
				s.done(other)
			}
		}
		s.works[x] = true
		s.tick(now)
		if s.change(1); s.inHand > s.limit {
			if now.Before(s.blindTo) {
				s.unjudged++
			} else {
				s.over++
			}
			s.notifyEnded()
		}
		s.most = max(s.most, s.inHand)
		s.callStarted(w[1])
		s.mu.Unlock()
		time.AfterFunc(after, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.done(x)
			fmt.Fprintf(conn, "%s DATA 2\r\nok\r\n", w[1])
		})
	}
}

// watch has the ledger know when it stood still itself. The limit holds while the dependency is done with a call within
// half of its longest use after it was given up. One that reads a call only after that does not keep to it, and what it counts
// says nothing of the nodes until those calls are over.
func (s *dependency) watch() {
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(time.Duration(dependencyTick)):
			s.mu.Lock()
			s.tick(time.Now())
			s.mu.Unlock()
		}
	}
}

func (s *dependency) tick(now time.Time) {
	if now.Sub(s.ticked) > time.Duration(maxStall) {
		from := s.ticked
		if s.blindTo.After(from) {
			from = s.blindTo
		}
		s.blindTo = now.Add(time.Duration(callHold))
		s.blind += s.blindTo.Sub(from)
	}
	s.ticked = now
}

func (s *dependency) close() {
	close(s.closed)
	s.listener.Close()
}

func (s *dependency) done(x *work) {
	if s.works[x] {
		delete(s.works, x)
		s.change(-1)
	}
}

// notifyEnded says who has what in hand when there is one too many.
func (s *dependency) notifyEnded() {
	if len(s.overs) >= shownLines {
		return
	}
	now, of := time.Now(), map[string][]int64{}
	for x := range s.works {
		who := "a node that is gone or gave it up"
		if run := s.stands[x.call]; run != nil {
			who = run.bench.name
		}
		of[who] = append(of[who], now.Sub(x.from).Milliseconds())
	}
	text := ""
	for _, who := range slices.Sorted(maps.Keys(of)) {
		text += fmt.Sprintf("; %s has %d, came %v ms ago", who, len(of[who]), of[who])
	}
	s.overs = append(s.overs, fmt.Sprintf("%9.3f calls: %d in hand%s", now.Sub(s.started).Seconds(), s.inHand, text))
}

// recordUse remembers how things stand.
func (s *dependency) recordUse() {
	if len(s.trace) < maxTrace {
		s.trace = append(s.trace, usageSample{time.Now(), s.wanted, s.used})
	}
}

// callWanted is a run that stands at a call.
func (s *dependency) callWanted(call string, b *executorStandIn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stands[call] == nil {
		s.stands[call] = &waitingCall{bench: b}
		s.wanted++
		s.recordUse()
	}
}

// callStarted is a call that came, under the lock.
func (s *dependency) callStarted(call string) {
	x := s.stands[call]
	if x == nil || x.used {
		return
	}
	x.used = true
	s.used++
	s.recordUse()
	time.AfterFunc(time.Duration(callHold), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.release(x)
	})
}

func (s *dependency) release(x *waitingCall) {
	if x.used {
		x.used = false
		s.used--
		s.recordUse()
	}
}

// callReturned is a call's result at the executor; none of a link that is gone comes any more.
func (s *dependency) callReturned(call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callEnded(call)
}

func (s *dependency) callEnded(call string) {
	if x := s.stands[call]; x != nil {
		delete(s.stands, call)
		s.release(x)
		s.wanted--
		s.recordUse()
	}
}

func (s *dependency) executorDisconnected(b *executorStandIn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for call, x := range s.stands {
		if x.bench == b {
			s.callEnded(call)
		}
	}
}

// part is how much of a limit was in use while all of it was wanted: of turns in which all nodes want, of those in which
// some do, and over both, with the seconds that were judged. Out holds spans that are left out, in ns since the start.
func part(trace []usageSample, limit int, start, end time.Time, out [][2]int64) (of [2]float64, whole, judged float64, lines []string) {
	area, length := map[int64]float64{}, map[int64]float64{}
	for k, u := range trace {
		until := end
		if k+1 < len(trace) {
			until = trace[k+1].at
		}
		if u.wanted < limit {
			continue
		}
		to := int64(until.Sub(start))
		for at := max(0, int64(u.at.Sub(start))); at < to; {
			next, free := min(to, (at/callerTurn+1)*callerTurn), true
			for _, o := range out {
				if at < o[0] {
					next = min(next, o[0])
				} else if at < o[1] {
					next = min(next, o[1])
					free = false
				}
			}
			if free {
				area[at/callerTurn] += float64(min(u.used, limit)) / float64(limit) * float64(next-at)
				length[at/callerTurn] += float64(next - at)
			}
			at = next
		}
	}
	var areas, lengths [2]float64
	for _, k := range slices.Sorted(maps.Keys(length)) {
		lines = append(lines, fmt.Sprintf("%9.3f calls: %.3f of the limit in use in %.3f s in which it was wanted", float64(k*callerTurn)/1e9, area[k]/length[k], length[k]/1e9))
		areas[k%2], lengths[k%2] = areas[k%2]+area[k], lengths[k%2]+length[k]
	}
	for k := range of {
		of[k] = areas[k] / max(1, lengths[k])
	}
	judged = lengths[0] + lengths[1]
	return of, (areas[0] + areas[1]) / max(1, judged), judged / 1e9, lines
}

// left are the spans in which bounds of the design leave units unused: before the first grants, after a fault, and as load
// moves. Times are ns since the start, first that of the first call.
func left(spans []*faultSpan, start, first, end int64) (out [][2]int64) {
	lost := callLease + callLease/50 + bookLag
	out = append(out, [2]int64{0, max(lost, first) + maxLeaseMove})
	for _, s := range spans {
		if s.kind != "loss" {
			out = append(out, [2]int64{s.from - start, max(s.from+lost, s.to) - start + maxElection + maxLeaseMove})
		}
	}
	for at := int64(0); at < end; at += callerTurn {
		out = append(out, [2]int64{at, at + maxLeaseMove})
	}
	return out
}

// measure tells how many calls were in hand at the most and in the mean, and how often there were too many.
func (s *dependency) measure(m map[string]float64, p *processes, spans []*faultSpan) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(0)
	m["calls"] = float64(s.calls)
	m["calls_most"] = float64(s.most)
	m["calls_over"] = float64(s.over)
	m["calls_unjudged"], m["blind_s"] = float64(s.unjudged), s.blind.Seconds()
	m["calls_mean"] = s.area / max(1, time.Since(s.began).Seconds())
	if s.limit == 0 {
		return nil
	}
	began, end := p.retryStorm.began, time.Now()
	first, start := int64(s.began.Sub(began)), int64(began.Sub(p.began))
	of, _, judged, lines := part(s.trace, s.limit, began, end, left(spans, start, first, int64(end.Sub(began))))
	m["used_spread"] = of[0]
	m["used_moved"] = of[1]
	m["wanted_s"] = judged
	_, m["used_whole"], _, _ = part(s.trace, s.limit, began, end, nil)
	return append(s.overs, lines...)
}
