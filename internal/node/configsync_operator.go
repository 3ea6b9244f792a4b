package node

import (
	"math"
	"slices"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/nodeconfig"
)

const (
	maxPendingProposals   = 8          // proposals of operators that wait for the consensus group, of up to 512 kB each
	proposalTimeout       = 1_600 * ms // ns that a proposal waits: its exchange ends after 2 s, and then the command asks again
	proposalRetryInterval = 400 * ms   // ns between attempts to have it ordered
	maxAnswerBytes        = 384 << 10  // bytes of blocks in one answer to an operator: an exchange carries 512 kB
)

// configProposal is a change of the configuration that an operator proposed here.
type configProposal struct {
	command   configsync.Command
	exchanges []int // links that wait for its verdict
	expiresAt int64
	retryAt   int64
}

// applyOperatorQuery answers a command, or has its proposal wait for a verdict.
func (sm *StateMachine) applyOperatorQuery(link int, q *configsync.Query) {
	var a *configsync.Answer
	switch {
	case q.Kind == configsync.QueryStatus:
		a = sm.statusAnswer()
	case q.Kind == configsync.QueryBlocks:
		a = sm.configSync.blocksAnswer(q)
	case isProposal(q):
		if sm.addProposal(link, q.Command) {
			return
		}
		a = &configsync.Answer{Why: "too many orders wait here"}
	default:
		a = &configsync.Answer{Why: "it doesn't know this question; it may be of an older build"}
	}
	a.Node = sm.fleet.selfName()
	sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &configMessage{Answer: a})
}

// isProposal says whether a query proposes a change that can be ordered.
func isProposal(q *configsync.Query) bool {
	if q.Kind != configsync.QueryPropose || q.Command == nil || q.Command.From == "" {
		return false
	}
	return q.Command.Kind == configsync.CommandPut || q.Command.Kind == configsync.CommandRollback
}

// blocksAnswer are some of the blocksAnswer of a version's content.
func (cs *configSyncState) blocksAnswer(q *configsync.Query) *configsync.Answer {
	a := &configsync.Answer{Revision: cs.replicator.Revision()}
	content := cs.replicator.Content()
	if q.Which != configsync.ContentInForce {
		if cs.agreed == nil {
			a.Why = "it has no seat in the council, or its seat knows nothing yet"
			return a
		}
		switch q.Which {
		case configsync.ContentForAll:
			content = cs.agreed.All
			a.Revision = cs.agreed.Head.All
		case configsync.ContentNewest:
			content = cs.agreed.Newest
			a.Revision = newestRevision(cs.agreed)
		}
	}
	a.Blocks, a.Next = content.Blocks(q.From, maxAnswerBytes)
	return a
}

// newestRevision is that of the newest version that was agreed on.
func newestRevision(agreed *configsync.Agreed) configsync.Revision {
	return configsync.Revision{Version: agreed.Head.Newest, Digest: agreed.Newest.Digest()}
}

// statusAnswer is the status of this node, and where it has a replica what that knows of others.
func (sm *StateMachine) statusAnswer() *configsync.Answer {
	cs := &sm.configSync
	status := cs.replicator.Status(sm.now)
	a := &configsync.Answer{Status: &status, Revision: status.Revision}
	for _, name := range sm.claiming.replicaNames() {
		address, _ := sm.fleet.addressOf(name)
		a.Replicas = append(a.Replicas, configsync.ReplicaAddress{Name: name, Address: address})
	}
	if cs.agreed == nil {
		return a
	}
	nodes := cs.replicator.Statuses.Statuses()
	for k := range nodes {
		nodes[k].At = sm.now - nodes[k].At
	}
	a.ReplicaStatus = &configsync.ReplicaStatus{Head: cs.agreed.Head, Newest: newestRevision(cs.agreed), RollbackVersions: sm.claiming.rollbackVersions(), Nodes: nodes,
		Alive: sm.Members().InView()}
	return a
}

// validateConfigCommand gives the reason why a change must not be ordered, as a check of a file would; empty where it may. What only
// some nodes can't apply they refuse themselves, at the first stage.
func (sm *StateMachine) validateConfigCommand(command *configsync.Command) string {
	if _, err := nodeconfig.Parse(nodeconfigItems(command.Changes)); err != nil {
		return err.Error()
	}
	agreed := sm.configSync.agreed
	if agreed == nil || command.More || command.Piece > 0 || command.Base != agreed.Head.Newest {
		return ""
	}
	if operationCountAfter(agreed.Newest, command.Changes) < 1 {
		return "no operation would be left; put a whole file first, or add one before the last is removed"
	}
	return ""
}

// operationCountAfter is how many operations a content has after changes.
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

// findProposal finds one that waits, nil where there is none.
func (cs *configSyncState) findProposal(from string, seq uint64) *configProposal {
	for _, p := range cs.proposals {
		if p.command.From == from && p.command.Seq == seq {
			return p
		}
	}
	return nil
}

// addProposal has a proposal wait for its verdict, false where too many do.
func (sm *StateMachine) addProposal(link int, command *configsync.Command) bool {
	cs := &sm.configSync
	p := cs.findProposal(command.From, command.Seq)
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

// addVerdicts queues verdicts of the consensus group.
func (cs *configSyncState) addVerdicts(list []configsync.Verdict) {
	if cs.replicator != nil {
		cs.verdicts = append(cs.verdicts, list...)
	}
}

// stepProposals answers proposals that have a verdict or waited for too long, and proposes others again.
func (sm *StateMachine) stepProposals() {
	cs := &sm.configSync
	for k := range cs.verdicts {
		v := &cs.verdicts[k]
		if p := cs.findProposal(v.From, v.Seq); p != nil {
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
			sm.proposeToGroup(nil, nil, p.command)
		}
	}
}

func (sm *StateMachine) answerProposal(p *configProposal, a *configsync.Answer) {
	a.Node = sm.fleet.selfName()
	for _, link := range p.exchanges {
		sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &configMessage{Answer: a})
	}
	cs := &sm.configSync
	cs.proposals = slices.DeleteFunc(cs.proposals, func(other *configProposal) bool { return other == p })
}

// proposalsDue is when a proposal is to be answered or proposed again.
func (cs *configSyncState) proposalsDue() int64 {
	at := int64(math.MaxInt64)
	for _, p := range cs.proposals {
		at = min(at, p.expiresAt, p.retryAt)
	}
	return at
}
