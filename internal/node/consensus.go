package node

import (
	"slices"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/quota"
)

const (
	groupViewInterval = 100 * ms // ns between looks at the view for the replica
	replicaTimeout    = 200 * ms // ns without an answer after which commands go to another replica
	maxClaimsShown    = 500      // claims in one summary
)

// EnableConsensus has tokens claimed from a consensus group, before the first step and after JoinFleet and EnableResultCache; replicas
// are the names of the nodes that have one. With maxTableBytes the group's table is bounded so.
func (sm *StateMachine) EnableConsensus(replicas []string, maxTableBytes, now, seed int64) {
	self := sm.Members().Self()
	cs := &sm.claiming
	*cs = claimState{self: claims.Owner{Name: self.Name, Incarnation: uint64(self.StartedAt)}, replicas: slices.Sorted(slices.Values(replicas)),
		streams: map[string]int{}}
	if sm.results.enabled() || sm.hollow.takesClaims() {
		cs.client = claims.NewClient(cs.self)
	}
	cs.targetReplica = slices.Index(cs.replicas, self.Name)
	if cs.targetReplica < 0 {
		cs.targetReplica = int(uint64(seed) % uint64(len(cs.replicas)))
		return
	}
	cs.replica = consensus.NewGroup(cs.replicas, self.Name, cs.self.Incarnation, now, seed)
	cs.replica.SetMaxTableBytes(maxTableBytes)
}

// HasReplica says whether this node has a replica of the consensus group.
func (sm *StateMachine) HasReplica() bool { return sm.claiming.replica != nil }

// RecoverReplica has the replica go on from what a disk holds, and persist there what it must not forget, before the first step.
func (sm *StateMachine) RecoverReplica(now int64, contents consensus.DiskContents) error {
	return sm.claiming.replica.Recover(now, contents)
}

// setLimits has the replica, where there is one, define limits while it leads.
func (cs *claimState) setLimits(limits []quota.Command) {
	if cs.replica != nil {
		cs.replica.SetLimits(limits)
	}
}

// setConfigValidator has the replica, where there is one, validate commands for the configuration.
func (cs *claimState) setConfigValidator(validate func(*configsync.Command) string) {
	if cs.replica != nil {
		cs.replica.SetConfigValidator(validate)
	}
}

// replicaNames are the nodes that have a replica.
func (cs *claimState) replicaNames() []string { return cs.replicas }

// replicaIsCurrent says whether this node has a replica, and whether that is up to date.
func (cs *claimState) replicaIsCurrent() (current, has bool) {
	if cs.replica == nil {
		return false, false
	}
	return cs.replica.IsCurrent(), true
}

// rollbackVersions are the versions of the configuration that the replica can go back to.
func (cs *claimState) rollbackVersions() []uint64 { return cs.replica.RollbackVersions() }

// agreedConfig is what the replica knows to be agreed on of the configuration, where that changed since the last call.
func (cs *claimState) agreedConfig() (agreed *configsync.Agreed, changed bool) {
	if cs.replica == nil {
		return nil, false
	}
	return cs.replica.AgreedConfig()
}

// proposeConfig has the replica, where there is one, order what this node itself wants ordered.
func (cs *claimState) proposeConfig(command *configsync.Command) {
	if cs.replica != nil {
		cs.replicaInputs = append(cs.replicaInputs, consensus.Input{Proposed: []configsync.Command{*command}})
	}
}

// replicaWritePersisted reports to the replica that its writes up to a number are on disk, or that the disk failed.
func (cs *claimState) replicaWritePersisted(number uint64, err error) {
	cs.replicaInputs = append(cs.replicaInputs, consensus.Input{Persisted: number, Err: err})
}

// forgetStream forgets a stream.
func (cs *claimState) forgetStream(link int) {
	for name, stream := range cs.streams {
		if stream == link {
			delete(cs.streams, name)
		}
	}
}

// recordAnswer records that commands were answered, and goes on sending them to the leader.
func (cs *claimState) recordAnswer(leader string) {
	cs.unansweredSince = 0
	if at := slices.Index(cs.replicas, leader); at >= 0 && cs.replica == nil {
		cs.targetReplica = at
	}
}

// rotateTargetReplica sends commands to the next replica once the present one owes an answer for too long.
func (cs *claimState) rotateTargetReplica(now int64) {
	switch {
	case cs.unansweredSince == 0:
		cs.unansweredSince = now
	case now-cs.unansweredSince >= replicaTimeout:
		cs.targetReplica = (cs.targetReplica + 1) % len(cs.replicas)
		cs.unansweredSince = now
	}
}

