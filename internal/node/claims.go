package node

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/fleet/quota"
	"topazpost/internal/fleet/takeover"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/resultcache"
)

const (
	dueLead     = 50 * ms  // ns before its client timeout at which one that waits for the fleet is answered: a way back, and a sweep
	sweepClaims = 20 * ms  // ns between looks at what waits for the fleet
	viewClaims  = 100 * ms // ns between looks at the view for a seat of the council
	contactFor  = 200 * ms // ns without an answer after which another seat is asked
	roundsMost  = 8        // turns that desk and seat take in one step; what is left waits for the next
	shownMost   = 500      // claims that are told to an operator at once
	heir        = -1       // connection of an invocation that was inherited: nobody is answered
)

// claimed is the door to what the fleet agrees on about tokens: the node's desk, and its seat in the council where it
// has one. Without a council both are nil: no timer, no cost.
type claimed struct {
	desk   *claims.Client
	seat   *consensus.Group
	self   claims.Owner
	seats  []string
	wants  []claims.Input
	heard  []consensus.Input
	links  map[string]int // streams that nodes last spoke on
	deskAt int64
	seatAt int64
	sweep  int64
	viewAt int64
	asks   int   // seat that commands go to
	since  int64 // when it was first asked something since its last answer, 0 where it owes none
}

// work is what an heir needs of an invocation.
type work struct {
	Call   string  `cbor:"1,keyasint"`
	Body   []byte  `cbor:"2,keyasint"`
	HeldKB float64 `cbor:"3,keyasint"`
	Hint   int64   `cbor:"4,keyasint,omitempty"`
	Caller int64   `cbor:"5,keyasint,omitempty"`
}

// EnableConsensus has tokens claimed from a council, before the first step and after Peer and Keep; seats are the names of those
// who sit in it. With bytes the council's table is bounded so.
func (r *StateMachine) EnableConsensus(seats []string, bytes, now, seed int64) {
	self := r.peers.members.Self()
	c := &r.claimed
	*c = claimed{self: claims.Owner{Name: self.Name, Incarnation: uint64(self.StartedAt)}, seats: slices.Sorted(slices.Values(seats)), links: map[string]int{}}
	if r.kept.keeper != nil || r.hollow.on && !r.hollow.onlySeat {
		c.desk = claims.NewClient(c.self)
	}
	if c.asks = slices.Index(c.seats, self.Name); c.asks >= 0 {
		c.seat = consensus.NewGroup(c.seats, self.Name, c.self.Incarnation, now, seed)
		c.seat.SetMaxTableBytes(bytes)
	} else {
		c.asks = int(uint64(seed) % uint64(len(c.seats)))
	}
}

// HasReplica says whether this node has a seat in the council.
func (r *StateMachine) HasReplica() bool { return r.claimed.seat != nil }

// RecoverReplica has the seat go on from what a disk holds, and keep there what it must not forget, before the first step.
func (r *StateMachine) RecoverReplica(now int64, there consensus.DiskContents) error {
	return r.claimed.seat.Recover(now, there)
}

// Claims is what an operator may want to see of them, nil without a council.
func (r *StateMachine) Claims() *consensus.Summary {
	c := &r.claimed
	if c.desk == nil && c.seat == nil {
		return nil
	}
	p := &consensus.Summary{Node: c.self.Name}
	if c.desk != nil {
		p.Client, p.ClaimsInFlight, p.GroupReachable = &c.desk.Counters, c.desk.Size(), c.desk.Connected()
	}
	if h := r.leasing.holder; h != nil {
		p.Lease = &h.Counters
	}
	if c.seat != nil {
		c.seat.Summarize(p, shownMost)
	}
	return p
}

func (r *StateMachine) claimKey(k resultcache.Key) claims.Key {
	key := claims.Key{Operation: r.config.Operations.Name(k.Operation), Token: k.Token}
	if k.Tenant >= 0 {
		key.Tenant = r.config.Tenants.Name(k.Tenant)
	}
	return key
}

func (r *StateMachine) resultKey(k claims.Key) (key resultcache.Key, known bool) {
	op, known := r.config.Operations.Lookup(k.Operation)
	tenant, named := r.config.Tenants.Lookup(k.Tenant)
	if !named {
		tenant = -1
	}
	return resultcache.Key{Operation: op, Tenant: tenant, Token: k.Token}, known && named == (k.Tenant != "")
}

