package integration

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

// The full-fleet days load a library into the node: that takes a build that the C library's loader starts.
func TestDeployedBuildIsLinkedAgainstTheCLibrary(t *testing.T) {
	f, err := elf.Open(program)
	require.NoError(t, err)
	defer f.Close()
	assert.True(t, slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }), "no interpreter")
	needed, err := f.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, needed, "libc.so.6")
}

func TestServesFailsAndReports(t *testing.T) {
	s := start(t, false, nil)
	d := s.dial()
	d.invoke(1, "any\r\n\x00bytes")
	assert.Equal(t, "20 on 1 any\r\n\x00bytes", d.answer())
	d.invoke(2, "bad")
	assert.Equal(t, "51 on 2 ", d.answer())
	report := await(t, s.reports)
	assert.Contains(t, report, "PUT /v2/endpoints/n1 {\"condition\":")
	for report != `PUT /v2/endpoints/n1 {"condition":"Ready"}` {
		report = await(t, s.reports)
	}
}

func TestInvocationsSplitAndJoinedAnywhereAreAnsweredInAnyOrder(t *testing.T) {
	s := start(t, false, nil)
	d := s.dial()
	for stream := range uint32(32) {
		d.invoke(stream+1, fmt.Sprint("body ", stream+1))
	}
	got := map[string]bool{}
	for range 32 {
		got[d.answer()] = true
	}
	for stream := range 32 {
		assert.Contains(t, got, fmt.Sprintf("20 on %d body %d", stream+1, stream+1))
	}
	check := frame.Append(nil, frame.HealthCheck, 1, []byte{0})
	for i := range check {
		d.write(check[i : i+1])
	}
	f, _ := d.next()
	assert.Equal(t, []byte{frame.HealthStatus, frame.Healthy}, []byte{f.Type, f.Payload[0]})
}

func TestCallsEndAsTheirRepliesProve(t *testing.T) {
	s := start(t, false, nil)
	d := s.dial()
	call := d.invoke(1, "call")
	assert.Equal(t, "20 on 1 reply", d.answer())
	assert.Equal(t, []string{"FETCH", call}, await(t, s.asked)[:2])
	s.replyWith(func(call string) string { return call + " FAULT\r\n" })
	d.invoke(2, "call")
	assert.Equal(t, "51 on 2 ", d.answer())
	s.replyWith(func(string) string { return "break" })
	d.invoke(3, "call")
	assert.Equal(t, "51 on 3 ", d.answer(), "a break proves nothing, so an idempotent one's call is repeated, once")
	for range 4 { // two of FAULT, two of the break
		await(t, s.asked)
	}
	assert.Empty(t, s.asked)
	s.replyWith(func(call string) string { return "no such words at all\r\n" })
	d.invoke(4, "call")
	assert.Equal(t, "51 on 4 ", d.answer())
	s.replyWith(func(call string) string { return call + " DATA 1\r\nx\r\n" })
	d.invoke(5, "call")
	assert.Equal(t, "20 on 5 x", d.answer())
}

func TestCallsErrWhileTheCatalogueIsDownAndWorkAgainOnceItIsBack(t *testing.T) {
	s := start(t, false, nil)
	d := s.dial()
	address := s.catalogue.Addr().String()
	s.catalogue.Close()
	d.invoke(1, "call")
	assert.Equal(t, "51 on 1 ", d.answer())
	assert.Empty(t, s.asked)
	back, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { back.Close() })
	go s.accept(back, s.supply)
	d.invoke(2, "call")
	assert.Equal(t, "20 on 2 reply", d.answer())
}

func TestCallerGoneWhileItsCallIsInHandQuitsTheCall(t *testing.T) {
	s := start(t, false, nil)
	s.replyWith(func(string) string { return "" })
	d := s.dial()
	d.invoke(1, "call")
	await(t, s.asked)
	d.write(frame.Append(nil, frame.Cancel, 1, nil))
	assert.Equal(t, await(t, s.supplied), await(t, s.left))
}

