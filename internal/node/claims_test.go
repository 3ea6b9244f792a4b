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

// claimingNode is a node that serves, whose claims are decided by a consensus group with a single replica at n0.
func claimingNode(t *testing.T) *StateMachine {
	p, err := nodeconfig.FromJSON(1, []byte(tokenSettings))
	require.NoError(t, err)
	r := NewStateMachine(p, Addresses{"executor:1", "catalogue:1", "control:1"}, 5_000*ms, 4, 3)
	config := membership.Config{Name: "n1", Address: "127.0.0.1:1", ProbeInterval: 500 * ms, LinkTimeout: 3_500 * ms, SuspicionTimeout: 400 * ms, ForgetTimeout: 1 << 50, MaxMembers: 8}
	r.JoinFleet("tests", membership.New(config, 0, 1_000_000*ms, 0, 1))
	r.EnableResultCache(resultcache.Config{Durability: resultcache.OnDisk, MaxBytes: 1 << 20, MaxResultBytes: 1 << 10, Window: 60_000 * ms}, "dedupe", false)
	r.EnableConsensus([]string{"n0"}, 0, 0, 1)
	step(r, Input{Kind: ConnectionOpened, Link: 7})
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	told(r, "WELCOME old 0")
	told(r, "METERS j1 0.1 1 0.1 3")
	r.claiming.streams["n0"] = 3
	receiveFromReplica(t, r, &consensus.Message{Kind: consensus.MessageVerdicts, Verdicts: []claims.Verdict{{}}})
	require.True(t, r.claiming.client.Connected())
	return r
}

// receiveFromReplica steps with a message of the replica at n0.
func receiveFromReplica(t *testing.T, r *StateMachine, m *consensus.Message) []Effect {
	m.From, m.Owner = "n0", r.claiming.self
	text, err := envelope.Seal(nil, r.fleet.id, m)
	require.NoError(t, err)
	return step(r, Input{Kind: PeerMessageReceived, Link: 3, Bytes: text})
}

// claimCommands are the commands that effects send to the consensus group.
func claimCommands(t *testing.T, r *StateMachine, effects []Effect) (list []claims.Command) {
	for _, e := range effects {
		if e.Kind == SendOnStream {
			m := new(consensus.Message)
			require.NoError(t, envelope.Open(e.Bytes, r.fleet.id, m))
			list = append(list, m.Commands...)
		}
	}
	return list
}

func verdictOn(c claims.Command, answer claims.Answer, more ...func(*claims.Verdict)) *consensus.Message {
	v := claims.Verdict{Seq: c.Seq, Answer: answer, Fence: 5}
	for _, f := range more {
		f(&v)
	}
	return &consensus.Message{Kind: consensus.MessageVerdicts, Verdicts: []claims.Verdict{v}}
}

func localEffectKinds(effects []Effect) (list []EffectKind) {
	for _, e := range effects {
		if e.Kind != SendDatagram && e.Kind != SendOnStream {
			list = append(list, e.Kind)
		}
	}
	return list
}

// commandsForInvocation are the commands that follow the arrival of a tokened invocation.
func commandsForInvocation(t *testing.T, r *StateMachine) []claims.Command {
	return claimCommands(t, r, step(r, tokenInvocation(1, "a1")))
}

func TestRunStartsOnceItsClaimIsGranted(t *testing.T) {
	r := claimingNode(t)
	claim := commandsForInvocation(t, r)
	require.Len(t, claim, 1)
	assert.Equal(t, claims.CommandClaim, claim[0].Kind)
	start := claimCommands(t, r, receiveFromReplica(t, r, verdictOn(claim[0], claims.AnswerGranted)))
	require.Len(t, start, 1)
	assert.Equal(t, claims.CommandStart, start[0].Kind)
	effects := receiveFromReplica(t, r, verdictOn(start[0], claims.AnswerGranted))
	require.Equal(t, []EffectKind{SendToExecutor}, localEffectKinds(effects))
	assert.Contains(t, string(effects[0].Bytes), "EXEC "+id(1))
	effects = told(r, "EXIT 1 "+id(1)+" good 12 2|ok")
	end := claimCommands(t, r, effects)
	require.Len(t, end, 1)
	assert.Equal(t, claims.CommandEnd, end[0].Kind)
	assert.Equal(t, "ok", string(end[0].Result))
	assert.Empty(t, localEffectKinds(effects), "the answer waits for the end to be committed")
	assert.Equal(t, []EffectKind{SendToConnection}, localEffectKinds(receiveFromReplica(t, r, verdictOn(end[0], claims.AnswerDone))))
	step(r)
	assert.Zero(t, r.claiming.client.Size())
	assert.Equal(t, 1, r.Counters.Succeeded)
}

func TestTokenCompletedElsewhereIsAnsweredWithoutARun(t *testing.T) {
	r := claimingNode(t)
	claim := commandsForInvocation(t, r)
	effects := receiveFromReplica(t, r, verdictOn(claim[0], claims.AnswerCompleted, func(v *claims.Verdict) { v.Result = []byte("kept") }))
	require.Equal(t, []EffectKind{SendToConnection}, localEffectKinds(effects))
	for _, e := range effects {
		if e.Kind == SendToConnection {
			assert.Contains(t, string(e.Bytes), "kept")
		}
	}
}

func TestUnknownOutcomeElsewhereIsAnsweredAsUnknown(t *testing.T) {
	r := claimingNode(t)
	claim := commandsForInvocation(t, r)
	effects := receiveFromReplica(t, r, verdictOn(claim[0], claims.AnswerOutcomeUnknown))
	require.Equal(t, []EffectKind{SendToConnection}, localEffectKinds(effects))
	assert.Equal(t, 1, r.Counters.Errored)
	assert.True(t, strings.Contains(string(effects[0].Bytes), "unknown"))
}

func TestTokenOwnedElsewhereIsAnsweredBeforeItsClientTimeout(t *testing.T) {
	r := claimingNode(t)
	claim := commandsForInvocation(t, r)
	receiveFromReplica(t, r, verdictOn(claim[0], claims.AnswerOwnedElsewhere, func(v *claims.Verdict) { v.Owner = claims.Owner{Name: "n5", Incarnation: 1} }))
	answered := int64(0)
	for from := r.now; r.now < from+3_000*ms && answered == 0; {
		effects := append(step(r), receiveFromReplica(t, r, &consensus.Message{Kind: consensus.MessageVerdicts, Verdicts: []claims.Verdict{{}}})...)
		if len(effectsOfKind(effects, SendToConnection)) > 0 {
			answered = r.now - from
		}
	}
	assert.Positive(t, answered)
	assert.Less(t, answered, 3_000*ms)
	assert.Equal(t, 1, r.Counters.Errored, "it may run: a throttle would say that it did not")
}

func TestClaimIsReleasedWhenTheCallerLeavesBeforeTheRun(t *testing.T) {
	r := claimingNode(t)
	claim := commandsForInvocation(t, r)
	step(r, Input{Kind: ConnectionClosed, Link: 7})
	for range 40 {
		step(r)
	}
	var commands []claims.Command
	commands = append(commands, claimCommands(t, r, receiveFromReplica(t, r, verdictOn(claim[0], claims.AnswerGranted)))...)
	for range 40 {
		commands = append(commands, claimCommands(t, r, step(r))...)
	}
	require.NotEmpty(t, commands)
	assert.Equal(t, claims.CommandRelease, commands[len(commands)-1].Kind)
}
