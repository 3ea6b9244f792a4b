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
	configurationLinks = 1 << 32     // added to the numbers of its exchanges, so that they are told from membership's
	ordersMost         = 8           // orders of operators that wait for the council, of up to 512 kB; more are told to ask again
	orderFor           = 1_600 * ms  // ns that one waits here: its exchange ends after 2 s, and then it is asked again
	orderEvery         = 400 * ms    // ns to the next try at having it ordered
	answerBytes        = 384 << 10   // of blocks in one answer to an operator: an exchange carries 512 kB
	looksAStep         = 8           // looks for changes in one step, each through 128 kB: a millisecond in all
	seenEvery          = 100 * ms    // ns between looks at the view
	fullEvery          = 10_000 * ms // ns after which the view is told again whether or not it seems to have changed
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

// order is one of an operator.
type order struct {
	command      configsync.Command
	links        []int // exchanges that wait for its verdict
	until, again int64
}

// taking is a version on its way into force: all of it is checked in a first pass, and taken in a second.
type taking struct {
	mark     configsync.Revision
	first    bool
	only     bool // it is checked, and not taken
	began    int64
	old, new *configsync.Content
	diff     *configsync.Difference
	checking *nodeconfig.ChangeValidator // nil in the second pass
	version  version
}

// configSyncState is the door to the fleet's configuration in service. Without a holder it is shut: no timer, no cost.
type configSyncState struct {
	holder  *configsync.Replicator
	inputs  []configsync.Input
	wakeAt  int64
	view    configsync.View
	hash    uint64 // of the view
	seenAt  int64
	fullAt  int64
	early   []Effect // from before the first step
	taking  *taking
	agreed  *configsync.Agreed // of this node's seat
	current bool               // as the holder knows of that seat
	orders  []*order           // by when they came
	verdict []configsync.Verdict
}

