package node

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/resultcache"
)

// claimingNode returns a node n1 that accepts invocations and claims their tokens from a consensus group, whose only replica is at n0.
func claimingNode(t *testing.T) *StateMachine {
	p, err := nodeconfig.FromJSON(1, []byte(tokenSettings))
	require.NoError(t, err)
	sm := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
	config := membership.Config{Name: "n1", Address: "127.0.0.1:1", ProbeInterval: 500 * ms, LinkTimeout: 3_500 * ms, SuspicionTimeout: 400 * ms, ForgetTimeout: 1 << 50, MaxMembers: 8}
	sm.JoinFleet("tests", membership.New(config, 0, 1_000_000*ms, 0, 1))
	sm.EnableResultCache(resultcache.Config{Durability: resultcache.OnDisk, MaxBytes: 1 << 20, MaxResultBytes: 1 << 10, Window: 60_000 * ms}, "dedupe", false)
	sm.EnableConsensus([]string{"n0"}, 0, 0, 1)
	step(sm, Input{Kind: ConnectionOpened, Link: 7})
	step(sm, Input{Kind: ExecutorConnected, Link: sm.executor.dialingLink})
	executorSends(sm, "WELCOME old 0")
	executorSends(sm, "METERS j1 0.1 1 0.1 3")
	sm.group.streams["n0"] = 3
	receiveFromReplica(t, sm, &consensus.Message{Kind: consensus.MessageVerdicts, ClaimVerdicts: []claims.Verdict{{}}})
	require.True(t, sm.group.client.Connected())
	return sm
}

// receiveFromReplica steps the node with a message from the replica at n0.
func receiveFromReplica(t *testing.T, sm *StateMachine, m *consensus.Message) []Effect {
	m.From, m.Owner = "n0", sm.group.self
	text, err := envelope.Seal(nil, sm.fleet.id, m)
	require.NoError(t, err)
	return step(sm, Input{Kind: PeerMessageReceived, Link: 3, Bytes: text})
}

// claimCommands returns the claim commands that effects send to the consensus group.
func claimCommands(t *testing.T, sm *StateMachine, effects []Effect) (list []claims.Command) {
	for _, e := range effects {
		if e.Kind == SendOnStream {
			m := new(consensus.Message)
			require.NoError(t, envelope.Open(e.Bytes, sm.fleet.id, m))
			list = append(list, m.ClaimCommands...)
		}
	}
	return list
}

// verdictOn returns the message with which the consensus group answers a command; each function in changes amends the verdict.
func verdictOn(c claims.Command, answer claims.Answer, changes ...func(*claims.Verdict)) *consensus.Message {
	v := claims.Verdict{Seq: c.Seq, Answer: answer, Fence: 5}
	for _, change := range changes {
		change(&v)
	}
	return &consensus.Message{Kind: consensus.MessageVerdicts, ClaimVerdicts: []claims.Verdict{v}}
}

// localEffectKinds returns the kinds of effects that send nothing to other nodes.
func localEffectKinds(effects []Effect) (list []EffectKind) {
	for _, e := range effects {
		if e.Kind != SendDatagram && e.Kind != SendOnStream {
			list = append(list, e.Kind)
		}
	}
	return list
}

// commandsForInvocation delivers an invocation with token a1 on stream 1, and returns the claim commands that the node then sends.
func commandsForInvocation(t *testing.T, sm *StateMachine) []claims.Command {
	return claimCommands(t, sm, step(sm, tokenInvocation(1, "a1")))
}

