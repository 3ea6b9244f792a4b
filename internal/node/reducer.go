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
	connection     int
	stream         uint32
	call, op       string
	body           []byte
	wanted         []byte // body of the call that the run waits for
	calling        bool
	called         bool // a call of its was written to the catalogue, this one or an earlier one
	callDeadline   int64
	tokenKey       resultcache.Key // of a tokened one, its Token empty in others
	bodyHash       uint64          // of its body
	tokenExpiresAt int64           // until which its token is known, as the module asked
	arrival        admission.Event // as the module was told of it
	arrivedAt      int64           // when
	deadline       int64           // when its client timeout ends
	atExecutor     bool            // at the executor, for its token
	inCache        bool            // the keeper of results knows it
	exited         bool            // its run is over, and its answer waits for the disk
	outcome        admission.Outcome
	abandoned      bool // its caller left, others wait for its run
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

	config            *nodeconfig.Config
	drainTime         int64 // ns from the notice to the kill
	maxConnections    int
	maxCatalogueLinks int
	controller        Decider
	now               int64
	startedAt         int64 // when the first step was; no call was made before it in this life
	wall              int64 // Unix ns at now
	effects           []Effect
	events            []admission.Event

	invocations        []invocation
	freeIndices        []int32
	indexByCall        map[string]int32
	connections        map[int]*connection
	idleWheel          *timerwheel.Wheel // when each connection that may bring more is looked at, in ms; nil before the first step
	closingWheel       *timerwheel.Wheel // the same of those that were told to bring no more
	overdueConnections []int             // connections to be looked at that were too many for one step
	connectionsChecked int               // connections that were looked at so far
	owedAnswers        int               // invocations that are owed an answer

	timerAt, gaugesAt          int64
	executorHeardAt            int64 // when the executor's link last brought a line
	sweepAt                    int64
	overdueAt                  int64 // when the next of due are looked at
	busyShare, runnableThreads float64
	gaugesReceivedAt           int64 // when the gauges came

	healthy, healthCached bool
	backpressure          string // what answers carry, empty before the first advice

	addresses                       Addresses
	lastLink                        int // the highest number given to a link or a report
	executorLink, welcomedLink      int // to the executor, 0 where there is none; the last that was welcomed
	dialingLink                     int // the link to the executor that is being opened, 0 where none is
	executorSynced                  bool
	lastNotice                      int // the last that was taken
	commandSequence, gaugesSequence int // of the last command, and of the last that gauges were asked for behind
	unreadCommands                  []command
	redialAt, redialBackoff         int64
	deepChecks                      map[string]check
	deepChecksStarted               int

	catalogueLinks                        []catalogueLink // links to the catalogue
	waitingCalls                          []int32         // invocations whose call has no link yet
	reportAt                              int64
	reportLink                            int // the report that is under way, 0 where none is
	drainRequested, acceptStopped, exited bool
	listenerClosed                        bool  // nobody connects any more
	killAt                                int64 // when the process is killed, once noticed

	degradation degradationState
	fleet       fleetState
	results     resultState
	claiming    claimState
	leases      leaseState
	hollow      hollowState
	versions    versionState

	configSync configSyncState

	deferredEvents  []admission.Event          // what the module is told in the next step: it was deciding
	decided         bool                       // the module has decided in this step, or had nothing to decide
	stateAt         int64                      // when the next sample of the state is due
	givenUpByReason [admission.ReasonCount]int // invocations given up by reason since the last one
	lastCounters    Counters                   // the counters at the last one
}