// unclaimed says whether a token's first invocation must be turned away, since nothing new can be claimed now.
func (r *StateMachine) unclaimed(v *invocation) bool {
	c := &r.claimed
	if c.desk == nil || v.key.Token == "" || c.desk.Connected() && c.desk.HasCapacity() {
		return false
	}
	if r.kept.held[v.key] != nil {
		return false
	}
	_, known := r.kept.keeper.BodyHash(v.key)
	return !known
}

// want says something at the desk, where there is one.
func (r *StateMachine) want(in claims.Input) {
	if r.claimed.desk != nil {
		r.claimed.wants = append(r.claimed.wants, in)
	}
}

// claim has a token's first invocation claimed for this node, with all that an heir needs.
func (r *StateMachine) claim(i int32) {
	if r.claimed.desk == nil {
		return
	}
	v := &r.invs[i]
	text, err := cbor.Marshal(work{Call: v.call, Body: v.body, HeldKB: v.arrival.QueuedKB, Hint: v.arrival.ExpectedWork, Caller: v.arrival.Caller})
	if !r.Invariants.Check(err == nil, "what an heir needs can be written") {
		return
	}
	r.want(claims.Input{Kind: claims.RequestClaim, Key: r.claimKey(v.key), BodyHash: v.hash, Remaining: v.due - r.now, InvocationID: v.call, Work: text,
		Window: v.terms.known})
}

// fromStream takes what a node says on a stream.
func (r *StateMachine) fromStream(in *Input) {
	c := &r.claimed
	if in.Kind == PeerStreamClosed {
		for name, link := range c.links {
			if link == in.Link {
				delete(c.links, name)
			}
		}
		return
	}
	m := new(consensus.Message)
	if err := envelope.Open(in.Bytes, r.peers.fleet, m); err != nil {
		r.unusable(in, err)
		r.do(Effect{Kind: CloseStream, Link: in.Link}) // where its letters begin is not known any more
		return
	}
	if c.self.Name == "" {
		return
	}
	c.links[m.From] = in.Link
	r.fromCouncil(m)
}

// fromCouncil takes a message of a seat or a node, this one's own included.
func (r *StateMachine) fromCouncil(m *consensus.Message) {
	c := &r.claimed
	switch m.Kind {
	case consensus.MessageVerdicts, consensus.MessageClaimsEnded, consensus.MessageReassignment:
		if m.Owner != c.self {
			return // of an earlier life
		}
	default:
		if c.seat != nil {
			c.heard = append(c.heard, consensus.Input{Message: m})
		}
		return
	}
	if m.Kind == consensus.MessageVerdicts {
		c.since = 0
		if at := slices.Index(c.seats, m.Leader); at >= 0 && c.seat == nil {
			c.asks = at
		}
	}
	r.leasing.grants = append(r.leasing.grants, m.Grants...)
	r.configuring.decided(m.Decided)
	for k := range m.Verdicts {
		r.want(claims.Input{Kind: claims.VerdictReceived, Verdict: m.Verdicts[k]})
	}
	for _, key := range m.Keys {
		r.want(claims.Input{Kind: claims.EndNotified, Key: key})
	}
	if e := m.Entry; e != nil {
		r.want(claims.Input{Kind: claims.ClaimAssigned, Key: e.Key, BodyHash: e.BodyHash, Remaining: m.Remaining, Window: e.Window, Work: e.Work, InvocationID: e.InvocationID, Fence: e.Fence})
	}
}

// keepClaims steps the desk and the seat, as long as one has something to say to the other.
func (r *StateMachine) keepClaims() {
	c := &r.claimed
	if c.desk == nil && c.seat == nil {
		return
	}
	if c.desk != nil && r.now >= c.sweep {
		r.sweepWaiting()
	}
	for range roundsMost {
		seat := c.seat != nil && (len(c.heard) > 0 || r.now >= c.seatAt)
		desk := c.desk != nil && (len(c.wants) > 0 || r.now >= c.deskAt)
		if !seat && !desk {
			return
		}
		if seat {
			r.stepSeat()
		}
		if desk {
			inputs := c.wants
			c.wants = nil
			var actions []claims.Action
			actions, c.deskAt = c.desk.Step(r.now, inputs)
			for k := range actions {
				r.carryClaim(&actions[k])
			}
		}
	}
}

