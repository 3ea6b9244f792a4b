package node

import (
	"math"
	"slices"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/nodeconfig"
)

const (
	maxPendingProposals   = 8          // operators' proposals that wait for a verdict of the consensus group, each of up to 512 kB
	proposalTimeout       = 1_600 * ms // ns that a proposal waits for a verdict; its exchange ends after 2 s, and then the command retries
	proposalRetryInterval = 400 * ms   // ns between attempts to propose it to the consensus group
	maxAnswerBytes        = 384 << 10  // bytes of blocks in one answer to an operator; an exchange carries up to 512 kB
)

// configProposal is a configuration change that an operator proposed at this node and that waits for a verdict.
type configProposal struct {
	command   configsync.Command
	exchanges []int // links of the exchanges that wait for the verdict
	expiresAt int64
	retryAt   int64
}

// applyOperatorQuery answers an operator's query at once, except that a proposal waits for its verdict. In texts for operators the
// consensus group is the council and a replica is a seat, as in the settings.
func (sm *StateMachine) applyOperatorQuery(link int, q *configsync.Query) {
	var answer *configsync.Answer
	switch {
	case q.Kind == configsync.QueryStatus:
		answer = sm.statusAnswer()
	case q.Kind == configsync.QueryBlocks:
		answer = sm.configSync.blocksAnswer(q)
	case isProposal(q):
		if sm.addProposal(link, q.Command) {
			return
		}
		answer = &configsync.Answer{Why: "too many proposals are pending; try again"}
	default:
		answer = &configsync.Answer{Why: "it doesn't know this question; it may be of an older build"}
	}
	answer.Node = sm.fleet.selfName()
	sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &configMessage{Answer: answer})
}

// isProposal reports whether a query proposes a change of a kind that operators may propose.
func isProposal(q *configsync.Query) bool {
	if q.Kind != configsync.QueryPropose || q.Command == nil || q.Command.Caller == "" {
		return false
	}
	return q.Command.Kind == configsync.CommandPut || q.Command.Kind == configsync.CommandRollback
}

// blocksAnswer returns an answer with a bounded number of blocks of the content that a query asks for.
func (cs *configSyncState) blocksAnswer(q *configsync.Query) *configsync.Answer {
	answer := &configsync.Answer{Revision: cs.replicator.Revision()}
	content := cs.replicator.Content()
	if q.Which != configsync.ContentInForce {
		if cs.agreed == nil {
			answer.Why = "it has no seat in the council, or its seat knows nothing yet"
			return answer
		}
		switch q.Which {
		case configsync.ContentForAll:
			content = cs.agreed.All
			answer.Revision = cs.agreed.Head.All
		case configsync.ContentNewest:
			content = cs.agreed.Newest
			answer.Revision = newestRevision(cs.agreed)
		}
	}
	answer.Blocks, answer.Next = content.Blocks(q.From, maxAnswerBytes)
	return answer
}

// newestRevision returns the revision of the newest version that was agreed on.
func newestRevision(agreed *configsync.Agreed) configsync.Revision {
	return configsync.Revision{Version: agreed.Head.Newest, Digest: agreed.Newest.Digest()}
}

// statusAnswer returns an answer with the status of this node. If the node has a replica, the answer includes the statuses of other
// nodes that the replica knows.
func (sm *StateMachine) statusAnswer() *configsync.Answer {
	cs := &sm.configSync
	status := cs.replicator.Status(sm.now)
	answer := &configsync.Answer{Status: &status, Revision: status.Revision}
	for _, name := range sm.group.replicaNames() {
		address, _ := sm.fleet.addressOf(name)
		answer.Replicas = append(answer.Replicas, configsync.ReplicaAddress{Name: name, Address: address})
	}
	if cs.agreed == nil {
		return answer
	}
	nodes := cs.replicator.Statuses.Statuses()
	for k := range nodes {
		nodes[k].At = sm.now - nodes[k].At // as an age: the operator has another clock; nodes is a copy
	}
	answer.ReplicaStatus = &configsync.ReplicaStatus{Head: cs.agreed.Head, Newest: newestRevision(cs.agreed), RollbackVersions: sm.group.rollbackVersions(), Nodes: nodes,
		Alive: sm.Members().InView()}
	return answer
}

