package node

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/resultcache"
)

func operation(name, fields string) nodeconfig.Item {
	return nodeconfig.Item{Part: nodeconfig.Operations, Name: name, Value: []byte(`{"aim":1000,"effect":"idempotent","give_up":3000` + fields + `}`)}
}

func removed(part, name string) nodeconfig.Item { return nodeconfig.Item{Part: part, Name: name} }

func tenant(name string, rate int) nodeconfig.Item {
	return nodeconfig.Item{Part: nodeconfig.Tenants, Name: name, Value: fmt.Appendf(nil, `{"quota_rps":%d}`, rate)}
}

// version is the input of the next version.
func versionOf(t require.TestingT, number uint64, items ...nodeconfig.Item) Input {
	change, err := nodeconfig.Parse(items)
	require.NoError(t, err)
	return Input{Kind: VersionReceived, Version: number, Change: change}
}

// amended brings items into force as the next version, and says why it can't.
func amendedBy(t *testing.T, r *StateMachine, items ...nodeconfig.Item) error {
	got := kindsOf(step(r, versionOf(t, r.ActiveVersion()+1, items...)), VersionApplied)
	require.Len(t, got, 1)
	return got[0].Err
}

// pass lets time pass in beats.
func pass(r *StateMachine, ns int64) {
	for end := r.now + ns; r.now < end; {
		r.now = min(end, r.now+50*ms) - ms
		r.executor.lastLineAt, r.connections.byLink[7].lastUsedAt = r.now, r.now // neither link is silent
		step(r)
	}
}

// coming is an invocation that arrives now.
func coming(r *StateMachine, stream int, changed ...string) Input {
	return invoke(uint32(stream), append([]string{"call", id(stream), "recv", fmt.Sprint(1_000_000 + r.now/ms)}, changed...)...)
}

// holding is one of a token that arrives now.
func holding(r *StateMachine, stream int, token string) Input {
	return coming(r, stream, "op", "hold", "dedupe", token)
}

// ran has the run of an invocation end well.
func ran(r *StateMachine, stream int) []Effect {
	return told(r, fmt.Sprintf("EXIT %d %s good 12 6|result", r.executor.lastNotice+1, id(stream)))
}

func TestVersionIsInForceBetweenTwoSteps(t *testing.T) {
	r := up(t)
	assert.Equal(t, []string{"51 on 1"}, answers(t, step(r, coming(r, 1, "op", "new"))))
	require.NoError(t, amendedBy(t, r, operation("new", `,"class_calls":true`), tenant("x", 3), nodeconfig.Item{Part: nodeconfig.Limits, Name: "limits.max_retry_after",
		Value: []byte("70")}))
	assert.Equal(t, uint64(1), r.ActiveVersion())
	assert.Equal(t, 70*ms, r.config.Node.MaxRetryAfter)
	assert.Equal(t, 1, runsOf(step(r, coming(r, 2, "op", "new", "org", "x"))))
	assert.Equal(t, []string{"51 on 3"}, answers(t, step(r, coming(r, 3, "op", "new", "org", "y"))))
	assert.Equal(t, []string{"20 on 2"}, answers(t, ran(r, 2)))
	got := kindsOf(step(r, versionOf(t, 1, tenant("x", 4))), VersionApplied)
	assert.ErrorIs(t, got[0].Err, errVersion)
	assert.Equal(t, []float64{3}, r.config.Node.TenantRates)
}

func TestVersionThatCannotBeTakenChangesNothing(t *testing.T) {
	r := up(t)
	before := r.config.Clone()
	assert.ErrorContains(t, amendedBy(t, r, tenant("x", 3), removed(nodeconfig.Operations, "catalogue"), removed(nodeconfig.Operations, "hold")), "none would be left")
	assert.Equal(t, before, r.config.Clone())
	assert.Zero(t, r.ActiveVersion())
	assert.Equal(t, 1, r.Counters.VersionsRefused)
	r.versions.numbers = true
	assert.ErrorContains(t, amendedBy(t, r, operation("catalogue", `,"importance":7`), operation("new", "")), "operations.new: results are kept in a folder")
	assert.ErrorContains(t, amendedBy(t, r, removed(nodeconfig.Operations, "hold")), "operations.hold")
	assert.NoError(t, amendedBy(t, r, operation("catalogue", `,"importance":7`)))
}