func TestRunStartsOnceItsClaimIsGranted(t *testing.T) {
	sm := claimingNode(t)
	claim := commandsForInvocation(t, sm)
	require.Len(t, claim, 1)
	assert.Equal(t, claims.CommandClaim, claim[0].Kind)
	start := claimCommands(t, sm, receiveFromReplica(t, sm, verdictOn(claim[0], claims.AnswerGranted)))
	require.Len(t, start, 1)
	assert.Equal(t, claims.CommandStart, start[0].Kind)
	effects := receiveFromReplica(t, sm, verdictOn(start[0], claims.AnswerGranted))
	require.Equal(t, []EffectKind{SendToExecutor}, localEffectKinds(effects))
	assert.Contains(t, string(effects[0].Bytes), "EXEC "+id(1))
	effects = executorSends(sm, "EXIT 1 "+id(1)+" good 12 2|ok")
	end := claimCommands(t, sm, effects)
	require.Len(t, end, 1)
	assert.Equal(t, claims.CommandEnd, end[0].Kind)
	assert.Equal(t, "ok", string(end[0].Result))
	assert.Empty(t, localEffectKinds(effects), "the answer waits for the end to be committed")
	assert.Equal(t, []EffectKind{SendToConnection}, localEffectKinds(receiveFromReplica(t, sm, verdictOn(end[0], claims.AnswerDone))))
	step(sm)
	assert.Zero(t, sm.group.client.Size())
	assert.Equal(t, 1, sm.Counters.Succeeded)
}

func TestTokenCompletedElsewhereIsAnsweredWithoutARun(t *testing.T) {
	sm := claimingNode(t)
	claim := commandsForInvocation(t, sm)
	effects := receiveFromReplica(t, sm, verdictOn(claim[0], claims.AnswerCompleted, func(v *claims.Verdict) { v.Result = []byte("kept") }))
	require.Equal(t, []EffectKind{SendToConnection}, localEffectKinds(effects))
	for _, e := range effects {
		if e.Kind == SendToConnection {
			assert.Contains(t, string(e.Bytes), "kept")
		}
	}
}

func TestUnknownOutcomeElsewhereIsAnsweredAsUnknown(t *testing.T) {
	sm := claimingNode(t)
	claim := commandsForInvocation(t, sm)
	effects := receiveFromReplica(t, sm, verdictOn(claim[0], claims.AnswerOutcomeUnknown))
	require.Equal(t, []EffectKind{SendToConnection}, localEffectKinds(effects))
	assert.Equal(t, 1, sm.Counters.Errored)
	assert.True(t, strings.Contains(string(effects[0].Bytes), "unknown"))
}

func TestTokenOwnedElsewhereIsAnsweredBeforeItsClientTimeout(t *testing.T) {
	sm := claimingNode(t)
	claim := commandsForInvocation(t, sm)
	receiveFromReplica(t, sm, verdictOn(claim[0], claims.AnswerOwned, func(v *claims.Verdict) { v.Owner = claims.Owner{Name: "n5", Incarnation: 1} }))
	answeredAfter := int64(0)
	for from := sm.now; sm.now < from+3_000*ms && answeredAfter == 0; {
		effects := append(step(sm), receiveFromReplica(t, sm, &consensus.Message{Kind: consensus.MessageVerdicts, ClaimVerdicts: []claims.Verdict{{}}})...)
		if len(effectsOfKind(effects, SendToConnection)) > 0 {
			answeredAfter = sm.now - from
		}
	}
	assert.Positive(t, answeredAfter)
	assert.Less(t, answeredAfter, 3_000*ms)
	assert.Equal(t, 1, sm.Counters.Errored, "the invocation may be running elsewhere, and a throttle would promise that it never ran")
}

func TestClaimIsReleasedWhenTheCallerLeavesBeforeTheRun(t *testing.T) {
	sm := claimingNode(t)
	claim := commandsForInvocation(t, sm)
	step(sm, Input{Kind: ConnectionClosed, Link: 7})
	for range 40 {
		step(sm)
	}
	var commands []claims.Command
	commands = append(commands, claimCommands(t, sm, receiveFromReplica(t, sm, verdictOn(claim[0], claims.AnswerGranted)))...)
	for range 40 {
		commands = append(commands, claimCommands(t, sm, step(sm))...)
	}
	require.NotEmpty(t, commands)
	assert.Equal(t, claims.CommandRelease, commands[len(commands)-1].Kind)
}
