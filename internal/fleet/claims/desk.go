package claims

import (
	"slices"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	againFirst  = 250 * ms   // ns to the first repeat of a command that is not answered: a member of the council may be gone
	againMost   = 1_000 * ms // ns to any further one
	askEvery    = 500 * ms   // ns between looks at a claim that is elsewhere: the telling of its end may be lost
	reachFor    = 700 * ms   // ns without an answer to anything past which the council is out of reach: an election takes as long
	idleEvery   = 2_000 * ms // ns without a word of the council after which it is asked for one: who is idle should know too
	probeEvery  = 200 * ms   // ns between words to a council that is out of reach
	scanEvery   = 20 * ms    // ns between looks at all claims in hand
	recordsMost = 20_000     // claims in hand at one node: above what its memory for tokens holds
	settlesMost = 1_024      // ends that executors told of earlier lives: as many as one may have run
	never       = 1<<63 - 1  // ns
	batchMost   = 256        // commands in one message: at 3 kB each what a snapshot may be
)

// RequestKind is what a node says at its desk.
type RequestKind uint8

// The wants.
const (
	RequestClaim     RequestKind = iota // a token's first invocation was read: claim it
	RequestStart                        // it is to run now
	ReportEnd                           // its run ended, with Ending and Result
	AbandonClaim                        // nobody waits for it, and under the claim in hand nothing runs or will; also told of what is over
	VerdictReceived                     // the council's verdict
	EndNotified                         // the council tells that a claim elsewhere is over
	ClaimAssigned                       // the council gives this node a claim of one that was lost
	EarlierRunEnded                     // the executor tells how a run of an earlier life ended
	ReleaseUnstarted                    // a drain is over: what is only claimed is let go
)

// Input is one thing that happened; only the fields of its kind are set.
type Input struct {
	Kind         RequestKind
	Key          Key
	BodyHash     uint64
	Remaining    int64 // Arrived, Given: ns to its due time
	Window       int64
	Work         []byte
	InvocationID string
	Outcome      uint8
	Result       []byte
	Fence        uint64 // Given
	Verdict      Verdict
}

// ActionKind is what a desk has its node do.
type ActionKind uint8

// The deeds. Each Begin is followed by one of Run, Learn, Doubt, Differ or Deny, unless it is dropped before.
const (
	SendCommands       ActionKind = iota // send Commands to the council
	StartRun                             // the start is agreed on: the executor may hear of it
	CompletedElsewhere                   // it ended elsewhere, with Ending and Result
	UnknownElsewhere                     // it may have run elsewhere
	BodyMismatch                         // the token came with another body elsewhere
	RejectClaim                          // throttle: there is no room for the claim
	EndRecorded                          // how the run ended is agreed on
	TakeOver                             // take this in and run it, for whoever asks
)

// Action is one thing to do; only the fields of its kind are set.
type Action struct {
	Kind     ActionKind
	Key      Key
	BodyHash uint64
	Duration int64 // Heir: ns to its due time; Deny: to a time to come back
	Work     []byte
	Outcome  uint8
	Result   []byte
	Commands []Command
}

type step uint8

const (
	asking    step = iota // Claim is on its way
	granted               // this node may start it
	elsewhere             // another has it
	learned               // what the council said waits for Begin
	starting              // Start is on its way
	running
	ending    // End is on its way
	releasing // Release is on its way
	leaving   // Claim is on its way, and what it grants is to be let go
)

// claim is one that the desk has in hand.
type claim struct {
	key     Key
	step    step
	wanted  bool // Begin came
	body    uint64
	due     int64
	window  int64
	work    []byte
	call    string
	fence   uint64
	verdict Verdict // learned
	ending  uint8
	result  []byte

	seq    uint64 // of the command on its way, 0 for none
	sent   int64  // when it was last sent
	first  int64  // when it was first sent
	wait   int64
	lookAt int64  // elsewhere: when to ask again
	next   *claim // releasing: it came again meanwhile
	given  bool   // of a node that was lost, and nobody here waits for it
	gone   bool
}

// ClientCounters are what operators see.
type ClientCounters struct {
	Claimed             int `json:"claimed"`
	Joined              int `json:"joined"` // waited for a run elsewhere
	ServedFromElsewhere int `json:"kept"`   // had the result of a run elsewhere
	Unknown             int `json:"unknown"`
	Assigned            int `json:"taken"`   // given to this node
	Fenced              int `json:"fenced"`  // started too late: another had it
	UnknownReleased     int `json:"zombies"` // claims of this node that it knew nothing of, let go
	Sent                int `json:"sent"`    // commands, repeats included
	Unreachable         int `json:"out_of_reach"`
	Resolved            int `json:"settled"`
}

