package node

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/invariant"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/resultcache"
	"topazpost/internal/timerwheel"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	streamsOpen = 32          // invocations that may be open on one connection
	bodyMost    = 2 << 10     // bytes of an invocation's body
	heapMost    = 2_000.0     // kB of memory that an invocation may be booked with
	ageMost     = 60_000      // ms past which the stamp of an arrival can't be one: far above any client timeout
	aheadMost   = 1_000       // ms that a stamp may lie ahead: a clock that was set back between it and its reading
	ttlMost     = 86_400_000  // ms that a caller may say it waits: a day, far above any client timeout
	callerMost  = 1 << 32     // numbers of callers: a few thousand in the largest fleet
	workMost    = 1e7         // ms of work that may be expected: some hours
	digitsMost  = 32          // bytes of a decimal number
	meterLead   = 5 * ms      // ns before a timer of the module at which the gauges are asked for: a round trip
	meterStale  = 500 * ms    // ns after which gauges say nothing: the span over which they are taken
	diagWait    = 900 * ms    // ns that a deep check may take: dispatchers wait little longer
	redialFirst = 2 * ms      // ns to the first new try at a link that ended
	redialMost  = 500 * ms    // ns to any further try
	idleTrust   = 100 * ms    // ns of standing idle past which a link to the catalogue is left: it may be forgotten there
	idleMost    = 8           // links to the catalogue that may stand idle: those of a burst are not kept
	commandMost = 65_536      // commands not known to be read: two for each invocation that connections can hold
	silentMost  = 2_000 * ms  // ns without a line of the executor, asked for gauges each beat, past which its link is opened anew
	sweepEvery  = 250 * ms    // ns between looks for connections that stand idle
	looksMost   = 2_048       // connections looked at in one step, some 0.1 us each
	endsMost    = 32          // of them told or ended: 20 to 40 us each with the system calls, so that requests wait some 1 ms
	sweepAgain  = 2_500_000   // ns to the next of them, where more are due: half of one core, 14,000 told and ended in 2.2 s
	firstWait   = 2_000 * ms  // ns in which a connection must bring something usable: it is told of its end within 3 s, where no more than some 6,000 are due together
	idleWait    = 15_000 * ms // ns of standing idle past which a connection is told to bring no more: callers close sooner
	crossWait   = 200 * ms    // ns after that in which an invocation may cross, then it is closed
	evictWait   = 60 * ms     // ns of the same where its place is wanted: the 50 ms of the protocol, and a round trip
	abortFor    = 1_000 * ms  // ns from a second notice to the end: for connections to be told, heard once more and closed
	leaveMargin = 100 * ms    // ns before the kill at which the process ends, whoever has not read what he is owed
	faultsMost  = 16          // invocations that can't be used on one connection, past which it is not heard any more
	reportEvery = 1_000 * ms  // ns between reports, three to the time after which an entry lapses
	stateEvery  = 1_000 * ms  // ns between samples of the state: fine beside what operators act on, a line a second
	reportAgain = 200 * ms    // ns to the next try after one that failed
	never       = math.MaxInt64
)

// invocation is what the door keeps of one.
type invocation struct {
	live, answered bool
	conn           int
	stream         uint32
	call, op       string
	body           []byte
	wanted         []byte // body of the call that the run waits for
	calling        bool
	called         bool // a call of its was written to the catalogue, this one or an earlier one
	until          int64
	key            resultcache.Key // of a tokened one, its Token empty in others
	hash           uint64          // of its body
	window         int64           // until which its token is known, as the module asked
	arrival        admission.Event // as the module was told of it
	taken          int64           // when
	due            int64           // when its client timeout ends
	runs           bool            // at the executor, for its token
	asked          bool            // the keeper of results knows it
	exited         bool            // its run is over, and its answer waits for the disk
	ending         admission.Outcome
	orphan         bool // its caller left, others wait for its run
	runForm        admission.Form
	form           string // name of the level whose reduced form runs, empty for the whole operation
	operation      int32
	tenant         int32 // -1 where it has none
	terms          *terms
}

// connection is a dispatcher's connection.
type connection struct {
	last     uint32 // highest stream seen
	open     map[uint32]int32
	checks   int   // deep checks that wait for the executor
	usable   bool  // it brought something that could be used
	faults   int   // invocations on it that could not be
	used     int64 // when it was opened, last brought something usable or had its last answer
	ended    int64 // when it was told that nothing new may come, where noMore
	noMore   bool
	evicted  bool             // its place is wanted
	closing  bool             // it ends as soon as nothing is open on it
	ending   bool             // the server was asked to close it
	broken   bool             // it can't be understood
	hastened bool             // without time for what it may still send, as its place is wanted
	look     timerwheel.Timer // in resting, or in crossing where noMore
}

