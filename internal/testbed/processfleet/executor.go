package processfleet

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

// executorStandIn is a node's executor, which outlives the node: what a node that was killed began goes on, and the next life hears
// of its end. A link gets all notices after the last one read; to one that read none, the last ones are sent anew.
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

// notify writes the next notice; what is not read is sent on the next link.
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