// Client is where a node asks its council. It holds what is not over yet.
type Client struct {
	Counters ClientCounters

	self     Owner
	claims   map[Key]*claim
	bySeq    map[uint64]*claim
	order    []*claim // in the order of their coming, so that commands go out in it
	seq      uint64
	now      int64
	out      []Action
	send     []Command
	heard    int64 // when the council last answered
	reached  bool
	probed   int64
	probe    uint64
	settles  []Command // what executors told, until it is agreed on
	settleAt int64
	scanAt   int64 // when all claims are to be looked at
	scanned  int64
}

// NewClient is the desk of one life of a node. Its council is out of reach until it answers.
func NewClient(self Owner) *Client {
	return &Client{self: self, claims: map[Key]*claim{}, bySeq: map[uint64]*claim{}, probed: -probeEvery, scanAt: never}
}

// Connected says whether the council answers: without it nothing new may be claimed.
func (d *Client) Connected() bool { return d.reached }

// HasCapacity says whether one more claim can be held.
func (d *Client) HasCapacity() bool { return len(d.claims) < recordsMost }

// OwnedElsewhere says whether another node holds the claim, so that it may run there or have run.
func (d *Client) OwnedElsewhere(k Key) bool {
	c := d.claims[k]
	return c != nil && c.step == elsewhere
}

// NotStarted are the claims in hand under which nothing runs here and that are not on their way out, in the order of their
// coming, and those whose end is not agreed on yet.
func (d *Client) NotStarted() (keys []Key) {
	for _, c := range d.order {
		if !c.gone && (c.step < running || c.step == ending) {
			keys = append(keys, c.key)
		}
	}
	return keys
}

// Size is how many claims are in hand.
func (d *Client) Size() int { return len(d.claims) }

func (d *Client) do(a Action) { d.out = append(d.out, a) }

// Step takes what happened up to now, by a clock that only advances. The actions are valid until the next step; wake is
// when it is to step again at the latest.
func (d *Client) Step(now int64, inputs []Input) (actions []Action, wake int64) {
	d.now, d.out, d.send = now, d.out[:0], nil
	for i := range inputs {
		d.take(&inputs[i])
	}
	wake = d.keep()
	for len(d.send) > 0 {
		n := min(batchMost, len(d.send))
		d.Counters.Sent += n
		d.do(Action{Kind: SendCommands, Commands: d.send[:n]})
		d.send = d.send[n:]
	}
	return d.out, wake
}

func (d *Client) take(in *Input) {
	c := d.claims[in.Key]
	switch in.Kind {
	case RequestClaim:
		if c == nil {
			c = d.add(&claim{key: in.Key, body: in.BodyHash, due: d.now + in.Remaining, window: in.Window, work: in.Work, call: in.InvocationID})
			d.Counters.Claimed++
			d.command(c, CommandClaim)
		} else if c.step == leaving {
			c.step, c.due, c.body, c.work, c.call = asking, d.now+in.Remaining, in.BodyHash, in.Work, in.InvocationID
		} else if c.step == releasing { // it was let go, and comes again before that is agreed on: under its fence nothing may start
			c.next = &claim{key: in.Key, body: in.BodyHash, due: d.now + in.Remaining, window: in.Window, work: in.Work, call: in.InvocationID}
		}
	case RequestStart:
		if c == nil {
			c = d.add(&claim{key: in.Key, body: in.BodyHash, due: d.now + in.Remaining, window: in.Window, work: in.Work, call: in.InvocationID})
			d.command(c, CommandClaim)
		}
		if c.step == releasing && c.next != nil {
			c.next.wanted = true
		} else if !c.wanted {
			c.wanted = true
			d.begin(c)
		}
	case ReportEnd:
		if c != nil && c.step == running {
			c.step, c.ending, c.result = ending, in.Outcome, in.Result
			d.command(c, CommandEnd)
		}
	case AbandonClaim:
		if c != nil {
			d.letGo(c)
		}
	case VerdictReceived:
		d.answered(&in.Verdict)
	case EndNotified:
		if c != nil && c.step == elsewhere && c.seq == 0 {
			d.command(c, CommandClaim)
		}
	case ClaimAssigned:
		d.given(in, c)
	case EarlierRunEnded:
		d.seq++
		if len(d.settles) < settlesMost {
			d.settles = append(d.settles, Command{Kind: CommandResolve, Sender: d.self, Seq: d.seq, InvocationID: in.InvocationID, Outcome: in.Outcome, Result: in.Result})
			d.settleAt = d.now
		}
	}
}

