package processfleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

const sentMost = 6 // tokens that a node of one core is sent at once

const patience = 60 * time.Second // for any state that is waited for

// linear says whether what callers saw could have come from one place where each token ran at most once.
func linear(history []Told) bool {
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) (parts [][]porcupine.Operation) {
			by := map[string]int{}
			for _, o := range all {
				k, known := by[o.Input.(string)]
				if !known {
					k = len(parts)
					by[o.Input.(string)] = k
					parts = append(parts, nil)
				}
				parts[k] = append(parts[k], o)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, _, out any) (bool, any) {
			switch {
			case out == "" || out == "unknown" || out == "throttled": // nothing is told, or nothing for sure
				return true, state
			case state == "":
				return true, out
			}
			return state == out, state
		},
	}
	var all []porcupine.Operation
	for _, h := range history {
		all = append(all, porcupine.Operation{ClientId: h.Caller, Input: h.Token, Call: h.From, Output: h.Outcome, Return: h.To})
	}
	return porcupine.CheckOperations(model, all)
}

// storms plays an experiment of storms and wants no token run twice, every answer right, and all of it in one order.
func storms(t *testing.T, experiment string, changed map[string]string) map[string]float64 {
	t.Parallel()
	n, is, err := Read("../../../experiments/"+experiment+".jsonnet", changed)
	require.NoError(t, err)
	require.True(t, is)
	n.Claims = nil // those of the full length
	r, err := n.Run([]int64{1}, program, t.TempDir())
	require.NoError(t, err)
	o := r.Outcomes[0]
	for _, none := range []string{"twice", "wrong_answers", "lost"} {
		assert.Zero(t, o.Measures[none], "%s: %v", none, o.Timeline)
	}
	assert.Positive(t, o.Measures["tokens_run"])
	assert.Positive(t, o.Measures["kept"])
	assert.NotEmpty(t, o.History)
	assert.True(t, linear(o.History), "what callers saw is linearizable")
	return o.Measures
}

func TestRetryStormOnAFleetWhoseNodesAreKilled(t *testing.T) {
	storms(t, "takeover-kill", map[string]string{"nodes": "5", "seconds": "14", "faults": `[{"kind":"kill","at":"2 s","every":"5 s","for":"1 s"}]`})
}

func TestRetryStormOnAFleetThatIsPausedAndCut(t *testing.T) {
	storms(t, "takeover-pause", map[string]string{"nodes": "5", "seconds": "20", "faults": `[{"kind":"loss","at":"0 s","part":"20 %"},
		{"kind":"pause","at":"2 s","every":"8 s","for":"2 s"},{"kind":"cut","shape":"from","at":"5 s","for":"3 s"},
		{"kind":"cut","shape":"halves","who":"n0 n3","at":"13 s","for":"3 s"}]`})
}

// Answers that come from two runs can't be in one order.
func TestHistoryOfTwoRunsIsFound(t *testing.T) {
	assert.True(t, linear([]Told{{"t", "t run 1", 1, 5, 1}, {"t", "unknown", 2, 3, 2}, {"t", "t run 1", 6, 7, 3}}))
	assert.False(t, linear([]Told{{"t", "t run 1", 1, 5, 1}, {"t", "t run 2", 6, 7, 2}}))
}

// council waits until a fleet's seats have a leader and its nodes reach it, and gives what a node shows.
func (p *processes) council(t testing.TB) {
	require.Eventually(t, func() bool {
		for i := range p.daemons {
			var shown struct {
				Reached bool `json:"council_reached"`
			}
			out, err := exec.Command(p.program, "claims", "--fleet", "rig", "--json", p.bind[i]).Output()
			if err != nil || json.Unmarshal(out, &shown) != nil || !shown.Reached {
				return false
			}
		}
		return true
	}, patience, 100*time.Millisecond)
}

// caller is a connection to a node.
type caller struct {
	t      testing.TB
	conn   net.Conn
	parser frame.Parser
	last   uint32
}

