package node

import (
	"fmt"
	"math"
	"slices"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/nodeconfig"
)

const (
	configLinkOffset      = 1 << 32     // added to the numbers of its exchanges, so that they are told from membership's
	maxPendingProposals   = 8           // orders of operators that wait for the council, of up to 512 kB; more are told to ask again
	proposalTimeout       = 1_600 * ms  // ns that one waits here: its exchange ends after 2 s, and then it is asked again
	proposalRetryInterval = 400 * ms    // ns to the next try at having it ordered
	maxAnswerBytes        = 384 << 10   // of blocks in one answer to an operator: an exchange carries 512 kB
	maxSearchesPerStep    = 8           // looks for changes in one step, each through 128 kB: a millisecond in all
	viewCheckInterval     = 100 * ms    // ns between looks at the view
	viewRefreshInterval   = 10_000 * ms // ns after which the view is told again whether or not it seems to have changed
)

// configMessage is what nodes, and operators' commands, tell each other of the configuration.
type configMessage struct {
	From     string              `cbor:"1,keyasint,omitempty"`
	Message  *configsync.Message `cbor:"2,keyasint,omitempty"` // between holders
	Question *configsync.Query   `cbor:"3,keyasint,omitempty"` // of a command
	Answer   *configsync.Answer  `cbor:"4,keyasint,omitempty"` // to it
}

// body is a letter of it, without anything of membership's.
type configMessageBody struct {
	Configuration *configMessage `cbor:"10,keyasint"`
}

// EncodeConfigQuery is the body of a letter by which a command asks, OpenConfiguration reads the answer.
func EncodeConfigQuery(q *configsync.Query) any {
	return configMessageBody{&configMessage{Question: q}}
}

// DecodeConfigAnswer reads the answer to a question.
func DecodeConfigAnswer(text []byte, fleet envelope.Fleet) (*configsync.Answer, error) {
	var body configMessageBody
	if err := envelope.Open(text, fleet, &body); err != nil {
		return nil, err
	}
	if body.Configuration == nil || body.Configuration.Answer == nil {
		return nil, envelope.ErrBody
	}
	return body.Configuration.Answer, nil
}

// VersionInForce is a version that came into force at this node.
type VersionInForce struct {
	Mark                    configsync.Revision
	After                   uint64 // the version before it
	Source                  string // fleet; at a start disk or file
	First                   bool   // as one of the first stage
	Added, Changed, Removed int
	TookNS                  int64
}

// ConfigSyncState is what operators see of it.
type ConfigSyncState struct {
	Version  uint64              `json:"version"`
	Digest   string              `json:"digest"`
	Source   string              `json:"source"`
	AgeNS    int64               `json:"age_ns"`
	HeardNS  int64               `json:"seat_heard_ns"` // ago; -1 for never
	Behind   bool                `json:"behind,omitempty"`
	BehindNS int64               `json:"behind_ns,omitempty"`
	Refused  uint64              `json:"refused,omitempty"`
	Why      string              `json:"why,omitempty"`
	Counters configsync.Counters `json:"counters"`
}

// configProposal is one of an operator.
type configProposal struct {
	command            configsync.Command
	exchanges          []int // exchanges that wait for its verdict
	expiresAt, retryAt int64
}

// pendingConfig is a version on its way into force: all of it is checked in a first pass, and taken in a second.
type pendingConfig struct {
	mark       configsync.Revision
	canary     bool
	checkOnly  bool // it is checked, and not taken
	startedAt  int64
	old, new   *configsync.Content
	diff       *configsync.Difference
	validation *nodeconfig.Checking // nil in the second pass
	version    version
}

// configSyncState is the door to the fleet's configuration in service. Without a holder it is shut: no timer, no cost.
type configSyncState struct {
	replicator     *configsync.Replicator
	inputs         []configsync.Input
	wakeAt         int64
	view           configsync.View
	viewHash       uint64 // of the view
	viewCheckAt    int64
	viewRefreshAt  int64
	startupEffects []Effect // from before the first step
	pending        *pendingConfig
	agreed         *configsync.Agreed // of this node's seat
	replicaCurrent bool               // as the holder knows of that seat
	proposals      []*configProposal  // by when they came
	verdicts       []configsync.Verdict
}