func (d *Client) add(c *claim) *claim {
	d.claims[c.key] = c
	d.order = append(d.order, c)
	return c
}

func (d *Client) forget(c *claim) {
	if c.gone = true; d.claims[c.key] == c {
		delete(d.claims, c.key)
	}
	delete(d.bySeq, c.seq)
}

// command sends one for a claim, the only one of it that is on its way.
func (d *Client) command(c *claim, kind CommandKind) {
	delete(d.bySeq, c.seq)
	d.seq++
	c.seq, c.first, c.wait = d.seq, d.now, againFirst
	d.bySeq[c.seq] = c
	d.scanAt = min(d.scanAt, d.now+againFirst)
	d.resend(c, kind)
}

func (d *Client) resend(c *claim, kind CommandKind) {
	c.sent = d.now
	m := Command{Kind: kind, Sender: d.self, Seq: c.seq, Key: c.key, Fence: c.fence}
	switch kind {
	case CommandClaim:
		m.Fence, m.BodyHash, m.Duration, m.Window, m.Work, m.InvocationID = 0, c.body, max(0, c.due-d.now), c.window, c.work, c.call
	case CommandRelease:
		m.Returned = c.given
	case CommandEnd:
		m.Outcome, m.Result = c.ending, c.result
	}
	d.send = append(d.send, m)
}

func (c *claim) kind() CommandKind {
	switch c.step {
	case starting:
		return CommandStart
	case ending:
		return CommandEnd
	case releasing:
		return CommandRelease
	}
	return CommandClaim
}

// begin goes on with a claim whose run is wanted.
func (d *Client) begin(c *claim) {
	if !c.wanted {
		return
	}
	switch c.step {
	case granted:
		c.step = starting
		d.command(c, CommandStart)
	case learned:
		v := c.verdict
		d.forget(c)
		switch v.Answer {
		case AnswerCompleted:
			d.Counters.ServedFromElsewhere++
			d.do(Action{Kind: CompletedElsewhere, Key: c.key, Outcome: v.Outcome, Result: v.Result})
		case AnswerOutcomeUnknown:
			d.Counters.Unknown++
			d.do(Action{Kind: UnknownElsewhere, Key: c.key})
		case AnswerBodyMismatch:
			d.do(Action{Kind: BodyMismatch, Key: c.key})
		default:
			d.do(Action{Kind: RejectClaim, Key: c.key, Duration: v.RetryAfter})
		}
	}
}

// letGo ends a claim under which nothing ran. One that is on its way may yet be granted, and is let go then.
func (d *Client) letGo(c *claim) {
	switch c.step {
	case granted, starting, running:
		c.step = releasing
		d.command(c, CommandRelease)
	case releasing:
		c.next = nil
	case asking, elsewhere, learned:
		if c.seq == 0 {
			d.forget(c)
			return
		}
		c.step, c.wanted = leaving, false
	}
}

func (d *Client) answered(v *Verdict) {
	d.heard = d.now
	d.reached = true
	d.probe = 0
	if n := len(d.settles); n > 0 {
		if d.settles = slices.DeleteFunc(d.settles, func(c Command) bool { return c.Seq == v.Seq }); len(d.settles) < n {
			return
		}
	}
	c := d.bySeq[v.Seq]
	if c == nil || v.Seq == 0 {
		return
	}
	delete(d.bySeq, v.Seq)
	c.seq = 0
	switch c.step {
	case asking, elsewhere:
		d.claimed(c, v)
	case starting:
		if v.Answer == AnswerGranted {
			c.step = running
			d.do(Action{Kind: StartRun, Key: c.key})
			return
		}
		d.Counters.Fenced++ // another has it by now: who, the table knows
		c.step, c.fence = elsewhere, 0
		d.command(c, CommandClaim)
	case ending:
		key := c.key
		d.forget(c)
		d.do(Action{Kind: EndRecorded, Key: key})
	case releasing:
		d.forget(c)
		if c.next != nil {
			d.command(d.add(c.next), CommandClaim)
		}
	case leaving:
		if v.Answer == AnswerGranted {
			c.step, c.fence = releasing, v.Fence
			d.command(c, CommandRelease)
			return
		}
		d.forget(c)
	}
}

