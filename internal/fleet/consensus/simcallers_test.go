package consensus

import (
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"topazpost/internal/fleet/claims"
)

// attempt is one caller's request.
type attempt struct {
	token    int
	at, end  int64
	outcome  string // result, "unknown", "throttled", "lost", or empty while it waits
	client   int
	node     int
	answered bool
}

func key(token int) claims.Key { return claims.Key{Operation: "hold", Token: fmt.Sprint("t", token)} }

// ask has a caller request a token at a node, which claims it at once and starts it after some time in the queue.
func (s *simulation) ask(client, token, i int) *attempt {
	a := &attempt{token: token, at: s.now, client: client, node: i}
	s.attempts = append(s.attempts, a)
	node := s.nodes[i]
	if !node.up {
		s.answer(a, "lost")
		return a
	}
	s.at(s.now, i, func() {
		k := key(token)
		if got, known := node.results[k]; known {
			s.answer(a, got)
			return
		}
		if !node.pending[k] && !node.starting[k] {
			if !node.client.Connected() {
				s.answer(a, "throttled")
				return
			}
			node.pending[k] = true
			node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.RequestClaim, Key: k, BodyHash: 7,
				Remaining: 4_000 * ms, Retention: window, Work: []byte{1}, InvocationID: "c"})
			s.at(s.now+s.random.Int63n(40*ms), i, func() { s.begin(i, k) })
		}
		node.waiting[k] = append(node.waiting[k], a)
		s.wakeNow(i)
		s.at(s.now+4_000*ms, i, func() { s.timeOut(i, a) })
	})
	return a
}

// timeOut answers a caller whose result did not come in time, and abandons work that nobody else waits for.
func (s *simulation) timeOut(i int, a *attempt) {
	if a.answered {
		return
	}
	node := s.nodes[i]
	k := key(a.token)
	if node.client.OwnedElsewhere(k) {
		s.answer(a, "unknown")
	} else {
		s.answer(a, "throttled")
	}
	node.waiting[k] = slices.DeleteFunc(node.waiting[k], func(b *attempt) bool { return b == a })
	if len(node.waiting[k]) == 0 && !s.started[k] && node.starting[k] {
		delete(node.starting, k)
		node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.AbandonClaim, Key: k})
		s.wakeNow(i)
	}
}

func (s *simulation) begin(i int, k claims.Key) {
	node := s.nodes[i]
	if !node.pending[k] {
		return
	}
	delete(node.pending, k)
	node.starting[k] = true
	node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.RequestStart, Key: k, BodyHash: 7, Remaining: 4_000 * ms,
		Retention: window, Work: []byte{1}, InvocationID: "c"})
	if s.runBeforeStart {
		s.execute(i, k)
	}
	s.wakeNow(i)
}

// execute starts a run at the executor, after a moment in which the node may pause or be killed.
func (s *simulation) execute(i int, k claims.Key) {
	node := s.nodes[i]
	s.at(s.now+s.random.Int63n(2*ms), i, func() {
		var token int
		if _, err := fmt.Sscanf(k.Token, "t%d", &token); err != nil {
			s.fail("token %q has no number: %v", k.Token, err)
		}
		s.runs[token]++
		s.started[k] = true
		if s.runs[token] > 1 {
			s.fail("%s ran %d times", k, s.runs[token])
		}
		result := fmt.Sprintf("%s run %d", k, s.runs[token])
		s.at(s.now+s.random.Int63n(60*ms), i, func() {
			node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.ReportEnd, Key: k, Result: []byte(result)})
			node.results[k] = result
			s.wakeNow(i)
		})
	})
}