// What is in hand keeps its client timeout; what comes has the new one.
func TestChangedClientTimeoutIsForWhatComes(t *testing.T) {
	r := up(t)
	from := r.now
	step(r, coming(r, 1))
	short := nodeconfig.Item{Part: nodeconfig.Operations, Name: "catalogue", Value: []byte(`{"aim":200,"effect":"at_most_once","give_up":400}`)}
	require.NoError(t, amendedBy(t, r, short))
	step(r, coming(r, 2))
	ends := map[string]int64{}
	for len(ends) < 2 && r.now < from+5_000*ms {
		r.executor.lastLineAt = r.now
		for _, a := range answers(t, step(r)) {
			ends[a] = (r.now - from) / ms
		}
	}
	assert.InDelta(t, 400, ends["51 on 2"], 120)
	assert.InDelta(t, 3_000, ends["51 on 1"], 120)
}

// What is in hand when its operation goes runs to its end, a repeat of its token gets its answer, and new work is refused
// without harm to the connection. Once nothing of it is known the index is free for another.
func TestOperationGoesWithWorkInHandAndInItsTokenWindow(t *testing.T) {
	r := keeping(t, resultcache.InMemory)
	assert.Equal(t, 1, runsOf(step(r, holding(r, 1, "a"))))
	require.NoError(t, amendedBy(t, r, operation("other", ""), removed(nodeconfig.Operations, "hold")))
	for stream := range maxFaults + 2 {
		assert.Equal(t, []string{fmt.Sprint("51 on ", stream+2)}, answers(t, step(r, holding(r, stream+2, "b"))))
	}
	assert.Zero(t, r.connections.byLink[7].faults)
	assert.Empty(t, answers(t, step(r, holding(r, 50, "a"))), "it joins the run")
	pass(r, 2_000*ms)
	assert.ElementsMatch(t, []string{"20 on 1", "20 on 50"}, answers(t, ran(r, 1)))
	pass(r, 10_000*ms)
	assert.Equal(t, []string{"20 on 60"}, answers(t, step(r, holding(r, 60, "a"))), "its result is kept for its window")
	require.NoError(t, amendedBy(t, r, operation("next", "")))
	i, _ := r.config.Operations.Find("next")
	assert.Equal(t, int32(2), i, "the index is still that of the tokens")
	pass(r, 40_000*ms)
	assert.Empty(t, r.versions.queue)
	assert.True(t, r.config.Node.Operations[0].Removed)
	require.NoError(t, amendedBy(t, r, operation("last", "")))
	i, _ = r.config.Operations.Find("last")
	assert.Zero(t, i, "it is free")
	assert.Equal(t, 1, runsOf(step(r, coming(r, 99, "op", "last"))))
	assert.Empty(t, r.Invariants.All())
}

func TestOperationThatComesBackHasItsTokensAgain(t *testing.T) {
	r := keeping(t, resultcache.InMemory)
	step(r, holding(r, 1, "a"))
	ran(r, 1)
	require.NoError(t, amendedBy(t, r, operation("other", ""), removed(nodeconfig.Operations, "hold")))
	back := nodeconfig.Item{Part: nodeconfig.Operations, Name: "hold", Value: []byte(`{"aim":1000,"effect":"deduplicated","give_up":3000,"window":20000}`)}
	require.NoError(t, amendedBy(t, r, back))
	assert.Equal(t, []string{"20 on 2"}, answers(t, step(r, holding(r, 2, "a"))))
	assert.Equal(t, 1, runsOf(step(r, holding(r, 3, "b"))))
	ran(r, 3)
	pass(r, 200_000*ms)
	i, known := r.config.Operations.Find("hold")
	assert.True(t, known && i == 0, "what came back is not forgotten")
}

// A window that shrinks is that of what comes: what was taken before is known for as long as it was promised.
func TestShorterWindowIsForWhatComes(t *testing.T) {
	r := keeping(t, resultcache.OnDisk)
	written(r, step(r, holding(r, 1, "a")))
	short := nodeconfig.Item{Part: nodeconfig.Operations, Name: "hold", Value: []byte(`{"aim":1000,"effect":"deduplicated","give_up":3000,"window":1000}`)}
	require.NoError(t, amendedBy(t, r, short))
	written(r, step(r, holding(r, 2, "b")))
	kept := map[string]int64{}
	for k, token := range []string{"a", "b"} {
		effects := ran(r, k+1)
		for _, e := range kindsOf(effects, WriteRecord) {
			kept[e.Record.Key.Token] = e.Record.Remaining
		}
		written(r, effects)
		_ = token
	}
	assert.Equal(t, 23_001*ms, kept["a"])
	assert.Equal(t, 4_001*ms, kept["b"])
	pass(r, 10_000*ms)
	assert.Equal(t, []string{"20 on 3"}, answers(t, step(r, holding(r, 3, "a"))))
	assert.Equal(t, 1, len(kindsOf(step(r, holding(r, 4, "b")), WriteRecord)), "its window is over: it is begun anew")
}