// NewStateMachine is the state of a node that has just started. Settings are those of its configuration, and the node's own from then
// on, since it amends them; connections and links are the most that it is to keep of dispatchers and to the catalogue.
func NewStateMachine(settings *nodeconfig.Config, to Addresses, stop int64, connections, links int) *StateMachine {
	r := &StateMachine{config: onSockets(settings), addresses: to, drainTime: stop, maxConnections: connections, maxCatalogueLinks: links, indexByCall: map[string]int32{},
		connections: map[int]*connection{}, deepChecks: map[string]check{}, timerAt: never, gaugesAt: never,
		gaugesReceivedAt: math.MinInt64 / 2, redialBackoff: redialFirst,
		Decisions: func(config *admission.Config, born int64) Decider { return admission.NewController(config, born) }}
	r.Invariants.Tell = func(what string, times int) {
		r.emit(Effect{Kind: WriteLog, LogLevel: Warn, Text: fmt.Sprintf("did not hold, %d times so far: %s", times, what)})
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

func (sm *StateMachine) emit(e Effect) { sm.effects = append(sm.effects, e) }

func (sm *StateMachine) log(level LogLevel, text, id string, err error) {
	sm.emit(Effect{Kind: WriteLog, LogLevel: level, Text: text, ID: id, Err: err})
}

// Step takes what happened up to now, a clock that only advances, with wall its time in Unix nanoseconds. The
// effects are valid until the next step.
func (sm *StateMachine) Step(now, wall int64, inputs []Input) []Effect {
	if sm.idleWheel == nil {
		sm.startedAt, sm.idleWheel, sm.closingWheel = now, timerwheel.New(now/ms), timerwheel.New(now/ms)
	}
	sm.now, sm.wall, sm.effects, sm.events = now, wall, sm.effects[:0], append(sm.events[:0], sm.deferredEvents...)
	sm.deferredEvents, sm.decided = sm.deferredEvents[:0], false
	for i := range inputs {
		if inputs[i].Kind != ConnectionOpened {
			sm.apply(&inputs[i])
		}
	}
	for i := range inputs { // last, so that none makes room at one that just brought an invocation
		if inputs[i].Kind == ConnectionOpened {
			sm.connectionOpened(inputs[i].Link)
		}
	}
	sm.runTimers()
	sm.expireLease()
	sm.applyVersions()
	sm.applyPendingConfig()
	sm.decided = true // what the module is told from here on is for the next step
	if sm.controller != nil && len(sm.events) > 0 {
		for _, a := range sm.controller.Decide(now, sm.events) {
			sm.execute(&a)
		}
	}
	sm.expireResults()
	sm.stepLeases()
	sm.stepClaims()
	sm.requestProof()
	sm.sampleState()
	sm.stepConfigSync()
	sm.stepMembership()
	sm.finishDrain()
	wake := sm.nextWakeup()
	sm.Invariants.Check(wake > now, "the next wake lies ahead")
	sm.emit(Effect{Kind: SetWakeup, At: wake})
	return sm.effects
}

func (sm *StateMachine) apply(in *Input) {
	switch in.Kind {
	case FrameReceived, FrameMalformed, ConnectionClosed:
		if c := sm.connections[in.Link]; c != nil {
			sm.applyDispatcherInput(in, c)
		}
	case ExecutorConnected:
		sm.executorConnected(in.Link)
	case ExecutorLineReceived, ExecutorDisconnected:
		if in.Link == sm.executorLink || in.Kind == ExecutorDisconnected && in.Link == sm.dialingLink { // the latter: it could not be had
			sm.applyExecutorInput(in)
		}
	case CatalogueConnected, CatalogueDialFailed, CatalogueLineReceived, CatalogueDisconnected:
		sm.applyCatalogueInput(in)
	case ReportFinished:
		if in.Link == sm.reportLink {
			sm.reportFinished(in.Err)
		}
	case RecordsRecovered, RecordWritten, RecordWriteFailed, RecoveryCompleted:
		sm.applyStoreInput(in)
	case PeerDatagramReceived, PeerRequestReceived, PeerResponseReceived, PeerExchangeFailed:
		sm.applyPeerInput(in)
	case PeerMessageReceived, PeerStreamClosed:
		sm.applyStreamMessage(in)
	case VersionPersisted:
		sm.configPersisted(in)
	case ReplicaWritePersisted:
		sm.claiming.heard = append(sm.claiming.heard, consensus.Input{Persisted: in.Number, Err: in.Err})
	case HollowClaimRequested, HollowCallsRequested:
		sm.applyLoadRequest(in)
	case ListenerClosed:
		sm.listenerClosed = true
	case DrainRequested:
		sm.startDrain()
	case AbortRequested:
		sm.startDrain()
		sm.abortDrain()
	case ReloadRequested:
		sm.applyAddresses(in.Addresses)
		sm.applyPlan(in.Plan)
	case PlanChanged:
		sm.applyPlan(in.Plan)
	case VersionReceived:
		sm.queueVersion(in)
	}
}

// runTimers does what is due.
func (sm *StateMachine) runTimers() {
	if sm.hollow.on {
		return
	}
	if sm.now >= sm.redialAt && sm.executorLink == 0 && sm.dialingLink == 0 {
		sm.dialingLink = sm.nextLink()
		sm.emit(Effect{Kind: DialExecutor, Link: sm.dialingLink, Address: sm.addresses.Executor})
	}
	if sm.now >= sm.reportAt && sm.reportLink == 0 && !sm.drainRequested {
		sm.reportLink = sm.nextLink()
		sm.emit(Effect{Kind: SendReport, Link: sm.reportLink, Address: sm.addresses.Control, Ready: sm.controller != nil && sm.healthy})
	}
	if sm.now >= sm.gaugesAt && sm.executorLink != 0 && sm.welcomedLink == sm.executorLink {
		sm.gaugesAt = never
		sm.requestGauges()
	}
	if sm.executorLink != 0 && sm.now-sm.executorHeardAt >= silentMost {
		if sm.welcomedLink == sm.executorLink {
			sm.log(Warn, "executor link is silent, opened anew", "", nil)
		} else { // it may be late, or the link half open: a new one costs nothing, and one that waits for good serves nobody
			sm.log(Info, "executor has not welcomed the link, opened anew", "", nil)
		}
		sm.emit(Effect{Kind: CloseExecutor, Link: sm.executorLink})
		sm.disconnectExecutor()
		sm.redialAt = sm.now + sm.redialBackoff
	}
	sm.checkConnections()
	sm.expireCalls()
	sm.expireDeepChecks()
	if sm.now >= sm.timerAt {
		e := admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
		if sm.now-sm.gaugesReceivedAt <= meterStale {
			e.BusyShare, e.RunnableThreads = sm.busyShare, sm.runnableThreads
		}
		sm.timerAt = never
		sm.stepDegradation()
		sm.events = append(sm.events, e)
	}
}

// nextWakeup is when the next of the timers is due.
func (sm *StateMachine) nextWakeup() int64 {
	if sm.hollow.on {
		return sm.hollowDue()
	}
	at := min(sm.timerAt, sm.callsDue(), sm.deepChecksDue(), sm.membershipDue(), sm.resultsDue(), sm.claimsDue(), sm.leaseDue(), sm.versionsDue(), sm.configSyncDue())
	if len(sm.deferredEvents) > 0 {
		at = sm.now + 1
	}
	if len(sm.connections) > 0 {
		at = min(at, sm.connectionsDue())
	}
	if sm.exited && sm.owedAnswers == 0 {
		at = min(at, sm.exitDeadline())
	}
	if sm.executorLink == 0 && sm.dialingLink == 0 {
		at = min(at, sm.redialAt)
	} else if sm.executorLink != 0 {
		at = min(at, sm.executorHeardAt+silentMost)
		if sm.welcomedLink == sm.executorLink {
			at = min(at, sm.gaugesAt)
		}
	}
	if sm.reportLink == 0 && !sm.drainRequested {
		at = min(at, sm.reportAt)
	}
	return at
}

// execute does what the module asks for.
func (sm *StateMachine) execute(a *admission.Action) {
	switch a.Kind {
	case admission.Run:
		sm.startRun(a.Invocation, a.Form)
	case admission.Reject:
		sm.givenUpByReason[a.Reason]++
		sm.degradation.count(false, false, a.Reason)
		sm.reject(a)
	case admission.Fail:
		sm.givenUpByReason[a.Reason]++
		sm.fail(a.Invocation)
	case admission.StartCall:
		sm.callDependency(a.Invocation, a.At)
	case admission.ReportHealth:
		sm.healthy, sm.healthCached = a.Healthy, a.Cached
	case admission.SignalBackpressure:
		sm.backpressure = number(a.Value)
	case admission.SetTimer:
		sm.timerAt, sm.gaugesAt = a.At, a.At-meterLead
	case admission.StopAccepting:
		sm.stopAccepting()
	case admission.Exit:
		sm.exited = true
		sm.log(Info, a.Report, "", nil)
	case admission.JoinOriginal:
		sm.joinOriginal(a.Invocation)
	case admission.RecordKey:
		sm.invocations[a.Invocation].tokenExpiresAt = sm.now + a.Duration + sm.invocations[a.Invocation].terms.late
	case admission.Release:
		sm.releaseInvocation(a.Invocation)
	default:
		sm.Invariants.Check(false, "an action that this site allows")
	}
}

// startDrain passes on the notice; a node that never had its executor has nothing to startDrain.
func (sm *StateMachine) startDrain() {
	if sm.drainRequested {
		return
	}
	sm.drainRequested, sm.killAt = true, sm.now+sm.drainTime
	sm.log(Info, "drain notice", "", nil)
	if sm.controller == nil {
		sm.stopAccepting()
		sm.exited = true
		return
	}
	sm.events = append(sm.events, admission.Event{Kind: admission.DrainRequested, KillAt: sm.now + sm.drainTime})
}

// abortDrain brings the kill forward: all that is in hand is answered in this step, and the node leaves once its connections
// have had their end.
func (sm *StateMachine) abortDrain() {
	sm.log(Info, "drain notice again: what is in hand is aborted", "", nil)
	sm.killAt = min(sm.killAt, sm.now+abortFor)
	if sm.controller != nil {
		sm.events = append(sm.events, admission.Event{Kind: admission.DrainRequested, KillAt: sm.now})
	}
}

func (sm *StateMachine) nextLink() int {
	sm.lastLink++
	return sm.lastLink
}

// applyAddresses goes on at the peers' new addresses at once: the old ones take nothing new and close what is open there
// soon. What a peer's old address has in hand is heard to its end where that does no harm.
func (sm *StateMachine) applyAddresses(to Addresses) {
	from := sm.addresses
	sm.addresses = to
	if to.Executor != from.Executor { // the next join brings all that was not heard on this link
		sm.emit(Effect{Kind: CloseExecutor, Link: max(sm.executorLink, sm.dialingLink)})
		sm.disconnectExecutor()
		sm.redialAt, sm.redialBackoff = sm.now, redialFirst
	}
	if to.Catalogue != from.Catalogue {
		sm.redialCatalogue()
	}
	if to.Control != from.Control {
		sm.reportLink, sm.reportAt = 0, sm.now
	}
	sm.log(Info, fmt.Sprintf("peers are now at %s, %s and %s", to.Executor, to.Catalogue, to.Control), "", nil)
}

// stopAccepting is the start of beat 3 on sockets: nobody can connect any more, and no connection brings more.
func (sm *StateMachine) stopAccepting() {
	if sm.acceptStopped {
		return
	}
	sm.acceptStopped = true
	if !sm.hollow.on {
		sm.emit(Effect{Kind: StopAccepting})
	}
	for _, link := range slices.Sorted(maps.Keys(sm.connections)) {
		sm.sendGoAway(link, sm.connections[link])
	}
}

// finishDrain ends the node once nothing is owed: all is answered, and each connection has had its end, so that what
// crosses is answered too. Shortly before the kill it waits for no peer any more.
func (sm *StateMachine) finishDrain() {
	if !sm.exited || sm.owedAnswers > 0 || (len(sm.connections) > 0 || !sm.listenerClosed) && sm.now < sm.exitDeadline() {
		return
	}
	sm.exited = false
	if len(sm.connections) > 0 {
		sm.log(Warn, fmt.Sprintf("leaving with %d connections that have not ended", len(sm.connections)), "", nil)
	}
	sm.announceLeaving()
	sm.emit(Effect{Kind: Exit})
}

func (sm *StateMachine) exitDeadline() int64 { return sm.killAt - leaveMargin }

// Admission of ids.

func (sm *StateMachine) addInvocation(v invocation) int32 {
	sm.versions.take(&v, sm.currentTerms(v.operation))
	index := int32(len(sm.invocations))
	if n := len(sm.freeIndices); n > 0 {
		index, sm.freeIndices = sm.freeIndices[n-1], sm.freeIndices[:n-1]
	} else {
		sm.invocations = append(sm.invocations, invocation{})
	}
	sm.invocations[index] = v
	sm.indexByCall[v.call] = index
	sm.owedAnswers++
	return index
}

// releaseInvocation forgets an index; the module ends nothing unanswered, but should it, an error is the answer.
func (sm *StateMachine) releaseInvocation(i int32) {
	v := &sm.invocations[i]
	if !sm.Invariants.Check(v.live, "an index released is live") {
		return
	}
	if !sm.Invariants.Check(v.answered, "what is released was answered") {
		sm.fail(i)
	}
	sm.cancelCall(i)
	if sm.indexByCall[v.call] == i {
		delete(sm.indexByCall, v.call)
	}
	sm.versions.over(v)
	*v = invocation{}
	sm.freeIndices = append(sm.freeIndices, i)
}

// notifyController tells the module of something, in the next step if it has decided in this one.
func (sm *StateMachine) notifyController(e admission.Event) {
	if sm.hollow.on {
		return // it has none
	}
	if sm.decided {
		sm.deferredEvents = append(sm.deferredEvents, e)
	} else {
		sm.events = append(sm.events, e)
	}
}

// findInvocation finds the invocation that an id names, if it is live.
func (sm *StateMachine) findInvocation(call string) (int32, *invocation) {
	if i, ok := sm.indexByCall[call]; ok {
		return i, &sm.invocations[i]
	}
	return -1, nil
}