// EnableConfigSync has operations, tenants and limits taken in service from what the fleet agrees on, before the first step and after
// Convene. It begins with what start holds; where that is not what the node's own file holds, it comes into force at once. On
// an error nothing is changed.
func (sm *StateMachine) EnableConfigSync(now, seed int64, start configsync.InitialState, file *configsync.Content) error {
	v := version{number: start.Mark.Version}
	if !sm.hollow.on {
		for _, take := range []bool{false, true} {
			checking := sm.config.NewChangeValidator()
			for diff := configsync.Diff(file, start.Content); ; {
				changes, err := sm.changesOf(diff.Next(amendedAStep))
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
	c.holder = configsync.NewReplicator(now, configsync.ReplicatorConfig{Name: sm.fleet.members.Self().Name, Seed: seed}, start)
	if seat := sm.claiming.seat; seat != nil {
		seat.SetConfigValidator(sm.validateConfigCommand)
	}
	sm.emit(Effect{Kind: ReportVersionInForce, InForce: &VersionInForce{Mark: c.holder.Revision(), Source: start.Source, Added: v.counts[0], Changed: v.counts[1],
		Removed: v.counts[2]}})
	c.early = slices.Clone(sm.effects)
	return nil
}

// ConfigSyncState is how the node stands, nil where it takes nothing in service.
func (sm *StateMachine) ConfigSyncState() *ConfigSyncState {
	h := sm.configSync.holder
	if h == nil {
		return nil
	}
	s := h.Status(sm.now)
	return &ConfigSyncState{Version: s.Mark.Version, Digest: s.Mark.Digest.String(), Source: s.Source, AgeNS: s.TakenNS, HeardNS: s.HeardNS,
		Behind: s.Behind, BehindNS: s.BehindNS, Refused: s.Refused.Version, Why: s.Why, Counters: s.Counters}
}

// changesOf reads items, and says which this node can't take.
func (sm *StateMachine) changesOf(items []configsync.Item) ([]nodeconfig.Change, error) {
	a, err := nodeconfig.Parse(plateItems(items))
	if err != nil {
		return nil, err
	}
	return a.Changes, sm.validateChanges(a.Changes)
}

func plateItems(items []configsync.Item) []nodeconfig.Item {
	list := make([]nodeconfig.Item, len(items))
	for i := range items {
		list[i] = nodeconfig.Item(items[i])
	}
	return list
}

// validateConfigCommand says why a change must not be ordered, as a check of a file would; empty where it may. What only some nodes can't
// take they refuse themselves, at the first stage.
func (sm *StateMachine) validateConfigCommand(command *configsync.Command) string {
	if _, err := nodeconfig.Parse(plateItems(command.Changes)); err != nil {
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
	case c.holder == nil:
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
	if c.holder == nil {
		return
	}
	next := configsync.Input{Kind: configsync.Missed, Link: in.Link - configurationLinks}
	if in.Kind == PeerResponseReceived {
		var body configMessageBody
		if err := envelope.Open(in.Bytes, sm.fleet.fleet, &body); err != nil {
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
	for left := amendedAStep; c.taking != nil && left > 0; {
		t := c.taking
		items := t.diff.Next(left)
		left -= max(len(items), amendedAStep/looksAStep) // where they lie apart, looking for them is what costs
		changes, err := sm.changesOf(items)
		switch {
		case t.checking != nil && err == nil && len(items) > 0:
			t.checking.Add(changes)
		case t.checking != nil && err == nil:
			if err = t.checking.Err(); err == nil && !t.only {
				t.checking, t.diff = nil, configsync.Diff(t.old, t.new)
				continue
			}
		case t.checking == nil && sm.Invariants.Check(err == nil, "a version that was checked can be taken") && len(items) > 0:
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
func (sm *StateMachine) configApplied(t *taking, err error) {
	c := &sm.configSync
	c.taking = nil
	next := configsync.Input{Kind: configsync.Took, Mark: t.mark}
	if t.only {
		next.Kind = configsync.Checked
	}
	if err != nil {
		sm.Counters.VersionsRefused++
		next.Why = err.Error()
	} else if !t.only {
		sm.versionApplied(&t.version)
		sm.emit(Effect{Kind: ReportVersionInForce, InForce: &VersionInForce{Mark: t.mark, After: c.holder.Revision().Version, Source: "fleet", First: t.first,
			Added: t.version.counts[0], Changed: t.version.counts[1], Removed: t.version.counts[2], TookNS: sm.now - t.began}})
	}
	c.inputs = append(c.inputs, next)
}

// stepConfigSync steps the holder when something came or is due.
func (sm *StateMachine) stepConfigSync() {
	c := &sm.configSync
	if c.holder == nil {
		return
	}
	sm.effects, c.early = append(sm.effects, c.early...), nil
	if agreed, changed := sm.agreedAtReplica(); changed {
		c.agreed = agreed
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Ordered, Agreed: agreed})
	}
	if seat := sm.claiming.seat; seat != nil && seat.IsCurrent() != c.current {
		c.current = !c.current
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Stood, Current: c.current})
	}
	sm.observeFleet()
	for round := 0; round < roundsMost && (len(c.inputs) > 0 || round == 0 && sm.now >= c.wakeAt); round++ {
		inputs := c.inputs
		c.inputs = nil
		var effects []configsync.Effect
		effects, c.wakeAt = c.holder.Step(sm.now, inputs)
		for k := range effects {
			sm.executeConfigEffect(&effects[k])
		}
	}
	sm.expireOrders()
}

// observeFleet tells the holder whom this node can reach, where that changed.
func (sm *StateMachine) observeFleet() {
	c := &sm.configSync
	if sm.now < c.seenAt {
		return
	}
	c.seenAt = sm.now + seenEvery
	hash, _ := sm.fleet.members.Hash()
	neighbours := sm.fleet.members.Neighbours()
	if hash == c.hash && slices.Equal(neighbours, c.view.Neighbours) && sm.now < c.fullAt {
		return
	}
	c.hash, c.fullAt = hash, sm.now+fullEvery
	self := sm.fleet.members.Self().Name
	c.view = configsync.View{Neighbours: neighbours, Zone: sm.fleet.members.InZone(),
		Seats: slices.DeleteFunc(slices.Clone(sm.claiming.seats), func(name string) bool { return name == self })}
	view := c.view
	c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Viewed, View: &view})
}

func (sm *StateMachine) executeConfigEffect(e *configsync.Effect) {
	c := &sm.configSync
	switch e.Kind {
	case configsync.Send:
		sm.sendConfigMessage(e.To, e.Message)
	case configsync.Exchange:
		link := configurationLinks + e.Link
		if address, known := sm.fleet.members.AddressOf(e.To); known {
			sm.sendConfigEnvelope(Effect{Kind: OpenExchange, Link: link, Address: address}, &configMessage{Message: e.Message})
		} else {
			c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Missed, Link: e.Link})
		}
	case configsync.Reply:
		sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: e.Link}, &configMessage{Message: e.Message})
	case configsync.Take, configsync.Check:
		t := &taking{mark: e.Mark, first: e.First, only: e.Kind == configsync.Check, began: sm.now, old: e.Old, new: e.New, diff: configsync.Diff(e.Old, e.New),
			checking: sm.config.NewChangeValidator(), version: version{number: e.Mark.Version}}
		if sm.hollow.on { // it has no module that could not take it
			sm.configApplied(t, nil)
			return
		}
		c.taking = t
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
	text, err := envelope.Seal(nil, sm.fleet.fleet, configMessageBody{l})
	if err == nil && len(text) > envelope.DatagramMost && len(m.Records) > 0 {
		short := *m
		short.Records, l.Message = nil, &short
		text, err = envelope.Seal(nil, sm.fleet.fleet, configMessageBody{l})
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
		content := c.holder.Content()
		a.Mark = c.holder.Revision()
		if q.Which != configsync.InForce && c.agreed == nil {
			a.Why = "it has no seat in the council, or its seat knows nothing yet"
		} else if q.Which == configsync.ForAll {
			content, a.Mark = c.agreed.All, c.agreed.Head.All
		} else if q.Which == configsync.Newest {
			content, a.Mark = c.agreed.Newest, configsync.Revision{Version: c.agreed.Head.Newest, Digest: c.agreed.Newest.Digest()}
		}
		if a.Why == "" {
			a.Blocks, a.Next = content.Blocks(q.From, answerBytes)
		}
	case q.Kind == configsync.Propose && q.Command != nil && q.Command.From != "" &&
		(q.Command.Kind == configsync.Put || q.Command.Kind == configsync.Rollback):
		o := c.order(q.Command.From, q.Command.Seq)
		if o == nil && len(c.orders) >= ordersMost {
			a.Why = "too many orders wait here"
			break
		}
		if o == nil {
			o = &order{command: *q.Command, again: sm.now}
			c.orders = append(c.orders, o)
		}
		o.links, o.until = append(o.links, link), sm.now+orderFor
		return
	default:
		a.Why = "it doesn't know this question; it may be of an older build"
	}
	sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &configMessage{Answer: a})
}

