package processfleet

import (
	"math/rand"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/testbed/virtualfleet"
)

// A loss is the machine's only where a member stood still for as long as no fleet bears, all together; the bound is that
// of nodes as they are.
func TestLossesAreWrongUnlessTheMachineStoppedForLonger(t *testing.T) {
	assert.Equal(t, []int64{virtualfleet.DefaultConfig.LinkTimeout, virtualfleet.DefaultConfig.ProbeInterval, virtualfleet.DefaultConfig.SuspicionTimeout}, []int64{silence, probe, settle})
	n := &Scenario{Nodes: 3}
	pause := &faultSpan{kind: "pause", from: 10 * second, to: 13 * second, nodes: []int{1}, concerned: map[string]bool{"n1": true}, back: true}
	events := []Event{{At: 12_950 * ms, Node: 0, Who: "n1", Cause: membership.Lost}, {At: 13_010 * ms, Node: 0, Who: "n1", Cause: membership.Returned}}
	verdict := func(still *stallRecorder) []float64 {
		o := &Outcome{Measures: map[string]float64{}}
		n.measureViews(o, events, []*faultSpan{pause}, 0, still)
		return []float64{o.Measures["wrong"], o.Measures["others"], o.Measures["starved"]}
	}
	still := func(list ...processStall) *stallRecorder {
		return &stallRecorder{from: map[int]int64{1: 10 * second}, list: list}
	}
	assert.Equal(t, []float64{1, 2, 0}, verdict(nil), "in virtual time")
	assert.Equal(t, []float64{1, 2, 0}, verdict(still()))
	assert.Equal(t, []float64{1, 2, 0}, verdict(still(processStall{1, 9_600 * ms, 400 * ms})), "all together it stood for less than is borne")
	assert.Equal(t, []float64{1, 2, 0}, verdict(still(processStall{2, 9_500 * ms, 500 * ms})), "another stood still")
	assert.Equal(t, []float64{1, 2, 0}, verdict(still(processStall{-1, 7 * second, 1_500 * ms})), "long before")
	assert.Equal(t, []float64{0, 0, 2}, verdict(still(processStall{1, 9_500 * ms, 500 * ms})))
	assert.Equal(t, []float64{0, 0, 2}, verdict(still(processStall{-1, 9_500 * ms, 500 * ms})), "the relays stood still")
	events = append(events, Event{At: 13_500 * ms, Node: 0, Who: "n1", Cause: membership.Returned})
	assert.Equal(t, []float64{0, 1, 2}, verdict(still(processStall{1, 9_500 * ms, 500 * ms})), "a second return has no excuse")
}

func TestPausesCountAsLongAsTheyReallyWere(t *testing.T) {
	s := &stallRecorder{from: map[int]int64{}}
	s.stopped(1, 2*second, true)
	assert.Equal(t, second, s.of(1, 0, 3*second), "it is stopped still")
	s.stopped(1, 6*second, false)
	s.stopped(1, 7*second, false)
	assert.Equal(t, 4*second, s.of(1, 0, 9*second))
	assert.Equal(t, second, s.of(1, 5*second, 9*second))
	assert.Zero(t, s.of(2, 0, 9*second))
}

// A process that doesn't want a processor and says nothing stands still by its own doing, however busy the machine is.
func TestSilenceIsNoStall(t *testing.T) {
	sleeper := exec.Command("sleep", "60")
	require.NoError(t, sleeper.Start())
	defer func() { sleeper.Process.Kill(); _ = sleeper.Wait() }() // it was killed
	p := &processes{began: time.Now(), daemons: []*daemon{{command: sleeper, up: true}}, stalls: &stallRecorder{from: map[int]int64{}, over: make(chan struct{})},
		links: &links{chance: rand.New(rand.NewSource(1)), bytes: make([]int64, 1)}}
	before := waited(sleeper.Process.Pid) // for its start
	go p.stalls.watch(p)
	time.Sleep(time.Second)
	close(p.stalls.over)
	p.stalls.mu.Lock()
	defer p.stalls.mu.Unlock()
	sum := int64(0)
	for _, x := range p.stalls.list {
		if x.node == 0 {
			sum += x.ns
		}
	}
	assert.LessOrEqual(t, sum, waited(sleeper.Process.Pid)-before, "no more than the kernel says, and its start")
}
