// Package standin has small stand-ins for what a node talks to, for the cases of a review: its dispatchers, executor, catalogue and
// control plane, and the node's own process. They follow the operators' protocol page and behave soundly unless a case says otherwise.
package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Record is the record of a case: what was sent, answered and run, a line each, with the time since its start.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// NewRecord starts a record.
func NewRecord(out io.Writer) *Record { return &Record{out: out, began: time.Now()} }

// Line writes a line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// listen listens on a free loopback port and serves each connection by itself.
func listen(serve func(net.Conn)) (net.Listener, error) {
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

// ControlPlane takes reports of readiness and answers each with 204.
type ControlPlane struct{ listener net.Listener }

// NewControlPlane starts a control plane.
func NewControlPlane() (*ControlPlane, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	answer := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	go func() { _ = http.Serve(l, http.HandlerFunc(answer)) }() // until the listener is closed
	return &ControlPlane{listener: l}, nil
}

// Addr is where it listens.
func (c *ControlPlane) Addr() string { return c.listener.Addr().String() }

// Close ends it.
func (c *ControlPlane) Close() { c.listener.Close() }
