package claims

import "slices"

const (
	maxClaims        = 20_000    // tracked by one client: more than fit a node's memory for tokens
	maxBatchCommands = 256       // in one SendCommands action: 256 commands of 3 kB are as large as a snapshot may be
	never            = 1<<63 - 1 // ns; wake-up time when nothing is due
)

// InputKind is the kind of an Input.
type InputKind uint8

// The kinds of inputs: requests and reports of the node, and messages of the consensus group and the executor.
const (
	RequestClaim     InputKind = iota // the node received the first invocation of a token: claim the token
	RequestStart                      // the node wants to start the run now
	ReportEnd                         // the run ended, with Outcome and Result
	AbandonClaim                      // no caller waits for the claim, and the executor neither received nor will receive it
	VerdictReceived                   // the group answered a command
	EndNotified                       // the group notifies the node that another owner's claim ended, became unknown or was removed
	ClaimAssigned                     // the group reassigned the claim of a lost owner to this node
	EarlierRunEnded                   // the executor reports the outcome of a run of an earlier incarnation
	SettleInvocation                  // the node won't run the invocation of a claim: release the claim, and report whether any node may still run it
)

// Input is one input of the client; only the fields of its kind are set.
type Input struct {
	Kind         InputKind
	Key          Key
	BodyHash     uint64
	Remaining    int64  // RequestClaim, RequestStart, ClaimAssigned: ns until the invocation is due
	Retention    int64  // ns that the table keeps the token after its start, and after its end
	Work         []byte // the data that a new owner needs to run the invocation
	InvocationID string
	Outcome      uint8
	Result       []byte
	Fence        uint64 // ClaimAssigned
	Verdict      Verdict
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions. The client answers each RequestStart with one of StartRun, CompletedElsewhere, UnknownElsewhere, BodyMismatch
// and RejectClaim, unless the claim is abandoned first.
const (
	SendCommands       ActionKind = iota // send Commands to the group
	StartRun                             // the start is committed: the executor may receive the invocation
	CompletedElsewhere                   // the run ended, with Outcome and Result; it was at another owner, or is tracked no longer
	UnknownElsewhere                     // the invocation may have run at another owner, with an unknown outcome
	BodyMismatch                         // the token is claimed with another request body
	RejectClaim                          // reject the invocation: the table is full or the group is unreachable
	EndRecorded                          // the end of the run is committed, or refused for a stale fence
	TakeOver                             // admit and run the invocation of a lost owner; callers may ask for its result later
	InvocationSettled                    // answers SettleInvocation: Held, and with HeldCompleted Outcome and Result
	TakeOverRevoked                      // the group gave the claim of an invocation that was taken over to another owner, or removed it: don't run it
)

// Held says what may become of an invocation that its node won't run.
type Held uint8

// What may become of an invocation.
const (
	HeldByNobody  Held = iota // no node has run it or will
	HeldElsewhere             // another node may run it or have run it
	HeldCompleted             // another node has run it
)

// Action is one action for the node; only the fields of its kind are set.
type Action struct {
	Kind     ActionKind
	Key      Key
	BodyHash uint64
	Duration int64  // TakeOver: ns until the invocation is due; RejectClaim: ns after which the caller may retry
	Work     []byte // the data that a new owner needs to run the invocation
	Outcome  uint8
	Result   []byte
	Commands []Command

	InvocationID string // InvocationSettled, TakeOverRevoked
	Held         Held   // InvocationSettled
}

// ClientCounters are the counters of a Client that operators see.
type ClientCounters struct {
	Claimed             int `json:"claimed"`      // RequestClaims of tokens that were not tracked
	Joined              int `json:"joined"`       // waited for a run at another node
	ServedFromElsewhere int `json:"kept"`         // got the result of a run at another node
	Unknown             int `json:"unknown"`      // got an unknown outcome
	Assigned            int `json:"taken"`        // claims of lost owners reassigned to this node
	Fenced              int `json:"fenced"`       // starts refused: the claim had another owner or was gone
	UntrackedReleased   int `json:"zombies"`      // claims of this incarnation that the client did not track, released
	Sent                int `json:"sent"`         // commands sent, retries included
	Unreachable         int `json:"out_of_reach"` // times that the group became unreachable
	ResolutionsSent     int `json:"settled"`      // reports on earlier incarnations sent, retries included
}

// Client claims tokens for a node: it sends commands to the consensus group, retries them until they are answered, and tracks each
// claim until the node needs it no longer.
type Client struct {
	Counters ClientCounters

	self             Owner
	claims           map[Key]*trackedClaim
	bySeq            map[uint64]*trackedClaim // claims with a command in flight, by its sequence number
	order            []*trackedClaim          // claims in the order in which they were added, which is the order of retries
	lastSeq          uint64
	now              int64     // of the current step; all times are in ns of the node's monotonic clock
	actions          []Action  // of the current step
	commands         []Command // of the current step, before they are batched
	lastAnswerAt     int64     // when the group last answered
	connected        bool
	lastProbeAt      int64
	probeSeq         uint64    // sequence number of the probe in flight, 0 for none
	resolutions      []Command // CommandResolve for runs of earlier incarnations, until they are committed
	nextResolutionAt int64     // when to send the resolutions
	nextScanAt       int64     // when to scan the claims again; never if nothing is due
	lastScanAt       int64
}

// NewClient returns the client of one incarnation of a node. It counts as disconnected until the group answers.
func NewClient(self Owner) *Client {
	return &Client{
		self:        self,
		claims:      map[Key]*trackedClaim{},
		bySeq:       map[uint64]*trackedClaim{},
		lastProbeAt: -probeInterval,
		nextScanAt:  never,
	}
}

// Connected reports whether the group answers. While it does not, the node must not claim new tokens.
func (c *Client) Connected() bool { return c.connected }

// HasCapacity reports whether the client can track one more claim.
func (c *Client) HasCapacity() bool { return len(c.claims) < maxClaims }

// OwnedElsewhere reports whether another owner has the claim, perhaps an earlier incarnation of this node, so that the invocation may
// run or have run there. After a refused start it holds until the next verdict.
func (c *Client) OwnedElsewhere(key Key) bool {
	claim := c.claims[key]
	return claim != nil && claim.phase == phaseOwnedElsewhere
}

// NotRunning returns the keys of the claims whose run has not started at this node, or has ended without the end being
// committed, in the order in which they were added. It leaves out claims that are being released or were
// abandoned, unless another invocation of the token waits for that.
func (c *Client) NotRunning() (keys []Key) {
	for _, claim := range c.order {
		if !claim.removed && (claim.phase < phaseStarted || claim.phase == phaseEnding || claim.successor != nil) {
			keys = append(keys, claim.key)
		}
	}
	return keys
}

// Size returns the number of tracked claims.
func (c *Client) Size() int { return len(c.claims) }

// Step handles the inputs that arrived up to now, a time of the node's monotonic clock, and runs the timers that are due. The actions
// are valid until the next step; wake is when to call Step again at the latest.
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
		c.queueResolution(input)
	case SettleInvocation:
		c.settle(input, claim)
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
