// Package node is the state machine of one node. StateMachine.Step takes the inputs since the last step and returns the
// effects that the host is to carry out, in order; it has no goroutine, no socket and no clock. What happens to an
// invocation is decided by package admission.
//
// The state machine keeps the invocations and passes events to the controller and actions from it. Each kind of
// connection and each subsystem is a component with its own fields: executorState, catalogueState, connectionTable (the
// dispatchers), healthChecks, reporter (the control plane), drainState, and those of the fleet.
package node

import (
	"fmt"
	"math"
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/invariant"
	"topazpost/internal/nodeconfig"
)

const (
	ms    = int64(1_000_000) // nanoseconds in a millisecond
	never = math.MaxInt64
)

// Decider decides about invocations: an admission.Controller, or a baseline of the test bed.
type Decider interface {
	Decide(now int64, events []admission.Event) []admission.Action
	State() admission.ControllerState
	MeasureLoad(m *admission.LoadMetrics)
}

// StateMachine is the state of one node: the invocations, the events and actions of the controller, and a component for
// each kind of connection and each subsystem.
type StateMachine struct {
	Invariants invariant.Checker
	Counters   Counters
	// Decisions makes the controller once the executor is up; born is when its cores started.
	Decisions func(config *admission.Config, born int64) Decider
	// SpareConnections is how many connections that are being closed may exceed the limit on connections.
	SpareConnections int

	config    *nodeconfig.Config
	addresses Addresses

	// The step.
	started   bool
	startedAt int64 // time of the first step
	now       int64
	wall      int64 // Unix nanoseconds at now
	effects   []Effect
	lastLink  int // the highest number given to a link or a report

	// The controller, nil before the executor's first welcome.
	controller     Decider
	timerAt        int64 // when it wants to be stepped next
	events         []admission.Event
	deferredEvents []admission.Event // of the next step: they occurred after the decisions of this one
	decided        bool              // the controller has decided in this step, or had nothing to decide
	backpressure   string            // the signal that answers carry, empty before the first

	// The invocations, by an index that the controller knows them by.
	invocations []invocation
	freeIndices []int32
	indexByID   map[string]int32
	owedAnswers int

	executor    executorState
	catalogue   catalogueState
	connections connectionTable
	health      healthChecks
	reports     reporter
	drain       drainState
	sampler     stateSampler

	degradation degradationState
	fleet       fleetState
	results     resultState
	group       groupState
	leases      leaseState
	hollow      hollowState
	versions    versionState
	configSync  configSyncState
}

// NewStateMachine is the state of a node that has just started. It copies the configuration and amends its copy.
// killDelay is the time from a drain notice to the kill, in nanoseconds.
func NewStateMachine(config *nodeconfig.Config, addresses Addresses, killDelay int64, maxConnections, maxCatalogueLinks int) *StateMachine {
	sm := &StateMachine{
		config:    withoutUnsupported(config),
		addresses: addresses,
		timerAt:   never,
		indexByID: map[string]int32{},
		Decisions: func(config *admission.Config, born int64) Decider { return admission.NewController(config, born) },
	}
	sm.executor = newExecutorState(sm)
	sm.catalogue = catalogueState{sm: sm, maxLinks: maxCatalogueLinks}
	sm.connections = newConnectionTable(sm, maxConnections)
	sm.health = healthChecks{sm: sm, deepChecks: map[string]deepCheck{}}
	sm.reports = reporter{sm: sm}
	sm.drain = drainState{sm: sm, killDelay: killDelay}
	sm.sampler = stateSampler{sm: sm}
	sm.Invariants.OnViolation = func(what string, times int) {
		sm.log(Warn, fmt.Sprintf("did not hold, %d times so far: %s", times, what), "", nil)
	}
	return sm
}

// withoutUnsupported copies a configuration without what the protocol on sockets can't express: to stop a run, to go on
// without a call, and to share the answer of a read. Results of tokens are cached in the node's memory, not in the
// executor's.
func withoutUnsupported(config *nodeconfig.Config) *nodeconfig.Config {
	own := *config
	n := &own.Node
	n.DeduplicationEntryKB = 0
	n.StopSupport = admission.StopUnsupported
	n.ReadReuseWindow = 0
	n.Operations = slices.Clone(n.Operations)
	for i := range n.Operations {
		n.Operations[i].SkippedCallWeightShare = 0
	}
	return &own
}

// Step applies the inputs up to now, by a clock that only advances, with wall its time in Unix nanoseconds. The effects
// are valid until the next step.
//
// The order of a step: the inputs, the timers, changes of the configuration, the decisions, the subsystems that follow
// from those, and last the exit and the next wakeup.
func (sm *StateMachine) Step(now, wall int64, inputs []Input) []Effect {
	sm.begin(now, wall)
	for i := range inputs {
		if inputs[i].Kind != ConnectionOpened {
			sm.apply(&inputs[i])
		}
	}
	for i := range inputs { // last, so that none evicts a connection that just brought an invocation
		if inputs[i].Kind == ConnectionOpened {
			sm.connections.opened(inputs[i].Link)
		}
	}
	sm.runTimers()
	sm.expireLease()
	sm.applyVersions()
	sm.applyPendingConfig()
	sm.decide()
	sm.expireTokens()
	sm.stepLeases()
	sm.stepClaims()
	sm.executor.requestAcknowledgement()
	sm.sampler.sampleIfDue()
	sm.stepConfigSync()
	sm.stepMembership()
	sm.drain.finish()
	wake := sm.nextWakeup()
	sm.Invariants.Check(wake > now, "the next wake lies ahead")
	sm.emit(Effect{Kind: SetWakeup, At: wake})
	return sm.effects
}

