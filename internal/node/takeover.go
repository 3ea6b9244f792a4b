package node

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/fleet/takeover"
	"topazpost/internal/resultcache"
)

const noConnection = -1 // in place of a connection's link: the invocation was taken over, and has no caller to answer

var (
	errNotAccepting = errors.New("node: draining, or no executor has connected yet; no invocations are taken over")
	errUnknownOwner = errors.New("node: the operation or tenant of the invocation to take over is not in service here")
)

// takeoverData is the part of an invocation that is stored with its claim, so that another node can take it over.
type takeoverData struct {
	InvocationID string  `cbor:"1,keyasint"`
	Body         []byte  `cbor:"2,keyasint"`
	QueuedKB     float64 `cbor:"3,keyasint"`
	ExpectedWork int64   `cbor:"4,keyasint,omitempty"`
	Caller       int64   `cbor:"5,keyasint,omitempty"`
}

// takeoverDataOf returns what another node needs to take over an invocation.
func takeoverDataOf(v *invocation) takeoverData {
	return takeoverData{InvocationID: v.invocationID, Body: v.body, QueuedKB: v.arrivalEvent.QueuedKB, ExpectedWork: v.arrivalEvent.ExpectedWork, Caller: v.arrivalEvent.Caller}
}

// valid reports whether all fields are within the bounds of an invocation.
func (w *takeoverData) valid() bool {
	return isHex16(w.InvocationID) && len(w.Body) <= maxBodyBytes && w.QueuedKB > 0 && w.QueuedKB < maxHeapKB
}

// takeOverInvocation submits the invocation of a claim that a lost node owned. It has no caller at this node. Its deadline stays, but
// its latency objective counts from now: counted from its arrival at the lost node, the controller would give it up as hopeless.
func (sm *StateMachine) takeOverInvocation(key resultcache.Key, a *claims.Action) error {
	if sm.controller == nil || sm.drain.isRequested() {
		return errNotAccepting
	}
	var work takeoverData
	if err := cbor.Unmarshal(a.Work, &work); err != nil {
		return fmt.Errorf("node: the invocation to take over can't be decoded: %w", err)
	}
	if _, used := sm.indexByID[work.InvocationID]; used || !work.valid() {
		return fmt.Errorf("node: the invocation to take over has an ID that is in use, or invalid fields: %q", work.InvocationID)
	}
	indices, known := sm.resultIndices(key)
	if !known {
		return errUnknownOwner
	}
	if sm.results.isKnown(key) {
		return nil // a caller has sent this token here too, and its invocation uses the claim
	}
	v := invocation{live: true, connectionLink: noConnection, invocationID: work.InvocationID, operationName: key.Operation, body: work.Body, tokenKey: key,
		bodyHash: a.BodyHash, operationIndex: indices.Operation, tenant: indices.Tenant, arrivedAt: sm.now, deadline: sm.now + a.Duration}
	v.arrivalEvent = admission.Event{Kind: admission.Arrived, OperationIndex: indices.Operation, Tenant: indices.Tenant, Original: admission.NoOriginal, Retry: true,
		Deadline: sm.now + a.Duration, QueuedKB: work.QueuedKB, ExpectedWork: work.ExpectedWork, Caller: work.Caller}
	i := sm.addInvocation(v)
	sm.invocations[i].arrivalEvent.Invocation = i
	sm.results.addPending(key, i, v.bodyHash)
	sm.notifyController(sm.invocations[i].arrivalEvent)
	sm.Counters.InvocationsTakenOver++
	return nil
}

// dropTakenOver gives up an invocation that was taken over and whose claim is no longer this node's. Callers of this node that wait for its run
// claim the token for themselves.
func (sm *StateMachine) dropTakenOver(key resultcache.Key, invocationID string) {
	i, v := sm.findInvocation(invocationID)
	if v == nil || v.answered || v.tokenKey != key {
		return
	}
	sm.stepCache(resultcache.Input{Kind: resultcache.AnswerRequired, Invocation: i, Key: key, MayHaveRun: true})
	sm.claimForFirstWaiter(claims.Key(key))
}

// takeoverMembers returns the view of the fleet as the consensus group needs it to reassign the claims of lost nodes. Suspects still own
// their claims. The membership keeps all members in its view, as suspects, while this node is cut off from all peers, so that it takes
// none of them for lost. An owner's incarnation is the start time of its process.
func (sm *StateMachine) takeoverMembers() []takeover.Member {
	var list []takeover.Member
	view := sm.Members().View()
	for k := range view.Members {
		m := &view.Members[k]
		alive := m.Status == membership.Alive
		list = append(list, takeover.Member{
			Owner:       claims.Owner{Name: m.Name, Incarnation: uint64(m.StartedAt)},
			Zone:        m.Facts.Zone,
			Level:       int(m.Facts.Level),
			Alive:       alive || m.Status == membership.Suspect,
			AcceptsWork: alive && m.Facts.DrainPhase == 0 && !m.Facts.NoExecutor,
		})
	}
	return list
}
