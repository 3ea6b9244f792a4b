package node

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/resultcache"
)

const (
	answerMargin       = 50 * ms // ns before its client timeout at which an invocation is answered while its claim is open: covers a sweep and the answer's way back
	claimSweepInterval = 20 * ms // ns between sweeps of the claims whose runs have not started
	maxRoundsPerStep   = 8       // times that claims client and replica are stepped within one step of the node; further inputs wait for the next step
)

// groupState holds the claims client, which claims tokens from the consensus group, and this node's replica of that group if it has one.
// Without a consensus group both are nil and take no timer and no time.
type groupState struct {
	self         claims.Owner
	client       *claims.Client
	clientInputs []claims.Input
	clientStepAt int64 // when the client must step again
	sweepAt      int64 // when sweepClaims is due

	replica         *consensus.Replica
	replicas        []string // names of the nodes with a replica, sorted
	replicaInputs   []consensus.Input
	replicaStepAt   int64          // when the replica must step again
	nextViewAt      int64          // when the replica is to be given the view of the fleet again
	streams         map[string]int // number of the stream that each node last sent on, by its name
	targetReplica   int            // index in replicas of the one that commands are sent to unless this node's own replica knows a leader
	unansweredSince int64          // when the first command since the group's last answer, or since targetReplica changed, was sent; 0 if there is none
}

// owner returns this node's identity as an owner of claims and leases.
func (cs *groupState) owner() claims.Owner { return cs.self }

// enabled reports whether tokens are claimed from the consensus group.
func (cs *groupState) enabled() bool { return cs.client != nil }

// canClaim reports whether new tokens can be claimed now: the consensus group answers, and the client has room.
func (cs *groupState) canClaim() bool {
	return cs.client != nil && cs.client.Connected() && cs.client.HasCapacity()
}

// requestSweep makes the next sweep of claims due within one interval from now.
func (cs *groupState) requestSweep(now int64) { cs.sweepAt = min(cs.sweepAt, now+claimSweepInterval) }

// ConsensusSummary returns a summary of claims, leases and the consensus group for operators, nil if this node takes no part in a group.
func (sm *StateMachine) ConsensusSummary() *consensus.Summary {
	cs := &sm.group
	if cs.client == nil && cs.replica == nil {
		return nil
	}
	summary := &consensus.Summary{Node: cs.self.Name, Lease: sm.leases.counters()}
	if cs.client != nil {
		summary.Client = &cs.client.Counters
		summary.ClaimsInFlight = cs.client.Size()
		summary.GroupReachable = cs.client.Connected()
	}
	if cs.replica != nil {
		cs.replica.Summarize(summary, maxClaimsShown)
	}
	return summary
}

// resultIndices returns the indices of a key's operation and tenant at this node; known is false if the node lacks the operation, or the
// tenant while its configuration names tenants.
func (sm *StateMachine) resultIndices(k resultcache.Key) (indices resultcache.Indices, known bool) {
	operation, known := sm.config.Operations.Lookup(k.Operation)
	tenant, named := sm.config.Tenants.Lookup(k.Tenant)
	if !named {
		tenant = noTenant
	}
	unknownTenant := !named && k.Tenant != "" && sm.config.Tenants.Len() > 0
	return resultcache.Indices{Operation: operation, Tenant: tenant}, known && !unknownTenant
}

// mustThrottleToken reports whether an invocation must be rejected because its token is new to this node and can't be claimed now.
func (sm *StateMachine) mustThrottleToken(v *invocation) bool {
	if !sm.group.enabled() || v.tokenKey.Token == "" || sm.group.canClaim() {
		return false
	}
	return !sm.results.isKnown(v.tokenKey)
}

// throttleOnArrival answers with a throttle an invocation that the node can't accept now: no executor has connected yet, the results of
// an earlier incarnation are still being recovered, or the invocation's token can't be claimed. The hint when to retry is replicaTimeout,
// after which the node tries another replica.
func (sm *StateMachine) throttleOnArrival(link int, stream uint32) {
	var fields []frame.Field
	if retryAfter := min(replicaTimeout, sm.config.Node.MaxRetryAfter); retryAfter > 0 {
		fields = append(fields, frame.Field{Name: "pushback", Value: fmt.Sprint((retryAfter + ms - 1) / ms)})
	}
	sm.Counters.Throttled++
	sm.sendFrame(link, stream, frame.Throttled, fields, nil)
}

