package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const serveMost = 120 // ms that a call takes at the most; one that is given up goes on to its end

// supply is what lies below all nodes, and counts the calls that it works on by itself.
type supply struct {
	listener net.Listener
	limit    int
	mu       sync.Mutex
	chance   *rand.Rand
	inHand   int
	most     int
	calls    int
	over     int     // calls that came while the limit was in use
	area     float64 // calls in hand times seconds
	since    time.Time
	began    time.Time
}

func newSupply(seed int64, limit int) (*supply, error) {
	s := &supply{limit: limit, chance: rand.New(rand.NewSource(seed + 2))}
	var err error
	s.listener, err = accept(s.serve)
	return s, err
}

func (s *supply) change(by int) {
	now := time.Now()
	if s.began.IsZero() {
		s.began, s.since = now, now
	}
	s.area += float64(s.inHand) * now.Sub(s.since).Seconds()
	s.since = now
	s.inHand += by
}

func (s *supply) serve(conn net.Conn) {
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
		if s.change(1); s.inHand > s.limit {
			s.over++
		}
		s.most = max(s.most, s.inHand)
		after := time.Duration(s.chance.Intn(serveMost)) * time.Millisecond
		s.mu.Unlock()
		time.AfterFunc(after, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.change(-1)
			fmt.Fprintf(conn, "%s DATA 2\r\nok\r\n", w[1])
		})
	}
}

// measure tells how many calls were in hand at the most and in the mean, and how often there were too many.
func (s *supply) measure(m map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(0)
	m["calls"], m["calls_most"], m["calls_over"] = float64(s.calls), float64(s.most), float64(s.over)
	m["calls_mean"] = s.area / max(1, time.Since(s.began).Seconds())
}
