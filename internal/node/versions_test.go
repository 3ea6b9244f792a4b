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

// versionInput returns the input that delivers a version.
func versionInput(t require.TestingT, number uint64, items ...nodeconfig.Item) Input {
	change, err := nodeconfig.Parse(items)
	require.NoError(t, err)
	return Input{Kind: VersionReceived, Version: number, Amendment: change}
}

// applyVersion applies items as the next version. It returns the error with which the version was refused.
func applyVersion(t *testing.T, sm *StateMachine, items ...nodeconfig.Item) error {
	got := effectsOfKind(step(sm, versionInput(t, sm.ActiveVersion()+1, items...)), ReportVersionOutcome)
	require.Len(t, got, 1)
	return got[0].Err
}

// passTime advances the clock in ticks of 50 ms.
func passTime(sm *StateMachine, ns int64) {
	for end := sm.now + ns; sm.now < end; {
		sm.now = min(end, sm.now+50*ms) - ms
		sm.executor.lastLineAt, sm.connections.byLink[7].lastUsedAt = sm.now, sm.now // keeps both links from timing out
		step(sm)
	}
}

// arrival returns an invocation that arrives now, with its own ID.
func arrival(sm *StateMachine, stream int, changed ...string) Input {
	return invocationInput(uint32(stream), append([]string{"call", id(stream), "recv", fmt.Sprint(1_000_000 + sm.now/ms)}, changed...)...)
}

// tokenArrival returns an invocation with a token that arrives now.
func tokenArrival(sm *StateMachine, stream int, token string) Input {
	return arrival(sm, stream, "op", "hold", "dedupe", token)
}

// endRun makes the run of an invocation succeed.
func endRun(sm *StateMachine, stream int) []Effect {
	return executorSends(sm, fmt.Sprintf("EXIT %d %s good 12 6|result", sm.executor.lastNotice+1, id(stream)))
}

func TestSmallVersionIsAppliedInOneStep(t *testing.T) {
	sm := newServingNode(t)
	assert.Equal(t, []string{"51 on 1"}, framesSent(t, step(sm, arrival(sm, 1, "op", "new"))))
	require.NoError(t, applyVersion(t, sm, operation("new", `,"class_calls":true`), tenant("x", 3), nodeconfig.Item{Part: nodeconfig.Limits, Name: "limits.max_retry_after",
		Value: []byte("70")}))
	assert.Equal(t, uint64(1), sm.ActiveVersion())
	assert.Equal(t, 70*ms, sm.config.Node.MaxRetryAfter)
	assert.Equal(t, 1, countRuns(step(sm, arrival(sm, 2, "op", "new", "org", "x"))))
	assert.Equal(t, []string{"51 on 3"}, framesSent(t, step(sm, arrival(sm, 3, "op", "new", "org", "y"))))
	assert.Equal(t, []string{"20 on 2"}, framesSent(t, endRun(sm, 2)))
	got := effectsOfKind(step(sm, versionInput(t, 1, tenant("x", 4))), ReportVersionOutcome)
	assert.ErrorIs(t, got[0].Err, errStaleVersion)
	assert.Equal(t, []float64{3}, sm.config.Node.TenantRates)
}

func TestInvalidVersionChangesNothing(t *testing.T) {
	sm := newServingNode(t)
	before := sm.config.Clone()
	assert.ErrorContains(t, applyVersion(t, sm, tenant("x", 3), removal(nodeconfig.Operations, "catalogue"), removal(nodeconfig.Operations, "hold")), "none would be left")
	assert.Equal(t, before, sm.config.Clone())
	assert.Zero(t, sm.ActiveVersion())
	assert.Equal(t, 1, sm.Counters.VersionsRefused)
	sm.versions.indicesPinned = true
	assert.ErrorContains(t, applyVersion(t, sm, operation("catalogue", `,"importance":7`), operation("new", "")), "operations.new: stored results refer to operations and tenants by index")
	assert.ErrorContains(t, applyVersion(t, sm, removal(nodeconfig.Operations, "hold")), "operations.hold")
	assert.NoError(t, applyVersion(t, sm, operation("catalogue", `,"importance":7`)))
}