func TestExecutorMayComeLateAndItsLinkMayBeCut(t *testing.T) {
	s := start(t, true, nil)
	d := s.dial()
	d.write(frame.Append(nil, frame.HealthCheck, 1, []byte{0}))
	f, _ := d.next()
	assert.Equal(t, byte(frame.Unhealthy), f.Payload[0], "no executor yet")
	close(s.up)
	link := await(t, s.links)
	s.line("executor is up")
	call := d.invoke(1, "hold")
	await(t, s.told)
	s.mu.Lock()
	s.link = nil
	s.mu.Unlock()
	link.Close()
	s.notify("EXIT %d " + call + " good 3 4\r\nlate\r\n")
	assert.Equal(t, "20 on 1 late", d.answer())
	fmt.Fprint(await(t, s.links), "what is this\r\n")
	await(t, s.links)
	d.invoke(2, "again")
	assert.Equal(t, "20 on 2 again", d.answer())
}

func TestExecutorThatRefusesConnectionsIsTriedAgain(t *testing.T) {
	s := start(t, false, nil)
	address, link := s.executor.Addr().String(), await(t, s.links)
	s.executor.Close()
	link.Close()
	s.line("connection refused")
	back, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { back.Close() })
	go s.accept(back, s.execute)
	await(t, s.links)
	d := s.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

func TestMalformedInputOfDispatchers(t *testing.T) {
	s := start(t, false, nil)
	for what, bad := range map[string][]byte{"length": binary.LittleEndian.AppendUint32(nil, 300_000),
		"type": frame.Append(nil, 99, 2, nil), "stream": frame.Append(nil, frame.Invocation, 1, []byte{0})} {
		d := s.dial()
		call := d.invoke(1, "hold")
		await(t, s.told)
		d.write(bad)
		assert.Contains(t, d.answer(), "51 on 0 ", what)
		assert.Equal(t, "no more", d.answer(), what)
		s.notify("EXIT %d " + call + " good 3 2\r\nok\r\n")
		assert.Equal(t, "20 on 1 ok", d.answer(), what)
		_, ok := d.next()
		assert.False(t, ok, "closed once all is answered: "+what)
	}
	d := s.dial()
	d.write(frame.Append(nil, frame.Invocation, 1, []byte{9}))
	assert.Equal(t, "51 on 1 ", d.answer())
	d.invoke(2, string(make([]byte, 3_000)))
	assert.Equal(t, "51 on 2 ", d.answer())
	d.write(frame.Append(nil, frame.Invocation, 3, make([]byte, 100_000)))
	assert.Equal(t, "51 on 3 ", d.answer())
	d.invoke(4, "fine")
	assert.Equal(t, "20 on 4 fine", d.answer())
}

func TestDrainServesOnAnswersAllAndLeaves(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["stop_ms"] = 20_000 })
	d := s.dial()
	call := d.invoke(1, "hold")
	await(t, s.told)
	s.signal(syscall.SIGTERM)
	s.line("drain notice")
	d.invoke(2, "still open")
	assert.Equal(t, "20 on 2 still open", d.answer(), "the delay keeps intake open")
	assert.Equal(t, "no more", d.answer())
	s.line("no connection more") // from then on nobody can connect
	_, err := net.Dial("tcp", s.address)
	assert.Error(t, err)
	d.invoke(3, "too late")
	assert.Equal(t, "50 on 3 ", d.answer())
	s.notify("EXIT %d " + call + " good 3 2\r\nok\r\n")
	assert.Equal(t, "20 on 1 ok", d.answer())
	s.line("drain: in flight at start 1, completed 3, abandoned 0")
	assert.NoError(t, await(t, s.ended))
}

func TestDrainAbortsWhatIsOpenAtItsDeadline(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["stop_ms"] = 800 })
	d := s.dial()
	d.invoke(1, "hold")
	await(t, s.told)
	s.signal(syscall.SIGTERM)
	assert.Equal(t, "no more", d.answer())
	assert.Equal(t, "51 on 1 ", d.answer())
	s.line("abandoned 1")
	assert.NoError(t, await(t, s.ended))
}

