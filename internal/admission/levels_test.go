package admission

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

var (
	refused = Service{Form: Shed}
	reduced = Service{Form: Reduced, WorkShare: 0.4, WeightShare: 0.7}
)

func levelled(p *Controller, spare bool, services ...Service) { p.setLevel(services, spare) }

func arrival(op int32) *Event {
	return &Event{Kind: Arrived, OperationIndex: op, Tenant: -1, Original: NoOriginal, QueuedKB: 10}
}

func TestRefusedOperationIsThrottledAtTheDoorWithATimeToComeBack(t *testing.T) {
	p := post()
	levelled(p, false, refused, Service{})
	put(p, 1, held)
	e := arrival(0)
	e.Invocation = 1
	p.intake(e)
	assert.Equal(t, []ActionKind{Reject}, kinds(p))
	assert.Equal(t, ReasonDegraded, p.out[0].Reason)
	assert.Positive(t, p.out[0].Duration)
}

func TestChangeOfLevelThrottlesWhatIsHeldAndRefusedButNothingElse(t *testing.T) {
	p := post()
	put(p, 0, held)
	put(p, 0, running)
	put(p, 1, held)
	levelled(p, false, refused, Service{})
	assert.Equal(t, []state{ended, running, held}, []state{p.invs[0].state, p.invs[1].state, p.invs[2].state})
	assert.Len(t, p.out, 1)
}

// A tokened invocation that has run is never refused because a level came between its tries.
func TestLevelDoesNotRefuseWhatHasRun(t *testing.T) {
	p := post()
	levelled(p, false, Service{}, refused)
	e := arrival(1)
	e.Original = OriginalEnded
	p.intake(e)
	assert.Equal(t, []ActionKind{JoinOriginal}, kinds(p))
	put(p, 1, paused).ran = true
	levelled(p, false, refused, refused)
	assert.Len(t, p.out, 1)
}

func TestLevelDoesNotRecordWhatItRefuses(t *testing.T) {
	p := post()
	levelled(p, false, Service{}, refused)
	p.intake(arrival(1))
	assert.Equal(t, []ActionKind{Reject}, kinds(p))
	assert.Empty(t, p.records)
}

func TestReducedFormRunsCheaperAndRanksByItsValue(t *testing.T) {
	p := post()
	whole := p.expected(put(p, 0, held))
	levelled(p, false, reduced, Service{})
	p.orderHold()
	assert.InDelta(t, 0.4*whole, p.expected(&p.invs[0]), 1)
	assert.Equal(t, 0.7, p.invs[0].worth)
	p.startRuns()
	assert.Equal(t, Action{Kind: Run, Invocation: 0, Form: Reduced}, p.out[0])
}

func TestWhatRunsIsNotReducedMidway(t *testing.T) {
	p := post()
	v := put(p, 0, paused)
	v.ran = true
	levelled(p, false, reduced, Service{})
	p.orderHold()
	assert.Equal(t, 1.0, v.part)
	p.startRuns()
	assert.Equal(t, Complete, p.out[0].Form)
}

func TestLevelThatEndsBeforeTheStartLeavesTheWhole(t *testing.T) {
	p := post()
	put(p, 0, held)
	levelled(p, false, reduced, Service{})
	p.orderHold()
	p.setLevel(nil, false)
	p.orderHold()
	p.startRuns()
	assert.Equal(t, Complete, p.out[0].Form)
}

func TestSpareRoomServesWholeWhatALevelReduces(t *testing.T) {
	p := post()
	put(p, 0, held)
	levelled(p, true, reduced, Service{})
	p.orderHold()
	p.startRuns()
	assert.Equal(t, Complete, p.out[0].Form)
}

func TestSpareRoomServesLastWhatALevelRefuses(t *testing.T) {
	p := post()
	levelled(p, true, Service{Form: Shed, WorkShare: 0.4, WeightShare: 0.7}, Service{})
	p.intake(arrival(0))
	p.invs[0].base /= 100 // by far the best in value for work
	e := arrival(1)
	e.Invocation = 1
	p.intake(e)
	p.orderHold()
	assert.Equal(t, []int32{1, 0}, p.order)
	p.startRuns()
	assert.Equal(t, Reduced, p.out[len(p.out)-1].Form, "the form that the level before leaves")
}

func TestWhatALevelTurnsAwayIsNoSignOfPressure(t *testing.T) {
	p := post()
	levelled(p, false, refused, Service{})
	p.intake(arrival(0))
	var m LoadMetrics
	p.MeasureLoad(&m)
	assert.Zero(t, m.RejectedShare)
}

func TestAskedCountsFirstTriesWholeWhateverTheLevel(t *testing.T) {
	p := post()
	levelled(p, false, refused, Service{})
	p.intake(arrival(0))
	e := arrival(0)
	e.Invocation, e.Retry = 1, true
	p.intake(e)
	var m LoadMetrics
	p.MeasureLoad(&m)
	assert.InDelta(t, float64(125*ms)/float64(askedSpan)/p.cores, m.DemandByOperation[0], 1e-9)
	p.now += 2 * askedSpan
	p.MeasureLoad(&m)
	assert.Zero(t, m.DemandByOperation[0], "a drop is seen within its span")
}

func benchmarkDecide(b *testing.B, live int, level bool) {
	p := post(func(n *Config) { n.MemoryKB, n.MaxRetryAfter = 1e9, 0 })
	for k := range live {
		put(p, k%2, held).due = start * 1000
		p.invs[k].arrived = start * 900
	}
	if level {
		levelled(p, true, reduced, Service{})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.next = p.now + beat
		p.onCores = 100 // nothing starts
		p.Decide(p.now, nil)
	}
}

func BenchmarkDecide100(b *testing.B)          { benchmarkDecide(b, 100, false) }
func BenchmarkDecide100Levelled(b *testing.B)  { benchmarkDecide(b, 100, true) }
func BenchmarkDecide5000(b *testing.B)         { benchmarkDecide(b, 5000, false) }
func BenchmarkDecide5000Levelled(b *testing.B) { benchmarkDecide(b, 5000, true) }