func TestTenantThatComesBackSoonHasItsCountsAgain(t *testing.T) {
	r := up(t)
	require.NoError(t, amendedBy(t, r, tenant("x", 3), tenant("y", 1)))
	step(r, coming(r, 1, "op", "hold", "org", "y"))
	ran(r, 1)
	require.NoError(t, amendedBy(t, r, removed(nodeconfig.Tenants, "y")))
	assert.Equal(t, []string{"51 on 2"}, answers(t, step(r, coming(r, 2, "org", "y"))))
	assert.Zero(t, r.connections.byLink[7].faults)
	require.NoError(t, amendedBy(t, r, tenant("z", 1), tenant("y", 5)))
	i, _ := r.config.Tenants.Find("y")
	assert.Equal(t, int32(1), i)
	assert.Equal(t, []float64{3, 5, 1}, r.config.Node.TenantRates)
	require.NoError(t, amendedBy(t, r, removed(nodeconfig.Tenants, "y")))
	pass(r, countsFade+1_000*ms)
	require.NoError(t, amendedBy(t, r, tenant("w", 9)))
	i, _ = r.config.Tenants.Find("w")
	assert.Equal(t, int32(1), i, "once nothing of it is left the index is another's")
}

func TestLevelsGoByNamesAsOperationsComeAndGo(t *testing.T) {
	r := at(t, 1)
	require.NoError(t, amendedBy(t, r, operation("new", ""), removed(nodeconfig.Operations, "catalogue")))
	assert.Equal(t, "51 on 1", answers(t, step(r, coming(r, 1)))[0])
	assert.Contains(t, text(step(r, coming(r, 2, "op", "new")), SendToExecutor), "EXEC "+id(2)+" new")
	ran(r, 2)
	pass(r, 10_000*ms)
	assert.True(t, r.config.Node.Operations[0].Removed)
	require.NoError(t, amendedBy(t, r, operation("newer", "")))
	assert.Contains(t, text(step(r, coming(r, 3, "op", "newer")), SendToExecutor), "EXEC "+id(3)+" newer", "not the form of the one before")
	ran(r, 3)
	require.NoError(t, amendedBy(t, r, operation("catalogue", "")))
	assert.Contains(t, text(step(r, coming(r, 4)), SendToExecutor), "EXEC "+id(4)+" catalogue-plain", "the plan speaks of it again")
	plan := ladderOf(-1)
	plan.Operations = []string{"gone", "newer"}
	plan.Forms[0] = []string{"", "newer-plain"}
	for k := range plan.Levels {
		plan.Levels[k].Services[0], plan.Levels[k].Services[1] = plan.Levels[k].Services[1], plan.Levels[k].Services[0]
	}
	step(r, Input{Kind: PlanChanged, Plan: plan})
	i, _ := r.config.Operations.Find("newer")
	assert.Equal(t, admission.Reduced, r.degradation.plan.Levels[0].Services[i].Form)
	assert.Equal(t, "newer-plain", r.degradation.plan.Forms[0][i])
	assert.Empty(t, r.Invariants.All())
}

// A large version takes steps of a bounded size, and nothing in it waits for a timer.
func TestLargeVersionIsTakenInBoundedSteps(t *testing.T) {
	r := up(t)
	var items []nodeconfig.Item
	for k := range 10*amendedAStep + 1 {
		items = append(items, tenant(fmt.Sprint("t", k), 1))
	}
	in := []Input{versionOf(t, 1, items...), versionOf(t, 2, removed(nodeconfig.Tenants, "t0"))}
	for steps := 1; ; steps++ {
		was := r.config.Tenants.Slots()
		effects := r.Step(r.now+ms, r.now+ms+1_000_000*ms, in)
		in = nil
		assert.LessOrEqual(t, r.config.Tenants.Slots()-was, amendedAStep)
		if len(r.versions.waiting) == 0 {
			assert.Equal(t, 11, steps)
			break
		}
		assert.Equal(t, r.now+1, effects[len(effects)-1].At)
	}
	assert.Equal(t, uint64(2), r.ActiveVersion())
	in = []Input{versionOf(t, 3, items...)}
	for k := range versionsWait {
		in = append(in, versionOf(t, uint64(4+k), tenant("u", k)))
	}
	refused := kindsOf(r.Step(r.now+ms, r.now+ms+1_000_000*ms, in), VersionApplied)
	require.Len(t, refused, 1, "those that wait are bounded")
	assert.ErrorIs(t, refused[0].Err, errWaiting)
}