// applyStreamMessage applies a message that came on a stream, or the stream's end.
func (sm *StateMachine) applyStreamMessage(in *Input) {
	cs := &sm.claiming
	if in.Kind == PeerStreamClosed {
		cs.forgetStream(in.Link)
		return
	}
	m := new(consensus.Message)
	if err := sm.fleet.open(in.Bytes, m); err != nil {
		sm.rejectPeerMessage(in, err)
		sm.emit(Effect{Kind: CloseStream, Link: in.Link}) // where its messages begin is not known any more
		return
	}
	if cs.self.Name == "" {
		return
	}
	cs.streams[m.From] = in.Link
	sm.applyGroupMessage(m)
}

// applyGroupMessage applies a message of a replica or a node, this one's own included.
func (sm *StateMachine) applyGroupMessage(m *consensus.Message) {
	cs := &sm.claiming
	switch m.Kind {
	case consensus.MessageVerdicts, consensus.MessageClaimsEnded, consensus.MessageReassignment:
		if m.Owner == cs.self { // else it is for an earlier incarnation
			sm.applyVerdicts(m)
		}
	default:
		if cs.replica != nil {
			cs.replicaInputs = append(cs.replicaInputs, consensus.Input{Message: m})
		}
	}
}

// applyVerdicts applies what the group decided for this node.
func (sm *StateMachine) applyVerdicts(m *consensus.Message) {
	if m.Kind == consensus.MessageVerdicts {
		sm.claiming.recordAnswer(m.Leader)
	}
	sm.leases.addVerdicts(m.Grants)
	sm.configSync.addVerdicts(m.Decided)
	for k := range m.Verdicts {
		sm.addClaimInput(claims.Input{Kind: claims.VerdictReceived, Verdict: m.Verdicts[k]})
	}
	for _, key := range m.Keys {
		sm.addClaimInput(claims.Input{Kind: claims.EndNotified, Key: key})
	}
	if e := m.Entry; e != nil {
		sm.addClaimInput(claims.Input{Kind: claims.ClaimAssigned, Key: e.Key, BodyHash: e.BodyHash, Remaining: m.Remaining, Window: e.Window, Work: e.Work,
			InvocationID: e.InvocationID, Fence: e.Fence})
	}
}

func (sm *StateMachine) stepReplica() {
	cs := &sm.claiming
	if sm.now >= cs.nextViewAt {
		cs.nextViewAt = sm.now + groupViewInterval
		cs.replicaInputs = append(cs.replicaInputs, consensus.Input{View: sm.takeoverMembers()})
	}
	inputs := cs.replicaInputs
	cs.replicaInputs = nil
	var effects []consensus.Effect
	effects, cs.replicaStepAt = cs.replica.Step(sm.now, inputs)
	for k := range effects {
		e := &effects[k]
		switch e.Kind {
		case consensus.Send:
			sm.sendGroupMessage(e.To, &e.Message)
		case consensus.Persist:
			sm.emit(Effect{Kind: PersistReplicaWrite, Write: e.Write})
		case consensus.WriteLog:
			sm.logComponent(e.Warn, e.Text)
		}
	}
}

// sendGroupMessage sends a message on the stream that a node last sent on, else to its address.
func (sm *StateMachine) sendGroupMessage(to string, m *consensus.Message) {
	cs := &sm.claiming
	if to == cs.self.Name {
		own := *m
		sm.applyGroupMessage(&own)
		return
	}
	address, known := sm.fleet.addressOf(to)
	stream := cs.streams[to]
	if stream != 0 || known {
		sm.sendEnvelope(Effect{Kind: SendOnStream, Link: stream, Address: address}, m)
	}
}

// proposeToGroup sends commands and requests for leases to a replica: this node's own while it knows a leader, else the one that
// answered last, and another one where that is silent.
func (sm *StateMachine) proposeToGroup(commands []claims.Command, leases []quota.Command, proposed ...configsync.Command) {
	cs := &sm.claiming
	cs.rotateTargetReplica(sm.now)
	if cs.replica != nil && cs.replica.Leader() != "" {
		cs.replicaInputs = append(cs.replicaInputs, consensus.Input{Claims: slices.Clone(commands), Leases: leases, Proposed: proposed, Owner: cs.self})
		return
	}
	if to := cs.replicas[cs.targetReplica]; to != cs.self.Name {
		sm.sendGroupMessage(to, &consensus.Message{Kind: consensus.MessagePropose, From: cs.self.Name, Owner: cs.self, Commands: commands, Leases: leases,
			Proposed: proposed})
	}
}
