package capacity

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazpost/internal/testbed/processfleet"
)

// executor runs what it is sent for a set time, and tells in the result how long that came to be, in ns: what an answer
// took longer is the node's.
type executor struct {
	listener net.Listener
	run      time.Duration
}

func newExecutor(run time.Duration) (*executor, error) {
	e := &executor{run: run}
	var err error
	e.listener, err = processfleet.Accept(e.serve)
	return e, err
}

// executorLink is one link of a node.
type executorLink struct {
	mu     sync.Mutex
	conn   net.Conn
	number int
}

func (l *executorLink) tell(call, result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	fmt.Fprintf(l.conn, "EXIT %d %s good 5 %d\r\n%s\r\n", l.number, call, len(result), result)
}

func (e *executor) serve(conn net.Conn) {
	defer conn.Close()
	l := &executorLink{conn: conn}
	in := bufio.NewReader(conn)
	say := func(format string, values ...any) {
		l.mu.Lock()
		defer l.mu.Unlock()
		fmt.Fprintf(conn, format, values...)
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		switch {
		case len(w) == 2 && w[0] == "JOIN":
			say("WELCOME old 60000\r\n")
		case len(w) == 2 && w[0] == "METER":
			say("METERS %s 0.1 1\r\n", w[1])
		case len(w) == 4 && w[0] == "EXEC":
			began, call := time.Now(), w[1]
			size, _ := strconv.Atoi(w[3])
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
			time.AfterFunc(e.run, func() { l.tell(call, strconv.FormatInt(int64(time.Since(began)), 10)) })
		}
	}
}

// platform takes reports and says yes.
func platform() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	answer := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	go func() { _ = http.Serve(l, http.HandlerFunc(answer)) }() // until the listener is closed
	return l, nil
}
