package node

import (
	"slices"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/quota"
)

const (
	groupViewInterval = 100 * ms // ns between views of the fleet that the replica is given
	replicaTimeout    = 200 * ms // ns without an answer after which commands are sent to the next replica
	maxClaimsShown    = 500      // claims listed in one summary
)

// EnableConsensus makes the node claim tokens from a consensus group. It must be called before the first step, and after
// JoinFleet. replicas names the nodes that have a replica of the group. maxTableBytes bounds the table of claims while this
// node's replica leads, 0 for the default.
func (sm *StateMachine) EnableConsensus(replicas []string, maxTableBytes, now, seed int64) {
	self := sm.Members().Self()
	cs := &sm.group
	*cs = groupState{self: claims.Owner{Name: self.Name, Incarnation: uint64(self.StartedAt)}, replicas: slices.Sorted(slices.Values(replicas)),
		streams: map[string]int{}}
	sm.startClaimsClient()
	cs.targetReplica = slices.Index(cs.replicas, self.Name)
	if cs.targetReplica < 0 {
		cs.targetReplica = int(uint64(seed) % uint64(len(cs.replicas)))
		return
	}
	cs.replica = consensus.NewReplica(cs.replicas, self.Name, cs.self.Incarnation, now, seed)
	cs.replica.SetMaxTableBytes(maxTableBytes)
}

// startClaimsClient creates the claims client of a node that takes tokens and has a consensus group to claim them from, unless it exists.
func (sm *StateMachine) startClaimsClient() {
	cs := &sm.group
	takesTokens := sm.results.enabled() || sm.hollow.takesClaims()
	if takesTokens && len(cs.replicas) > 0 && cs.client == nil {
		cs.client = claims.NewClient(cs.self)
	}
}

// HasReplica reports whether this node has a replica of the consensus group.
func (sm *StateMachine) HasReplica() bool { return sm.group.replica != nil }

// RecoverReplica restores the replica from the contents of its disk, and makes it persist its state there from now on. It must be
// called before the first step.
func (sm *StateMachine) RecoverReplica(now int64, contents consensus.DiskContents) error {
	return sm.group.replica.Recover(now, contents)
}

// setLimits makes this node's replica, if it has one, define limits while the replica leads.
func (cs *groupState) setLimits(limits []quota.Command) {
	if cs.replica != nil {
		cs.replica.SetLimits(limits)
	}
}

// setConfigValidator makes this node's replica, if it has one, validate commands that change the configuration.
func (cs *groupState) setConfigValidator(validate func(*configsync.Command) string) {
	if cs.replica != nil {
		cs.replica.SetConfigValidator(validate)
	}
}

// replicaNames returns the names of the nodes that have a replica.
func (cs *groupState) replicaNames() []string { return cs.replicas }

// replicaIsCurrent reports whether this node has a replica, and whether that replica is up to date.
func (cs *groupState) replicaIsCurrent() (current, has bool) {
	if cs.replica == nil {
		return false, false
	}
	return cs.replica.IsCurrent(), true
}

// rollbackVersions returns the versions of the configuration that the replica can roll back to.
func (cs *groupState) rollbackVersions() []uint64 { return cs.replica.RollbackVersions() }

// agreedConfig returns the state of the configuration that the replica knows to be committed, and whether it has changed since the last
// call.
func (cs *groupState) agreedConfig() (agreed *configsync.Agreed, changed bool) {
	if cs.replica == nil {
		return nil, false
	}
	return cs.replica.AgreedConfig()
}

// proposeConfig proposes a command of this node to the consensus group through this node's replica, if it has one.
func (cs *groupState) proposeConfig(command *configsync.Command) {
	if cs.replica != nil {
		cs.replicaInputs = append(cs.replicaInputs, consensus.Input{ConfigCommands: []configsync.Command{*command}})
	}
}

// replicaWritePersisted tells the replica that its writes up to a number are on disk, or that the disk failed.
func (cs *groupState) replicaWritePersisted(number uint64, err error) {
	cs.replicaInputs = append(cs.replicaInputs, consensus.Input{Persisted: number, DiskErr: err})
}

// forgetStream forgets a stream that has closed, so that nothing more is sent on it.
func (cs *groupState) forgetStream(link int) {
	for name, stream := range cs.streams {
		if stream == link {
			delete(cs.streams, name)
		}
	}
}

// recordAnswer records that the group answered commands. A node without a replica sends its next commands to the leader.
func (cs *groupState) recordAnswer(leader string) {
	cs.unansweredSince = 0
	if at := slices.Index(cs.replicas, leader); at >= 0 && cs.replica == nil {
		cs.targetReplica = at
	}
}