func (p *processes) dial(t testing.TB, i int) *caller {
	var at string
	require.Eventually(t, func() bool {
		nodes, addresses := p.serving()
		for k := range nodes {
			if nodes[k] == i {
				at = addresses[k]
			}
		}
		return at != ""
	}, patience, 10*time.Millisecond)
	conn, err := net.Dial("tcp", at)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &caller{t: t, conn: conn}
}

func (c *caller) send(token string) { c.invoke("hold", token) }

func (c *caller) invoke(op, token string) {
	c.last++
	_, err := c.conn.Write(invocation(op, c.last, fmt.Sprintf("%08x%08x", c.conn.LocalAddr().(*net.TCPAddr).Port, c.last), token))
	require.NoError(c.t, err)
}

// answer is the next one: what it says, in a word, and its body.
func (c *caller) answer() string {
	for {
		f, ok, err := c.parser.Next()
		require.NoError(c.t, err)
		if !ok {
			c.conn.SetReadDeadline(time.Now().Add(patience))
			n, err := c.conn.Read(c.parser.Space())
			require.NoError(c.t, err)
			c.parser.Wrote(n)
			continue
		}
		if f.Type != frame.Answer {
			continue
		}
		fields, body, err := frame.Fields(f.Payload[1:])
		require.NoError(c.t, err)
		for _, x := range fields {
			if x.Name == "outcome" {
				return x.Value
			}
		}
		return map[byte]string{frame.Succeeded: "", frame.Throttled: "throttled", frame.Errored: "errored"}[f.Payload[0]] + string(body)
	}
}

func (p *processes) states(t *testing.T, seat int) (of map[string]string) {
	out, err := exec.Command(p.program, "claims", "--fleet", "rig", "--json", p.bind[seat]).Output()
	require.NoError(t, err)
	var shown struct {
		Claims []struct{ Token, State string } `json:"table_of_claims"`
	}
	require.NoError(t, json.Unmarshal(out, &shown))
	of = map[string]string{}
	for _, c := range shown.Claims {
		of[c.Token] = c.State
	}
	return of
}