// EnableConfigSync has operations, tenants and limits taken in service from what the fleet agrees on, before the first step and after
// Convene. It begins with what start holds; where that is not what the node's own file holds, it comes into force at once. On
// an error nothing is changed.
func (sm *StateMachine) EnableConfigSync(now, seed int64, start configsync.InitialState, file *configsync.Content) error {
	v := version{number: start.Mark.Version}
	if !sm.hollow.on {
		for _, take := range []bool{false, true} {
			checking := sm.config.Checking()
			for diff := configsync.Diff(file, start.Content); ; {
				changes, err := sm.changesOf(diff.Next(maxChangesPerStep))
				if err != nil {
					return err
				}
				if len(changes) == 0 {
					break
				}
				checking.Add(changes)
				for i := range changes {
					if take {
						sm.applyChange(&v, changes[i])
					}
				}
			}
			if err := checking.Err(); !take && start.Content != file && err != nil {
				return err
			}
		}
		if start.Mark.Version > 0 {
			sm.versionApplied(&v)
		}
	}
	c := &sm.configSync
	c.replicator = configsync.NewReplicator(now, configsync.ReplicatorConfig{Name: sm.fleet.members.Self().Name, Seed: seed}, start)
	if seat := sm.claiming.replica; seat != nil {
		seat.SetConfigValidator(sm.validateConfigCommand)
	}
	sm.emit(Effect{Kind: ReportVersionInForce, InForce: &VersionInForce{Mark: c.replicator.Revision(), Source: start.Source, Added: v.counts.added, Changed: v.counts.changed,
		Removed: v.counts.removed}})
	c.startupEffects = slices.Clone(sm.effects)
	return nil
}

// ConfigSyncState is how the node stands, nil where it takes nothing in service.
func (sm *StateMachine) ConfigSyncState() *ConfigSyncState {
	h := sm.configSync.replicator
	if h == nil {
		return nil
	}
	s := h.Status(sm.now)
	return &ConfigSyncState{Version: s.Mark.Version, Digest: s.Mark.Digest.String(), Source: s.Source, AgeNS: s.TakenNS, HeardNS: s.HeardNS,
		Behind: s.Behind, BehindNS: s.BehindNS, Refused: s.Refused.Version, Why: s.Why, Counters: s.Counters}
}

// changesOf reads items, and says which this node can't take.
func (sm *StateMachine) changesOf(items []configsync.Item) ([]nodeconfig.Change, error) {
	a, err := nodeconfig.Parse(nodeconfigItems(items))
	if err != nil {
		return nil, err
	}
	return a.Changes, sm.validateChanges(a.Changes)
}

func nodeconfigItems(items []configsync.Item) []nodeconfig.Item {
	list := make([]nodeconfig.Item, len(items))
	for i := range items {
		list[i] = nodeconfig.Item(items[i])
	}
	return list
}

// validateConfigCommand says why a change must not be ordered, as a check of a file would; empty where it may. What only some nodes can't
// take they refuse themselves, at the first stage.
func (sm *StateMachine) validateConfigCommand(command *configsync.Command) string {
	if _, err := nodeconfig.Parse(nodeconfigItems(command.Changes)); err != nil {
		return err.Error()
	}
	agreed := sm.configSync.agreed
	if agreed == nil || command.More || command.Piece > 0 || command.Base != agreed.Head.Newest {
		return ""
	}
	left := agreed.Newest.Len(configsync.Operations)
	for _, i := range command.Changes {
		if i.Part != configsync.Operations {
			continue
		}
		if known := agreed.Newest.Get(i.Part, i.Name) != nil; known && len(i.Value) == 0 {
			left--
		} else if !known && len(i.Value) > 0 {
			left++
		}
	}
	if left < 1 {
		return "no operation would be left; put a whole file first, or add one before the last is removed"
	}
	return ""
}

// applyConfigMessage takes a letter of another node or of a command.
func (sm *StateMachine) applyConfigMessage(in *Input, l *configMessage) {
	c := &sm.configSync
	m := l.Message
	switch {
	case c.replicator == nil:
		if in.Kind == PeerRequestReceived {
			sm.emit(Effect{Kind: ReplyToExchange, Link: in.Link})
		}
	case in.Kind == PeerRequestReceived && l.Question != nil:
		sm.applyOperatorQuery(in.Link, l.Question)
	case in.Kind == PeerRequestReceived && m != nil && m.Kind == configsync.Fetch:
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Asked, From: l.From, Link: in.Link, Message: m})
	case in.Kind == PeerDatagramReceived && m != nil && m.Kind >= configsync.Tell && m.Kind <= configsync.Vouch:
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Came, From: l.From, Message: m})
	default:
		sm.countUnusable(in, fmt.Errorf("%w: a letter of the configuration that does not belong there", envelope.ErrSpoilt))
	}
}