// rotateTargetReplica is called before commands are sent. It makes the next replica the target if commands have gone unanswered for
// replicaTimeout, whichever replica they were sent to.
func (cs *groupState) rotateTargetReplica(now int64) {
	switch {
	case cs.unansweredSince == 0:
		cs.unansweredSince = now
	case now-cs.unansweredSince >= replicaTimeout:
		cs.targetReplica = (cs.targetReplica + 1) % len(cs.replicas)
		cs.unansweredSince = now
	}
}

// applyStreamMessage handles a message that came on a stream, or the end of the stream.
func (sm *StateMachine) applyStreamMessage(in *Input) {
	cs := &sm.group
	if in.Kind == PeerStreamClosed {
		cs.forgetStream(in.Link)
		return
	}
	m := new(consensus.Message)
	if err := sm.fleet.open(in.Bytes, m); err != nil {
		sm.rejectPeerMessage(in, err)
		sm.emit(Effect{Kind: CloseStream, Link: in.Link}) // its message boundaries are no longer known
		return
	}
	if cs.self.Name == "" { // this node takes no part in a consensus group
		return
	}
	cs.streams[m.From] = in.Link
	sm.applyGroupMessage(m)
}

// applyGroupMessage handles a message of the consensus group's protocol, which this node may have sent to itself.
func (sm *StateMachine) applyGroupMessage(m *consensus.Message) {
	cs := &sm.group
	switch m.Kind {
	case consensus.MessageVerdicts, consensus.MessageClaimsEnded, consensus.MessageReassignment:
		if m.Owner == cs.self { // otherwise it is for an earlier incarnation of this node
			sm.applyVerdicts(m)
		}
	default:
		if cs.replica != nil {
			cs.replicaInputs = append(cs.replicaInputs, consensus.Input{Message: m})
		}
	}
}

// applyVerdicts passes what the group decided for this node to the claims client, the lease holder and the configuration.
func (sm *StateMachine) applyVerdicts(m *consensus.Message) {
	if m.Kind == consensus.MessageVerdicts {
		sm.group.recordAnswer(m.Leader)
	}
	sm.leases.addLeaseVerdicts(m.LeaseVerdicts)
	sm.configSync.addVerdicts(m.ConfigVerdicts)
	for k := range m.ClaimVerdicts {
		sm.addClaimInput(claims.Input{Kind: claims.VerdictReceived, Verdict: m.ClaimVerdicts[k]})
	}
	for _, key := range m.Keys {
		sm.addClaimInput(claims.Input{Kind: claims.EndNotified, Key: key})
	}
	if e := m.Claim; e != nil {
		sm.addClaimInput(claims.Input{Kind: claims.ClaimAssigned, Key: e.Key, BodyHash: e.BodyHash, Remaining: m.Remaining, Retention: e.Retention, Work: e.Work,
			InvocationID: e.InvocationID, Fence: e.Fence})
	}
}

// stepReplica steps this node's replica, and emits its effects.
func (sm *StateMachine) stepReplica() {
	cs := &sm.group
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
			sm.emit(Effect{Kind: PersistReplicaWrite, ReplicaWrite: e.Write})
		case consensus.WriteLog:
			sm.logComponent(e.Warn, e.Text)
		}
	}
}

// sendGroupMessage sends a message to a node: on the stream that the node last sent on, or if there is none, to its address.
func (sm *StateMachine) sendGroupMessage(to string, m *consensus.Message) {
	cs := &sm.group
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

// proposeToGroup sends commands and requests for leases to the consensus group: to this node's own replica while that knows a leader,
// otherwise to the target replica. If the target is this node itself, they are dropped. The claims client and the lease holder repeat
// what is not answered.
func (sm *StateMachine) proposeToGroup(commands []claims.Command, leases []quota.Command, proposed ...configsync.Command) {
	cs := &sm.group
	cs.rotateTargetReplica(sm.now)
	if cs.replica != nil && cs.replica.Leader() != "" {
		cs.replicaInputs = append(cs.replicaInputs, consensus.Input{ClaimCommands: slices.Clone(commands), LeaseCommands: leases, ConfigCommands: proposed, Owner: cs.self})
		return
	}
	if to := cs.replicas[cs.targetReplica]; to != cs.self.Name {
		sm.sendGroupMessage(to, &consensus.Message{Kind: consensus.MessagePropose, From: cs.self.Name, Owner: cs.self, ClaimCommands: commands, LeaseCommands: leases,
			ConfigCommands: proposed})
	}
}
