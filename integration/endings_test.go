package integration

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

// rested reads what a dispatcher is owed up to the notice that no more may come.
func (d *dispatcher) rested() {
	for d.answer() != "no more" {
	}
}

// ends says that nothing more comes but a clean end.
func (d *dispatcher) ends() {
	d.t.Helper()
	rest, err := io.ReadAll(d.conn)
	assert.NoError(d.t, err, "a reset takes what is owed with it")
	assert.Empty(d.t, rest)
}

// An invocation that is sent in the moment in which the notice comes crosses it: it was read, and is owed an answer.
func TestInvocationThatCrossesTheLastNoticeOfADrainIsAnswered(t *testing.T) {
	s := start(t, false, nil)
	var rest []*dispatcher
	for n := range 8 {
		d := s.dial()
		d.invoke(1, "fine")
		assert.Equal(t, "20 on 1 fine", d.answer(), n)
		rest = append(rest, d)
	}
	s.signal(syscall.SIGTERM)
	for _, d := range rest {
		d.rested()
		d.invoke(2, "crosses")
	}
	for _, d := range rest {
		assert.Equal(t, "50 on 2 ", d.answer())
		d.ends()
	}
	assert.NoError(t, await(t, s.ended))
	for len(s.told) > 0 {
		w := <-s.told
		assert.NotEqual(t, "crosses", w[len(w)-1], "it came after intake")
	}
}

// The same where the node has no executor, and leaves at once.
func TestInvocationThatCrossesTheEndOfANodeWithoutItsExecutorIsAnswered(t *testing.T) {
	s := start(t, true, nil)
	d := s.dial()
	d.write(frame.Append(nil, frame.HealthCheck, 1, []byte{0}))
	d.next()
	s.signal(syscall.SIGTERM)
	d.rested()
	d.invoke(1, "crosses")
	assert.Equal(t, "50 on 1 ", d.answer())
	d.ends()
	assert.NoError(t, await(t, s.ended))
}

// Connections that the system accepted while no place was free are taken on when intake ends, and their invocations
// are answered.
func TestConnectionsThatWaitForAPlaceWhenIntakeEndsAreAnswered(t *testing.T) {
	s := start(t, false, func(c map[string]any) {
		c["stop_ms"] = 6_000
		c["limits"].(map[string]any)["sockets"] = 32
	})
	var first, waiting []*dispatcher
	for n := range 14 { // as many as there are places, each with something open
		d := s.dial()
		d.invoke(1, "hold")
		d.write(frame.Append(nil, frame.HealthCheck, 1, []byte{0}))
		f, _ := d.next()
		require.Equal(t, byte(frame.HealthStatus), f.Type, "%d: the invocation before it was read", n)
		first = append(first, d)
	}
	for range 3 {
		d := s.dial()
		d.invoke(1, "waits")
		waiting = append(waiting, d)
	}
	s.signal(syscall.SIGTERM)
	for _, d := range first { // each ends by itself once it is told and answered
		got := []string{d.answer(), d.answer()}
		slices.Sort(got)
		assert.Regexp(t, `^5[01] on 1 $`, got[0])
		assert.Equal(t, "no more", got[1])
		d.conn.Close()
	}
	for _, d := range waiting {
		assert.Equal(t, "no more", d.answer())
		assert.Equal(t, "50 on 1 ", d.answer())
		d.ends()
	}
	assert.NoError(t, await(t, s.ended))
}

// Resting connections make room in the protocol's way: told, heard once more, closed without a reset.
func TestARestingConnectionThatMakesRoomLosesNothing(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = 32 })
	var rest []*dispatcher
	for range 10 {
		d := s.dial()
		d.invoke(1, "fine")
		assert.Equal(t, "20 on 1 fine", d.answer())
		rest = append(rest, d)
	}
	next := s.dial()
	next.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", next.answer())
	d := rest[0] // it rested longest
	assert.Equal(t, "no more", d.answer())
	d.invoke(2, "crosses")
	assert.Equal(t, "20 on 2 crosses", d.answer())
	d.ends()
}

// Under load, killed and drained in turn, and started again before the last life has ended, nine in ten processes serve
// within ten seconds. The distribution is printed.
func TestRestartedProcessesAreReadySoon(t *testing.T) {
	const restarts, soon = 20, 10 * time.Second
	s := start(t, false, func(c map[string]any) { c["stop_ms"] = 1_000 })
	address := s.address
	s.config["listen"] = address
	var load sync.WaitGroup
	over := make(chan struct{})
	for range 8 {
		load.Go(func() {
			for stream := uint32(1); ; stream++ {
				select {
				case <-over:
					return
				default:
				}
				conn, err := net.Dial("tcp", address)
				if err != nil {
					time.Sleep(5 * time.Millisecond) // nobody listens
					continue
				}
				conn.SetDeadline(time.Now().Add(time.Second))
				d := &dispatcher{t: t, conn: conn}
				for range 20 {
					if _, err := conn.Write(invocation(fmt.Sprintf("%016x", time.Now().UnixNano()), stream, "fine")); err != nil {
						break
					}
					if _, ok := d.next(); !ok {
						break
					}
					stream++
				}
				conn.Close()
			}
		})
	}
	var took []time.Duration
	for n := range restarts {
		last, ended := s.command, s.ended
		if n%2 == 0 {
			last.Process.Signal(syscall.SIGKILL)
		} else {
			last.Process.Signal(syscall.SIGTERM)
		}
		s.renew("old")
		s.ended = make(chan error, 1)
		from := time.Now()
		s.run()
		for !serves(address) {
			require.Less(t, time.Since(from), 30*time.Second)
			time.Sleep(time.Millisecond)
		}
		took = append(took, time.Since(from))
		await(t, ended)
	}
	close(over)
	load.Wait()
	slices.Sort(took)
	t.Logf("ready after: least %v, median %v, nine in ten %v, most %v", took[0], took[len(took)/2], took[len(took)*9/10-1], took[len(took)-1])
	assert.LessOrEqual(t, took[len(took)*9/10-1], soon)
}

// serves says whether a node answers a health check well.
func serves(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(frame.Append(nil, frame.HealthCheck, 1, []byte{0}))
	b := make([]byte, 10)
	_, err = io.ReadFull(conn, b)
	return err == nil && b[4] == frame.HealthStatus && b[9] == frame.Healthy
}

// The daemon closes what it opens: its descriptors are back to those of before once its peers have ended.
func TestDescriptorsComeFreeOnceEverybodyHasLeft(t *testing.T) {
	s := start(t, false, nil)
	open := func() int {
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.command.Process.Pid))
		require.NoError(t, err)
		return len(list)
	}
	d := s.dial()
	d.invoke(1, "call")
	assert.Equal(t, "20 on 1 reply", d.answer())
	d.conn.Close()
	before := open()
	for n := range 60 {
		d := s.dial()
		switch n % 4 {
		case 0:
			d.invoke(1, "call")
			d.answer()
		case 1:
			d.write([]byte{9, 9, 9, 9, 9})
		case 2:
			d.write(frame.Append(nil, frame.HealthCheck, 1, []byte{0})[:7])
		}
		d.conn.Close()
	}
	require.Eventually(t, func() bool { return open() <= before }, bound, 10*time.Millisecond)
}
