package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/nodeconfig"
)

// testPlan returns a plan that reduces the operation catalogue at its first level and sheds it at its second. A level is entered
// when the load exceeds enter: always if that is -1, as loads are not negative, and never if it is 1e9.
func testPlan(enter float64) *DegradationPlan {
	p := &DegradationPlan{Forms: [][]string{{"catalogue-plain", ""}, {"", ""}}}
	p.Name, p.MinHold, p.MaxHold, p.IdleCondition = "test", 10_000*ms, 60_000*ms, degradation.Condition{Limits: degradation.NoLimits()}
	p.IdleCondition.Limits[degradation.Load] = -1
	for k, s := range []admission.Service{{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, {Form: admission.Shed}} {
		c := degradation.Condition{Limits: degradation.NoLimits()}
		c.Limits[degradation.Load] = enter
		exit := degradation.Condition{Limits: degradation.NoLimits()}
		exit.Limits[degradation.Load] = enter - 1
		p.Levels = append(p.Levels, degradation.Level{Name: []string{"plain", "none"}[k], Services: []admission.Service{s, {}},
			Enter: []degradation.Condition{c}, Exit: exit})
	}
	return p
}

func TestInvalidPlanChangesNothing(t *testing.T) {
	sm := nodeAtLevel(t, 1)
	bad := testPlan(1)
	bad.Levels[0].Services = bad.Levels[0].Services[:1]
	before := sm.degradation
	step(sm, Input{Kind: PlanChanged, Plan: bad})
	assert.Equal(t, before, sm.degradation)
}

func TestRemovedPlanRestoresFullService(t *testing.T) {
	sm := nodeAtLevel(t, 2)
	step(sm, Input{Kind: PlanChanged})
	assert.Contains(t, bytesSent(step(sm, invocationInput(1)), SendToExecutor), "EXEC "+testInvocationID+" catalogue 4")
	assert.Nil(t, sm.ServiceCountsByLevel())
}

func TestPlanAdoptedBeforeExecutorConnectsAppliesAfterwards(t *testing.T) {
	sm := newConnectedNode(t)
	step(sm, Input{Kind: PlanChanged, Plan: testPlan(-1)})
	executorSends(sm, "WELCOME old 0")
	executorSends(sm, "METERS j1 0.1 1 0.1 3")
	sm.now = sm.timerAt
	step(sm)
	assert.Equal(t, 2, sm.degradation.controller.Level())
	assert.Equal(t, []string{"50 on 1"}, framesSent(t, step(sm, invocationInput(1))))
}

// Guards against a plan whose entries apply to the wrong operations, when the node has other indices than the plan was written for.
func TestPlanIsRemappedByOperationNames(t *testing.T) {
	plan := testPlan(1)
	ownNames := nodeconfig.NewNames("hold", "new", "catalogue")
	remapped := remapPlan(plan, nodeconfig.NewNames("catalogue", "gone"), ownNames)
	assert.Equal(t, []admission.Service{{}, {}, {Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}}, remapped.Levels[0].Services)
	assert.Equal(t, []string{"", "", "catalogue-plain"}, remapped.Forms[0])
	assert.Equal(t, admission.Shed, remapped.Levels[1].Services[2].Form)
	assert.Len(t, plan.Levels[0].Services, 2, "the original plan is unchanged")
}