func (c *connection) idle() bool { return len(c.open)+c.checks == 0 }

// command is one that the executor may not have read.
type command struct {
	seq   int
	index int32
	call  string
	bytes []byte
}

// check is a deep health check that the executor works on.
type check struct {
	conn   int
	stream uint32
	until  int64
}

// Counters are what an operator may want to see of a node's life.
type Counters struct {
	Invocations       int `json:"invocations"`
	Succeeded         int `json:"succeeded"`
	Throttled         int `json:"throttled"`
	Errored           int `json:"errored"`
	CallersGone       int `json:"gone"`
	BrokenInvocations int `json:"broken_invocations"`
	BrokenConnections int `json:"broken_connections"`
	ExecutorLinks     int `json:"executor_links"`
	CatalogueLinks    int `json:"catalogue_links"`
	UnmatchedReplies  int `json:"stray_replies"`
	Evicted           int `json:"evicted"`
	Idle              int `json:"idle"`
	Reports           int `json:"reports"`
	ReportsFailed     int `json:"reports_failed"`
	Inherited         int `json:"inherited"`
	InheritedGivenUp  int `json:"inherited_given_up"`
	Versions          int `json:"versions"`
	VersionsRefused   int `json:"versions_refused"`
}

// Decider is what decides about invocations: control.Post, or a baseline of the laboratory.
type Decider interface {
	Decide(now int64, events []admission.Event) []admission.Action
	State() admission.ControllerState
	MeasureLoad(m *admission.LoadMetrics)
}

// StateMachine is the state of one node.
type StateMachine struct {
	Invariants       invariant.Checker
	Counters         Counters
	Decisions        func(config *admission.Config, born int64) Decider // made once the executor is up
	SpareConnections int                                                // connections that may be kept beside the most, while they end

	config   *nodeconfig.Config
	stop     int64 // ns from the notice to the kill
	connMost int
	linkMost int
	post     Decider
	now      int64
	began    int64 // when the first step was; no call was made before it in this life
	wall     int64 // Unix ns at now
	effects  []Effect
	events   []admission.Event

	invs     []invocation
	free     []int32
	calls    map[string]int32
	conns    map[int]*connection
	resting  *timerwheel.Wheel // when each connection that may bring more is looked at, in ms; nil before the first step
	crossing *timerwheel.Wheel // the same of those that were told to bring no more
	due      []int             // connections to be looked at that were too many for one step
	lookedAt int               // connections that were looked at so far
	open     int               // invocations that are owed an answer

	beatAt, meterAt int64
	heardAt         int64 // when the executor's link last brought a line
	sweepAt         int64
	dueAt           int64 // when the next of due are looked at
	busy, runnable  float64
	metered         int64 // when the gauges came

	good, stored bool
	load         string // what answers carry, empty before the first advice

	to             Addresses
	lastLink       int // the highest number given to a link or a report
	link, welcomed int // to the executor, 0 where there is none; the last that was welcomed
	dialing        int // the link to the executor that is being opened, 0 where none is
	synced         bool
	notice         int // the last that was taken
	seq, proving   int // of the last command, and of the last that gauges were asked for behind
	unread         []command
	redialAt, wait int64
	diags          map[string]check
	diagged        int

	supplies            []supply // links to the catalogue
	waiting             []int32  // invocations whose call has no link yet
	reportAt            int64
	reporting           int // the report that is under way, 0 where none is
	noticed, shut, left bool
	listenerClosed      bool  // nobody connects any more
	killAt              int64 // when the process is killed, once noticed

	levels  ladder
	peers   peers
	kept    kept
	claimed claimed
	leasing leasing
	hollow  hollow
	amended amended

	configuring configuring

	later   []admission.Event          // what the module is told in the next step: it was deciding
	decided bool                       // the module has decided in this step, or had nothing to decide
	stateAt int64                      // when the next sample of the state is due
	givenUp [admission.ReasonCount]int // invocations given up by reason since the last one
	counted Counters                   // the counters at the last one
}

