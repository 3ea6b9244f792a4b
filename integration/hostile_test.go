package integration

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

// A second notice aborts what is in hand, and still answers it.
func TestASecondSignalAbortsAndAnswersWhatIsInHand(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["stop_ms"] = 120_000 })
	d, rests := s.dial(), s.dial()
	rests.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", rests.answer())
	await(t, s.told)
	d.invoke(1, "hold")
	await(t, s.told)
	s.signal(syscall.SIGTERM)
	s.line("drain notice")
	s.signal(syscall.SIGTERM)
	s.line("what is in hand is aborted")
	assert.Equal(t, "no more", d.answer())
	assert.Equal(t, "51 on 1 ", d.answer())
	rests.rested()
	rests.invoke(2, "crosses")
	assert.Equal(t, "50 on 2 ", rests.answer())
	d.ends()
	rests.ends()
	assert.NoError(t, await(t, s.ended))
}

func TestADrainWhileTheExecutorIsAwayAnswersAll(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["stop_ms"] = 1_500 })
	d := s.dial()
	d.invoke(1, "hold")
	await(t, s.told)
	link := await(t, s.links)
	s.executor.Close()
	link.Close()
	s.line("executor link ended")
	s.signal(syscall.SIGTERM)
	s.line("drain notice")
	d.invoke(2, "never told to the executor")
	got := []string{d.answer(), d.answer(), d.answer()}
	assert.Contains(t, got, "no more")
	assert.Contains(t, got, "51 on 1 ")
	assert.Regexp(t, `5[01] on 2 `, strings.Join(got, ","))
	d.ends()
	assert.NoError(t, await(t, s.ended))
}

// A process that stood still past its time to leave aborts and leaves in one step: the answers must be out before it ends.
func TestADrainWhoseTimeWentByWhileTheProcessStoodStillAnswersAll(t *testing.T) {
	const stop = 800 * time.Millisecond
	s := start(t, false, func(c map[string]any) { c["stop_ms"] = stop.Milliseconds() })
	var all []*dispatcher
	for range 8 {
		d := s.dial()
		d.invoke(1, "hold")
		await(t, s.told)
		all = append(all, d)
	}
	s.signal(syscall.SIGTERM)
	s.line("drain notice")
	s.signal(syscall.SIGSTOP)
	time.Sleep(stop)
	s.signal(syscall.SIGCONT)
	for _, d := range all {
		assert.Equal(t, "no more", d.answer())
		assert.Equal(t, "51 on 1 ", d.answer())
		d.ends()
	}
	assert.NoError(t, await(t, s.ended))
}

func TestADrainDuringAReloadAnswersAll(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["stop_ms"] = 1_500 })
	d := s.dial()
	d.invoke(1, "hold")
	await(t, s.told)
	s.move()
	s.configure(true) // half written: it is read again and again
	s.signal(syscall.SIGHUP)
	s.line("the one of before stays")
	s.signal(syscall.SIGTERM)
	s.line("drain notice")
	s.configure(false)
	assert.Equal(t, "no more", d.answer())
	assert.Equal(t, "51 on 1 ", d.answer())
	d.ends()
	assert.NoError(t, await(t, s.ended))
}

// Idle clients that fill the table while the control plane is down leave descriptors for what the node itself opens, and
// room for those who work.
func TestACrowdLeavesDescriptorsForReportsTheExecutorAndCalls(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = 32 })
	control, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	require.NoError(t, err)
	t.Cleanup(func() { control.Close() })
	s.config["control"] = control.Addr().String()
	s.configure(false)
	s.signal(syscall.SIGHUP)
	s.line("peers are now at")
	link := await(t, s.links)
	for n := range 120 {
		conn, err := net.Dial("tcp", s.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		switch n % 3 {
		case 0:
			conn.Write(frame.Append(nil, frame.HealthCheck, 1, []byte{0}))
		case 1:
			conn.Write(frame.Append(nil, frame.HealthCheck, 1, []byte{0})[:7])
		}
	}
	link.Close()
	await(t, s.links)
	d := s.dial()
	d.invoke(1, "call")
	assert.Equal(t, "20 on 1 reply", d.answer())
	back, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { back.Close() })
	go http.Serve(back, s.control)
	s.config["control"] = back.Addr().String()
	s.configure(false)
	s.signal(syscall.SIGHUP)
	await(t, s.reports)
	limit, err := http.Dir("/proc").Open(fmt.Sprint(s.command.Process.Pid, "/fd"))
	require.NoError(t, err)
	list, err := limit.Readdir(-1)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(list), 32)
}

// Slow senders in great number make room as well.
func TestManyHalfFramesLeaveRoomForWork(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = 32 })
	for range 100 {
		conn, err := net.Dial("tcp", s.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		go func() {
			for _, b := range frame.Append(nil, frame.HealthCheck, 1, make([]byte, 200)) { // a byte at a time
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	d := s.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

// Whatever a catalogue does with one call ends as what it proves: that may have run, so it is not repeated.
func TestACatalogueThatBreaksOffStaysSilentOrFloods(t *testing.T) {
	for what, reply := range map[string]string{"half a line": "DA", "half a body": "%s DATA 100\r\nhalf", "another's": "ffffffffffffffff DATA 2\r\nok\r\n",
		"a line without end": strings.Repeat("x", 1<<20), "a flood": strings.Repeat("ffffffffffffffff LATER\r\n", 20_000), "no length": "%s DATA many\r\n",
		"a length below 0": "%s DATA -4\r\n", "a length without bound": "%s DATA 99999999999\r\n"} {
		for _, breaks := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, breaks off %v", what, breaks), func(t *testing.T) {
				s := start(t, false, func(c map[string]any) {
					grade := c["settings"].(map[string]any)["grades"].([]any)[0].(map[string]any)
					grade["effect"], grade["give_up"], grade["aim"] = "at_most_once", 900, 800
				})
				s.replyWith(func(call string) string {
					if breaks {
						time.AfterFunc(20*time.Millisecond, func() { (<-s.supplied).Close() })
					}
					return strings.Replace(reply, "%s", call, 1)
				})
				d := s.dial()
				d.invoke(1, "call")
				assert.Equal(t, "51 on 1 ", d.answer())
				d.invoke(2, "fine")
				assert.Equal(t, "20 on 2 fine", d.answer())
				await(t, s.asked)
				for len(s.asked) > 0 {
					assert.NotEqual(t, "FETCH", (<-s.asked)[0], "it may have run")
				}
			})
		}
	}
}

// An executor that says half a line and no more, or too much, costs a link and no run.
func TestAnExecutorThatStaysSilentInTheMiddleOfALineOrFloods(t *testing.T) {
	s := start(t, false, nil)
	d := s.dial()
	call := d.invoke(1, "hold")
	await(t, s.told)
	link := await(t, s.links)
	s.mu.Lock()
	s.link = nil // what it says from here on is heard on the next link
	s.mu.Unlock()
	fmt.Fprint(link, "EXIT 1 "+call+" go")
	s.notify("EXIT %d " + call + " good 3 4\r\nlate\r\n")
	fmt.Fprint(link, strings.Repeat("y", 1<<20)) // a line without end
	await(t, s.links)
	assert.Equal(t, "20 on 1 late", d.answer())
	for range 20_000 {
		s.notify("LOG %d any words\r\n")
	}
	d.invoke(2, "fine")
	assert.Equal(t, "20 on 2 fine", d.answer())
}