func (r *StateMachine) stepSeat() {
	c := &r.claimed
	if r.now >= c.viewAt {
		c.viewAt = r.now + viewClaims
		c.heard = append(c.heard, consensus.Input{View: r.heirs()})
	}
	inputs := c.heard
	c.heard = nil
	var effects []consensus.Effect
	effects, c.seatAt = c.seat.Step(r.now, inputs)
	for k := range effects {
		switch e := &effects[k]; e.Kind {
		case consensus.Send:
			r.toNode(e.To, &e.Message)
		case consensus.Persist:
			r.do(Effect{Kind: PersistReplicaWrite, Write: e.Write})
		case consensus.WriteLog:
			r.remark(map[bool]LogLevel{true: Warn, false: Info}[e.Warn], e.Text, "", nil)
		}
	}
}

// heirs is the view as the council needs it. A node without any link keeps all in its view, so it holds nobody lost.
func (r *StateMachine) heirs() (list []takeover.Member) {
	v := r.peers.members.View()
	for k := range v.Members {
		m := &v.Members[k]
		list = append(list, takeover.Member{Owner: claims.Owner{Name: m.Name, Incarnation: uint64(m.StartedAt)}, Zone: m.Facts.Zone, Level: int(m.Facts.Level),
			Alive: m.Status == membership.Alive || m.Status == membership.Suspect, AcceptsWork: m.Facts.Beat == 0 && !m.Facts.NoUse && m.Status == membership.Alive})
	}
	return list
}

// toNode sends a message on the stream that a node last spoke on, else to its address.
func (r *StateMachine) toNode(to string, m *consensus.Message) {
	c := &r.claimed
	if to == c.self.Name {
		own := *m
		r.fromCouncil(&own)
		return
	}
	address, known := r.peers.members.AddressOf(to)
	if link := c.links[to]; link != 0 || known {
		r.seal(Effect{Kind: SendOnStream, Link: link, Address: address}, m)
	}
}