// NewStateMachine is the state of a node that has just started. Settings are those of its configuration, and the node's own from then
// on, since it amends them; connections and links are the most that it is to keep of dispatchers and to the catalogue.
func NewStateMachine(settings *nodeconfig.Config, to Addresses, stop int64, connections, links int) *StateMachine {
	r := &StateMachine{config: onSockets(settings), to: to, stop: stop, connMost: connections, linkMost: links, calls: map[string]int32{},
		conns: map[int]*connection{}, diags: map[string]check{}, beatAt: never, meterAt: never,
		metered: math.MinInt64 / 2, wait: redialFirst,
		Decisions: func(config *admission.Config, born int64) Decider { return admission.NewController(config, born) }}
	r.Invariants.Tell = func(what string, times int) {
		r.do(Effect{Kind: WriteLog, LogLevel: Warn, Text: fmt.Sprintf("did not hold, %d times so far: %s", times, what)})
	}
	return r
}

// onSockets leaves out of the settings what the protocol on sockets has no word for: to stop a run, to go on without a
// call, to share the answer of a read. Records of tokens lie in the node's own memory there, not in the executor's.
func onSockets(settings *nodeconfig.Config) *nodeconfig.Config {
	own := *settings
	n := &own.Node
	n.DeduplicationEntryKB, n.StopSupport, n.ReadReuseWindow, n.Operations = 0, admission.StopUnsupported, 0, slices.Clone(n.Operations)
	for i := range n.Operations {
		n.Operations[i].SkippedCallWeightShare = 0
	}
	return &own
}

func (r *StateMachine) do(e Effect) { r.effects = append(r.effects, e) }

func (r *StateMachine) remark(level LogLevel, text, id string, err error) {
	r.do(Effect{Kind: WriteLog, LogLevel: level, Text: text, ID: id, Err: err})
}

// Step takes what happened up to now, a clock that only advances, with wall its time in Unix nanoseconds. The
// effects are valid until the next step.
func (r *StateMachine) Step(now, wall int64, inputs []Input) []Effect {
	if r.resting == nil {
		r.began, r.resting, r.crossing = now, timerwheel.New(now/ms), timerwheel.New(now/ms)
	}
	r.now, r.wall, r.effects, r.events = now, wall, r.effects[:0], append(r.events[:0], r.later...)
	r.later, r.decided = r.later[:0], false
	for i := range inputs {
		if inputs[i].Kind != ConnectionOpened {
			r.take(&inputs[i])
		}
	}
	for i := range inputs { // last, so that none makes room at one that just brought an invocation
		if inputs[i].Kind == ConnectionOpened {
			r.opened(inputs[i].Link)
		}
	}
	r.keepTimers()
	r.lapse()
	r.keepAmended()
	r.keepTaking()
	r.decided = true // what the module is told from here on is for the next step
	if r.post != nil && len(r.events) > 0 {
		for _, a := range r.post.Decide(now, r.events) {
			r.carry(&a)
		}
	}
	r.keepResults()
	r.keepLeases()
	r.keepClaims()
	r.prove()
	r.keepState()
	r.keepConfiguration()
	r.keepPeers()
	r.keepLeaving()
	wake := r.wake()
	r.Invariants.Check(wake > now, "the next wake lies ahead")
	r.do(Effect{Kind: SetWakeup, At: wake})
	return r.effects
}

func (r *StateMachine) take(in *Input) {
	switch in.Kind {
	case FrameReceived, FrameMalformed, ConnectionClosed:
		if c := r.conns[in.Link]; c != nil {
			r.fromDispatcher(in, c)
		}
	case ExecutorConnected:
		r.joined(in.Link)
	case ExecutorLineReceived, ExecutorDisconnected:
		if in.Link == r.link || in.Kind == ExecutorDisconnected && in.Link == r.dialing { // the latter: it could not be had
			r.fromExecutor(in)
		}
	case CatalogueConnected, CatalogueDialFailed, CatalogueLineReceived, CatalogueDisconnected:
		r.fromCatalogue(in)
	case ReportFinished:
		if in.Link == r.reporting {
			r.reported(in.Err)
		}
	case RecordsRecovered, RecordWritten, RecordWriteFailed, RecoveryCompleted:
		r.fromStore(in)
	case PeerDatagramReceived, PeerRequestReceived, PeerResponseReceived, PeerExchangeFailed:
		r.fromPeers(in)
	case PeerMessageReceived, PeerStreamClosed:
		r.fromStream(in)
	case VersionPersisted:
		r.keptConfiguration(in)
	case ReplicaWritePersisted:
		r.claimed.heard = append(r.claimed.heard, consensus.Input{Persisted: in.Number, Err: in.Err})
	case HollowClaimRequested, HollowCallsRequested:
		r.fromLoad(in)
	case ListenerClosed:
		r.listenerClosed = true
	case DrainRequested:
		r.drain()
	case AbortRequested:
		r.drain()
		r.abort()
	case ReloadRequested:
		r.reload(in.Addresses)
		r.adopt(in.Plan)
	case PlanChanged:
		r.adopt(in.Plan)
	case VersionReceived:
		r.amend(in)
	}
}

