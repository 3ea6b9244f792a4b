package server

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// deadlineRecorder is a socket that records its write deadline.
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

func (a *deadlineRecorder) last() (at time.Time, calls int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.deadline, a.calls
}

// A deadline is a runtime timer, and the runtime scans all of them at each tick: an idle connection has none.
func TestIdleConnectionHasNoWriteDeadline(t *testing.T) {
	c := newTestConnection(t)
	recorder := &deadlineRecorder{socket: c.conn.socket}
	c.conn.socket = recorder
	for k := range 3 {
		c.server.conns.send(1, []byte("answer"))
		c.server.conns.flush()
		c.server.conns.writers.Wait()
		deadline, calls := recorder.last()
		require.Greater(t, calls, k, "a write has a deadline")
		assert.Zero(t, deadline)
	}
}
