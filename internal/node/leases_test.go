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

// leasingNode is a node without a replica whose calls are bounded by leases, with a run that waits for a call.
func leasingNode(t *testing.T) *StateMachine {
	r := claimingNode(t)
	r.EnableQuota(quota.HolderConfig{Name: "calls", Units: 9, LeaseTerm: 4_000 * ms, MaxUseTime: 1_000 * ms}, 1)
	start := claimCommands(t, r, receiveFromReplica(t, r, verdictOn(commandsForInvocation(t, r)[0], 1)))
	require.Len(t, start, 1)
	receiveFromReplica(t, r, verdictOn(start[0], 1))
	return r
}

// leaseRequests are the requests for leases that effects send.
func leaseRequests(t *testing.T, r *StateMachine, effects []Effect) (list []quota.Command) {
	for _, e := range effectsOfKind(effects, SendOnStream) {
		m := new(consensus.Message)
		require.NoError(t, envelope.Open(e.Bytes, r.fleet.id, m))
		list = append(list, m.Leases...)
	}
	return list
}

func TestCallWaitsForALeaseAndEndsWithIt(t *testing.T) {
	r := leasingNode(t)
	effects := told(r, "CALLOUT 1 "+id(1)+" 3|ask")
	asks := leaseRequests(t, r, effects)
	for from := r.now; len(asks) == 0 && r.now < from+300*ms; {
		asks = append(asks, leaseRequests(t, r, step(r))...)
	}
	require.NotEmpty(t, asks)
	assert.Empty(t, effectsOfKind(effects, DialCatalogue), "none is made without a lease")
	last := asks[len(asks)-1]
	grant := &consensus.Message{Kind: consensus.MessageVerdicts, Grants: []quota.Verdict{{Limit: "calls", Seq: last.Seq, Units: 2, FairShare: 2, LimitDefined: true}}}
	receiveFromReplica(t, r, grant)
	effects = step(r)
	require.Len(t, effectsOfKind(effects, DialCatalogue), 1, "the controller learns of it in the next step")
	effects = step(r, Input{Kind: CatalogueConnected, Link: r.catalogue.links[0].id})
	fetch := effectsOfKind(effects, SendToCatalogue)
	require.Len(t, fetch, 1)
	assert.LessOrEqual(t, fetch[0].At, r.now+500*ms, "of no use once its part of the lease is over")
	assert.Equal(t, int64(2), r.Claims().Lease.Units)
}

// The dependency may work on an abandoned call for the other half of the longest use: its unit makes no other call.
func TestUnitOfAnAbandonedCallStaysReserved(t *testing.T) {
	r := leasingNode(t)
	asks := leaseRequests(t, r, told(r, "CALLOUT 1 "+id(1)+" 3|ask"))
	for from := r.now; len(asks) == 0 && r.now < from+300*ms; {
		asks = append(asks, leaseRequests(t, r, step(r))...)
	}
	require.NotEmpty(t, asks)
	receiveFromReplica(t, r, &consensus.Message{Kind: consensus.MessageVerdicts, Grants: []quota.Verdict{{Limit: "calls", Seq: asks[len(asks)-1].Seq, Units: 1, FairShare: 1, LimitDefined: true}}})
	step(r)
	require.Len(t, r.catalogue.links, 1)
	step(r, Input{Kind: CatalogueConnected, Link: r.catalogue.links[0].id})
	for len(r.catalogue.links) > 0 {
		require.Less(t, r.now, r.leases.holder.Until())
		step(r)
	}
	gaveUp := r.now
	require.Equal(t, int64(1), r.leases.holder.Allowed(r.now), "the lease goes on")
	for r.now < gaveUp+500*ms {
		assert.Zero(t, r.leases.announcedUnits, "%d ms after it was abandoned", (r.now-gaveUp)/ms)
		assert.Equal(t, int64(1), r.Claims().Lease.Used)
		step(r)
	}
	step(r)
	assert.Equal(t, 1, r.leases.announcedUnits)
	assert.Zero(t, r.Claims().Lease.Used)
}

func TestExpiredLeaseIsAppliedBeforeAnyDecision(t *testing.T) {
	r := leasingNode(t)
	told(r, "CALLOUT 1 "+id(1)+" 3|ask")
	r.leases.announcedUnits = 2
	r.Step(r.now+20_000*ms, 1, []Input{}) // after a pause: its units are another node's by now
	assert.Zero(t, r.leases.announcedUnits)
	assert.Empty(t, r.catalogue.links)
	var units []int
	for _, e := range append(r.events, r.deferredEvents...) {
		if e.Kind == admission.CallLimitSet {
			units = append(units, e.CallLimit)
		}
	}
	assert.Equal(t, []int{0}, units)
}

func TestWithoutALimitThereIsNoLeaseHolder(t *testing.T) {
	r := claimingNode(t)
	assert.Nil(t, r.Claims().Lease)
	assert.Equal(t, int64(never), r.leaseDue())
}

func TestNextStepOfALease(t *testing.T) {
	now := 1_000 * ms
	for _, c := range []struct {
		name           string
		abandonedUntil []int64
		wake           int64
		demand         int
		want           int64
	}{
		{"demand is looked at often", nil, now + 500*ms, 1, now + demandInterval},
		{"without demand the holder's own time counts", nil, now + 500*ms, 0, now + 500*ms},
		{"an earlier wish of the holder", nil, now + ms, 1, now + ms},
		{"the unit of an abandoned call is free again", []int64{now + 2*ms, now + 900*ms}, now + 500*ms, 0, now + 2*ms},
	} {
		ls := &leaseState{abandonedUntil: c.abandonedUntil}
		assert.Equal(t, c.want, ls.nextStep(now, c.wake, c.demand), c.name)
	}
}