// addClaimInput queues an input for the claims client, if this node has one.
func (sm *StateMachine) addClaimInput(in claims.Input) {
	if sm.group.client != nil {
		sm.group.clientInputs = append(sm.group.clientInputs, in)
	}
}

// claimToken claims the token of an invocation for this node. The claim carries all that another node needs to take the invocation
// over.
func (sm *StateMachine) claimToken(i int32) {
	if !sm.group.enabled() {
		return
	}
	v := &sm.invocations[i]
	text, err := cbor.Marshal(takeoverDataOf(v))
	if !sm.Invariants.Check(err == nil, "an invocation can be encoded for a takeover") {
		return
	}
	sm.addClaimInput(claims.Input{Kind: claims.RequestClaim, Key: claims.Key(v.tokenKey), BodyHash: v.bodyHash, Remaining: v.deadline - sm.now,
		InvocationID: v.invocationID, Work: text, Retention: v.tokenLimits.tokenLifetime})
}

// stepClaims steps the claims client and the replica in turn until neither has an input or is due, at most maxRoundsPerStep times.
func (sm *StateMachine) stepClaims() {
	cs := &sm.group
	if cs.client == nil && cs.replica == nil {
		return
	}
	if cs.client != nil && sm.now >= cs.sweepAt {
		sm.sweepClaims()
	}
	for range maxRoundsPerStep {
		stepReplica := cs.replica != nil && (len(cs.replicaInputs) > 0 || sm.now >= cs.replicaStepAt)
		stepClient := cs.client != nil && (len(cs.clientInputs) > 0 || sm.now >= cs.clientStepAt)
		if !stepReplica && !stepClient {
			return
		}
		if stepReplica {
			sm.stepReplica()
		}
		if stepClient {
			sm.stepClaimsClient()
		}
	}
}

func (sm *StateMachine) stepClaimsClient() {
	cs := &sm.group
	inputs := cs.clientInputs
	cs.clientInputs = nil
	var actions []claims.Action
	actions, cs.clientStepAt = cs.client.Step(sm.now, inputs)
	for k := range actions {
		sm.executeClaimAction(&actions[k])
	}
}

// executeClaimAction carries out an action of the claims client, mostly as an input of the result cache.
func (sm *StateMachine) executeClaimAction(a *claims.Action) {
	if a.Kind == claims.SendCommands {
		sm.proposeToGroup(a.Commands, nil)
		return
	}
	if sm.hollow.enabled() {
		sm.executeHollowAction(a)
		return
	}
	key := resultcache.Key(a.Key)
	switch a.Kind {
	case claims.StartRun, claims.EndRecorded: // the cache treats a commit by the group like a durable write of its own
		sm.stepCache(resultcache.Input{Kind: resultcache.WriteSucceeded, Key: key})
	case claims.CompletedElsewhere:
		sm.stepCache(resultcache.Input{Kind: resultcache.CompletedElsewhere, Key: key, Outcome: resultcache.Outcome(a.Outcome), Result: a.Result})
	case claims.UnknownElsewhere:
		sm.stepCache(resultcache.Input{Kind: resultcache.UnknownElsewhere, Key: key})
	case claims.BodyMismatch:
		sm.stepCache(resultcache.Input{Kind: resultcache.MismatchElsewhere, Key: key})
	case claims.InvocationSettled:
		sm.invocationSettled(a)
	case claims.TakeOverRevoked:
		sm.dropTakenOver(key, a.InvocationID)
	case claims.RejectClaim:
		sm.stepCache(resultcache.Input{Kind: resultcache.RejectedElsewhere, Key: key, Remaining: a.Duration})
	case claims.TakeOver:
		if err := sm.takeOverInvocation(key, a); err != nil {
			sm.log(Warn, "invocation of a lost node can't be taken over; its claim is abandoned", a.Key.String(), err)
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
		}
	}
}

