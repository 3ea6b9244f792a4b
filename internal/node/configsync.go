package node

import (
	"slices"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/nodeconfig"
)

const (
	maxSearchesPerStep  = 8           // searches for changes in one step; each scans up to 128 kB of content, which together takes about 1 ms
	viewCheckInterval   = 100 * ms    // ns between checks whether the view of the fleet has changed
	viewRefreshInterval = 10_000 * ms // ns after which the replicator gets the view even if neither members nor neighbours changed
)

// VersionInForce describes a configuration version that came into force at this node.
type VersionInForce struct {
	ContentRevision         configsync.Revision
	PreviousVersion         uint64
	Source                  string // "fleet", or at startup "disk" or "file"
	Canary                  bool   // this node belongs to the version's canary stage
	Added, Changed, Removed int
	TookNS                  int64 // from the start of validation until it was in force
}

// ConfigSyncStatus is the state of configuration replication that a node shows to operators.
type ConfigSyncStatus struct {
	Version  uint64              `json:"version"`
	Digest   string              `json:"digest"`
	Source   string              `json:"source"`
	AgeNS    int64               `json:"age_ns"`           // since the version came into force here
	HeardNS  int64               `json:"seat_heard_ns"`    // since a replica last confirmed what is in force, -1 before the first
	Behind   bool                `json:"behind,omitempty"` // a newer version is in force for all nodes
	BehindNS int64               `json:"behind_ns,omitempty"`
	Refused  uint64              `json:"refused,omitempty"` // newest version that this node could not apply, 0 for none
	Why      string              `json:"why,omitempty"`     // reason for Refused
	Counters configsync.Counters `json:"counters"`
}

// pendingConfig is a version from the replicator that is being checked or brought into force; versions from the host go through
// versionState. A first pass over the changes validates them, a second one applies them.
type pendingConfig struct {
	revision        configsync.Revision
	canary          bool
	checkOnly       bool // validate the version without applying it
	startedAt       int64
	old             *configsync.Content
	new             *configsync.Content
	diff            *configsync.Difference
	validation      *nodeconfig.ChangeValidator // of the first pass, nil in the second
	versionProgress versionProgress
}

// configSyncState replicates the fleet's configuration to this node while it serves. Without a replicator it needs no timer and does
// no work.
type configSyncState struct {
	replicator     *configsync.Replicator
	inputs         []configsync.Input
	wakeAt         int64
	view           configsync.View
	viewHash       uint64
	viewCheckAt    int64
	viewRefreshAt  int64
	startupEffects []Effect // effects emitted before the first step, which returns them
	pending        *pendingConfig
	agreed         *configsync.Agreed // what this node's replica knows to be agreed: revisions in Head, contents beside it; nil without a replica
	replicaCurrent bool               // whether this node's replica is in contact with the group and up to date, as last reported to the replicator
	proposals      []*configProposal  // in order of arrival
	verdicts       []configsync.Verdict
}

// EnableConfigSync makes the node take operations, tenants and limits from the configuration that the fleet agrees on. It must be called
// after EnableConsensus and before the first step. An initial state that differs from the node's own file comes into force at once. On
// an error nothing is changed.
func (sm *StateMachine) EnableConfigSync(now, seed int64, initial configsync.InitialState, file *configsync.Content) error {
	v := versionProgress{number: initial.ContentRevision.Version}
	if !sm.hollow.enabled() {
		if err := sm.validateInitialConfig(initial, file); err != nil {
			return err
		}
		if err := sm.forEachChangeBatch(file, initial.Content, func(changes []nodeconfig.Change) { sm.applyChanges(&v, changes) }); err != nil {
			return err
		}
		if initial.ContentRevision.Version > 0 {
			sm.recordActiveVersion(&v)
		}
	}
	cs := &sm.configSync
	cs.replicator = configsync.NewReplicator(now, configsync.ReplicatorConfig{Name: sm.fleet.selfName(), Seed: seed}, initial)
	if initial.ContentRevision.Version == 0 && !sm.hollow.enabled() {
		sm.awaitConfig(now)
	}
	sm.group.setConfigValidator(sm.validateConfigCommand)
	sm.emit(Effect{Kind: ReportVersionInForce, InForce: &VersionInForce{ContentRevision: cs.replicator.Revision(), Source: initial.Source,
		Added: v.counts.added, Changed: v.counts.changed, Removed: v.counts.removed}})
	cs.startupEffects = slices.Clone(sm.effects)
	return nil
}

// validateInitialConfig checks that this node can apply the differences between the initial state and its own file.
func (sm *StateMachine) validateInitialConfig(initial configsync.InitialState, file *configsync.Content) error {
	validation := sm.config.NewChangeValidator()
	if err := sm.forEachChangeBatch(file, initial.Content, validation.Add); err != nil {
		return err
	}
	if initial.Content == file { // nothing changes
		return nil
	}
	return validation.Err()
}