// begin sets the clock and takes over the events that the last step deferred.
func (sm *StateMachine) begin(now, wall int64) {
	if !sm.started {
		sm.started = true
		sm.startedAt = now
		sm.connections.start(now)
	}
	sm.now = now
	sm.wall = wall
	sm.effects = sm.effects[:0]
	sm.events = append(sm.events[:0], sm.deferredEvents...)
	sm.deferredEvents = sm.deferredEvents[:0]
	sm.decided = false
}

// decide has the controller decide on the events; those that occur from here on are of the next step.
func (sm *StateMachine) decide() {
	sm.decided = true
	if sm.controller == nil || len(sm.events) == 0 {
		return
	}
	for _, action := range sm.controller.Decide(sm.now, sm.events) {
		sm.execute(&action)
	}
}

// apply passes an input to the component that it belongs to.
func (sm *StateMachine) apply(in *Input) {
	switch in.Kind {
	case FrameReceived, FrameMalformed, ConnectionClosed:
		sm.connections.apply(in)
	case ExecutorConnected, ExecutorLineReceived, ExecutorDisconnected:
		sm.executor.apply(in)
	case CatalogueConnected, CatalogueDialFailed, CatalogueLineReceived, CatalogueDisconnected:
		sm.catalogue.apply(in)
	case ReportFinished:
		sm.reports.finished(in.Link, in.Err)
	case RecordsRecovered, RecordWritten, RecordWriteFailed, RecoveryCompleted:
		sm.applyStoreInput(in)
	case ListenerClosed:
		sm.drain.setListenerClosed()
	case DrainRequested:
		sm.drain.start()
	case AbortRequested:
		sm.drain.abort()
	case ReloadRequested:
		sm.applyAddresses(in.Addresses)
		sm.applyPlan(in.Plan)
	case PlanChanged:
		sm.applyPlan(in.Plan)
	case VersionReceived:
		sm.queueVersion(in)
	default:
		sm.applyFleetInput(in)
	}
}

// applyFleetInput applies an input of the other nodes or of this node's replica.
func (sm *StateMachine) applyFleetInput(in *Input) {
	switch in.Kind {
	case PeerDatagramReceived, PeerRequestReceived, PeerResponseReceived, PeerExchangeFailed:
		sm.applyPeerInput(in)
	case PeerMessageReceived, PeerStreamClosed:
		sm.applyStreamMessage(in)
	case VersionPersisted:
		sm.configPersisted(in)
	case ReplicaWritePersisted:
		sm.group.replicaWritePersisted(in.Number, in.Err)
	case HollowClaimRequested, HollowCallsRequested:
		sm.applyLoadRequest(in)
	}
}

// execute carries out an action of the controller.
func (sm *StateMachine) execute(a *admission.Action) {
	switch a.Kind {
	case admission.Run:
		sm.startRun(a.Invocation, a.Form)
	case admission.Reject:
		sm.sampler.countGivenUp(a.Reason)
		sm.degradation.countAnswer(false, false, a.Reason)
		sm.reject(a)
	case admission.Fail:
		sm.sampler.countGivenUp(a.Reason)
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
		sm.drain.stopAccepting()
	case admission.Exit:
		sm.drain.setExitPending(a.Report)
	case admission.JoinOriginal:
		sm.joinOriginal(a.Invocation)
	case admission.RecordKey:
		v := &sm.invocations[a.Invocation]
		v.tokenExpiresAt = sm.now + a.Duration + v.terms.lateAllowance
	case admission.Release:
		sm.releaseInvocation(a.Invocation)
	default:
		sm.Invariants.Check(false, "an action that this site allows")
	}
}

// notifyController passes an event to the controller, in the next step if it has decided in this one.
func (sm *StateMachine) notifyController(e admission.Event) {
	if sm.hollow.enabled() {
		return // without a controller
	}
	if sm.decided {
		sm.deferredEvents = append(sm.deferredEvents, e)
	} else {
		sm.events = append(sm.events, e)
	}
}

// emit adds an effect of this step.
func (sm *StateMachine) emit(e Effect) { sm.effects = append(sm.effects, e) }

// log emits a log entry; id is the call that it is about, if any.
func (sm *StateMachine) log(level LogLevel, text, id string, err error) {
	sm.emit(Effect{Kind: WriteLog, LogLevel: level, Text: text, ID: id, Err: err})
}

// nextLink numbers a new link or report; no number is used twice.
func (sm *StateMachine) nextLink() int {
	sm.lastLink++
	return sm.lastLink
}

// applyAddresses switches to the peers' new addresses at once. Calls in flight at an old address of the catalogue may end
// there.
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
		sm.reports.addressChanged()
	}
	sm.log(Info, fmt.Sprintf("peers are now at %s, %s and %s", to.Executor, to.Catalogue, to.Control), "", nil)
}

// startController starts the controller when the executor is up, cold if the executor has just started itself.
func (sm *StateMachine) startController(cold bool, coresStartedAt int64) {
	sm.config.Node.ColdStart = cold
	sm.config.Node.ProcessStart = sm.startedAt
	sm.controller = sm.Decisions(&sm.config.Node, coresStartedAt)
	sm.health.setHealth(true, false)
	sm.timerAt = sm.now
	if sm.degradation.enabled() {
		sm.events = append(sm.events, sm.degradation.levelSetEvent())
	}
}
