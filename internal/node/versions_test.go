package node

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

func operation(name, fields string) nodeconfig.Item {
	return nodeconfig.Item{Part: nodeconfig.Operations, Name: name, Value: []byte(`{"aim":1000,"effect":"idempotent","give_up":3000` + fields + `}`)}
}

func removal(part, name string) nodeconfig.Item { return nodeconfig.Item{Part: part, Name: name} }

func tenant(name string, rate int) nodeconfig.Item {
	return nodeconfig.Item{Part: nodeconfig.Tenants, Name: name, Value: fmt.Appendf(nil, `{"quota_rps":%d}`, rate)}
}

// versionInput is the input of a version.
func versionInput(t require.TestingT, number uint64, items ...nodeconfig.Item) Input {
	change, err := nodeconfig.Parse(items)
	require.NoError(t, err)
	return Input{Kind: VersionReceived, Version: number, Change: change}
}

// applyVersion brings items into force as the next version, or returns why that can't be.
func applyVersion(t *testing.T, r *StateMachine, items ...nodeconfig.Item) error {
	got := effectsOfKind(step(r, versionInput(t, r.ActiveVersion()+1, items...)), VersionApplied)
	require.Len(t, got, 1)
	return got[0].Err
}

// passTime lets time pass in ticks.
func passTime(r *StateMachine, ns int64) {
	for end := r.now + ns; r.now < end; {
		r.now = min(end, r.now+50*ms) - ms
		r.executor.lastLineAt, r.connections.byLink[7].lastUsedAt = r.now, r.now // neither link is silent
		step(r)
	}
}

// arrival is an invocation that arrives now.
func arrival(r *StateMachine, stream int, changed ...string) Input {
	return invoke(uint32(stream), append([]string{"call", id(stream), "recv", fmt.Sprint(1_000_000 + r.now/ms)}, changed...)...)
}

// tokenArrival is an invocation of a token that arrives now.
func tokenArrival(r *StateMachine, stream int, token string) Input {
	return arrival(r, stream, "op", "hold", "dedupe", token)
}

// endRun has the run of an invocation succeed.
func endRun(r *StateMachine, stream int) []Effect {
	return told(r, fmt.Sprintf("EXIT %d %s good 12 6|result", r.executor.lastNotice+1, id(stream)))
}

func TestVersionIsAppliedBetweenTwoSteps(t *testing.T) {
	r := up(t)
	assert.Equal(t, []string{"51 on 1"}, answers(t, step(r, arrival(r, 1, "op", "new"))))
	require.NoError(t, applyVersion(t, r, operation("new", `,"class_calls":true`), tenant("x", 3), nodeconfig.Item{Part: nodeconfig.Limits, Name: "limits.max_retry_after",
		Value: []byte("70")}))
	assert.Equal(t, uint64(1), r.ActiveVersion())
	assert.Equal(t, 70*ms, r.config.Node.MaxRetryAfter)
	assert.Equal(t, 1, countRuns(step(r, arrival(r, 2, "op", "new", "org", "x"))))
	assert.Equal(t, []string{"51 on 3"}, answers(t, step(r, arrival(r, 3, "op", "new", "org", "y"))))
	assert.Equal(t, []string{"20 on 2"}, answers(t, endRun(r, 2)))
	got := effectsOfKind(step(r, versionInput(t, 1, tenant("x", 4))), VersionApplied)
	assert.ErrorIs(t, got[0].Err, errStaleVersion)
	assert.Equal(t, []float64{3}, r.config.Node.TenantRates)
}

func TestInvalidVersionChangesNothing(t *testing.T) {
	r := up(t)
	before := r.config.Clone()
	assert.ErrorContains(t, applyVersion(t, r, tenant("x", 3), removal(nodeconfig.Operations, "catalogue"), removal(nodeconfig.Operations, "hold")), "none would be left")
	assert.Equal(t, before, r.config.Clone())
	assert.Zero(t, r.ActiveVersion())
	assert.Equal(t, 1, r.Counters.VersionsRefused)
	r.versions.indicesPinned = true
	assert.ErrorContains(t, applyVersion(t, r, operation("catalogue", `,"importance":7`), operation("new", "")), "operations.new: results are kept in a folder")
	assert.ErrorContains(t, applyVersion(t, r, removal(nodeconfig.Operations, "hold")), "operations.hold")
	assert.NoError(t, applyVersion(t, r, operation("catalogue", `,"importance":7`)))
}

