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
	answerMargin       = 50 * ms  // ns before its client timeout at which one that waits for the fleet is answered: a way back, and a sweep
	claimSweepInterval = 20 * ms  // ns between looks at what waits for the fleet
	groupViewInterval  = 100 * ms // ns between looks at the view for a seat of the council
	replicaTimeout     = 200 * ms // ns without an answer after which another seat is asked
	maxRoundsPerStep   = 8        // turns that desk and seat take in one step; what is left waits for the next
	maxClaimsShown     = 500      // claims that are told to an operator at once
	heir               = -1       // connection of an invocation that was inherited: nobody is answered
)

// claimState is the door to what the fleet agrees on about tokens: the node's desk, and its seat in the council where it
// has one. Without a council both are nil: no timer, no cost.
type claimState struct {
	client          *claims.Client
	replica         *consensus.Group
	self            claims.Owner
	replicas        []string
	clientInputs    []claims.Input
	heard           []consensus.Input
	streams         map[string]int // streams that nodes last spoke on
	clientAt        int64
	replicaAt       int64
	sweepAt         int64
	viewAt          int64
	contact         int   // seat that commands go to
	unansweredSince int64 // when it was first asked something since its last answer, 0 where it owes none
}

// takeoverWork is what an heir needs of an invocation.
type takeoverWork struct {
	Call         string  `cbor:"1,keyasint"`
	Body         []byte  `cbor:"2,keyasint"`
	QueuedKB     float64 `cbor:"3,keyasint"`
	ExpectedWork int64   `cbor:"4,keyasint,omitempty"`
	Caller       int64   `cbor:"5,keyasint,omitempty"`
}

// EnableConsensus has tokens claimed from a council, before the first step and after Peer and Keep; seats are the names of those
// who sit in it. With bytes the council's table is bounded so.
func (sm *StateMachine) EnableConsensus(seats []string, bytes, now, seed int64) {
	self := sm.fleet.members.Self()
	c := &sm.claiming
	*c = claimState{self: claims.Owner{Name: self.Name, Incarnation: uint64(self.StartedAt)}, replicas: slices.Sorted(slices.Values(seats)), streams: map[string]int{}}
	if sm.results.keeper != nil || sm.hollow.on && !sm.hollow.replicaOnly {
		c.client = claims.NewClient(c.self)
	}
	if c.contact = slices.Index(c.replicas, self.Name); c.contact >= 0 {
		c.replica = consensus.NewGroup(c.replicas, self.Name, c.self.Incarnation, now, seed)
		c.replica.SetMaxTableBytes(bytes)
	} else {
		c.contact = int(uint64(seed) % uint64(len(c.replicas)))
	}
}

// HasReplica says whether this node has a seat in the council.
func (sm *StateMachine) HasReplica() bool { return sm.claiming.replica != nil }

// RecoverReplica has the seat go on from what a disk holds, and keep there what it must not forget, before the first step.
func (sm *StateMachine) RecoverReplica(now int64, there consensus.DiskContents) error {
	return sm.claiming.replica.Recover(now, there)
}

// Claims is what an operator may want to see of them, nil without a council.
func (sm *StateMachine) Claims() *consensus.Summary {
	c := &sm.claiming
	if c.client == nil && c.replica == nil {
		return nil
	}
	p := &consensus.Summary{Node: c.self.Name}
	if c.client != nil {
		p.Client, p.ClaimsInFlight, p.GroupReachable = &c.client.Counters, c.client.Size(), c.client.Connected()
	}
	if h := sm.leases.holder; h != nil {
		p.Lease = &h.Counters
	}
	if c.replica != nil {
		c.replica.Summarize(p, maxClaimsShown)
	}
	return p
}

func (sm *StateMachine) claimKey(k resultcache.Key) claims.Key {
	key := claims.Key{Operation: sm.config.Operations.Name(k.Operation), Token: k.Token}
	if k.Tenant >= 0 {
		key.Tenant = sm.config.Tenants.Name(k.Tenant)
	}
	return key
}

func (sm *StateMachine) resultKey(k claims.Key) (key resultcache.Key, known bool) {
	op, known := sm.config.Operations.Lookup(k.Operation)
	tenant, named := sm.config.Tenants.Lookup(k.Tenant)
	if !named {
		tenant = -1
	}
	return resultcache.Key{Operation: op, Tenant: tenant, Token: k.Token}, known && named == (k.Tenant != "")
}