// Guards against a degradation level that applies to the wrong operation, after versions have given its index to another one or a new index
// to the operation.
func TestLevelsFollowOperationNamesAcrossVersions(t *testing.T) {
	sm := nodeAtLevel(t, 1)
	require.NoError(t, applyVersion(t, sm, operation("new", ""), removal(nodeconfig.Operations, "catalogue")))
	assert.Equal(t, "51 on 1", framesSent(t, step(sm, arrival(sm, 1)))[0])
	assert.Contains(t, bytesSent(step(sm, arrival(sm, 2, "op", "new")), SendToExecutor), "EXEC "+id(2)+" new")
	endRun(sm, 2)
	passTime(sm, 10_000*ms)
	assert.True(t, sm.config.Node.Operations[0].Removed) // the index is released
	require.NoError(t, applyVersion(t, sm, operation("newer", "")))
	assert.Contains(t, bytesSent(step(sm, arrival(sm, 3, "op", "newer")), SendToExecutor), "EXEC "+id(3)+" newer", "an index that is reused does not keep the reduced form of its former operation")
	endRun(sm, 3)
	require.NoError(t, applyVersion(t, sm, operation("catalogue", "")))
	assert.Contains(t, bytesSent(step(sm, arrival(sm, 4)), SendToExecutor), "EXEC "+id(4)+" catalogue-plain", "the plan applies to the operation again")
	plan := testPlan(-1)
	plan.Operations = []string{"gone", "newer"}
	plan.Forms[0] = []string{"", "newer-plain"}
	for k := range plan.Levels {
		plan.Levels[k].Services[0], plan.Levels[k].Services[1] = plan.Levels[k].Services[1], plan.Levels[k].Services[0]
	}
	step(sm, Input{Kind: PlanChanged, Plan: plan})
	i, _ := sm.config.Operations.Find("newer")
	assert.Equal(t, admission.Reduced, sm.degradation.plan.Levels[0].Services[i].Form)
	assert.Equal(t, "newer-plain", sm.degradation.plan.Forms[0][i])
	assert.Empty(t, sm.Invariants.All())
}

// Guards against a step that applies an unbounded number of changes, and against a version that waits for an unrelated timer: while
// changes are left, the next step is due at once.
func TestLargeVersionIsAppliedInBoundedSteps(t *testing.T) {
	sm := newServingNode(t)
	var items []nodeconfig.Item
	for k := range 10*maxChangesPerStep + 1 {
		items = append(items, tenant(fmt.Sprint("t", k), 1))
	}
	in := []Input{versionInput(t, 1, items...), versionInput(t, 2, removal(nodeconfig.Tenants, "t0"))}
	for steps := 1; ; steps++ {
		slotsBefore := sm.config.Tenants.Slots()
		effects := sm.Step(sm.now+ms, sm.now+ms+1_000_000*ms, in)
		in = nil
		assert.LessOrEqual(t, sm.config.Tenants.Slots()-slotsBefore, maxChangesPerStep)
		if len(sm.versions.pending) == 0 {
			assert.Equal(t, 11, steps)
			break
		}
		assert.Equal(t, sm.now+1, effects[len(effects)-1].At)
	}
	assert.Equal(t, uint64(2), sm.ActiveVersion())
	in = []Input{versionInput(t, 3, items...)}
	for k := range maxPendingVersions {
		in = append(in, versionInput(t, uint64(4+k), tenant("u", k)))
	}
	refused := effectsOfKind(sm.Step(sm.now+ms, sm.now+ms+1_000_000*ms, in), ReportVersionOutcome)
	require.Len(t, refused, 1, "pending versions are bounded")
	assert.ErrorIs(t, refused[0].Err, errTooManyVersions)
}

// allocationsPerRound returns the allocations of two versions with four changes, at a configuration with this many operations and tenants.
func allocationsPerRound(t *testing.T, operations, tenants int) float64 {
	sm := newServingNode(t)
	var items []nodeconfig.Item
	for k := range operations {
		items = append(items, operation(fmt.Sprint("o", k), ""))
	}
	for k := range tenants {
		items = append(items, tenant(fmt.Sprint("t", k), 1))
	}
	step(sm, versionInput(t, 1, items...))
	for len(sm.versions.pending) > 0 {
		step(sm)
	}
	number := uint64(1)
	return testing.AllocsPerRun(200, func() {
		number++
		step(sm, versionInput(t, number, operation("o7", fmt.Sprintf(`,"importance":%d`, number)), tenant("t7", int(number)), removal(nodeconfig.Tenants, "t8")))
		number++
		step(sm, versionInput(t, number, tenant("t8", 1)))
	})
}