// allocations counts those of one change at a table of some size.
func allocations(t *testing.T, operations, tenants int) float64 {
	r := up(t)
	var items []nodeconfig.Item
	for k := range operations {
		items = append(items, operation(fmt.Sprint("o", k), ""))
	}
	for k := range tenants {
		items = append(items, tenant(fmt.Sprint("t", k), 1))
	}
	step(r, versionOf(t, 1, items...))
	for len(r.versions.waiting) > 0 {
		step(r)
	}
	number := uint64(1)
	return testing.AllocsPerRun(200, func() {
		number++
		step(r, versionOf(t, number, operation("o7", fmt.Sprintf(`,"importance":%d`, number)), tenant("t7", int(number)), removed(nodeconfig.Tenants, "t8")))
		number++
		step(r, versionOf(t, number, tenant("t8", 1)))
	})
}

// What a change costs doesn't grow with the table: it is counted, not timed.
func TestCostOfAChangeIsThatOfTheChange(t *testing.T) {
	small, large := allocations(t, 20, 20), allocations(t, 2_000, 40_000)
	assert.InDelta(t, small, large, 3)
}

// A thousand changes in a minute, beside traffic: every invocation is answered once, indices are used again, and the node's
// configuration is in the end that of all the changes.
func TestThousandChangesInAMinute(t *testing.T) {
	for seed := range int64(6) {
		chance := rand.New(rand.NewSource(seed))
		p, err := nodeconfig.FromJSON(1, []byte(settings))
		require.NoError(t, err)
		want := p.Clone()
		r := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
		step(r, Input{Kind: ConnectionOpened, Link: 7})
		step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
		told(r, "WELCOME old 0")
		told(r, "METERS j1 0.1 1 0.1 3")
		names := []string{"catalogue", "hold", "a", "b", "c", "d"}
		stream, asked, answered := uint32(0), 0, 0
		for k := range 1_000 {
			name := names[1+chance.Intn(len(names)-1)]
			var it nodeconfig.Item
			switch chance.Intn(4) {
			case 0:
				it = removed(nodeconfig.Operations, name)
			case 1:
				it = operation(name, fmt.Sprintf(`,"importance":%d`, k))
			case 2:
				it = tenant(name, k)
			default:
				it = removed(nodeconfig.Tenants, name)
			}
			change, err := nodeconfig.Parse([]nodeconfig.Item{it})
			require.NoError(t, err)
			want.Apply(&change.Changes[0])
			r.executor.lastLineAt = r.now
			inputs := []Input{{Kind: VersionReceived, Version: uint64(k + 1), Change: change}}
			if r.connections.byLink[7] != nil && !r.connections.byLink[7].goAwaySent && !r.connections.byLink[7].broken && r.connections.byLink[7].isIdle() {
				stream++
				asked++
				inputs = append(inputs, coming(r, int(stream), "org", "a"))
			}
			r.now += 59 * ms
			answered += len(kindsOf(step(r, inputs...), SendToConnection))
			if i, v := r.findInvocation(id(int(stream))); i >= 0 && !v.answered {
				answered += len(kindsOf(ran(r, int(stream)), SendToConnection))
			}
			if r.connections.byLink[7] != nil {
				r.connections.byLink[7].faults = 0
			}
		}
		assert.Greater(t, asked, 200)
		assert.GreaterOrEqual(t, answered, asked)
		assert.Equal(t, uint64(1_000), r.ActiveVersion())
		want.Node.Operations[0].SkippedCallWeightShare = 0
		rest, starts := nodeconfig.Diff(want, r.config)
		assert.Empty(t, rest)
		assert.Empty(t, starts)
		assert.LessOrEqual(t, r.config.Operations.Slots(), 20)
		assert.Empty(t, r.Invariants.All())
	}
}

// Where results are kept by number a large version is looked at over some steps, and refused as a whole.
func TestLargeVersionIsLookedAtInBoundedSteps(t *testing.T) {
	r := up(t)
	r.versions.numbers = true
	items := []nodeconfig.Item{operation("catalogue", `,"importance":7`)}
	for k := range 2 * lookedAStep {
		items = append(items, removed(nodeconfig.Tenants, fmt.Sprint("t", k)))
	}
	refused := items[: len(items)-1 : len(items)-1]
	refused = append(refused, operation("new", ""))
	assert.Empty(t, step(r, versionOf(t, 1, refused...)))
	assert.Empty(t, step(r))
	got := kindsOf(step(r), VersionApplied)
	require.Len(t, got, 1)
	assert.ErrorContains(t, got[0].Err, "operations.new")
	assert.Equal(t, 1.0, r.config.Node.Operations[0].PriorityWeight)
}
