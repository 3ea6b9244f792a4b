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

// configurationLetter is what nodes, and operators' commands, tell each other of the configuration.
type configurationLetter struct {
	From     string              `cbor:"1,keyasint,omitempty"`
	Message  *configsync.Message `cbor:"2,keyasint,omitempty"` // between holders
	Question *configsync.Query   `cbor:"3,keyasint,omitempty"` // of a command
	Answer   *configsync.Answer  `cbor:"4,keyasint,omitempty"` // to it
}

// body is a letter of it, without anything of membership's.
type configurationBody struct {
	Configuration *configurationLetter `cbor:"10,keyasint"`
}

// EncodeConfigQuery is the body of a letter by which a command asks, OpenConfiguration reads the answer.
func EncodeConfigQuery(q *configsync.Query) any {
	return configurationBody{&configurationLetter{Question: q}}
}

// DecodeConfigAnswer reads the answer to a question.
func DecodeConfigAnswer(text []byte, fleet envelope.Fleet) (*configsync.Answer, error) {
	var body configurationBody
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
	checking *nodeconfig.Checking // nil in the second pass
	version  version
}

// configuring is the door to the fleet's configuration in service. Without a holder it is shut: no timer, no cost.
type configuring struct {
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
func (r *StateMachine) EnableConfigSync(now, seed int64, start configsync.InitialState, file *configsync.Content) error {
	v := version{number: start.Mark.Version}
	if !r.hollow.on {
		for _, take := range []bool{false, true} {
			checking := r.config.Checking()
			for diff := configsync.Diff(file, start.Content); ; {
				changes, err := r.changesOf(diff.Next(amendedAStep))
				if err != nil {
					return err
				}
				if len(changes) == 0 {
					break
				}
				checking.Add(changes)
				for i := range changes {
					if take {
						r.change(&v, changes[i])
					}
				}
			}
			if err := checking.Err(); !take && start.Content != file && err != nil {
				return err
			}
		}
		if start.Mark.Version > 0 {
			r.amendedTo(&v)
		}
	}
	c := &r.configuring
	c.holder = configsync.NewReplicator(now, configsync.ReplicatorConfig{Name: r.peers.members.Self().Name, Seed: seed}, start)
	if seat := r.claimed.seat; seat != nil {
		seat.SetConfigValidator(r.unsound)
	}
	r.do(Effect{Kind: ReportVersionInForce, InForce: &VersionInForce{Mark: c.holder.Revision(), Source: start.Source, Added: v.counts[0], Changed: v.counts[1],
		Removed: v.counts[2]}})
	c.early = slices.Clone(r.effects)
	return nil
}

// ConfigSyncState is how the node stands, nil where it takes nothing in service.
func (r *StateMachine) ConfigSyncState() *ConfigSyncState {
	h := r.configuring.holder
	if h == nil {
		return nil
	}
	s := h.Status(r.now)
	return &ConfigSyncState{Version: s.Mark.Version, Digest: s.Mark.Digest.String(), Source: s.Source, AgeNS: s.TakenNS, HeardNS: s.HeardNS,
		Behind: s.Behind, BehindNS: s.BehindNS, Refused: s.Refused.Version, Why: s.Why, Counters: s.Counters}
}

// changesOf reads items, and says which this node can't take.
func (r *StateMachine) changesOf(items []configsync.Item) ([]nodeconfig.Change, error) {
	a, err := nodeconfig.Parse(plateItems(items))
	if err != nil {
		return nil, err
	}
	return a.Changes, r.misfits(a.Changes)
}

func plateItems(items []configsync.Item) []nodeconfig.Item {
	list := make([]nodeconfig.Item, len(items))
	for i := range items {
		list[i] = nodeconfig.Item(items[i])
	}
	return list
}

// unsound says why a change must not be ordered, as a check of a file would; empty where it may. What only some nodes can't
// take they refuse themselves, at the first stage.
func (r *StateMachine) unsound(command *configsync.Command) string {
	if _, err := nodeconfig.Parse(plateItems(command.Changes)); err != nil {
		return err.Error()
	}
	agreed := r.configuring.agreed
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

// fromConfiguration takes a letter of another node or of a command.
func (r *StateMachine) fromConfiguration(in *Input, l *configurationLetter) {
	c := &r.configuring
	m := l.Message
	switch {
	case c.holder == nil:
		if in.Kind == PeerRequestReceived {
			r.do(Effect{Kind: ReplyToExchange, Link: in.Link})
		}
	case in.Kind == PeerRequestReceived && l.Question != nil:
		r.fromOperator(in.Link, l.Question)
	case in.Kind == PeerRequestReceived && m != nil && m.Kind == configsync.Fetch:
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Asked, From: l.From, Link: in.Link, Message: m})
	case in.Kind == PeerDatagramReceived && m != nil && m.Kind >= configsync.Tell && m.Kind <= configsync.Vouch:
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Came, From: l.From, Message: m})
	default:
		r.unusable(in, fmt.Errorf("%w: a letter of the configuration that does not belong there", envelope.ErrSpoilt))
	}
}