func (s *simulation) applyAction(i int, a *claims.Action) {
	node := s.nodes[i]
	switch a.Kind {
	case claims.SendCommands:
		if node.replica != nil {
			node.replicaInputs = append(node.replicaInputs, Input{ClaimCommands: a.Commands})
			return
		}
		to := s.members[s.random.Intn(len(s.members))]
		s.send(i, to, Message{Kind: MessagePropose, From: node.name, Owner: node.owner(), ClaimCommands: a.Commands})
	case claims.StartRun:
		s.startRun(i, a.Key)
	case claims.EndRecorded:
		s.complete(i, a.Key, node.results[a.Key])
	case claims.CompletedElsewhere:
		node.results[a.Key] = string(a.Result)
		s.complete(i, a.Key, string(a.Result))
	case claims.UnknownElsewhere:
		s.complete(i, a.Key, "unknown")
	case claims.BodyMismatch, claims.RejectClaim:
		s.complete(i, a.Key, "throttled")
	case claims.TakeOver:
		s.takeovers++
		node.pending[a.Key] = true
		k := a.Key
		s.at(s.now+s.random.Int63n(10*ms), i, func() { s.begin(i, k) })
	}
}

// startRun runs a token, or now and then abandons it where nobody waits any more: it did not run, and will not.
func (s *simulation) startRun(i int, k claims.Key) {
	node := s.nodes[i]
	switch {
	case !node.starting[k]:
		s.fail("%s may run at %s, which did not request it", k, node.name)
	case len(node.waiting[k]) == 0 && s.random.Intn(2) == 0 && !s.runBeforeStart && !s.stable:
		delete(node.starting, k)
		node.clientInputs = append(node.clientInputs, claims.Input{Kind: claims.AbandonClaim, Key: k})
	case !s.runBeforeStart:
		s.execute(i, k)
	}
}

func (s *simulation) complete(i int, k claims.Key, got string) {
	node := s.nodes[i]
	delete(node.starting, k)
	for _, a := range node.waiting[k] {
		s.answer(a, got)
	}
	delete(node.waiting, k)
}

func (s *simulation) answer(a *attempt, got string) {
	if !a.answered {
		a.answered = true
		a.outcome = got
		a.end = s.now
	}
}

func (s *simulation) fail(form string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(form, args...))
}

// check requires that no fence in a leader's table is lower than one seen before.
func (s *simulation) check(group *Replica) {
	if !group.IsLeader() || group.raft.appliedIndex == s.checkedIndex {
		return
	}
	s.checkedIndex = group.raft.appliedIndex
	term, err := group.raft.storage.Term(group.raft.appliedIndex)
	if err != nil || term != group.raft.node.BasicStatus().GetTerm() {
		return // it has not applied yet what was committed before it led
	}
	for _, node := range s.nodes { // one that does not know yet of a later leader has an outdated table
		if node.up && node.replica != nil && node.replica.raft.node.BasicStatus().GetTerm() > group.raft.node.BasicStatus().GetTerm() {
			return
		}
	}
	current := s.stable && !group.steppedDown() && group.raft.appliedIndex == group.raft.node.BasicStatus().GetCommit()
	for _, e := range group.table.List(1 << 20) {
		before := s.fences[e.Key]
		if e.Fence > before {
			s.fences[e.Key] = e.Fence
		}
		if e.Fence < before && current {
			s.fail("%s: fence %d after %d", e.Key, e.Fence, before)
		}
	}
}

// linearizable reports whether the callers' results could come from a single node at which each token ran at most once.
func (s *simulation) linearizable() bool {
	type input struct{ token int }
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			by := map[int][]porcupine.Operation{}
			for _, o := range history {
				t := o.Input.(input).token
				by[t] = append(by[t], o)
			}
			var all [][]porcupine.Operation
			for _, list := range by {
				all = append(all, list)
			}
			return all
		},
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			got := out.(string)
			switch {
			case got == "unknown" || got == "throttled" || got == "lost":
				return true, state
			case state == "":
				return true, got
			}
			return state == got, state
		},
	}
	var history []porcupine.Operation
	for _, a := range s.attempts {
		if a.answered {
			history = append(history, porcupine.Operation{ClientId: a.client, Input: input{a.token}, Call: a.at, Output: a.outcome, Return: a.end})
		}
	}
	return porcupine.CheckOperations(model, history)
}
