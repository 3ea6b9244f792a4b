package server

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// armed is a socket that remembers its deadline for writes.
type armed struct {
	socket
	mu       sync.Mutex
	deadline time.Time
	set      int
}

func (a *armed) SetWriteDeadline(at time.Time) error {
	a.mu.Lock()
	a.deadline = at
	a.set++
	a.mu.Unlock()
	return a.socket.SetWriteDeadline(at)
}

func (a *armed) last() (at time.Time, set int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.deadline, a.set
}

// A deadline is a timer of the runtime, and it goes over all of them at each beat: a connection that rests has none.
func TestAConnectionThatRestsHasNoDeadline(t *testing.T) {
	h := hold(t)
	a := &armed{socket: h.k.net}
	h.k.net = a
	for k := range 3 {
		h.s.conns.send(1, []byte("answer"))
		h.s.conns.flush()
		h.s.conns.writers.Wait()
		at, set := a.last()
		require.Greater(t, set, k, "a peer that takes nothing is still cut off")
		assert.Zero(t, at)
	}
}