// isUnclaimed says whether a token's first invocation must be turned away, since nothing new can be claimed now.
func (sm *StateMachine) isUnclaimed(v *invocation) bool {
	c := &sm.claiming
	if c.client == nil || v.tokenKey.Token == "" || c.client.Connected() && c.client.HasCapacity() {
		return false
	}
	if sm.results.pending[v.tokenKey] != nil {
		return false
	}
	_, known := sm.results.keeper.BodyHash(v.tokenKey)
	return !known
}

// addClaimInput says something at the desk, where there is one.
func (sm *StateMachine) addClaimInput(in claims.Input) {
	if sm.claiming.client != nil {
		sm.claiming.clientInputs = append(sm.claiming.clientInputs, in)
	}
}

// claimToken has a token's first invocation claimed for this node, with all that an heir needs.
func (sm *StateMachine) claimToken(i int32) {
	if sm.claiming.client == nil {
		return
	}
	v := &sm.invocations[i]
	text, err := cbor.Marshal(takeoverWork{Call: v.call, Body: v.body, QueuedKB: v.arrival.QueuedKB, ExpectedWork: v.arrival.ExpectedWork, Caller: v.arrival.Caller})
	if !sm.Invariants.Check(err == nil, "what an heir needs can be written") {
		return
	}
	sm.addClaimInput(claims.Input{Kind: claims.RequestClaim, Key: sm.claimKey(v.tokenKey), BodyHash: v.bodyHash, Remaining: v.deadline - sm.now, InvocationID: v.call, Work: text,
		Window: v.terms.tokenLifetime})
}

// applyStreamMessage takes what a node says on a stream.
func (sm *StateMachine) applyStreamMessage(in *Input) {
	c := &sm.claiming
	if in.Kind == PeerStreamClosed {
		for name, link := range c.streams {
			if link == in.Link {
				delete(c.streams, name)
			}
		}
		return
	}
	m := new(consensus.Message)
	if err := envelope.Open(in.Bytes, sm.fleet.id, m); err != nil {
		sm.countUnusable(in, err)
		sm.emit(Effect{Kind: CloseStream, Link: in.Link}) // where its letters begin is not known any more
		return
	}
	if c.self.Name == "" {
		return
	}
	c.streams[m.From] = in.Link
	sm.applyGroupMessage(m)
}

// applyGroupMessage takes a message of a seat or a node, this one's own included.
func (sm *StateMachine) applyGroupMessage(m *consensus.Message) {
	c := &sm.claiming
	switch m.Kind {
	case consensus.MessageVerdicts, consensus.MessageClaimsEnded, consensus.MessageReassignment:
		if m.Owner != c.self {
			return // of an earlier life
		}
	default:
		if c.replica != nil {
			c.heard = append(c.heard, consensus.Input{Message: m})
		}
		return
	}
	if m.Kind == consensus.MessageVerdicts {
		c.unansweredSince = 0
		if at := slices.Index(c.replicas, m.Leader); at >= 0 && c.replica == nil {
			c.contact = at
		}
	}
	sm.leases.grants = append(sm.leases.grants, m.Grants...)
	sm.configSync.addVerdicts(m.Decided)
	for k := range m.Verdicts {
		sm.addClaimInput(claims.Input{Kind: claims.VerdictReceived, Verdict: m.Verdicts[k]})
	}
	for _, key := range m.Keys {
		sm.addClaimInput(claims.Input{Kind: claims.EndNotified, Key: key})
	}
	if e := m.Entry; e != nil {
		sm.addClaimInput(claims.Input{Kind: claims.ClaimAssigned, Key: e.Key, BodyHash: e.BodyHash, Remaining: m.Remaining, Window: e.Window, Work: e.Work, InvocationID: e.InvocationID, Fence: e.Fence})
	}
}

// stepClaims steps the desk and the seat, as long as one has something to say to the other.
func (sm *StateMachine) stepClaims() {
	c := &sm.claiming
	if c.client == nil && c.replica == nil {
		return
	}
	if c.client != nil && sm.now >= c.sweepAt {
		sm.expireWaiting()
	}
	for range maxRoundsPerStep {
		seat := c.replica != nil && (len(c.heard) > 0 || sm.now >= c.replicaAt)
		desk := c.client != nil && (len(c.clientInputs) > 0 || sm.now >= c.clientAt)
		if !seat && !desk {
			return
		}
		if seat {
			sm.stepReplica()
		}
		if desk {
			inputs := c.clientInputs
			c.clientInputs = nil
			var actions []claims.Action
			actions, c.clientAt = c.client.Step(sm.now, inputs)
			for k := range actions {
				sm.executeClaimAction(&actions[k])
			}
		}
	}
}