// applyConfigResponse takes the end of an exchange of the holder's.
func (sm *StateMachine) applyConfigResponse(in *Input) {
	c := &sm.configSync
	if c.replicator == nil {
		return
	}
	next := configsync.Input{Kind: configsync.Missed, Link: in.Link - configLinkOffset}
	if in.Kind == PeerResponseReceived {
		var body configMessageBody
		if err := envelope.Open(in.Bytes, sm.fleet.id, &body); err != nil {
			sm.log(Warn, "answer of a peer on the configuration can't be understood", in.From, err)
		} else if l := body.Configuration; l != nil && l.Message != nil && l.Message.Kind == configsync.Piece {
			next.Kind, next.From, next.Message = configsync.Answered, l.From, l.Message
		}
	}
	c.inputs = append(c.inputs, next)
}

// configPersisted takes word of the disk.
func (sm *StateMachine) configPersisted(in *Input) {
	next := configsync.Input{Kind: configsync.Saved}
	if in.Err != nil {
		next.Why = in.Err.Error()
	}
	sm.configSync.inputs = append(sm.configSync.inputs, next)
}

// applyPendingConfig brings some of a version into force, before the module decides.
func (sm *StateMachine) applyPendingConfig() {
	c := &sm.configSync
	for left := maxChangesPerStep; c.pending != nil && left > 0; {
		t := c.pending
		items := t.diff.Next(left)
		left -= max(len(items), maxChangesPerStep/maxSearchesPerStep) // where they lie apart, looking for them is what costs
		changes, err := sm.changesOf(items)
		switch {
		case t.validation != nil && err == nil && len(items) > 0:
			t.validation.Add(changes)
		case t.validation != nil && err == nil:
			if err = t.validation.Err(); err == nil && !t.checkOnly {
				t.validation, t.diff = nil, configsync.Diff(t.old, t.new)
				continue
			}
		case t.validation == nil && sm.Invariants.Check(err == nil, "a version that was checked can be taken") && len(items) > 0:
			for i := range changes {
				sm.applyChange(&t.version, changes[i])
			}
		}
		if err != nil || len(items) == 0 {
			sm.configApplied(t, err)
		}
	}
}

// configApplied tells the holder of a version that is in force as a whole, or that can't be.
func (sm *StateMachine) configApplied(t *pendingConfig, err error) {
	c := &sm.configSync
	c.pending = nil
	next := configsync.Input{Kind: configsync.Took, Mark: t.mark}
	if t.checkOnly {
		next.Kind = configsync.Checked
	}
	if err != nil {
		sm.Counters.VersionsRefused++
		next.Why = err.Error()
	} else if !t.checkOnly {
		sm.versionApplied(&t.version)
		sm.emit(Effect{Kind: ReportVersionInForce, InForce: &VersionInForce{Mark: t.mark, After: c.replicator.Revision().Version, Source: "fleet", First: t.canary,
			Added: t.version.counts.added, Changed: t.version.counts.changed, Removed: t.version.counts.removed, TookNS: sm.now - t.startedAt}})
	}
	c.inputs = append(c.inputs, next)
}

// stepConfigSync steps the holder when something came or is due.
func (sm *StateMachine) stepConfigSync() {
	c := &sm.configSync
	if c.replicator == nil {
		return
	}
	sm.effects, c.startupEffects = append(sm.effects, c.startupEffects...), nil
	if agreed, changed := sm.agreedAtReplica(); changed {
		c.agreed = agreed
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Ordered, Agreed: agreed})
	}
	if seat := sm.claiming.replica; seat != nil && seat.IsCurrent() != c.replicaCurrent {
		c.replicaCurrent = !c.replicaCurrent
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Stood, Current: c.replicaCurrent})
	}
	sm.observeFleet()
	for round := 0; round < maxRoundsPerStep && (len(c.inputs) > 0 || round == 0 && sm.now >= c.wakeAt); round++ {
		inputs := c.inputs
		c.inputs = nil
		var effects []configsync.Effect
		effects, c.wakeAt = c.replicator.Step(sm.now, inputs)
		for k := range effects {
			sm.executeConfigEffect(&effects[k])
		}
	}
	sm.stepProposals()
}