// answeredConfiguration takes the end of an exchange of the holder's.
func (r *StateMachine) answeredConfiguration(in *Input) {
	c := &r.configuring
	if c.holder == nil {
		return
	}
	next := configsync.Input{Kind: configsync.Missed, Link: in.Link - configurationLinks}
	if in.Kind == PeerResponseReceived {
		var body configurationBody
		if err := envelope.Open(in.Bytes, r.peers.fleet, &body); err != nil {
			r.remark(Warn, "answer of a peer on the configuration can't be understood", in.From, err)
		} else if l := body.Configuration; l != nil && l.Message != nil && l.Message.Kind == configsync.Piece {
			next.Kind, next.From, next.Message = configsync.Answered, l.From, l.Message
		}
	}
	c.inputs = append(c.inputs, next)
}

// keptConfiguration takes word of the disk.
func (r *StateMachine) keptConfiguration(in *Input) {
	next := configsync.Input{Kind: configsync.Saved}
	if in.Err != nil {
		next.Why = in.Err.Error()
	}
	r.configuring.inputs = append(r.configuring.inputs, next)
}

// keepTaking brings some of a version into force, before the module decides.
func (r *StateMachine) keepTaking() {
	c := &r.configuring
	for left := amendedAStep; c.taking != nil && left > 0; {
		t := c.taking
		items := t.diff.Next(left)
		left -= max(len(items), amendedAStep/looksAStep) // where they lie apart, looking for them is what costs
		changes, err := r.changesOf(items)
		switch {
		case t.checking != nil && err == nil && len(items) > 0:
			t.checking.Add(changes)
		case t.checking != nil && err == nil:
			if err = t.checking.Err(); err == nil && !t.only {
				t.checking, t.diff = nil, configsync.Diff(t.old, t.new)
				continue
			}
		case t.checking == nil && r.Invariants.Check(err == nil, "a version that was checked can be taken") && len(items) > 0:
			for i := range changes {
				r.change(&t.version, changes[i])
			}
		}
		if err != nil || len(items) == 0 {
			r.taken(t, err)
		}
	}
}

// taken tells the holder of a version that is in force as a whole, or that can't be.
func (r *StateMachine) taken(t *taking, err error) {
	c := &r.configuring
	c.taking = nil
	next := configsync.Input{Kind: configsync.Took, Mark: t.mark}
	if t.only {
		next.Kind = configsync.Checked
	}
	if err != nil {
		r.Counters.VersionsRefused++
		next.Why = err.Error()
	} else if !t.only {
		r.amendedTo(&t.version)
		r.do(Effect{Kind: ReportVersionInForce, InForce: &VersionInForce{Mark: t.mark, After: c.holder.Revision().Version, Source: "fleet", First: t.first,
			Added: t.version.counts[0], Changed: t.version.counts[1], Removed: t.version.counts[2], TookNS: r.now - t.began}})
	}
	c.inputs = append(c.inputs, next)
}