func (d *Client) claimed(c *claim, v *Verdict) {
	switch {
	case v.Answer == AnswerGranted:
		c.step, c.fence = granted, v.Fence
		d.begin(c)
	case v.Answer == AnswerOwnedElsewhere && v.Owner == d.self:
		// A start of this life that it gave up before it was agreed on: nothing ran here under that fence, or the claim
		// would still be in hand.
		d.Counters.UnknownReleased++
		d.send = append(d.send, Command{Kind: CommandRelease, Sender: d.self, Key: c.key, Fence: v.Fence})
		d.command(c, CommandClaim)
	case v.Answer == AnswerOwnedElsewhere:
		if c.step != elsewhere {
			d.Counters.Joined++
		}
		c.step, c.lookAt = elsewhere, d.now+askEvery
		d.scanAt = min(d.scanAt, c.lookAt)
	default:
		c.step, c.verdict = learned, *v
		d.begin(c)
	}
}

// given takes a claim of a node that was lost. It may be told again and again, of what is over here too: then its start
// is refused.
func (d *Client) given(in *Input, c *claim) {
	switch {
	case c == nil:
		d.Counters.Assigned++
		c = d.add(&claim{key: in.Key, step: granted, given: true, body: in.BodyHash, due: d.now + in.Remaining, window: in.Window, work: in.Work, call: in.InvocationID, fence: in.Fence})
		d.do(Action{Kind: TakeOver, Key: in.Key, BodyHash: in.BodyHash, Duration: in.Remaining, Work: in.Work})
	case c.step == asking || c.step == elsewhere || c.step == granted && c.fence < in.Fence:
		if c.step != granted {
			d.Counters.Assigned++
		}
		delete(d.bySeq, c.seq)
		c.seq, c.step, c.fence = 0, granted, in.Fence
		d.begin(c)
	}
}

// keep sends again what was not answered, looks again at what is elsewhere, and says when that is due next.
func (d *Client) keep() (wake int64) {
	if d.now >= d.scanAt && d.now >= d.scanned+scanEvery {
		d.scan()
	}
	wake = max(d.scanAt, d.scanned+scanEvery)
	if len(d.settles) > 0 {
		if d.now >= d.settleAt {
			d.settleAt = d.now + againMost
			d.Counters.Resolved += len(d.settles)
			d.send = append(d.send, d.settles...)
		}
		wake = min(wake, d.settleAt)
	}
	probeAt := max(d.heard, d.probed) + idleEvery
	if !d.reached {
		probeAt = d.probed + probeEvery
	} else if d.probe != 0 {
		probeAt = d.probed + reachFor
	}
	if d.now >= probeAt {
		if d.reached && d.probe != 0 {
			d.lose()
		}
		d.seq++
		d.probed, d.probe = d.now, d.seq
		d.send = append(d.send, Command{Kind: CommandNoop, Sender: d.self, Seq: d.seq})
		probeAt = d.now + probeEvery
	}
	return max(min(wake, probeAt), d.now+1)
}

// scan looks at all claims in hand, in the order of their coming.
func (d *Client) scan() {
	d.scanned, d.scanAt = d.now, never
	oldest, kept := int64(never), d.order[:0]
	for _, c := range d.order {
		if c.gone {
			continue
		}
		kept = append(kept, c)
		switch {
		case c.seq != 0:
			oldest = min(oldest, c.first)
			if d.now >= c.sent+c.wait {
				c.wait = min(2*c.wait, againMost)
				d.resend(c, c.kind())
			}
			d.scanAt = min(d.scanAt, c.sent+c.wait)
		case c.step == elsewhere && d.now >= c.lookAt:
			d.command(c, CommandClaim)
		case c.step == elsewhere:
			d.scanAt = min(d.scanAt, c.lookAt)
		}
	}
	clear(d.order[len(kept):])
	d.order = kept
	if oldest == never || !d.reached {
		return
	}
	if silent := max(oldest, d.heard) + reachFor; d.now < silent {
		d.scanAt = min(d.scanAt, silent)
	} else {
		d.lose()
	}
}

// lose notes that the council is out of reach. What is not claimed and wants to run is given up at once; what is claimed
// waits for its due time, since an election takes a second or two.
func (d *Client) lose() {
	d.reached = false
	d.Counters.Unreachable++
	for _, c := range d.order {
		if !c.gone && c.step == asking && c.wanted {
			c.step, c.wanted = leaving, false
			d.do(Action{Kind: RejectClaim, Key: c.key, Duration: reachFor})
		}
	}
}