// observeFleet tells the holder whom this node can reach, where that changed.
func (sm *StateMachine) observeFleet() {
	c := &sm.configSync
	if sm.now < c.viewCheckAt {
		return
	}
	c.viewCheckAt = sm.now + viewCheckInterval
	hash, _ := sm.fleet.members.Hash()
	neighbours := sm.fleet.members.Neighbours()
	if hash == c.viewHash && slices.Equal(neighbours, c.view.Neighbours) && sm.now < c.viewRefreshAt {
		return
	}
	c.viewHash, c.viewRefreshAt = hash, sm.now+viewRefreshInterval
	self := sm.fleet.members.Self().Name
	c.view = configsync.View{Neighbours: neighbours, Zone: sm.fleet.members.InZone(),
		Seats: slices.DeleteFunc(slices.Clone(sm.claiming.replicas), func(name string) bool { return name == self })}
	view := c.view
	c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Viewed, View: &view})
}

func (sm *StateMachine) executeConfigEffect(e *configsync.Effect) {
	c := &sm.configSync
	switch e.Kind {
	case configsync.Send:
		sm.sendConfigMessage(e.To, e.Message)
	case configsync.Exchange:
		link := configLinkOffset + e.Link
		if address, known := sm.fleet.members.AddressOf(e.To); known {
			sm.sendConfigEnvelope(Effect{Kind: OpenExchange, Link: link, Address: address}, &configMessage{Message: e.Message})
		} else {
			c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Missed, Link: e.Link})
		}
	case configsync.Reply:
		sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: e.Link}, &configMessage{Message: e.Message})
	case configsync.Take, configsync.Check:
		t := &pendingConfig{mark: e.Mark, canary: e.First, checkOnly: e.Kind == configsync.Check, startedAt: sm.now, old: e.Old, new: e.New, diff: configsync.Diff(e.Old, e.New),
			validation: sm.config.Checking(), version: version{number: e.Mark.Version}}
		if sm.hollow.on { // it has no module that could not take it
			sm.configApplied(t, nil)
			return
		}
		c.pending = t
	case configsync.Persist:
		kept := *e
		sm.emit(Effect{Kind: PersistVersion, Persisting: &kept})
	case configsync.Order:
		sm.proposeAtReplica(e.Command)
	case configsync.Remark:
		sm.log(map[bool]LogLevel{true: Warn, false: Info}[e.Warn], e.Text, "", nil)
	}
}

func (sm *StateMachine) sendConfigEnvelope(e Effect, l *configMessage) {
	l.From = sm.fleet.members.Self().Name
	sm.sendEnvelope(e, configMessageBody{l})
}

// sendConfigMessage sends a datagram; records that make it too long are left out, and will be fetched.
func (sm *StateMachine) sendConfigMessage(to string, m *configsync.Message) {
	address, known := sm.fleet.members.AddressOf(to)
	if !known {
		return
	}
	l := &configMessage{From: sm.fleet.members.Self().Name, Message: m}
	text, err := envelope.Seal(nil, sm.fleet.id, configMessageBody{l})
	if err == nil && len(text) > envelope.DatagramMost && len(m.Records) > 0 {
		short := *m
		short.Records, l.Message = nil, &short
		text, err = envelope.Seal(nil, sm.fleet.id, configMessageBody{l})
	}
	if sm.Invariants.Check(err == nil && len(text) <= envelope.DatagramMost, "a word on the configuration can be written, and fits any path") {
		sm.emit(Effect{Kind: SendDatagram, Address: address, Bytes: text})
	}
}