func (sm *StateMachine) stepReplica() {
	c := &sm.claiming
	if sm.now >= c.viewAt {
		c.viewAt = sm.now + groupViewInterval
		c.heard = append(c.heard, consensus.Input{View: sm.takeoverMembers()})
	}
	inputs := c.heard
	c.heard = nil
	var effects []consensus.Effect
	effects, c.replicaAt = c.replica.Step(sm.now, inputs)
	for k := range effects {
		switch e := &effects[k]; e.Kind {
		case consensus.Send:
			sm.sendGroupMessage(e.To, &e.Message)
		case consensus.Persist:
			sm.emit(Effect{Kind: PersistReplicaWrite, Write: e.Write})
		case consensus.WriteLog:
			sm.log(map[bool]LogLevel{true: Warn, false: Info}[e.Warn], e.Text, "", nil)
		}
	}
}

// takeoverMembers is the view as the council needs it. A node without any link keeps all in its view, so it holds nobody lost.
func (sm *StateMachine) takeoverMembers() (list []takeover.Member) {
	v := sm.fleet.members.View()
	for k := range v.Members {
		m := &v.Members[k]
		list = append(list, takeover.Member{Owner: claims.Owner{Name: m.Name, Incarnation: uint64(m.StartedAt)}, Zone: m.Facts.Zone, Level: int(m.Facts.Level),
			Alive: m.Status == membership.Alive || m.Status == membership.Suspect, AcceptsWork: m.Facts.Beat == 0 && !m.Facts.NoUse && m.Status == membership.Alive})
	}
	return list
}

// sendGroupMessage sends a message on the stream that a node last spoke on, else to its address.
func (sm *StateMachine) sendGroupMessage(to string, m *consensus.Message) {
	c := &sm.claiming
	if to == c.self.Name {
		own := *m
		sm.applyGroupMessage(&own)
		return
	}
	address, known := sm.fleet.members.AddressOf(to)
	if link := c.streams[to]; link != 0 || known {
		sm.sendEnvelope(Effect{Kind: SendOnStream, Link: link, Address: address}, m)
	}
}

// executeClaimAction does what the desk asks for.
func (sm *StateMachine) executeClaimAction(a *claims.Action) {
	if a.Kind == claims.SendCommands {
		sm.proposeToGroup(a.Commands, nil)
		return
	}
	if sm.hollow.on {
		sm.executeHollowAction(a)
		return
	}
	key, known := sm.resultKey(a.Key)
	if !known {
		sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
		return
	}
	switch a.Kind {
	case claims.StartRun, claims.EndRecorded:
		sm.stepCache(resultcache.Input{Kind: resultcache.WriteSucceeded, Key: key})
	case claims.CompletedElsewhere:
		sm.stepCache(resultcache.Input{Kind: resultcache.CompletedElsewhere, Key: key, Outcome: resultcache.Outcome(a.Outcome), Result: a.Result})
	case claims.UnknownElsewhere:
		sm.stepCache(resultcache.Input{Kind: resultcache.UnknownElsewhere, Key: key})
	case claims.BodyMismatch:
		sm.stepCache(resultcache.Input{Kind: resultcache.MismatchElsewhere, Key: key})
	case claims.RejectClaim:
		sm.stepCache(resultcache.Input{Kind: resultcache.RejectedElsewhere, Key: key, Remaining: a.Duration})
	case claims.TakeOver:
		if err := sm.takeOverInvocation(key, a); err != nil {
			sm.log(Warn, "work of a lost node can't be taken over", a.Key.String(), err)
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: a.Key})
		}
	}
}

// proposeToGroup sends commands and asks for leases to a seat: this node's own while it knows a leader, else the one that
// answered last, and another one where that is silent.
func (sm *StateMachine) proposeToGroup(commands []claims.Command, leases []quota.Command, proposed ...configsync.Command) {
	c := &sm.claiming
	if c.unansweredSince == 0 {
		c.unansweredSince = sm.now
	} else if sm.now-c.unansweredSince >= replicaTimeout {
		c.contact, c.unansweredSince = (c.contact+1)%len(c.replicas), sm.now
	}
	if c.replica != nil && c.replica.Leader() != "" {
		c.heard = append(c.heard, consensus.Input{Claims: slices.Clone(commands), Leases: leases, Proposed: proposed, Owner: c.self})
		return
	}
	if to := c.replicas[c.contact]; to != c.self.Name {
		sm.sendGroupMessage(to, &consensus.Message{Kind: consensus.MessagePropose, From: c.self.Name, Owner: c.self, Commands: commands, Leases: leases, Proposed: proposed})
	}
}

// proposeAtReplica has this node's seat order what it wants ordered of itself.
func (sm *StateMachine) proposeAtReplica(command *configsync.Command) {
	if c := &sm.claiming; c.replica != nil {
		c.heard = append(c.heard, consensus.Input{Proposed: []configsync.Command{*command}})
	}
}