// carryClaim does what the desk asks for.
func (r *StateMachine) carryClaim(a *claims.Action) {
	if a.Kind == claims.SendCommands {
		r.askCouncil(a.Commands, nil)
		return
	}
	if r.hollow.on {
		r.carryHollow(a)
		return
	}
	key, known := r.resultKey(a.Key)
	if !known {
		r.want(claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
		return
	}
	switch a.Kind {
	case claims.StartRun, claims.EndRecorded:
		r.keeper(resultcache.Input{Kind: resultcache.WriteSucceeded, Key: key})
	case claims.CompletedElsewhere:
		r.keeper(resultcache.Input{Kind: resultcache.CompletedElsewhere, Key: key, Outcome: resultcache.Outcome(a.Outcome), Result: a.Result})
	case claims.UnknownElsewhere:
		r.keeper(resultcache.Input{Kind: resultcache.UnknownElsewhere, Key: key})
	case claims.BodyMismatch:
		r.keeper(resultcache.Input{Kind: resultcache.MismatchElsewhere, Key: key})
	case claims.RejectClaim:
		r.keeper(resultcache.Input{Kind: resultcache.RejectedElsewhere, Key: key, Remaining: a.Duration})
	case claims.TakeOver:
		if err := r.inherit(key, a); err != nil {
			r.remark(Warn, "work of a lost node can't be taken over", a.Key.String(), err)
			r.want(claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
		}
	}
}

// askCouncil sends commands and asks for leases to a seat: this node's own while it knows a leader, else the one that
// answered last, and another one where that is silent.
func (r *StateMachine) askCouncil(commands []claims.Command, leases []quota.Command, proposed ...configsync.Command) {
	c := &r.claimed
	if c.since == 0 {
		c.since = r.now
	} else if r.now-c.since >= contactFor {
		c.asks, c.since = (c.asks+1)%len(c.seats), r.now
	}
	if c.seat != nil && c.seat.Leader() != "" {
		c.heard = append(c.heard, consensus.Input{Claims: slices.Clone(commands), Leases: leases, Proposed: proposed, Owner: c.self})
		return
	}
	if to := c.seats[c.asks]; to != c.self.Name {
		r.toNode(to, &consensus.Message{Kind: consensus.MessagePropose, From: c.self.Name, Owner: c.self, Commands: commands, Leases: leases, Proposed: proposed})
	}
}

// orderAtSeat has this node's seat order what it wants ordered of itself.
func (r *StateMachine) orderAtSeat(command *configsync.Command) {
	if c := &r.claimed; c.seat != nil {
		c.heard = append(c.heard, consensus.Input{Proposed: []configsync.Command{*command}})
	}
}

// agreedAtSeat is what this node's seat knows to be agreed on of the configuration, where that changed since it was last asked.
func (r *StateMachine) agreedAtSeat() (agreed *configsync.Agreed, changed bool) {
	if c := &r.claimed; c.seat != nil {
		return c.seat.AgreedConfig()
	}
	return nil, false
}

// inherit takes in what a lost node had claimed, as an invocation whose caller is not here. Its due time stays; its latency
// objective counts from now on, or the module would give up as hopeless what was lost with its node.
func (r *StateMachine) inherit(key resultcache.Key, a *claims.Action) error {
	if r.post == nil || r.noticed {
		return fmt.Errorf("this node takes nothing in")
	}
	var w work
	if err := cbor.Unmarshal(a.Work, &w); err != nil {
		return fmt.Errorf("its work can't be read: %w", err)
	}
	if _, used := r.calls[w.Call]; used || !hex16(w.Call) || len(w.Body) > bodyMost || w.HeldKB <= 0 || w.HeldKB >= heapMost {
		return fmt.Errorf("call %q: in use, or not one", w.Call)
	}
	if r.kept.held[key] != nil {
		return nil // a caller is here already, and its invocation goes on under this claim
	}
	if _, known := r.kept.keeper.BodyHash(key); known {
		return nil
	}
	v := invocation{live: true, conn: heir, call: w.Call, op: r.config.Operations.Name(key.Operation), body: w.Body, key: key, hash: a.BodyHash,
		operation: key.Operation, tenant: key.Tenant, taken: r.now, due: r.now + a.Duration}
	v.arrival = admission.Event{Kind: admission.Arrived, OperationIndex: key.Operation, Tenant: key.Tenant, Original: admission.NoOriginal, Retry: true,
		Deadline: r.now + a.Duration, QueuedKB: w.HeldKB, ExpectedWork: w.Hint, Caller: w.Caller}
	i := r.admit(v)
	r.invs[i].arrival.Invocation = i
	r.kept.held[key] = &unrun{first: i, hash: v.hash}
	r.tellModule(r.invs[i].arrival)
	r.Counters.Inherited++
	return nil
}

// sweepWaiting lets go of claims that nothing here waits for, and answers those whose client timeout comes near.
func (r *StateMachine) sweepWaiting() {
	c := &r.claimed
	c.sweep = r.now + sweepClaims
	if r.hollow.on {
		r.sweepHollow()
		return
	}
	for _, k := range c.desk.NotStarted() {
		key, _ := r.resultKey(k)
		if r.kept.held[key] != nil {
			continue // the module's
		}
		if _, known := r.kept.keeper.BodyHash(key); !known {
			r.want(claims.Input{Kind: claims.AbandonClaim, Key: k})
			continue
		}
		askers, unrun := r.kept.keeper.Waiters(key)
		if unrun && len(askers) == 0 {
			r.keeper(resultcache.Input{Kind: resultcache.AnswerRequired, Invocation: -1, Key: key})
		}
		for _, i := range askers {
			if r.now >= r.invs[i].due-dueLead {
				r.keeper(resultcache.Input{Kind: resultcache.AnswerRequired, Invocation: i, Key: key, MayHaveRun: c.desk.OwnedElsewhere(k)})
			}
		}
	}
}

// claimsDue is when desk or seat is to step again.
func (r *StateMachine) claimsDue() int64 {
	c := &r.claimed
	at := int64(never)
	if c.seat != nil {
		at = min(at, c.seatAt)
	}
	if c.desk != nil {
		at = min(at, c.deskAt)
		if c.desk.Size() > 0 {
			at = min(at, c.sweep)
		}
	}
	if len(c.wants)+len(c.heard) > 0 {
		at = r.now + 1
	}
	return max(at, r.now+1)
}

// turnAway throttles a token's first invocation while the council is out of reach.
func (r *StateMachine) turnAway(link int, stream uint32) {
	var fields []frame.Field
	if back := min(contactFor, r.config.Node.MaxRetryAfter); back > 0 {
		fields = append(fields, frame.Field{Name: "pushback", Value: fmt.Sprint((back + ms - 1) / ms)})
	}
	r.Counters.Throttled++
	r.send(link, stream, frame.Throttled, fields, nil)
}
