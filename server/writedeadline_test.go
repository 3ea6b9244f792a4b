package server

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// deadlineRecorder is a socket that remembers its deadline for writes.
type deadlineRecorder struct {
	socket
	mu       sync.Mutex
	deadline time.Time
	calls    int
}

func (a *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	a.mu.Lock()
	a.deadline = at
	a.calls++
	a.mu.Unlock()
	return a.socket.SetWriteDeadline(at)
}

func (a *deadlineRecorder) last() (at time.Time, set int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.deadline, a.calls
}

// A deadline is a timer of the runtime, and it goes over all of them at each beat: a connection that rests has none.
func TestIdleConnectionHasNoWriteDeadline(t *testing.T) {
	h := newTestConnection(t)
	a := &deadlineRecorder{socket: h.conn.conn}
	h.conn.conn = a
	for k := range 3 {
		h.server.conns.send(1, []byte("answer"))
		h.server.conns.flush()
		h.server.conns.writers.Wait()
		at, set := a.last()
		require.Greater(t, set, k, "a peer that takes nothing is still cut off")
		assert.Zero(t, at)
	}
}