// forEachChangeBatch calls do with the changes from one content to another, in batches. It stops with an error at the first change that
// can't be parsed, or that this node can't apply.
func (sm *StateMachine) forEachChangeBatch(from, to *configsync.Content, do func([]nodeconfig.Change)) error {
	diff := configsync.Diff(from, to)
	for {
		changes, err := sm.parseChanges(diff.Next(maxChangesPerStep))
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return nil
		}
		do(changes)
	}
}

// ConfigSyncStatus returns the status of configuration replication, nil where it is not enabled.
func (sm *StateMachine) ConfigSyncStatus() *ConfigSyncStatus {
	replicator := sm.configSync.replicator
	if replicator == nil {
		return nil
	}
	s := replicator.Status(sm.now)
	return &ConfigSyncStatus{Version: s.Revision.Version, Digest: s.Revision.Digest.String(), Source: s.Source, AgeNS: s.TakenNS, HeardNS: s.HeardNS,
		Behind: s.Behind, BehindNS: s.BehindNS, Refused: s.Refused.Version, Why: s.Why, Counters: s.Counters}
}

// parseChanges parses items as changes. It returns an error if this node can't apply one of them.
func (sm *StateMachine) parseChanges(items []configsync.Item) ([]nodeconfig.Change, error) {
	amendment, err := nodeconfig.Parse(nodeconfigItems(items))
	if err != nil {
		return nil, err
	}
	return amendment.Changes, sm.validateChanges(amendment.Changes)
}

// nodeconfigItems converts items of configuration replication to those of nodeconfig.
func nodeconfigItems(items []configsync.Item) []nodeconfig.Item {
	list := make([]nodeconfig.Item, len(items))
	for i := range items {
		list[i] = nodeconfig.Item(items[i])
	}
	return list
}

// configPersisted tells the replicator that its write to disk has finished or failed.
func (sm *StateMachine) configPersisted(in *Input) {
	next := configsync.Input{Kind: configsync.VersionPersisted}
	if in.Err != nil {
		next.Why = in.Err.Error()
	}
	sm.configSync.inputs = append(sm.configSync.inputs, next)
}

// startPendingConfig begins to validate the version of an effect, and then to apply it if the effect is ApplyVersion.
func (sm *StateMachine) startPendingConfig(e *configsync.Effect) {
	pending := &pendingConfig{revision: e.Revision, canary: e.Canary, checkOnly: e.Kind == configsync.CheckVersion, startedAt: sm.now, old: e.Old, new: e.New,
		diff: configsync.Diff(e.Old, e.New), validation: sm.config.NewChangeValidator(), versionProgress: versionProgress{number: e.Revision.Version}}
	if sm.hollow.enabled() { // a hollow node has no admission controller, so any version can be applied
		sm.finishPendingConfig(pending, nil)
		return
	}
	sm.configSync.pending = pending
}

// applyPendingConfig validates or applies a bounded part of the pending version. It runs before the admission controller decides. A
// pass ends when the diff has no further items.
func (sm *StateMachine) applyPendingConfig() {
	cs := &sm.configSync
	for budget := maxChangesPerStep; cs.pending != nil && budget > 0; {
		p := cs.pending
		items := p.diff.Next(budget)
		budget -= max(len(items), maxChangesPerStep/maxSearchesPerStep) // scattered changes come in small batches, each of which costs a search
		changes, err := sm.parseChanges(items)
		switch {
		case p.validation == nil: // second pass
			sm.applyPendingChanges(p, changes, err)
		case err == nil && len(items) > 0: // first pass
			p.validation.Add(changes)
		case err == nil: // end of the first pass
			if err = p.validation.Err(); err == nil && !p.checkOnly {
				p.startApplying()
				continue
			}
		}
		if err != nil || len(items) == 0 {
			sm.finishPendingConfig(p, err)
		}
	}
}

// startApplying starts the second pass.
func (p *pendingConfig) startApplying() {
	p.validation = nil
	p.diff = configsync.Diff(p.old, p.new)
}

// applyPendingChanges applies one batch of changes in the second pass. An error violates an invariant, as the first pass found none; the
// caller then reports the version as refused.
func (sm *StateMachine) applyPendingChanges(p *pendingConfig, changes []nodeconfig.Change, err error) {
	if !sm.Invariants.Check(err == nil, "a version that was validated can be applied") {
		return
	}
	sm.applyChanges(&p.versionProgress, changes)
}