// agreedAtReplica is what this node's seat knows to be agreed on of the configuration, where that changed since it was last asked.
func (sm *StateMachine) agreedAtReplica() (agreed *configsync.Agreed, changed bool) {
	if c := &sm.claiming; c.replica != nil {
		return c.replica.AgreedConfig()
	}
	return nil, false
}

// takeOverInvocation takes in what a lost node had claimed, as an invocation whose caller is not here. Its due time stays; its latency
// objective counts from now on, or the module would give up as hopeless what was lost with its node.
func (sm *StateMachine) takeOverInvocation(key resultcache.Key, a *claims.Action) error {
	if sm.controller == nil || sm.drainRequested {
		return fmt.Errorf("this node takes nothing in")
	}
	var w takeoverWork
	if err := cbor.Unmarshal(a.Work, &w); err != nil {
		return fmt.Errorf("its work can't be read: %w", err)
	}
	if _, used := sm.indexByCall[w.Call]; used || !hex16(w.Call) || len(w.Body) > bodyMost || w.QueuedKB <= 0 || w.QueuedKB >= heapMost {
		return fmt.Errorf("call %q: in use, or not one", w.Call)
	}
	if sm.results.pending[key] != nil {
		return nil // a caller is here already, and its invocation goes on under this claim
	}
	if _, known := sm.results.keeper.BodyHash(key); known {
		return nil
	}
	v := invocation{live: true, connection: heir, call: w.Call, op: sm.config.Operations.Name(key.Operation), body: w.Body, tokenKey: key, bodyHash: a.BodyHash,
		operation: key.Operation, tenant: key.Tenant, arrivedAt: sm.now, deadline: sm.now + a.Duration}
	v.arrival = admission.Event{Kind: admission.Arrived, OperationIndex: key.Operation, Tenant: key.Tenant, Original: admission.NoOriginal, Retry: true,
		Deadline: sm.now + a.Duration, QueuedKB: w.QueuedKB, ExpectedWork: w.ExpectedWork, Caller: w.Caller}
	i := sm.addInvocation(v)
	sm.invocations[i].arrival.Invocation = i
	sm.results.pending[key] = &pendingRun{original: i, bodyHash: v.bodyHash}
	sm.notifyController(sm.invocations[i].arrival)
	sm.Counters.Inherited++
	return nil
}

// expireWaiting lets go of claims that nothing here waits for, and answers those whose client timeout comes near.
func (sm *StateMachine) expireWaiting() {
	c := &sm.claiming
	c.sweepAt = sm.now + claimSweepInterval
	if sm.hollow.on {
		sm.expireHollowTokens()
		return
	}
	for _, k := range c.client.NotStarted() {
		key, _ := sm.resultKey(k)
		if sm.results.pending[key] != nil {
			continue // the module's
		}
		if _, known := sm.results.keeper.BodyHash(key); !known {
			sm.addClaimInput(claims.Input{Kind: claims.AbandonClaim, Key: k})
			continue
		}
		askers, unrun := sm.results.keeper.Waiters(key)
		if unrun && len(askers) == 0 {
			sm.stepCache(resultcache.Input{Kind: resultcache.AnswerRequired, Invocation: -1, Key: key})
		}
		for _, i := range askers {
			if sm.now >= sm.invocations[i].deadline-answerMargin {
				sm.stepCache(resultcache.Input{Kind: resultcache.AnswerRequired, Invocation: i, Key: key, MayHaveRun: c.client.OwnedElsewhere(k)})
			}
		}
	}
}

// claimsDue is when desk or seat is to step again.
func (sm *StateMachine) claimsDue() int64 {
	c := &sm.claiming
	at := int64(never)
	if c.replica != nil {
		at = min(at, c.replicaAt)
	}
	if c.client != nil {
		at = min(at, c.clientAt)
		if c.client.Size() > 0 {
			at = min(at, c.sweepAt)
		}
	}
	if len(c.clientInputs)+len(c.heard) > 0 {
		at = sm.now + 1
	}
	return max(at, sm.now+1)
}

// rejectUnread throttles a token's first invocation while the council is out of reach.
func (sm *StateMachine) rejectUnread(link int, stream uint32) {
	var fields []frame.Field
	if back := min(replicaTimeout, sm.config.Node.MaxRetryAfter); back > 0 {
		fields = append(fields, frame.Field{Name: "pushback", Value: fmt.Sprint((back + ms - 1) / ms)})
	}
	sm.Counters.Throttled++
	sm.sendFrame(link, stream, frame.Throttled, fields, nil)
}