// keepConfiguration steps the holder when something came or is due.
func (r *StateMachine) keepConfiguration() {
	c := &r.configuring
	if c.holder == nil {
		return
	}
	r.effects, c.early = append(r.effects, c.early...), nil
	if agreed, changed := r.agreedAtSeat(); changed {
		c.agreed = agreed
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Ordered, Agreed: agreed})
	}
	if seat := r.claimed.seat; seat != nil && seat.IsCurrent() != c.current {
		c.current = !c.current
		c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Stood, Current: c.current})
	}
	r.seeConfiguration()
	for round := 0; round < roundsMost && (len(c.inputs) > 0 || round == 0 && r.now >= c.wakeAt); round++ {
		inputs := c.inputs
		c.inputs = nil
		var effects []configsync.Effect
		effects, c.wakeAt = c.holder.Step(r.now, inputs)
		for k := range effects {
			r.carryConfiguration(&effects[k])
		}
	}
	r.keepOrders()
}

// seeConfiguration tells the holder whom this node can reach, where that changed.
func (r *StateMachine) seeConfiguration() {
	c := &r.configuring
	if r.now < c.seenAt {
		return
	}
	c.seenAt = r.now + seenEvery
	hash, _ := r.peers.members.Hash()
	neighbours := r.peers.members.Neighbours()
	if hash == c.hash && slices.Equal(neighbours, c.view.Neighbours) && r.now < c.fullAt {
		return
	}
	c.hash, c.fullAt = hash, r.now+fullEvery
	self := r.peers.members.Self().Name
	c.view = configsync.View{Neighbours: neighbours, Zone: r.peers.members.InZone(),
		Seats: slices.DeleteFunc(slices.Clone(r.claimed.seats), func(name string) bool { return name == self })}
	view := c.view
	c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Viewed, View: &view})
}

func (r *StateMachine) carryConfiguration(e *configsync.Effect) {
	c := &r.configuring
	switch e.Kind {
	case configsync.Send:
		r.sendConfiguration(e.To, e.Message)
	case configsync.Exchange:
		link := configurationLinks + e.Link
		if address, known := r.peers.members.AddressOf(e.To); known {
			r.sealConfiguration(Effect{Kind: OpenExchange, Link: link, Address: address}, &configurationLetter{Message: e.Message})
		} else {
			c.inputs = append(c.inputs, configsync.Input{Kind: configsync.Missed, Link: e.Link})
		}
	case configsync.Reply:
		r.sealConfiguration(Effect{Kind: ReplyToExchange, Link: e.Link}, &configurationLetter{Message: e.Message})
	case configsync.Take, configsync.Check:
		t := &taking{mark: e.Mark, first: e.First, only: e.Kind == configsync.Check, began: r.now, old: e.Old, new: e.New, diff: configsync.Diff(e.Old, e.New),
			checking: r.config.Checking(), version: version{number: e.Mark.Version}}
		if r.hollow.on { // it has no module that could not take it
			r.taken(t, nil)
			return
		}
		c.taking = t
	case configsync.Persist:
		kept := *e
		r.do(Effect{Kind: PersistVersion, Persisting: &kept})
	case configsync.Order:
		r.orderAtSeat(e.Command)
	case configsync.Remark:
		r.remark(map[bool]LogLevel{true: Warn, false: Info}[e.Warn], e.Text, "", nil)
	}
}

func (r *StateMachine) sealConfiguration(e Effect, l *configurationLetter) {
	l.From = r.peers.members.Self().Name
	r.seal(e, configurationBody{l})
}

// sendConfiguration sends a datagram; records that make it too long are left out, and will be fetched.
func (r *StateMachine) sendConfiguration(to string, m *configsync.Message) {
	address, known := r.peers.members.AddressOf(to)
	if !known {
		return
	}
	l := &configurationLetter{From: r.peers.members.Self().Name, Message: m}
	text, err := envelope.Seal(nil, r.peers.fleet, configurationBody{l})
	if err == nil && len(text) > envelope.DatagramMost && len(m.Records) > 0 {
		short := *m
		short.Records, l.Message = nil, &short
		text, err = envelope.Seal(nil, r.peers.fleet, configurationBody{l})
	}
	if r.Invariants.Check(err == nil && len(text) <= envelope.DatagramMost, "a word on the configuration can be written, and fits any path") {
		r.do(Effect{Kind: SendDatagram, Address: address, Bytes: text})
	}
}