// sweepClaims handles all claims whose run has not started, or has ended without the end being committed.
func (sm *StateMachine) sweepClaims() {
	cs := &sm.group
	cs.sweepAt = sm.now + claimSweepInterval
	if sm.hollow.enabled() {
		sm.sweepHollowTokens()
		return
	}
	for _, k := range cs.client.NotRunning() {
		sm.sweepClaim(k)
	}
	sm.answerOverdueRefusals()
}

// sweepClaim abandons a claim whose token the result cache does not know, and answers invocations that wait for the claim and are close
// to their client timeout.
func (sm *StateMachine) sweepClaim(k claims.Key) {
	key := resultcache.Key(k)
	if sm.results.isPending(key) {
		return // the admission controller has yet to decide on its invocation
	}
	if !sm.results.isKnown(key) {
		sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: k})
		return
	}
	waiters, notStarted := sm.results.waiters(key)
	if notStarted && len(waiters) == 0 {
		sm.stepCache(resultcache.Input{Kind: resultcache.AnswerRequired, Invocation: -1, Key: key}) // no waiter is left: the cache removes the token
	}
	mayHaveRun := sm.group.client.OwnedElsewhere(k)
	for _, i := range waiters {
		if sm.now >= sm.answerWaiterAt(&sm.invocations[i], mayHaveRun) {
			sm.stepCache(resultcache.Input{Kind: resultcache.AnswerRequired, Invocation: i, Key: key, MayHaveRun: mayHaveRun})
		}
	}
	sm.claimForNextWaiter(k)
}

// answerWaiterAt returns when an invocation that waits for its claim is answered at the latest. One whose claim has to be settled first is
// given up earlier.
func (sm *StateMachine) answerWaiterAt(v *invocation, mayHaveRun bool) int64 {
	at := v.deadline - answerMargin
	if !mayHaveRun && sm.mayRunElsewhere(v) {
		at -= settlementTime
	}
	return at
}

// claimForNextWaiter claims a token anew for the first invocation that waits for it, if the claim is being released for one that was given up.
func (sm *StateMachine) claimForNextWaiter(k claims.Key) {
	if sm.group.client.IsSettling(k) || sm.willSettle(k) {
		sm.claimForFirstWaiter(k)
	}
}

// claimForFirstWaiter claims a token for the first invocation that waits for the start of its run, if there is one.
func (sm *StateMachine) claimForFirstWaiter(k claims.Key) {
	waiters, notStarted := sm.results.waiters(resultcache.Key(k))
	if !notStarted || len(waiters) == 0 {
		return
	}
	next := &sm.invocations[waiters[0]]
	sm.claimToken(waiters[0])
	remaining := next.tokenLimits.tokenLifetime
	sm.addClaimInput(claims.Input{Kind: claims.RequestStart, Key: k, BodyHash: next.bodyHash, Remaining: remaining, Retention: remaining})
}

// willSettle reports whether the inputs that the claims client has yet to handle release the claim of a token for an invocation that was given
// up, with no other invocation claiming it after that.
func (sm *StateMachine) willSettle(k claims.Key) bool {
	settles := false
	for i := range sm.group.clientInputs {
		in := &sm.group.clientInputs[i]
		if in.Key == k && (in.Kind == claims.SettleInvocation || in.Kind == claims.RequestClaim) {
			settles = in.Kind == claims.SettleInvocation
		}
	}
	return settles
}

// claimsDue returns when the claims client or the replica must step again at the latest.
func (sm *StateMachine) claimsDue() int64 {
	cs := &sm.group
	at := int64(never)
	if cs.replica != nil {
		at = min(at, cs.replicaStepAt)
	}
	if cs.client != nil {
		at = min(at, cs.clientStepAt)
		if cs.client.Size() > 0 || len(sm.refusals.pending) > 0 {
			at = min(at, cs.sweepAt)
		}
	}
	if len(cs.clientInputs)+len(cs.replicaInputs) > 0 {
		at = sm.now + 1
	}
	return max(at, sm.now+1)
}