// finishPendingConfig reports to the replicator that the pending version is checked or in force. With an error it reports that this node
// can't apply the version.
func (sm *StateMachine) finishPendingConfig(p *pendingConfig, err error) {
	cs := &sm.configSync
	cs.pending = nil
	next := configsync.Input{Kind: configsync.VersionApplied, Revision: p.revision}
	if p.checkOnly {
		next.Kind = configsync.VersionChecked
	}
	if err != nil {
		sm.Counters.VersionsRefused++
		next.Why = err.Error()
	} else if !p.checkOnly {
		sm.recordActiveVersion(&p.versionProgress)
		counts := &p.versionProgress.counts
		sm.emit(Effect{Kind: ReportVersionInForce, InForce: &VersionInForce{ContentRevision: p.revision, PreviousVersion: cs.replicator.Revision().Version, Source: "fleet",
			Canary: p.canary, Added: counts.added, Changed: counts.changed, Removed: counts.removed, TookNS: sm.now - p.startedAt}})
	}
	cs.inputs = append(cs.inputs, next)
}

// stepConfigSync steps the replicator if it has inputs or its timer is due, then the proposals of operators.
func (sm *StateMachine) stepConfigSync() {
	cs := &sm.configSync
	if cs.replicator == nil {
		return
	}
	sm.effects = append(sm.effects, cs.startupEffects...)
	cs.startupEffects = nil
	sm.observeReplica()
	sm.observeFleet()
	for round := 0; round < maxRoundsPerStep && (len(cs.inputs) > 0 || round == 0 && sm.now >= cs.wakeAt); round++ {
		inputs := cs.inputs
		cs.inputs = nil
		var effects []configsync.Effect
		effects, cs.wakeAt = cs.replicator.Step(sm.now, inputs)
		for k := range effects {
			sm.executeConfigEffect(&effects[k])
		}
	}
	sm.stepProposals()
}

// observeReplica reports changes at this node's replica of the consensus group to the replicator.
func (sm *StateMachine) observeReplica() {
	cs := &sm.configSync
	if agreed, changed := sm.group.agreedConfig(); changed {
		cs.agreed = agreed
		cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.AgreementChanged, Agreed: agreed})
	}
	if current, has := sm.group.replicaIsCurrent(); has && current != cs.replicaCurrent {
		cs.replicaCurrent = current
		cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.ReplicaContactChanged, ReplicaCurrent: current})
	}
}

// observeFleet reports neighbours, members of the zone and other replicas to the replicator, if the members or the neighbours changed or
// viewRefreshInterval has passed. A change of the replicas alone is reported with the next refresh.
func (sm *StateMachine) observeFleet() {
	cs := &sm.configSync
	if sm.now < cs.viewCheckAt {
		return
	}
	cs.viewCheckAt = sm.now + viewCheckInterval
	members := sm.Members()
	hash, _ := members.ViewHash()
	neighbours := members.LinkedMembers()
	if hash == cs.viewHash && slices.Equal(neighbours, cs.view.Neighbours) && sm.now < cs.viewRefreshAt {
		return
	}
	cs.viewHash = hash
	cs.viewRefreshAt = sm.now + viewRefreshInterval
	self := sm.fleet.selfName()
	others := slices.DeleteFunc(slices.Clone(sm.group.replicaNames()), func(name string) bool { return name == self })
	cs.view = configsync.View{Neighbours: neighbours, Zone: members.InZone(), Replicas: others}
	view := cs.view
	cs.inputs = append(cs.inputs, configsync.Input{Kind: configsync.ViewChanged, View: &view})
}

// executeConfigEffect executes an effect of the replicator.
func (sm *StateMachine) executeConfigEffect(e *configsync.Effect) {
	switch e.Kind {
	case configsync.Send:
		sm.sendConfigMessage(e.To, e.Message)
	case configsync.Exchange:
		sm.openConfigExchange(e)
	case configsync.Reply:
		sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: e.Link}, &configMessage{Message: e.Message})
	case configsync.ApplyVersion, configsync.CheckVersion:
		sm.startPendingConfig(e)
	case configsync.PersistVersion:
		persisting := *e
		sm.emit(Effect{Kind: PersistVersion, ConfigWrite: &persisting})
	case configsync.ProposeCommand:
		sm.group.proposeConfig(e.Command) // only a replica's own replicator proposes commands, so it needs no other replica
	case configsync.WriteLog:
		sm.logComponent(e.Warn, e.Text)
	}
}

// configSyncDue returns the time of the next step that the replicator or a proposal needs.
func (sm *StateMachine) configSyncDue() int64 {
	cs := &sm.configSync
	if cs.replicator == nil {
		return never
	}
	if cs.pending != nil || len(cs.inputs)+len(cs.verdicts) > 0 {
		return sm.now + 1
	}
	return max(min(cs.proposalsDue(), cs.wakeAt), sm.now+1)
}