// held is a fleet of five in which the last node, of one core, has begun some of its tokens and holds others, with
// executors that take long.
func held(t *testing.T) (p *processes, c *caller) {
	var states map[string]string
	t.Parallel()
	n, _, err := Read("../../../experiments/takeover-held.jsonnet", map[string]string{"nodes": "5", "timeout": "50 s", "longest": "1 s"})
	require.NoError(t, err)
	p, err = newProcesses(n, 1, program, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(p.close)
	for i := range n.Nodes {
		require.NoError(t, p.start(i))
	}
	p.council(t)
	p.executors[4].mu.Lock() // its executor answers nothing from here on: what it began never ends
	c = p.dial(t, 4)
	for k := range sentMost {
		c.send(fmt.Sprint("t", k))
	}
	require.Eventually(t, func() bool {
		states = p.states(t, 0)
		count := map[string]int{}
		for _, s := range states {
			count[s]++
		}
		return count["started"] > 0 && count["claimed"] >= 2
	}, patience, 100*time.Millisecond)
	return p, c
}

func TestQueuedWorkOfAKilledNodeIsRunByAnotherAndStartedWorkIsReportedAsUnknown(t *testing.T) {
	p, _ := held(t)
	p.pause(4, true) // what it said is agreed on by the time that it is dead
	time.Sleep(300 * time.Millisecond)
	states := p.states(t, 0)
	p.kill(4)
	p.executors[4].mu.Unlock()
	other := p.dial(t, 3)
	unknown := 0
	for token := range states { // others were turned away
		other.send(token)
		switch answer := other.answer(); answer {
		case "unknown":
			unknown++
			assert.NotEqual(t, "claimed", states[token], "what did not begin is run")
		default:
			assert.Equal(t, token+" run 1", answer)
		}
	}
	assert.Positive(t, unknown)
	assert.Less(t, unknown, len(states))
	p.retryStorm.mu.Lock()
	defer p.retryStorm.mu.Unlock()
	for token, runs := range p.retryStorm.runs {
		assert.Equal(t, 1, runs, token)
	}
	for token := range states {
		out, err := exec.Command(p.program, "claims", "show", "--fleet", "rig", p.bind[0], token).CombinedOutput()
		require.NoError(t, err, string(out))
		assert.Contains(t, string(out), token)
	}
}

func TestOwnerThatWasStoppedFindsItsWorkTaken(t *testing.T) {
	p, c := held(t)
	p.pause(4, true)
	p.executors[4].mu.Unlock()
	require.Eventually(t, func() bool { // the others hold it lost, and run what it held
		ended := 0
		for _, s := range p.states(t, 0) {
			if s == "claimed" || s == "started" {
				return false
			}
			if s == "ended" {
				ended++
			}
		}
		return ended > 0
	}, patience, 100*time.Millisecond)
	p.pause(4, false)
	for range sentMost {
		answer := c.answer()
		assert.True(t, answer == "unknown" || answer == "throttled" || strings.HasSuffix(answer, " run 1"), answer)
	}
	p.retryStorm.mu.Lock()
	defer p.retryStorm.mu.Unlock()
	assert.NotEmpty(t, p.retryStorm.runs)
	for token, runs := range p.retryStorm.runs {
		assert.Equal(t, 1, runs, token)
	}
}

func TestCallsInHandKeepToTheLimitOfTheFleetAndUseIt(t *testing.T) {
	m := storms(t, "quota-hard", map[string]string{"nodes": "5", "calls": "10", "seconds": "16", "calm": "18", "faults": `[{"kind":"kill","at":"5 s","for":"1 s"},
		{"kind":"pause","at":"8 s","for":"3 s"},{"kind":"cut","shape":"from","at":"11 s","for":"3 s"}]`})
	assert.Zero(t, m["calls_over"])
	assert.Less(t, m["blind_s"], 17.0, "the ledger could judge most of the time")
	assert.Positive(t, m["wanted_s"])
	for _, used := range []string{"used_spread", "used_moved"} {
		assert.Greater(t, m[used], 0.65, used)
	}
}

// A measure that fixed shares pass shows nothing of leases.
func TestFixedSharesAreSeenToHoldCallsBack(t *testing.T) {
	m := storms(t, "quota-hard", map[string]string{"share": "true", "seconds": "6", "calm": "10", "faults": "[]"})
	assert.Positive(t, m["wanted_s"])
	assert.Less(t, m["used_moved"], 0.65)
}

func TestPartOfTheLimitInUseCountsWhereAllOfItIsWanted(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * 1e9)) }
	trace := []usageSample{{at(-1), 9, 9}, {at(1), 10, 5}, {at(2), 9, 0}, {at(3), 12, 12}, {at(4), 12, 0}, {at(6), 10, 10}}
	of, whole, judged, lines := part(trace, 10, start, at(8), [][2]int64{{int64(4.5e9), int64(5.5e9)}})
	assert.InDelta(t, 1.5/2.5, of[0], 1e-9, "what is in use over the limit counts once, and what is left out not")
	assert.InDelta(t, 2.0/2.5, of[1], 1e-9)
	assert.InDelta(t, 3.5/5.0, whole, 1e-9)
	assert.InDelta(t, 5, judged, 1e-9)
	assert.Len(t, lines, 2)
	of, _, judged, _ = part(trace[:1], 10, start, at(8), nil)
	assert.Zero(t, judged+of[0]+of[1], "nothing was wanted")
}

func TestDependencyReportsWhatItCouldNotJudge(t *testing.T) {
	s, err := newDependency(1, 1)
	require.NoError(t, err)
	t.Cleanup(s.close)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.ticked, s.blind = now, 0
	s.tick(now.Add(90 * time.Millisecond))
	assert.Zero(t, s.blind, "as it should be")
	s.tick(now.Add(290 * time.Millisecond))
	assert.Equal(t, 700*time.Millisecond, s.blind, "it stood still, and what it had in hand then lasts for half a second")
	assert.Equal(t, now.Add(790*time.Millisecond), s.blindTo)
	s.tick(now.Add(410 * time.Millisecond))
	assert.Equal(t, 820*time.Millisecond, s.blind, "no time counts twice")
}