// keepTimers does what is due.
func (r *StateMachine) keepTimers() {
	if r.hollow.on {
		return
	}
	if r.now >= r.redialAt && r.link == 0 && r.dialing == 0 {
		r.dialing = r.newLink()
		r.do(Effect{Kind: DialExecutor, Link: r.dialing, Address: r.to.Executor})
	}
	if r.now >= r.reportAt && r.reporting == 0 && !r.noticed {
		r.reporting = r.newLink()
		r.do(Effect{Kind: SendReport, Link: r.reporting, Address: r.to.Control, Ready: r.post != nil && r.good})
	}
	if r.now >= r.meterAt && r.link != 0 && r.welcomed == r.link {
		r.meterAt = never
		r.askGauges()
	}
	if r.link != 0 && r.now-r.heardAt >= silentMost {
		if r.welcomed == r.link {
			r.remark(Warn, "executor link is silent, opened anew", "", nil)
		} else { // it may be late, or the link half open: a new one costs nothing, and one that waits for good serves nobody
			r.remark(Info, "executor has not welcomed the link, opened anew", "", nil)
		}
		r.do(Effect{Kind: CloseExecutor, Link: r.link})
		r.partExecutor()
		r.redialAt = r.now + r.wait
	}
	r.keepConnections()
	r.keepCalls()
	r.keepChecks()
	if r.now >= r.beatAt {
		e := admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
		if r.now-r.metered <= meterStale {
			e.BusyShare, e.RunnableThreads = r.busy, r.runnable
		}
		r.beatAt = never
		r.keepLevels()
		r.events = append(r.events, e)
	}
}

// wake is when the next of the timers is due.
func (r *StateMachine) wake() int64 {
	if r.hollow.on {
		return r.hollowWake()
	}
	at := min(r.beatAt, r.callsDue(), r.checksDue(), r.peersDue(), r.resultsDue(), r.claimsDue(), r.leaseDue(), r.amendDue(), r.configurationDue())
	if len(r.later) > 0 {
		at = r.now + 1
	}
	if len(r.conns) > 0 {
		at = min(at, r.connectionsDue())
	}
	if r.left && r.open == 0 {
		at = min(at, r.leaveBy())
	}
	if r.link == 0 && r.dialing == 0 {
		at = min(at, r.redialAt)
	} else if r.link != 0 {
		at = min(at, r.heardAt+silentMost)
		if r.welcomed == r.link {
			at = min(at, r.meterAt)
		}
	}
	if r.reporting == 0 && !r.noticed {
		at = min(at, r.reportAt)
	}
	return at
}

// carry does what the module asks for.
func (r *StateMachine) carry(a *admission.Action) {
	switch a.Kind {
	case admission.Run:
		r.run(a.Invocation, a.Form)
	case admission.Reject:
		r.givenUp[a.Reason]++
		r.levels.count(false, false, a.Reason)
		r.throttle(a)
	case admission.Fail:
		r.givenUp[a.Reason]++
		r.fail(a.Invocation)
	case admission.StartCall:
		r.call(a.Invocation, a.At)
	case admission.ReportHealth:
		r.good, r.stored = a.Healthy, a.Cached
	case admission.SignalBackpressure:
		r.load = number(a.Value)
	case admission.SetTimer:
		r.beatAt, r.meterAt = a.At, a.At-meterLead
	case admission.StopAccepting:
		r.stopIntake()
	case admission.Exit:
		r.left = true
		r.remark(Info, a.Report, "", nil)
	case admission.JoinOriginal:
		r.reuse(a.Invocation)
	case admission.RecordKey:
		r.invs[a.Invocation].window = r.now + a.Duration + r.invs[a.Invocation].terms.late
	case admission.Release:
		r.release(a.Invocation)
	default:
		r.Invariants.Check(false, "an action that this site allows")
	}
}