func TestLevelsFollowOperationNamesAcrossVersions(t *testing.T) {
	r := nodeAtLevel(t, 1)
	require.NoError(t, applyVersion(t, r, operation("new", ""), removal(nodeconfig.Operations, "catalogue")))
	assert.Equal(t, "51 on 1", answers(t, step(r, arrival(r, 1)))[0])
	assert.Contains(t, text(step(r, arrival(r, 2, "op", "new")), SendToExecutor), "EXEC "+id(2)+" new")
	endRun(r, 2)
	passTime(r, 10_000*ms)
	assert.True(t, r.config.Node.Operations[0].Removed)
	require.NoError(t, applyVersion(t, r, operation("newer", "")))
	assert.Contains(t, text(step(r, arrival(r, 3, "op", "newer")), SendToExecutor), "EXEC "+id(3)+" newer", "not the form of the one before")
	endRun(r, 3)
	require.NoError(t, applyVersion(t, r, operation("catalogue", "")))
	assert.Contains(t, text(step(r, arrival(r, 4)), SendToExecutor), "EXEC "+id(4)+" catalogue-plain", "the plan names it again")
	plan := testPlan(-1)
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

// A large version is applied in steps of a bounded size, and nothing in it waits for a timer.
func TestLargeVersionIsAppliedInBoundedSteps(t *testing.T) {
	r := up(t)
	var items []nodeconfig.Item
	for k := range 10*maxChangesPerStep + 1 {
		items = append(items, tenant(fmt.Sprint("t", k), 1))
	}
	in := []Input{versionInput(t, 1, items...), versionInput(t, 2, removal(nodeconfig.Tenants, "t0"))}
	for steps := 1; ; steps++ {
		was := r.config.Tenants.Slots()
		effects := r.Step(r.now+ms, r.now+ms+1_000_000*ms, in)
		in = nil
		assert.LessOrEqual(t, r.config.Tenants.Slots()-was, maxChangesPerStep)
		if len(r.versions.pending) == 0 {
			assert.Equal(t, 11, steps)
			break
		}
		assert.Equal(t, r.now+1, effects[len(effects)-1].At)
	}
	assert.Equal(t, uint64(2), r.ActiveVersion())
	in = []Input{versionInput(t, 3, items...)}
	for k := range maxPendingVersions {
		in = append(in, versionInput(t, uint64(4+k), tenant("u", k)))
	}
	refused := effectsOfKind(r.Step(r.now+ms, r.now+ms+1_000_000*ms, in), VersionApplied)
	require.Len(t, refused, 1, "pending versions are bounded")
	assert.ErrorIs(t, refused[0].Err, errTooManyVersions)
}

// allocationsPerChange counts allocations of one change at a table of some size.
func allocationsPerChange(t *testing.T, operations, tenants int) float64 {
	r := up(t)
	var items []nodeconfig.Item
	for k := range operations {
		items = append(items, operation(fmt.Sprint("o", k), ""))
	}
	for k := range tenants {
		items = append(items, tenant(fmt.Sprint("t", k), 1))
	}
	step(r, versionInput(t, 1, items...))
	for len(r.versions.pending) > 0 {
		step(r)
	}
	number := uint64(1)
	return testing.AllocsPerRun(200, func() {
		number++
		step(r, versionInput(t, number, operation("o7", fmt.Sprintf(`,"importance":%d`, number)), tenant("t7", int(number)), removal(nodeconfig.Tenants, "t8")))
		number++
		step(r, versionInput(t, number, tenant("t8", 1)))
	})
}

// The cost of a change doesn't grow with the table: allocations are counted, not time.
func TestCostOfAChangeIsIndependentOfTheTableSize(t *testing.T) {
	small, large := allocationsPerChange(t, 20, 20), allocationsPerChange(t, 2_000, 40_000)
	assert.InDelta(t, small, large, 3)
}

// A thousand changes in a minute, beside traffic: every invocation is answered once, indices are reused, and the
// node's configuration is in the end that of all the changes.
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
				it = removal(nodeconfig.Operations, name)
			case 1:
				it = operation(name, fmt.Sprintf(`,"importance":%d`, k))
			case 2:
				it = tenant(name, k)
			default:
				it = removal(nodeconfig.Tenants, name)
			}
			change, err := nodeconfig.Parse([]nodeconfig.Item{it})
			require.NoError(t, err)
			want.Apply(&change.Changes[0])
			r.executor.lastLineAt = r.now
			inputs := []Input{{Kind: VersionReceived, Version: uint64(k + 1), Change: change}}
			if r.connections.byLink[7] != nil && !r.connections.byLink[7].goAwaySent && !r.connections.byLink[7].broken && r.connections.byLink[7].isIdle() {
				stream++
				asked++
				inputs = append(inputs, arrival(r, int(stream), "org", "a"))
			}
			r.now += 59 * ms
			answered += len(effectsOfKind(step(r, inputs...), SendToConnection))
			if i, v := r.findInvocation(id(int(stream))); i >= 0 && !v.answered {
				answered += len(effectsOfKind(endRun(r, int(stream)), SendToConnection))
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

// Where stored results refer to indices a large version is validated over some steps, and refused as a whole.
func TestLargeVersionIsValidatedInBoundedSteps(t *testing.T) {
	r := up(t)
	r.versions.indicesPinned = true
	items := []nodeconfig.Item{operation("catalogue", `,"importance":7`)}
	for k := range 2 * maxLookupsPerStep {
		items = append(items, removal(nodeconfig.Tenants, fmt.Sprint("t", k)))
	}
	refused := items[: len(items)-1 : len(items)-1]
	refused = append(refused, operation("new", ""))
	assert.Empty(t, step(r, versionInput(t, 1, refused...)))
	assert.Empty(t, step(r))
	got := effectsOfKind(step(r), VersionApplied)
	require.Len(t, got, 1)
	assert.ErrorContains(t, got[0].Err, "operations.new")
	assert.Equal(t, 1.0, r.config.Node.Operations[0].PriorityWeight)
}