// fromOperator answers a command, or has its order wait for a verdict.
func (r *StateMachine) fromOperator(link int, q *configsync.Query) {
	c := &r.configuring
	a := &configsync.Answer{Node: r.peers.members.Self().Name}
	switch {
	case q.Kind == configsync.ShowStanding:
		r.showConfiguration(a)
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
			o = &order{command: *q.Command, again: r.now}
			c.orders = append(c.orders, o)
		}
		o.links, o.until = append(o.links, link), r.now+orderFor
		return
	default:
		a.Why = "it doesn't know this question; it may be of an older build"
	}
	r.sealConfiguration(Effect{Kind: ReplyToExchange, Link: link}, &configurationLetter{Answer: a})
}

// showConfiguration says how this node stands, and at a seat what it knows of others.
func (r *StateMachine) showConfiguration(a *configsync.Answer) {
	c := &r.configuring
	s := c.holder.Status(r.now)
	a.Status, a.Mark = &s, s.Mark
	for _, name := range r.claimed.seats {
		address, _ := r.peers.members.AddressOf(name)
		a.Seats = append(a.Seats, configsync.Place{Name: name, Address: address})
	}
	if c.agreed == nil {
		return
	}
	seat := &configsync.AtSeat{Head: c.agreed.Head, Good: r.claimed.seat.RollbackVersions(), Nodes: c.holder.Statuses.Statuses(),
		Newest: configsync.Revision{Version: c.agreed.Head.Newest, Digest: c.agreed.Newest.Digest()}}
	for k := range seat.Nodes {
		seat.Nodes[k].At = r.now - seat.Nodes[k].At
	}
	seat.Alive = r.peers.members.InView()
	a.Seat = seat
}

// order finds one that waits, nil where there is none.
func (c *configuring) order(from string, seq uint64) *order {
	for _, o := range c.orders {
		if o.command.From == from && o.command.Seq == seq {
			return o
		}
	}
	return nil
}

// decided takes verdicts of the council.
func (c *configuring) decided(list []configsync.Verdict) {
	if c.holder != nil {
		c.verdict = append(c.verdict, list...)
	}
}

// keepOrders answers orders that have a verdict or waited for too long, and has others ordered again.
func (r *StateMachine) keepOrders() {
	c := &r.configuring
	for k := range c.verdict {
		v := &c.verdict[k]
		if o := c.order(v.From, v.Seq); o != nil {
			r.endOrder(o, &configsync.Answer{Verdict: v})
		}
	}
	c.verdict = nil
	for _, o := range slices.Clone(c.orders) {
		if r.now >= o.until {
			r.endOrder(o, &configsync.Answer{Why: "no verdict of the council in time"})
		} else if r.now >= o.again {
			o.again = r.now + orderEvery
			r.askCouncil(nil, nil, o.command)
		}
	}
}

func (r *StateMachine) endOrder(o *order, a *configsync.Answer) {
	a.Node = r.peers.members.Self().Name
	for _, link := range o.links {
		r.sealConfiguration(Effect{Kind: ReplyToExchange, Link: link}, &configurationLetter{Answer: a})
	}
	c := &r.configuring
	c.orders = slices.DeleteFunc(c.orders, func(other *order) bool { return other == o })
}

// configurationDue is when the door is to step again.
func (r *StateMachine) configurationDue() int64 {
	c := &r.configuring
	if c.holder == nil {
		return never
	}
	if c.taking != nil || len(c.inputs)+len(c.verdict) > 0 {
		return r.now + 1
	}
	at := int64(math.MaxInt64)
	for _, o := range c.orders {
		at = min(at, o.until, o.again)
	}
	return max(min(at, c.wakeAt), r.now+1)
}