// drain passes on the notice; a node that never had its executor has nothing to drain.
func (r *StateMachine) drain() {
	if r.noticed {
		return
	}
	r.noticed, r.killAt = true, r.now+r.stop
	r.remark(Info, "drain notice", "", nil)
	if r.post == nil {
		r.stopIntake()
		r.left = true
		return
	}
	r.events = append(r.events, admission.Event{Kind: admission.DrainRequested, KillAt: r.now + r.stop})
}

// abort brings the kill forward: all that is in hand is answered in this step, and the node leaves once its connections
// have had their end.
func (r *StateMachine) abort() {
	r.remark(Info, "drain notice again: what is in hand is aborted", "", nil)
	r.killAt = min(r.killAt, r.now+abortFor)
	if r.post != nil {
		r.events = append(r.events, admission.Event{Kind: admission.DrainRequested, KillAt: r.now})
	}
}

func (r *StateMachine) newLink() int {
	r.lastLink++
	return r.lastLink
}

// reload goes on at the peers' new addresses at once: the old ones take nothing new and close what is open there
// soon. What a peer's old address has in hand is heard to its end where that does no harm.
func (r *StateMachine) reload(to Addresses) {
	from := r.to
	r.to = to
	if to.Executor != from.Executor { // the next join brings all that was not heard on this link
		r.do(Effect{Kind: CloseExecutor, Link: max(r.link, r.dialing)})
		r.partExecutor()
		r.redialAt, r.wait = r.now, redialFirst
	}
	if to.Catalogue != from.Catalogue {
		r.moveCalls()
	}
	if to.Control != from.Control {
		r.reporting, r.reportAt = 0, r.now
	}
	r.remark(Info, fmt.Sprintf("peers are now at %s, %s and %s", to.Executor, to.Catalogue, to.Control), "", nil)
}

// stopIntake is the start of beat 3 on sockets: nobody can connect any more, and no connection brings more.
func (r *StateMachine) stopIntake() {
	if r.shut {
		return
	}
	r.shut = true
	if !r.hollow.on {
		r.do(Effect{Kind: StopAccepting})
	}
	for _, link := range slices.Sorted(maps.Keys(r.conns)) {
		r.noMore(link, r.conns[link])
	}
}

// keepLeaving ends the node once nothing is owed: all is answered, and each connection has had its end, so that what
// crosses is answered too. Shortly before the kill it waits for no peer any more.
func (r *StateMachine) keepLeaving() {
	if !r.left || r.open > 0 || (len(r.conns) > 0 || !r.listenerClosed) && r.now < r.leaveBy() {
		return
	}
	r.left = false
	if len(r.conns) > 0 {
		r.remark(Warn, fmt.Sprintf("leaving with %d connections that have not ended", len(r.conns)), "", nil)
	}
	r.farewell()
	r.do(Effect{Kind: Exit})
}

func (r *StateMachine) leaveBy() int64 { return r.killAt - leaveMargin }

// Admission of ids.

func (r *StateMachine) admit(v invocation) int32 {
	r.amended.take(&v, r.termsNow(v.operation))
	index := int32(len(r.invs))
	if n := len(r.free); n > 0 {
		index, r.free = r.free[n-1], r.free[:n-1]
	} else {
		r.invs = append(r.invs, invocation{})
	}
	r.invs[index] = v
	r.calls[v.call] = index
	r.open++
	return index
}

// release forgets an index; the module ends nothing unanswered, but should it, an error is the answer.
func (r *StateMachine) release(i int32) {
	v := &r.invs[i]
	if !r.Invariants.Check(v.live, "an index released is live") {
		return
	}
	if !r.Invariants.Check(v.answered, "what is released was answered") {
		r.fail(i)
	}
	r.quitCall(i)
	if r.calls[v.call] == i {
		delete(r.calls, v.call)
	}
	r.amended.over(v)
	*v = invocation{}
	r.free = append(r.free, i)
}

// tellModule tells the module of something, in the next step if it has decided in this one.
func (r *StateMachine) tellModule(e admission.Event) {
	if r.hollow.on {
		return // it has none
	}
	if r.decided {
		r.later = append(r.later, e)
	} else {
		r.events = append(r.events, e)
	}
}

// lookup finds the invocation that an id names, if it is live.
func (r *StateMachine) lookup(call string) (int32, *invocation) {
	if i, ok := r.calls[call]; ok {
		return i, &r.invs[i]
	}
	return -1, nil
}