// validateConfigCommand returns the reason why this node's replica must not propose a change, empty if it may. It makes the checks that are
// the same for every node; a node that can't apply a valid change refuses it in the canary stage. Whether operations remain is checked only
// for a whole change that is based on the newest version, since otherwise the resulting content is not known here.
func (sm *StateMachine) validateConfigCommand(command *configsync.Command) string {
	if _, err := nodeconfig.Parse(nodeconfigItems(command.Changes)); err != nil {
		return err.Error()
	}
	agreed := sm.configSync.agreed
	if agreed == nil || command.MorePieces || command.Piece > 0 || command.Base != agreed.Head.Newest {
		return ""
	}
	if operationCountAfter(agreed.Newest, command.Changes) < 1 {
		return "no operation would be left; put a whole file first, or add one before the last is removed"
	}
	return ""
}

// operationCountAfter returns the number of operations that a content has after changes.
func operationCountAfter(content *configsync.Content, changes []configsync.Item) int {
	count := content.Len(configsync.Operations)
	for _, c := range changes {
		if c.Part != configsync.Operations {
			continue
		}
		known := content.Get(c.Part, c.Name) != nil
		removed := len(c.Value) == 0
		switch {
		case known && removed:
			count--
		case !known && !removed:
			count++
		}
	}
	return count
}

// findProposal returns the pending proposal with a sender and a sequence number, nil if there is none.
func (cs *configSyncState) findProposal(from string, seq uint64) *configProposal {
	for _, p := range cs.proposals {
		if p.command.Caller == from && p.command.Seq == seq {
			return p
		}
	}
	return nil
}

// addProposal makes a proposal wait for its verdict. It returns false if too many proposals are pending.
func (sm *StateMachine) addProposal(link int, command *configsync.Command) bool {
	cs := &sm.configSync
	p := cs.findProposal(command.Caller, command.Seq)
	if p == nil {
		if len(cs.proposals) >= maxPendingProposals {
			return false
		}
		p = &configProposal{command: *command, retryAt: sm.now}
		cs.proposals = append(cs.proposals, p)
	}
	p.exchanges = append(p.exchanges, link)
	p.expiresAt = sm.now + proposalTimeout
	return true
}

// addVerdicts queues verdicts of the consensus group for the next step.
func (cs *configSyncState) addVerdicts(list []configsync.Verdict) {
	if cs.replicator != nil {
		cs.verdicts = append(cs.verdicts, list...)
	}
}

// stepProposals answers proposals that have a verdict or have timed out, and proposes the others again.
func (sm *StateMachine) stepProposals() {
	cs := &sm.configSync
	for k := range cs.verdicts {
		v := &cs.verdicts[k]
		if p := cs.findProposal(v.Caller, v.Seq); p != nil {
			sm.answerProposal(p, &configsync.Answer{Verdict: v})
		}
	}
	cs.verdicts = nil
	for _, p := range slices.Clone(cs.proposals) {
		switch {
		case sm.now >= p.expiresAt:
			sm.answerProposal(p, &configsync.Answer{Why: "no verdict of the council in time"})
		case sm.now >= p.retryAt:
			p.retryAt = sm.now + proposalRetryInterval
			sm.proposeToGroup(nil, nil, p.command) // no claims or leases; through another replica if this node has none
		}
	}
}

// answerProposal answers all exchanges that wait for a proposal, and drops the proposal.
func (sm *StateMachine) answerProposal(p *configProposal, answer *configsync.Answer) {
	answer.Node = sm.fleet.selfName()
	for _, link := range p.exchanges {
		sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &configMessage{Answer: answer})
	}
	cs := &sm.configSync
	cs.proposals = slices.DeleteFunc(cs.proposals, func(other *configProposal) bool { return other == p })
}

// proposalsDue returns the time at which the next proposal times out or is proposed again.
func (cs *configSyncState) proposalsDue() int64 {
	at := int64(math.MaxInt64)
	for _, p := range cs.proposals {
		at = min(at, p.expiresAt, p.retryAt)
	}
	return at
}
