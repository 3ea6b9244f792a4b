package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/quota"
)

// leasingNode returns a node whose calls are bounded by leases of a consensus group that it has no replica of. The executor has been
// sent one invocation, whose run can ask for calls.
func leasingNode(t *testing.T) *StateMachine {
	sm := claimingNode(t)
	sm.EnableQuota(quota.HolderConfig{Name: "calls", Units: 9, LeaseTerm: 4_000 * ms, MaxUseTime: 1_000 * ms}, 1)
	start := claimCommands(t, sm, receiveFromReplica(t, sm, verdictOn(commandsForInvocation(t, sm)[0], 1)))
	require.Len(t, start, 1)
	receiveFromReplica(t, sm, verdictOn(start[0], 1))
	return sm
}

// leaseRequests returns the requests for leases that effects send to the consensus group.
func leaseRequests(t *testing.T, sm *StateMachine, effects []Effect) (list []quota.Command) {
	for _, e := range effectsOfKind(effects, SendOnStream) {
		m := new(consensus.Message)
		require.NoError(t, envelope.Open(e.Bytes, sm.fleet.id, m))
		list = append(list, m.LeaseCommands...)
	}
	return list
}

func TestCallWaitsForALeaseAndIsWrittenWithinIt(t *testing.T) {
	sm := leasingNode(t)
	effects := executorSends(sm, "CALLOUT 1 "+id(1)+" 3|ask")
	requests := leaseRequests(t, sm, effects)
	for from := sm.now; len(requests) == 0 && sm.now < from+300*ms; {
		requests = append(requests, leaseRequests(t, sm, step(sm))...)
	}
	require.NotEmpty(t, requests)
	assert.Empty(t, effectsOfKind(effects, DialCatalogue), "no call is made without a lease")
	last := requests[len(requests)-1]
	grant := &consensus.Message{Kind: consensus.MessageVerdicts, LeaseVerdicts: []quota.Verdict{{Limit: "calls", Seq: last.Seq, Units: 2, FairShare: 2, LimitDefined: true}}}
	receiveFromReplica(t, sm, grant)
	effects = step(sm)
	require.Len(t, effectsOfKind(effects, DialCatalogue), 1, "the controller receives the new call limit in the next step")
	effects = step(sm, Input{Kind: CatalogueConnected, Link: sm.catalogue.links[0].id})
	fetch := effectsOfKind(effects, SendToCatalogue)
	require.Len(t, fetch, 1)
	assert.LessOrEqual(t, fetch[0].At, sm.now+500*ms, "the call must be written within half of MaxUseTime, or not at all")
	assert.Equal(t, int64(2), sm.ConsensusSummary().Lease.Units)
}

// Guards against more concurrent calls at the dependency than the lease allows. The dependency may work on an abandoned call for up to
// half of MaxUseTime, so the call's unit must allow no other call in that time.
func TestUnitOfAnAbandonedCallStaysReserved(t *testing.T) {
	sm := leasingNode(t)
	requests := leaseRequests(t, sm, executorSends(sm, "CALLOUT 1 "+id(1)+" 3|ask"))
	for from := sm.now; len(requests) == 0 && sm.now < from+300*ms; {
		requests = append(requests, leaseRequests(t, sm, step(sm))...)
	}
	require.NotEmpty(t, requests)
	receiveFromReplica(t, sm, &consensus.Message{Kind: consensus.MessageVerdicts, LeaseVerdicts: []quota.Verdict{{Limit: "calls", Seq: requests[len(requests)-1].Seq, Units: 1, FairShare: 1, LimitDefined: true}}})
	step(sm)
	require.Len(t, sm.catalogue.links, 1)
	step(sm, Input{Kind: CatalogueConnected, Link: sm.catalogue.links[0].id})
	for len(sm.catalogue.links) > 0 { // until the controller abandons the call
		require.Less(t, sm.now, sm.leases.holder.UsableUntil())
		step(sm)
	}
	abandonedAt := sm.now
	require.Equal(t, int64(1), sm.leases.holder.Allowed(sm.now), "the lease still holds")
	for sm.now < abandonedAt+500*ms {
		assert.Zero(t, sm.leases.announcedUnits, "%d ms after the call was abandoned", (sm.now-abandonedAt)/ms)
		assert.Equal(t, int64(1), sm.ConsensusSummary().Lease.Used)
		step(sm)
	}
	step(sm)
	assert.Equal(t, 1, sm.leases.announcedUnits)
	assert.Zero(t, sm.ConsensusSummary().Lease.Used)
}

// Guards against calls that are started after a pause in which the lease expired. The call limit of 2 is set as if a lease had been
// granted and announced before the pause.
func TestExpiredLeaseIsAppliedBeforeAnyDecision(t *testing.T) {
	sm := leasingNode(t)
	executorSends(sm, "CALLOUT 1 "+id(1)+" 3|ask")
	sm.leases.announcedUnits = 2
	sm.Step(sm.now+20_000*ms, 1, []Input{}) // a pause of 20 s, longer than a lease
	assert.Zero(t, sm.leases.announcedUnits)
	assert.Empty(t, sm.catalogue.links)
	var units []int
	for _, e := range append(sm.events, sm.deferredEvents...) {
		if e.Kind == admission.CallLimitSet {
			units = append(units, e.CallLimit)
		}
	}
	assert.Equal(t, []int{0}, units)
}

func TestWithoutALimitThereIsNoLeaseHolder(t *testing.T) {
	sm := claimingNode(t)
	assert.Nil(t, sm.ConsensusSummary().Lease)
	assert.Equal(t, int64(never), sm.leaseDue())
}

func TestNextStepOfTheLeaseHolder(t *testing.T) {
	now := 1_000 * ms
	for _, c := range []struct {
		name           string
		abandonedUntil []int64
		wake           int64
		demand         int
		want           int64
	}{
		{"demand is sampled at its interval", nil, now + 500*ms, 1, now + demandInterval},
		{"without demand, the wake-up that the holder asked for", nil, now + 500*ms, 0, now + 500*ms},
		{"an earlier wake-up that the holder asked for", nil, now + ms, 1, now + ms},
		{"the unit of an abandoned call becomes free", []int64{now + 2*ms, now + 900*ms}, now + 500*ms, 0, now + 2*ms},
	} {
		ls := &leaseState{abandonedUntil: c.abandonedUntil}
		assert.Equal(t, c.want, ls.nextStep(now, c.wake, c.demand), c.name)
	}
}