// Guards against a change whose cost grows with the configuration. Allocations are compared, as times are not reproducible.
func TestCostOfAChangeIsIndependentOfConfigurationSize(t *testing.T) {
	small, large := allocationsPerRound(t, 20, 20), allocationsPerRound(t, 2_000, 40_000)
	assert.InDelta(t, small, large, 3)
}

// Guards against changes that lose an answer, leak indices or leave a wrong configuration, when operations and tenants are added, changed and
// removed for a minute while invocations arrive.
func TestThousandChangesInAMinute(t *testing.T) {
	for seed := range int64(6) {
		random := rand.New(rand.NewSource(seed))
		p, err := nodeconfig.FromJSON(1, []byte(testSettings))
		require.NoError(t, err)
		want := p.Clone()
		sm := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
		step(sm, Input{Kind: ConnectionOpened, Link: 7})
		step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
		executorSends(sm, "WELCOME old 0")
		executorSends(sm, "METERS j1 0.1 1 0.1 3")
		names := []string{"catalogue", "hold", "a", "b", "c", "d"}
		stream, sent, answered := uint32(0), 0, 0
		for k := range 1_000 {
			name := names[1+random.Intn(len(names)-1)]
			var item nodeconfig.Item
			switch random.Intn(4) {
			case 0:
				item = removal(nodeconfig.Operations, name)
			case 1:
				item = operation(name, fmt.Sprintf(`,"importance":%d`, k))
			case 2:
				item = tenant(name, k)
			default:
				item = removal(nodeconfig.Tenants, name)
			}
			change, err := nodeconfig.Parse([]nodeconfig.Item{item})
			require.NoError(t, err)
			want.Apply(&change.Changes[0])
			sm.executor.lastLineAt = sm.now
			inputs := []Input{{Kind: VersionReceived, Version: uint64(k + 1), Amendment: change}}
			// One invocation at a time, while the connection is open for new ones.
			if sm.connections.byLink[7] != nil && !sm.connections.byLink[7].goAwaySent && !sm.connections.byLink[7].broken && sm.connections.byLink[7].isIdle() {
				stream++
				sent++
				inputs = append(inputs, arrival(sm, int(stream), "org", "a"))
			}
			sm.now += 59 * ms
			answered += len(effectsOfKind(step(sm, inputs...), SendToConnection))
			if i, v := sm.findInvocation(id(int(stream))); i >= 0 && !v.answered {
				answered += len(effectsOfKind(endRun(sm, int(stream)), SendToConnection))
			}
			// Invocations of an unknown tenant count as faults, which would close the connection.
			if sm.connections.byLink[7] != nil {
				sm.connections.byLink[7].faultCount = 0
			}
		}
		assert.Greater(t, sent, 200)
		assert.GreaterOrEqual(t, answered, sent) // no answer is lost
		assert.Equal(t, uint64(1_000), sm.ActiveVersion())
		want.Node.Operations[0].SkippedCallWeightShare = 0 // as in withoutUnsupported
		changes, restarts := nodeconfig.Diff(want, sm.config)
		assert.Empty(t, changes)
		assert.Empty(t, restarts)
		assert.LessOrEqual(t, sm.config.Operations.Slots(), 20) // indices are reused
		assert.Empty(t, sm.Invariants.All())
	}
}

// Guards against a version that is applied in part before its invalid change is found. The version has more changes than two steps validate,
// and pinned indices make the last one invalid; the first would change a weight from 1 to 7.
func TestLargeVersionIsValidatedInBoundedSteps(t *testing.T) {
	sm := newServingNode(t)
	sm.versions.indicesPinned = true
	items := []nodeconfig.Item{operation("catalogue", `,"importance":7`)}
	for k := range 2 * maxValidationsPerStep {
		items = append(items, removal(nodeconfig.Tenants, fmt.Sprint("t", k)))
	}
	refused := items[: len(items)-1 : len(items)-1]
	refused = append(refused, operation("new", ""))
	assert.Empty(t, step(sm, versionInput(t, 1, refused...)))
	assert.Empty(t, step(sm))
	got := effectsOfKind(step(sm), ReportVersionOutcome)
	require.Len(t, got, 1)
	assert.ErrorContains(t, got[0].Err, "operations.new")
	assert.Equal(t, 1.0, sm.config.Node.Operations[0].PriorityWeight)
}