// applyOperatorQuery answers a command, or has its order wait for a verdict.
func (sm *StateMachine) applyOperatorQuery(link int, q *configsync.Query) {
	c := &sm.configSync
	a := &configsync.Answer{Node: sm.fleet.members.Self().Name}
	switch {
	case q.Kind == configsync.ShowStanding:
		sm.fillConfigAnswer(a)
	case q.Kind == configsync.ReadBlocks:
		content := c.replicator.Content()
		a.Mark = c.replicator.Revision()
		if q.Which != configsync.InForce && c.agreed == nil {
			a.Why = "it has no seat in the council, or its seat knows nothing yet"
		} else if q.Which == configsync.ForAll {
			content, a.Mark = c.agreed.All, c.agreed.Head.All
		} else if q.Which == configsync.Newest {
			content, a.Mark = c.agreed.Newest, configsync.Revision{Version: c.agreed.Head.Newest, Digest: c.agreed.Newest.Digest()}
		}
		if a.Why == "" {
			a.Blocks, a.Next = content.Blocks(q.From, maxAnswerBytes)
		}
	case q.Kind == configsync.Propose && q.Command != nil && q.Command.From != "" &&
		(q.Command.Kind == configsync.Put || q.Command.Kind == configsync.Rollback):
		o := c.findProposal(q.Command.From, q.Command.Seq)
		if o == nil && len(c.proposals) >= maxPendingProposals {
			a.Why = "too many orders wait here"
			break
		}
		if o == nil {
			o = &configProposal{command: *q.Command, retryAt: sm.now}
			c.proposals = append(c.proposals, o)
		}
		o.exchanges, o.expiresAt = append(o.exchanges, link), sm.now+proposalTimeout
		return
	default:
		a.Why = "it doesn't know this question; it may be of an older build"
	}
	sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &configMessage{Answer: a})
}

// fillConfigAnswer says how this node stands, and at a seat what it knows of others.
func (sm *StateMachine) fillConfigAnswer(a *configsync.Answer) {
	c := &sm.configSync
	s := c.replicator.Status(sm.now)
	a.Status, a.Mark = &s, s.Mark
	for _, name := range sm.claiming.replicas {
		address, _ := sm.fleet.members.AddressOf(name)
		a.Seats = append(a.Seats, configsync.Place{Name: name, Address: address})
	}
	if c.agreed == nil {
		return
	}
	seat := &configsync.AtSeat{Head: c.agreed.Head, Good: sm.claiming.replica.RollbackVersions(), Nodes: c.replicator.Statuses.Statuses(),
		Newest: configsync.Revision{Version: c.agreed.Head.Newest, Digest: c.agreed.Newest.Digest()}}
	for k := range seat.Nodes {
		seat.Nodes[k].At = sm.now - seat.Nodes[k].At
	}
	seat.Alive = sm.fleet.members.InView()
	a.Seat = seat
}

// findProposal finds one that waits, nil where there is none.
func (c *configSyncState) findProposal(from string, seq uint64) *configProposal {
	for _, o := range c.proposals {
		if o.command.From == from && o.command.Seq == seq {
			return o
		}
	}
	return nil
}

// addVerdicts takes verdicts of the council.
func (c *configSyncState) addVerdicts(list []configsync.Verdict) {
	if c.replicator != nil {
		c.verdicts = append(c.verdicts, list...)
	}
}

// stepProposals answers orders that have a verdict or waited for too long, and has others ordered again.
func (sm *StateMachine) stepProposals() {
	c := &sm.configSync
	for k := range c.verdicts {
		v := &c.verdicts[k]
		if o := c.findProposal(v.From, v.Seq); o != nil {
			sm.answerProposal(o, &configsync.Answer{Verdict: v})
		}
	}
	c.verdicts = nil
	for _, o := range slices.Clone(c.proposals) {
		if sm.now >= o.expiresAt {
			sm.answerProposal(o, &configsync.Answer{Why: "no verdict of the council in time"})
		} else if sm.now >= o.retryAt {
			o.retryAt = sm.now + proposalRetryInterval
			sm.proposeToGroup(nil, nil, o.command)
		}
	}
}

func (sm *StateMachine) answerProposal(o *configProposal, a *configsync.Answer) {
	a.Node = sm.fleet.members.Self().Name
	for _, link := range o.exchanges {
		sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &configMessage{Answer: a})
	}
	c := &sm.configSync
	c.proposals = slices.DeleteFunc(c.proposals, func(other *configProposal) bool { return other == o })
}

// configSyncDue is when the door is to step again.
func (sm *StateMachine) configSyncDue() int64 {
	c := &sm.configSync
	if c.replicator == nil {
		return never
	}
	if c.pending != nil || len(c.inputs)+len(c.verdicts) > 0 {
		return sm.now + 1
	}
	at := int64(math.MaxInt64)
	for _, o := range c.proposals {
		at = min(at, o.expiresAt, o.retryAt)
	}
	return max(min(at, c.wakeAt), sm.now+1)
}