func TestAFullNodeThrottles(t *testing.T) {
	s := start(t, false, func(c map[string]any) {
		c["settings"].(map[string]any)["family_info"].(map[string]any)["memory_kb"] = 150
	})
	d := s.dial()
	for stream := range uint32(32) {
		d.invoke(stream+1, "hold")
	}
	assert.Regexp(t, `^50 on \d+ $`, d.answer())
}

func TestAFloodOfConnectionsLeavesRoomForWork(t *testing.T) {
	s := start(t, false, func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = 32 })
	for range 150 {
		conn, err := net.Dial("tcp", s.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	d := s.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

func TestAPeerThatDoesNotReadIsCutOffAndStopsNoOther(t *testing.T) {
	s := start(t, false, nil)
	deaf := s.dial()
	checks := []byte{}
	for range 10_000 {
		checks = frame.Append(checks, frame.HealthCheck, 1, []byte{0})
	}
	cut := false
	for i := 0; i < 300 && !cut; i++ {
		_, err := deaf.conn.Write(checks)
		cut = err != nil
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	assert.True(t, cut)
	d := s.dial()
	d.invoke(1, "fine")
	assert.Equal(t, "20 on 1 fine", d.answer())
}

func TestUnusableConfigurationIsNamedAndUsageIsAnotherCode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"name":"n1","listen":"nowhere"}`), 0o600))
	out, err := exec.Command(program, "check", path).CombinedOutput()
	require.Error(t, err)
	assert.Contains(t, string(out), "configuration: listen")
	assert.NotContains(t, string(out), "goroutine")
	failed := err.(*exec.ExitError).ExitCode()
	_, err = exec.Command(program, "--no-such-flag").CombinedOutput()
	require.Error(t, err)
	assert.NotEqual(t, failed, err.(*exec.ExitError).ExitCode())
	out, err = exec.Command(program, "version").CombinedOutput()
	assert.NoError(t, err)
	assert.Contains(t, string(out), "topazpost")
}

func TestAProcessThatStoodStillLosesNothing(t *testing.T) {
	s := start(t, false, nil)
	s.replyWith(func(string) string { return "" })
	d := s.dial()
	run, call := d.invoke(1, "hold"), d.invoke(2, "call")
	await(t, s.told)
	await(t, s.asked)
	s.command.Process.Signal(syscall.SIGSTOP)
	s.notify("EXIT %d " + run + " good 3 5\r\nstill\r\n")
	fmt.Fprint(await(t, s.supplied), call+" DATA 5\r\nreply\r\n")
	d.invoke(3, "meanwhile")
	s.command.Process.Signal(syscall.SIGCONT)
	got := []string{d.answer(), d.answer(), d.answer()}
	assert.ElementsMatch(t, []string{"20 on 1 still", "20 on 2 reply", "20 on 3 meanwhile"}, got)
}

func TestNewConfigurationMovesAllPeersWhileRunsGoOn(t *testing.T) {
	s := start(t, false, nil)
	d := s.dial()
	call := d.invoke(1, "hold")
	await(t, s.told)
	await(t, s.links)
	for range 3 {
		s.move()
		s.configure(false)
		s.signal(syscall.SIGHUP)
		await(t, s.links)
	}
	for len(s.reports) > 0 {
		<-s.reports
	}
	await(t, s.reports)
	d.invoke(2, "call")
	assert.Equal(t, "20 on 2 reply", d.answer())
	s.notify("EXIT %d " + call + " good 3 4\r\nlate\r\n")
	assert.Equal(t, "20 on 1 late", d.answer())
}

func TestUnusableNewConfigurationIsNamedAndReadAgain(t *testing.T) {
	s := start(t, false, nil)
	d := s.dial()
	await(t, s.links)
	s.move()
	s.configure(true)
	s.signal(syscall.SIGHUP)
	assert.Contains(t, s.line("the one of before stays"), "configuration")
	d.invoke(1, "still served")
	assert.Equal(t, "20 on 1 still served", d.answer())
	s.config["stop_ms"] = 4_000
	s.configure(false)
	assert.Contains(t, s.line("takes a new start"), "stop_ms")
	await(t, s.links)
	d.invoke(2, "there")
	assert.Equal(t, "20 on 2 there", d.answer())
}

func TestHostileClientsAreRefusedOrClosedBesideASoundOne(t *testing.T) {
	s := start(t, false, nil)
	half := frame.Append(nil, frame.Invocation, 1, make([]byte, 500))[:300]
	broken := frame.Append(nil, frame.Invocation, 1, []byte{9})
	endless, many := []byte{}, []byte{}
	for stream := range uint32(100) {
		endless = append(endless, frame.Append(nil, frame.Invocation, stream+1, make([]byte, 200_000))...)
		many = append(many, frame.Append(nil, frame.Invocation, stream+1, []byte{200})...)
	}
	hostile := map[string][]byte{"silent": nil, "half": half, "noise": []byte("GET / HTTP/1.1\r\n\r\n"),
		"huge": binary.LittleEndian.AppendUint32(nil, 1<<31), "negative": {255, 255, 255, 255, 16}, "endless": endless,
		"twice": append(bytes.Clone(broken), broken...), "many": many}
	ended := make(chan string, len(hostile))
	for what, b := range hostile {
		conn, err := net.Dial("tcp", s.address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		go conn.Write(b)
		go func() {
			io.Copy(io.Discard, conn)
			ended <- what
		}()
	}
	sound := s.dial()
	for stream := range uint32(50) {
		sound.invoke(stream+1, "fine")
		assert.Equal(t, fmt.Sprintf("20 on %d fine", stream+1), sound.answer())
	}
	for range hostile {
		await(t, ended)
	}
}

const refusing = `{ name: 'p', levels: [{ name: 'none', refuse: ['catalogue'], enter: [{ memory: '0.1 %', 'for': '1 ms' }],
	exit: { memory: '0.05 %', 'for': '1 s' } }], idle: { wait: '0 %' } }`

func TestPlanIsCheckedServedAndReadAnewAndABrokenOneChangesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.jsonnet")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(refusing)
	t.Setenv("TOPAZPOST_PLAN", path)
	s := start(t, false, nil)
	d := s.dial()
	d.invoke(1, "hold") // it fills more of the memory than the plan allows
	assert.Contains(t, s.line("level changed"), `"to":"none","cause":"entered","signal":"memory"`)
	d.invoke(2, "refused")
	assert.Equal(t, "50 on 2 ", d.answer())
	write("{ levels: 3 }")
	s.signal(syscall.SIGHUP)
	assert.Contains(t, s.line("the one of before stays"), "plan.jsonnet:1: levels: is a number")
	d.invoke(3, "still refused")
	assert.Equal(t, "50 on 3 ", d.answer())
	write(strings.Replace(refusing, "0.1 %", "90 %", 1))
	assert.Contains(t, s.line("level changed"), `"cause":"plan"`)
	s.signal(syscall.SIGHUP)
	out, err := exec.Command(program, "check", "--plan", path, s.path).CombinedOutput()
	assert.NoError(t, err)
	assert.Contains(t, string(out), "plan p: 1 levels above full service")
	out, err = exec.Command(program, "plan", "show", path, s.path).CombinedOutput()
	assert.NoError(t, err)
	assert.Contains(t, string(out), "memory > 90 %")
}

func TestTemplateWithoutEndIsEnded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte("std.foldl(function(a, b) a + a, std.range(1, 60), 'x')"), 0o600))
	out, err := exec.Command(program, "plan", "render", path).CombinedOutput()
	require.Error(t, err)
	assert.Regexp(t, "takes more than|max stack", string(out))
}
