// Package node holds the one state of a real node. Step takes what happened and returns what is to be
// done; it has no goroutine, no socket and no clock. All that it decides by is package control.
package node

import (
	"fmt"
	"math"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/invariant"
	"topazpost/internal/nodeconfig"
)

const (
	ms    = int64(1_000_000) // ns in a millisecond
	never = math.MaxInt64
)

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

	config     *nodeconfig.Config
	drainTime  int64 // ns from the notice to the kill
	controller Decider
	now        int64
	started    bool
	startedAt  int64 // when the first step was; no call was made before it in this life
	wall       int64 // Unix ns at now
	effects    []Effect
	events     []admission.Event

	invocations []invocation
	freeIndices []int32
	indexByCall map[string]int32
	owedAnswers int // invocations that are owed an answer

	timerAt int64 // when the controller is to be stepped next

	backpressure string // what answers carry, empty before the first advice

	addresses   Addresses
	lastLink    int // the highest number given to a link or a report
	executor    executorState
	catalogue   catalogueState
	connections connectionTable
	health      healthChecks

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
	r := &StateMachine{config: onSockets(settings), addresses: to, drainTime: stop, indexByCall: map[string]int32{},
		timerAt:   never,
		Decisions: func(config *admission.Config, born int64) Decider { return admission.NewController(config, born) }}
	r.executor = newExecutorState(r)
	r.catalogue = catalogueState{sm: r, maxLinks: links}
	r.connections = newConnectionTable(r, connections)
	r.health = healthChecks{sm: r, deep: map[string]deepCheck{}}
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

// Step takes what happened up to now, a clock that only advances, with wall its time in Unix nanoseconds. The
// effects are valid until the next step.
func (sm *StateMachine) Step(now, wall int64, inputs []Input) []Effect {
	if !sm.started {
		sm.started = true
		sm.startedAt = now
		sm.connections.start(now)
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
			sm.connections.opened(inputs[i].Link)
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
	sm.executor.requestAcknowledgement()
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
		sm.connections.apply(in)
	case ExecutorConnected, ExecutorLineReceived, ExecutorDisconnected:
		sm.executor.apply(in)
	case CatalogueConnected, CatalogueDialFailed, CatalogueLineReceived, CatalogueDisconnected:
		sm.catalogue.apply(in)
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
		sm.catalogue.startCall(a.Invocation, a.At)
	case admission.ReportHealth:
		sm.health.setHealth(a.Healthy, a.Cached)
	case admission.SignalBackpressure:
		sm.backpressure = formatNumber(a.Value)
	case admission.SetTimer:
		sm.timerAt = a.At
		sm.executor.scheduleGauges(a.At)
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

func (sm *StateMachine) emit(e Effect) { sm.effects = append(sm.effects, e) }

func (sm *StateMachine) log(level LogLevel, text, id string, err error) {
	sm.emit(Effect{Kind: WriteLog, LogLevel: level, Text: text, ID: id, Err: err})
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
	if to.Executor != from.Executor {
		sm.executor.addressChanged()
	}
	if to.Catalogue != from.Catalogue {
		sm.catalogue.addressChanged()
	}
	if to.Control != from.Control {
		sm.reportLink, sm.reportAt = 0, sm.now
	}
	sm.log(Info, fmt.Sprintf("peers are now at %s, %s and %s", to.Executor, to.Catalogue, to.Control), "", nil)
}

// startController starts deciding once the executor is up. The age of the cores is that of the executor; a cold one has
// just started.
func (sm *StateMachine) startController(cold bool, coresStartedAt int64) {
	sm.config.Node.ColdStart = cold
	sm.config.Node.ProcessStart = sm.startedAt
	sm.controller = sm.Decisions(&sm.config.Node, coresStartedAt)
	sm.health.healthy = true
	sm.timerAt = sm.now
	if sm.degradation.plan != nil {
		sm.events = append(sm.events, sm.degradation.event())
	}
}