// fillConfigAnswer says how this node stands, and at a seat what it knows of others.
func (sm *StateMachine) fillConfigAnswer(a *configsync.Answer) {
	c := &sm.configSync
	s := c.holder.Status(sm.now)
	a.Status, a.Mark = &s, s.Mark
	for _, name := range sm.claiming.seats {
		address, _ := sm.fleet.members.AddressOf(name)
		a.Seats = append(a.Seats, configsync.Place{Name: name, Address: address})
	}
	if c.agreed == nil {
		return
	}
	seat := &configsync.AtSeat{Head: c.agreed.Head, Good: sm.claiming.seat.RollbackVersions(), Nodes: c.holder.Statuses.Statuses(),
		Newest: configsync.Revision{Version: c.agreed.Head.Newest, Digest: c.agreed.Newest.Digest()}}
	for k := range seat.Nodes {
		seat.Nodes[k].At = sm.now - seat.Nodes[k].At
	}
	seat.Alive = sm.fleet.members.InView()
	a.Seat = seat
}

// order finds one that waits, nil where there is none.
func (c *configSyncState) order(from string, seq uint64) *order {
	for _, o := range c.orders {
		if o.command.From == from && o.command.Seq == seq {
			return o
		}
	}
	return nil
}

// decided takes verdicts of the council.
func (c *configSyncState) decided(list []configsync.Verdict) {
	if c.holder != nil {
		c.verdict = append(c.verdict, list...)
	}
}

// expireOrders answers orders that have a verdict or waited for too long, and has others ordered again.
func (sm *StateMachine) expireOrders() {
	c := &sm.configSync
	for k := range c.verdict {
		v := &c.verdict[k]
		if o := c.order(v.From, v.Seq); o != nil {
			sm.answerOrder(o, &configsync.Answer{Verdict: v})
		}
	}
	c.verdict = nil
	for _, o := range slices.Clone(c.orders) {
		if sm.now >= o.until {
			sm.answerOrder(o, &configsync.Answer{Why: "no verdict of the council in time"})
		} else if sm.now >= o.again {
			o.again = sm.now + orderEvery
			sm.proposeToGroup(nil, nil, o.command)
		}
	}
}

func (sm *StateMachine) answerOrder(o *order, a *configsync.Answer) {
	a.Node = sm.fleet.members.Self().Name
	for _, link := range o.links {
		sm.sendConfigEnvelope(Effect{Kind: ReplyToExchange, Link: link}, &configMessage{Answer: a})
	}
	c := &sm.configSync
	c.orders = slices.DeleteFunc(c.orders, func(other *order) bool { return other == o })
}

// configSyncDue is when the door is to step again.
func (sm *StateMachine) configSyncDue() int64 {
	c := &sm.configSync
	if c.holder == nil {
		return never
	}
	if c.taking != nil || len(c.inputs)+len(c.verdict) > 0 {
		return sm.now + 1
	}
	at := int64(math.MaxInt64)
	for _, o := range c.orders {
		at = min(at, o.until, o.again)
	}
	return max(min(at, c.wakeAt), sm.now+1)
}
