package claims

import (
	"slices"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	firstRetryBackoff  = 250 * ms   // ns to the first repeat of a command that is not answered: a member of the council may be gone
	maxRetryBackoff    = 1_000 * ms // ns to any further one
	recheckInterval    = 500 * ms   // ns between looks at a claim that is elsewhere: the telling of its end may be lost
	unreachableTimeout = 700 * ms   // ns without an answer to anything past which the council is out of reach: an election takes as long
	idleProbeInterval  = 2_000 * ms // ns without a word of the council after which it is asked for one: who is idle should know too
	probeInterval      = 200 * ms   // ns between words to a council that is out of reach
	scanInterval       = 20 * ms    // ns between looks at all claims in hand
	maxClaims          = 20_000     // claims in hand at one node: above what its memory for tokens holds
	maxResolutions     = 1_024      // ends that executors told of earlier lives: as many as one may have run
	never              = 1<<63 - 1  // ns
	maxBatchCommands   = 256        // commands in one message: at 3 kB each what a snapshot may be
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

type phase uint8

const (
	phaseClaiming  phase = iota // Claim is on its way
	phaseGranted                // this node may start it
	phaseElsewhere              // another has it
	phaseDecided                // what the council said waits for Begin
	phaseStarting               // Start is on its way
	phaseRunning
	phaseEnding    // End is on its way
	phaseReleasing // Release is on its way
	phaseAbandoned // Claim is on its way, and what it grants is to be let go
)

// trackedClaim is one that the desk has in hand.
type trackedClaim struct {
	key          Key
	phase        phase
	startWanted  bool // Begin came
	bodyHash     uint64
	dueAt        int64
	window       int64
	work         []byte
	invocationID string
	fence        uint64
	verdict      Verdict // learned
	outcome      uint8
	result       []byte

	pendingSeq  uint64 // of the command on its way, 0 for none
	lastSentAt  int64  // when it was last sent
	firstSentAt int64  // when it was first sent
	backoff     int64
	recheckAt   int64         // elsewhere: when to ask again
	successor   *trackedClaim // releasing: it came again meanwhile
	assigned    bool          // of a node that was lost, and nobody here waits for it
	removed     bool
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

	self         Owner
	claims       map[Key]*trackedClaim
	bySeq        map[uint64]*trackedClaim
	order        []*trackedClaim // in the order of their coming, so that commands go out in it
	lastSeq      uint64
	now          int64
	actions      []Action
	commands     []Command
	lastAnswerAt int64 // when the council last answered
	connected    bool
	lastProbeAt  int64
	probeSeq     uint64
	resolutions  []Command // what executors told, until it is agreed on
	resolveAt    int64
	nextScanAt   int64 // when all claims are to be looked at
	lastScanAt   int64
}

// NewClient is the desk of one life of a node. Its council is out of reach until it answers.
func NewClient(self Owner) *Client {
	return &Client{self: self, claims: map[Key]*trackedClaim{}, bySeq: map[uint64]*trackedClaim{}, lastProbeAt: -probeInterval, nextScanAt: never}
}

// Connected says whether the council answers: without it nothing new may be claimed.
func (c *Client) Connected() bool { return c.connected }

// HasCapacity says whether one more claim can be held.
func (c *Client) HasCapacity() bool { return len(c.claims) < maxClaims }

// OwnedElsewhere says whether another node holds the claim, so that it may run there or have run.
func (c *Client) OwnedElsewhere(k Key) bool {
	claim := c.claims[k]
	return claim != nil && claim.phase == phaseElsewhere
}

// NotStarted are the claims in hand under which nothing runs here and that are not on their way out, in the order of their
// coming, and those whose end is not agreed on yet.
func (c *Client) NotStarted() (keys []Key) {
	for _, claim := range c.order {
		if !claim.removed && (claim.phase < phaseRunning || claim.phase == phaseEnding) {
			keys = append(keys, claim.key)
		}
	}
	return keys
}

// Size is how many claims are in hand.
func (c *Client) Size() int { return len(c.claims) }

func (c *Client) emit(a Action) { c.actions = append(c.actions, a) }

// Step takes what happened up to now, by a clock that only advances. The actions are valid until the next step; wake is
// when it is to step again at the latest.
func (c *Client) Step(now int64, inputs []Input) (actions []Action, wake int64) {
	c.now, c.actions, c.commands = now, c.actions[:0], nil
	for i := range inputs {
		c.handle(&inputs[i])
	}
	wake = c.runTimers()
	for len(c.commands) > 0 {
		n := min(maxBatchCommands, len(c.commands))
		c.Counters.Sent += n
		c.emit(Action{Kind: SendCommands, Commands: c.commands[:n]})
		c.commands = c.commands[n:]
	}
	return c.actions, wake
}

func (c *Client) handle(input *Input) {
	claim := c.claims[input.Key]
	switch input.Kind {
	case RequestClaim:
		if claim == nil {
			claim = c.add(&trackedClaim{key: input.Key, bodyHash: input.BodyHash, dueAt: c.now + input.Remaining, window: input.Window, work: input.Work, invocationID: input.InvocationID})
			c.Counters.Claimed++
			c.sendCommand(claim, CommandClaim)
		} else if claim.phase == phaseAbandoned {
			claim.phase, claim.dueAt, claim.bodyHash, claim.work, claim.invocationID = phaseClaiming, c.now+input.Remaining, input.BodyHash, input.Work, input.InvocationID
		} else if claim.phase == phaseReleasing { // it was let go, and comes again before that is agreed on: under its fence nothing may start
			claim.successor = &trackedClaim{key: input.Key, bodyHash: input.BodyHash, dueAt: c.now + input.Remaining, window: input.Window, work: input.Work, invocationID: input.InvocationID}
		}
	case RequestStart:
		if claim == nil {
			claim = c.add(&trackedClaim{key: input.Key, bodyHash: input.BodyHash, dueAt: c.now + input.Remaining, window: input.Window, work: input.Work, invocationID: input.InvocationID})
			c.sendCommand(claim, CommandClaim)
		}
		if claim.phase == phaseReleasing && claim.successor != nil {
			claim.successor.startWanted = true
		} else if !claim.startWanted {
			claim.startWanted = true
			c.proceed(claim)
		}
	case ReportEnd:
		if claim != nil && claim.phase == phaseRunning {
			claim.phase, claim.outcome, claim.result = phaseEnding, input.Outcome, input.Result
			c.sendCommand(claim, CommandEnd)
		}
	case AbandonClaim:
		if claim != nil {
			c.abandon(claim)
		}
	case VerdictReceived:
		c.handleVerdict(&input.Verdict)
	case EndNotified:
		if claim != nil && claim.phase == phaseElsewhere && claim.pendingSeq == 0 {
			c.sendCommand(claim, CommandClaim)
		}
	case ClaimAssigned:
		c.assign(input, claim)
	case EarlierRunEnded:
		c.lastSeq++
		if len(c.resolutions) < maxResolutions {
			c.resolutions = append(c.resolutions, Command{Kind: CommandResolve, Sender: c.self, Seq: c.lastSeq, InvocationID: input.InvocationID, Outcome: input.Outcome, Result: input.Result})
			c.resolveAt = c.now
		}
	}
}

func (c *Client) add(claim *trackedClaim) *trackedClaim {
	c.claims[claim.key] = claim
	c.order = append(c.order, claim)
	return claim
}

func (c *Client) remove(claim *trackedClaim) {
	if claim.removed = true; c.claims[claim.key] == claim {
		delete(c.claims, claim.key)
	}
	delete(c.bySeq, claim.pendingSeq)
}

// sendCommand sends one for a claim, the only one of it that is on its way.
func (c *Client) sendCommand(claim *trackedClaim, kind CommandKind) {
	delete(c.bySeq, claim.pendingSeq)
	c.lastSeq++
	claim.pendingSeq, claim.firstSentAt, claim.backoff = c.lastSeq, c.now, firstRetryBackoff
	c.bySeq[claim.pendingSeq] = claim
	c.nextScanAt = min(c.nextScanAt, c.now+firstRetryBackoff)
	c.resend(claim, kind)
}

func (c *Client) resend(claim *trackedClaim, kind CommandKind) {
	claim.lastSentAt = c.now
	command := Command{Kind: kind, Sender: c.self, Seq: claim.pendingSeq, Key: claim.key, Fence: claim.fence}
	switch kind {
	case CommandClaim:
		command.Fence, command.BodyHash, command.Duration, command.Window, command.Work, command.InvocationID = 0, claim.bodyHash, max(0, claim.dueAt-c.now), claim.window, claim.work, claim.invocationID
	case CommandRelease:
		command.Returned = claim.assigned
	case CommandEnd:
		command.Outcome, command.Result = claim.outcome, claim.result
	}
	c.commands = append(c.commands, command)
}

func (c *trackedClaim) pendingCommand() CommandKind {
	switch c.phase {
	case phaseStarting:
		return CommandStart
	case phaseEnding:
		return CommandEnd
	case phaseReleasing:
		return CommandRelease
	}
	return CommandClaim
}

// proceed goes on with a claim whose run is wanted.
func (c *Client) proceed(claim *trackedClaim) {
	if !claim.startWanted {
		return
	}
	switch claim.phase {
	case phaseGranted:
		claim.phase = phaseStarting
		c.sendCommand(claim, CommandStart)
	case phaseDecided:
		verdict := claim.verdict
		c.remove(claim)
		switch verdict.Answer {
		case AnswerCompleted:
			c.Counters.ServedFromElsewhere++
			c.emit(Action{Kind: CompletedElsewhere, Key: claim.key, Outcome: verdict.Outcome, Result: verdict.Result})
		case AnswerOutcomeUnknown:
			c.Counters.Unknown++
			c.emit(Action{Kind: UnknownElsewhere, Key: claim.key})
		case AnswerBodyMismatch:
			c.emit(Action{Kind: BodyMismatch, Key: claim.key})
		default:
			c.emit(Action{Kind: RejectClaim, Key: claim.key, Duration: verdict.RetryAfter})
		}
	}
}

// abandon ends a claim under which nothing ran. One that is on its way may yet be granted, and is let go then.
func (c *Client) abandon(claim *trackedClaim) {
	switch claim.phase {
	case phaseGranted, phaseStarting, phaseRunning:
		claim.phase = phaseReleasing
		c.sendCommand(claim, CommandRelease)
	case phaseReleasing:
		claim.successor = nil
	case phaseClaiming, phaseElsewhere, phaseDecided:
		if claim.pendingSeq == 0 {
			c.remove(claim)
			return
		}
		claim.phase, claim.startWanted = phaseAbandoned, false
	}
}

func (c *Client) handleVerdict(verdict *Verdict) {
	c.lastAnswerAt = c.now
	c.connected = true
	c.probeSeq = 0
	if n := len(c.resolutions); n > 0 {
		if c.resolutions = slices.DeleteFunc(c.resolutions, func(claim Command) bool { return claim.Seq == verdict.Seq }); len(c.resolutions) < n {
			return
		}
	}
	claim := c.bySeq[verdict.Seq]
	if claim == nil || verdict.Seq == 0 {
		return
	}
	delete(c.bySeq, verdict.Seq)
	claim.pendingSeq = 0
	switch claim.phase {
	case phaseClaiming, phaseElsewhere:
		c.handleClaimVerdict(claim, verdict)
	case phaseStarting:
		if verdict.Answer == AnswerGranted {
			claim.phase = phaseRunning
			c.emit(Action{Kind: StartRun, Key: claim.key})
			return
		}
		c.Counters.Fenced++ // another has it by now: who, the table knows
		claim.phase, claim.fence = phaseElsewhere, 0
		c.sendCommand(claim, CommandClaim)
	case phaseEnding:
		key := claim.key
		c.remove(claim)
		c.emit(Action{Kind: EndRecorded, Key: key})
	case phaseReleasing:
		c.remove(claim)
		if claim.successor != nil {
			c.sendCommand(c.add(claim.successor), CommandClaim)
		}
	case phaseAbandoned:
		if verdict.Answer == AnswerGranted {
			claim.phase, claim.fence = phaseReleasing, verdict.Fence
			c.sendCommand(claim, CommandRelease)
			return
		}
		c.remove(claim)
	}
}

func (c *Client) handleClaimVerdict(claim *trackedClaim, verdict *Verdict) {
	switch {
	case verdict.Answer == AnswerGranted:
		claim.phase, claim.fence = phaseGranted, verdict.Fence
		c.proceed(claim)
	case verdict.Answer == AnswerOwnedElsewhere && verdict.Owner == c.self:
		// A start of this life that it gave up before it was agreed on: nothing ran here under that fence, or the claim
		// would still be in hand.
		c.Counters.UnknownReleased++
		c.commands = append(c.commands, Command{Kind: CommandRelease, Sender: c.self, Key: claim.key, Fence: verdict.Fence})
		c.sendCommand(claim, CommandClaim)
	case verdict.Answer == AnswerOwnedElsewhere:
		if claim.phase != phaseElsewhere {
			c.Counters.Joined++
		}
		claim.phase, claim.recheckAt = phaseElsewhere, c.now+recheckInterval
		c.nextScanAt = min(c.nextScanAt, claim.recheckAt)
	default:
		claim.phase, claim.verdict = phaseDecided, *verdict
		c.proceed(claim)
	}
}

// assign takes a claim of a node that was lost. It may be told again and again, of what is over here too: then its start
// is refused.
func (c *Client) assign(input *Input, claim *trackedClaim) {
	switch {
	case claim == nil:
		c.Counters.Assigned++
		claim = c.add(&trackedClaim{key: input.Key, phase: phaseGranted, assigned: true, bodyHash: input.BodyHash, dueAt: c.now + input.Remaining, window: input.Window, work: input.Work, invocationID: input.InvocationID, fence: input.Fence})
		c.emit(Action{Kind: TakeOver, Key: input.Key, BodyHash: input.BodyHash, Duration: input.Remaining, Work: input.Work})
	case claim.phase == phaseClaiming || claim.phase == phaseElsewhere || claim.phase == phaseGranted && claim.fence < input.Fence:
		if claim.phase != phaseGranted {
			c.Counters.Assigned++
		}
		delete(c.bySeq, claim.pendingSeq)
		claim.pendingSeq, claim.phase, claim.fence = 0, phaseGranted, input.Fence
		c.proceed(claim)
	}
}

// runTimers sends again what was not answered, looks again at what is elsewhere, and says when that is due next.
func (c *Client) runTimers() (wake int64) {
	if c.now >= c.nextScanAt && c.now >= c.lastScanAt+scanInterval {
		c.scan()
	}
	wake = max(c.nextScanAt, c.lastScanAt+scanInterval)
	if len(c.resolutions) > 0 {
		if c.now >= c.resolveAt {
			c.resolveAt = c.now + maxRetryBackoff
			c.Counters.Resolved += len(c.resolutions)
			c.commands = append(c.commands, c.resolutions...)
		}
		wake = min(wake, c.resolveAt)
	}
	probeAt := max(c.lastAnswerAt, c.lastProbeAt) + idleProbeInterval
	if !c.connected {
		probeAt = c.lastProbeAt + probeInterval
	} else if c.probeSeq != 0 {
		probeAt = c.lastProbeAt + unreachableTimeout
	}
	if c.now >= probeAt {
		if c.connected && c.probeSeq != 0 {
			c.disconnect()
		}
		c.lastSeq++
		c.lastProbeAt, c.probeSeq = c.now, c.lastSeq
		c.commands = append(c.commands, Command{Kind: CommandNoop, Sender: c.self, Seq: c.lastSeq})
		probeAt = c.now + probeInterval
	}
	return max(min(wake, probeAt), c.now+1)
}

// scan looks at all claims in hand, in the order of their coming.
func (c *Client) scan() {
	c.lastScanAt, c.nextScanAt = c.now, never
	oldest, kept := int64(never), c.order[:0]
	for _, claim := range c.order {
		if claim.removed {
			continue
		}
		kept = append(kept, claim)
		switch {
		case claim.pendingSeq != 0:
			oldest = min(oldest, claim.firstSentAt)
			if c.now >= claim.lastSentAt+claim.backoff {
				claim.backoff = min(2*claim.backoff, maxRetryBackoff)
				c.resend(claim, claim.pendingCommand())
			}
			c.nextScanAt = min(c.nextScanAt, claim.lastSentAt+claim.backoff)
		case claim.phase == phaseElsewhere && c.now >= claim.recheckAt:
			c.sendCommand(claim, CommandClaim)
		case claim.phase == phaseElsewhere:
			c.nextScanAt = min(c.nextScanAt, claim.recheckAt)
		}
	}
	clear(c.order[len(kept):])
	c.order = kept
	if oldest == never || !c.connected {
		return
	}
	if silent := max(oldest, c.lastAnswerAt) + unreachableTimeout; c.now < silent {
		c.nextScanAt = min(c.nextScanAt, silent)
	} else {
		c.disconnect()
	}
}

// disconnect notes that the council is out of reach. What is not claimed and wants to run is given up at once; what is claimed
// waits for its due time, since an election takes a second or two.
func (c *Client) disconnect() {
	c.connected = false
	c.Counters.Unreachable++
	for _, claim := range c.order {
		if !claim.removed && claim.phase == phaseClaiming && claim.startWanted {
			claim.phase, claim.startWanted = phaseAbandoned, false
			c.emit(Action{Kind: RejectClaim, Key: claim.key, Duration: unreachableTimeout})
		}
	}
}
