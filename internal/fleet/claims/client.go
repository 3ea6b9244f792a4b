package claims

import "slices"

const (
	maxClaims        = 20_000    // in flight at one node: above what its memory for tokens holds
	maxBatchCommands = 256       // in one message: at 3 kB each as much as a snapshot may be
	never            = 1<<63 - 1 // ns
)

// InputKind is the kind of an Input.
type InputKind uint8

// The kinds of inputs: requests and reports of the node, and messages of the consensus group and the executor.
const (
	RequestClaim    InputKind = iota // the first invocation of a token was read: claim it
	RequestStart                     // its run is to start now
	ReportEnd                        // its run ended, with Outcome and Result
	AbandonClaim                     // nobody waits for it, and nothing runs or will run under the claim; may repeat for what is over
	VerdictReceived                  // the group answered a command
	EndNotified                      // the group notifies the node that a claim elsewhere is over
	ClaimAssigned                    // the group gives this node the claim of a lost one
	EarlierRunEnded                  // the executor reports how a run of an earlier incarnation ended
)

// Input is one request; only the fields of its kind are set.
type Input struct {
	Kind         InputKind
	Key          Key
	BodyHash     uint64
	Remaining    int64 // RequestClaim, RequestStart, ClaimAssigned: ns to its due time
	Window       int64
	Work         []byte
	InvocationID string
	Outcome      uint8
	Result       []byte
	Fence        uint64 // ClaimAssigned
	Verdict      Verdict
}

// ActionKind names what a node is to do.
type ActionKind uint8

// The kinds of actions. Each RequestStart is followed by one of StartRun, CompletedElsewhere, UnknownElsewhere, BodyMismatch or
// RejectClaim, unless the claim is abandoned before.
const (
	SendCommands       ActionKind = iota // send Commands to the group
	StartRun                             // the start is committed: the executor may receive the invocation
	CompletedElsewhere                   // it ended elsewhere, with Outcome and Result
	UnknownElsewhere                     // it may have run elsewhere
	BodyMismatch                         // the token came with another body elsewhere
	RejectClaim                          // reject the invocation: there is no room for the claim
	EndRecorded                          // the end of the run is committed
	TakeOver                             // admit and run the invocation of a lost node, for whoever asks
)

// Action is one thing to do; only the fields of its kind are set.
type Action struct {
	Kind     ActionKind
	Key      Key
	BodyHash uint64
	Duration int64 // TakeOver: ns to its due time; RejectClaim: ns after which to retry
	Work     []byte
	Outcome  uint8
	Result   []byte
	Commands []Command
}

// ClientCounters are what operators see.
type ClientCounters struct {
	Claimed             int `json:"claimed"`
	Joined              int `json:"joined"` // waited for a run elsewhere
	ServedFromElsewhere int `json:"kept"`   // had the result of a run elsewhere
	Unknown             int `json:"unknown"`
	Assigned            int `json:"taken"`   // given to this node
	Fenced              int `json:"fenced"`  // started too late: another owner had it
	UnknownReleased     int `json:"zombies"` // claims of this node that it did not know of, released
	Sent                int `json:"sent"`    // commands, retries included
	Unreachable         int `json:"out_of_reach"`
	Resolved            int `json:"settled"`
}

// Client is a node's side of the replicated table: it sends commands, retries them until they are answered, and tracks each claim
// until it is over.
type Client struct {
	Counters ClientCounters

	self         Owner
	claims       map[Key]*trackedClaim
	bySeq        map[uint64]*trackedClaim // those with a command in flight
	order        []*trackedClaim          // in the order of their arrival, so that commands are sent in it
	lastSeq      uint64
	now          int64
	actions      []Action
	commands     []Command
	lastAnswerAt int64 // when the group last answered
	connected    bool
	lastProbeAt  int64
	probeSeq     uint64    // of the probe in flight, 0 for none
	resolutions  []Command // reports of executors on earlier incarnations, until they are committed
	resolveAt    int64     // when to send those again
	nextScanAt   int64     // when to scan all claims
	lastScanAt   int64
}

// NewClient returns the client of one incarnation of a node. Its group is unreachable until it answers.
func NewClient(self Owner) *Client {
	return &Client{
		self:        self,
		claims:      map[Key]*trackedClaim{},
		bySeq:       map[uint64]*trackedClaim{},
		lastProbeAt: -probeInterval,
		nextScanAt:  never,
	}
}

// Connected says whether the group answers: without it nothing new may be claimed.
func (c *Client) Connected() bool { return c.connected }

// HasCapacity says whether one more claim can be tracked.
func (c *Client) HasCapacity() bool { return len(c.claims) < maxClaims }

// OwnedElsewhere says whether another node owns the claim, so that it may run there or have run.
func (c *Client) OwnedElsewhere(key Key) bool {
	claim := c.claims[key]
	return claim != nil && claim.phase == phaseElsewhere
}

// NotRunning returns the keys of the claims whose run has not started, or has ended without the end being committed, in the order
// in which they were added. It leaves out claims that are being released.
func (c *Client) NotRunning() (keys []Key) {
	for _, claim := range c.order {
		if !claim.removed && (claim.phase < phaseRunning || claim.phase == phaseEnding) {
			keys = append(keys, claim.key)
		}
	}
	return keys
}

// Size is the number of claims that are tracked.
func (c *Client) Size() int { return len(c.claims) }

// Step handles what happened up to now, by a monotonic clock. The actions are valid until the next step; wake is when to call Step
// again at the latest.
func (c *Client) Step(now int64, inputs []Input) (actions []Action, wake int64) {
	c.now = now
	c.actions = c.actions[:0]
	c.commands = nil
	for i := range inputs {
		c.handle(&inputs[i])
	}
	wake = c.runTimers()
	for batch := range slices.Chunk(c.commands, maxBatchCommands) {
		c.Counters.Sent += len(batch)
		c.emit(Action{Kind: SendCommands, Commands: batch})
	}
	c.commands = nil
	return c.actions, wake
}

func (c *Client) handle(input *Input) {
	claim := c.claims[input.Key]
	switch input.Kind {
	case RequestClaim:
		c.requestClaim(input, claim)
	case RequestStart:
		c.requestStart(input, claim)
	case ReportEnd:
		c.reportEnd(input, claim)
	case AbandonClaim:
		c.abandon(claim)
	case VerdictReceived:
		c.handleVerdict(&input.Verdict)
	case EndNotified:
		c.handleEndNotification(claim)
	case ClaimAssigned:
		c.handleAssignment(input, claim)
	case EarlierRunEnded:
		c.reportEarlierRun(input)
	}
}

func (c *Client) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Client) add(claim *trackedClaim) *trackedClaim {
	c.claims[claim.key] = claim
	c.order = append(c.order, claim)
	return claim
}

func (c *Client) remove(claim *trackedClaim) {
	claim.removed = true
	if c.claims[claim.key] == claim {
		delete(c.claims, claim.key)
	}
	delete(c.bySeq, claim.pendingSeq)
}
