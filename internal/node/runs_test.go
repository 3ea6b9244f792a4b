package node

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/resultcache"
)

// startTokenRuns has a node of two cores start a run with a token on each of them. Their invocations have 80 ms left.
func startTokenRuns(t *testing.T, sm *StateMachine) []Effect {
	fields := []string{"ttl", "80", "work", "1", "op", "hold"}
	effects := step(sm, arrival(sm, 1, append(fields, "dedupe", "a")...), arrival(sm, 2, append(fields, "dedupe", "b")...))
	require.Equal(t, 2, sm.controller.State().OnCores)
	return effects
}

// Guards against a node that runs nothing any more: an invocation ended while the start of its run was being recorded on disk, and nobody told
// the admission controller that the run was over.
func TestRunGivesItsSlotBackIfItsInvocationEndsBeforeTheStartIsRecorded(t *testing.T) {
	for way, end := range waysToEnd {
		for fate, kinds := range map[string][]InputKind{"not written": nil, "written": {RecordWritten}, "failed": {RecordWriteFailed}} {
			t.Run(way+", start "+fate, func(t *testing.T) {
				sm := cachingNode(t, resultcache.OnDisk)
				started := startTokenRuns(t, sm)
				end(sm)
				step(sm)
				assert.Zero(t, sm.controller.State().OnCores)
				assert.Zero(t, sm.controller.State().Memory)
				assert.Empty(t, sm.indexByID)
				for _, kind := range kinds {
					in := Input{Kind: kind, Err: errInvalidField}
					for _, e := range effectsOfKind(started, WriteRecord) {
						in.Records = append(in.Records, *e.Record)
					}
					assert.Zero(t, countRuns(step(sm, in)), "nobody waits for the runs")
				}
				assert.Zero(t, sm.controller.State().OnCores)
				connectAnew(sm)
				assert.Equal(t, 1, countRuns(completeWrites(sm, step(sm, tokenArrival(sm, 3, "c")))), "the node runs others")
			})
		}
	}
}

// Guards against the same where the start is recorded by the consensus group, whatever the group answers.
func TestRunGivesItsSlotBackIfItsInvocationEndsBeforeTheGroupAnswers(t *testing.T) {
	for way, end := range waysToEnd {
		for _, answer := range []claims.Answer{claims.AnswerGranted, claims.AnswerCompleted, claims.AnswerOutcomeUnknown, claims.AnswerBodyMismatch} {
			t.Run(fmt.Sprint(way, answer), func(t *testing.T) {
				sm := claimingNode(t)
				commands := claimCommands(t, sm, startTokenRuns(t, sm))
				require.Len(t, commands, 2)
				end(sm)
				step(sm)
				assert.Zero(t, sm.controller.State().OnCores)
				assert.Empty(t, sm.indexByID)
				for _, c := range commands {
					assert.Zero(t, countRuns(receiveFromReplica(t, sm, verdictOn(c, answer))))
				}
				assert.Zero(t, sm.controller.State().OnCores)
				assert.Empty(t, sm.Invariants.All())
			})
		}
	}
}

// Guards against a slot that is never given back, or a run that takes up none, where a duplicate runs in the place of an original that
// ended before its start was recorded.
func TestDuplicateThatRunsInThePlaceOfTheOriginalHoldsTheSlot(t *testing.T) {
	for way, end := range waysToEnd {
		if way == "connection gone" {
			continue // the duplicate's connection is another one, opened below
		}
		t.Run(way, func(t *testing.T) {
			sm := cachingNode(t, resultcache.OnDisk)
			started := step(sm, arrival(sm, 1, "op", "hold", "dedupe", "a", "ttl", "80", "work", "1"))
			end(sm)
			step(sm, tokenArrival(sm, 2, "a"))
			assert.Zero(t, sm.controller.State().OnCores)
			assert.Contains(t, bytesSent(completeWrites(sm, started), SendToExecutor), "EXEC "+id(2))
			step(sm)
			assert.Equal(t, 1, sm.controller.State().OnCores)
			assert.Equal(t, []string{"20 on 2"}, framesSent(t, completeWrites(sm, endRun(sm, 2))))
			step(sm)
			assert.Zero(t, sm.controller.State().OnCores)
			assert.Empty(t, sm.indexByID)
			assert.Empty(t, sm.Invariants.All())
		})
	}
}

// Guards against the same where the executor started nothing for the original.
func TestDuplicateThatRunsAfterARunThatNeverStartedHoldsTheSlot(t *testing.T) {
	sm := cachingNode(t, resultcache.InMemory)
	step(sm, tokenArrival(sm, 1, "a"), tokenArrival(sm, 2, "a"))
	assert.Contains(t, bytesSent(executorSends(sm, "EXIT 1 "+id(1)+" gone 0 0|"), SendToExecutor), "EXEC "+id(2))
	step(sm)
	assert.Equal(t, 1, sm.controller.State().OnCores)
	assert.Len(t, sm.indexByID, 1)
	assert.Equal(t, []string{"20 on 2"}, framesSent(t, endRun(sm, 2)))
	step(sm)
	assert.Zero(t, sm.controller.State().OnCores)
	assert.Empty(t, sm.indexByID)
}

// Guards against a slot that is kept where the caller leaves while the end of its run is being recorded.
func TestRunGivesItsSlotBackIfItsInvocationEndsBeforeTheEndIsRecorded(t *testing.T) {
	for way, end := range waysToEnd {
		t.Run(way, func(t *testing.T) {
			sm := cachingNode(t, resultcache.OnDisk)
			completeWrites(sm, startTokenRuns(t, sm))
			endRun(sm, 1)
			endRun(sm, 2)
			end(sm)
			step(sm)
			assert.Zero(t, sm.controller.State().OnCores)
			assert.Empty(t, sm.indexByID)
		})
	}
}

// Guards against a run whose end counts twice: an EXEC that was sent again may be answered after the run has ended.
func TestSecondEndOfARunIsIgnored(t *testing.T) {
	sm := cachingNode(t, resultcache.OnDisk)
	completeWrites(sm, step(sm, tokenArrival(sm, 1, "a")))
	ended := endRun(sm, 1)
	executorSends(sm, "EXIT 2 "+id(1)+" gone 0 0|")
	executorSends(sm, "BAD EXEC "+id(1))
	executorSends(sm, "CALLOUT 3 "+id(1)+" 3|ask")
	assert.Equal(t, admission.Succeeded, sm.invocations[0].runOutcome)
	assert.Equal(t, []string{"20 on 1"}, framesSent(t, completeWrites(sm, ended)))
	step(sm)
	assert.Empty(t, sm.indexByID)
	assert.Empty(t, sm.Invariants.All())
}
