// Package node implements the state machine of one node. StateMachine.Step takes the inputs since the last step and returns
// the effects that the host carries out, in order. The state machine has no goroutines, sockets or clock of its own.
//
// The state machine stores the invocations, passes events to the admission controller and carries out its actions; the
// controller, of package admission, decides which invocations run. Each kind of connection and each subsystem is a
// component with its own fields: executorState, catalogueState, connectionTable (the dispatchers), healthChecks, reporter
// (the control plane), drainState, and the components of the fleet. Connections are those that dispatchers open to the
// node, links are those that the node opens to the executor and the catalogue, and peers are the other nodes of the fleet.
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

// Decider decides which invocations run, wait or are rejected. Implementations are admission.Controller and the baselines
// of the testbed.
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
	// NewDecider returns a new controller. It is called at the executor's first welcome; coresStartedAt is the time at which
	// the executor's cores started.
	NewDecider func(config *admission.Config, coresStartedAt int64) Decider
	// ExtraClosingConnections is how many connections that are being closed may be open in addition to maxConnections.
	ExtraClosingConnections int

	config    *nodeconfig.Config
	addresses Addresses

	// The current step.
	started   bool
	startedAt int64 // time of the first step
	now       int64
	wall      int64 // wall-clock time at now, in Unix nanoseconds
	effects   []Effect
	lastLink  int // the highest number given to a link or a report

	controller     Decider // nil before the executor's first welcome
	timerAt        int64   // time of the controller's next tick
	events         []admission.Event
	deferredEvents []admission.Event // events after the decisions of this step, for the next one
	decided        bool              // the decisions of this step are made
	backpressure   string            // backpressure signal in answers, empty before the controller's first

	// The invocations, by the index that identifies them to the controller.
	invocations     []invocation
	freeIndices     []int32
	indexByID       map[string]int32
	unansweredCount int // invocations that are not answered yet
	recentRuns      recentRuns

	startup     startupState
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
	refusals    refusalState
	leases      leaseState
	hollow      hollowState
	versions    versionState
	configSync  configSyncState
}

// NewStateMachine returns the state machine of a node that has just started. It copies the configuration and changes only
// its copy. killDelay is the time from a drain notice to the kill of the process, in nanoseconds.
func NewStateMachine(config *nodeconfig.Config, addresses Addresses, killDelay int64, maxConnections, maxCatalogueLinks int) *StateMachine {
	sm := &StateMachine{
		config:    limitedToSocketProtocols(config),
		addresses: addresses,
		timerAt:   never,
		indexByID: map[string]int32{},
		NewDecider: func(config *admission.Config, coresStartedAt int64) Decider {
			return admission.NewController(config, coresStartedAt)
		},
	}
	sm.executor = newExecutorState(sm)
	sm.catalogue = catalogueState{sm: sm, maxLinks: maxCatalogueLinks}
	sm.connections = newConnectionTable(sm, maxConnections)
	sm.health = healthChecks{sm: sm, deepChecks: map[string]deepCheck{}}
	sm.reports = reporter{sm: sm}
	sm.drain = drainState{sm: sm, killDelay: killDelay}
	sm.sampler = stateSampler{sm: sm}
	sm.Invariants.OnViolation = func(name string, count int) {
		sm.log(Warn, fmt.Sprintf("invariant violated, %d times so far: %s", count, name), "", nil)
	}
	return sm
}

// limitedToSocketProtocols returns a copy of a configuration without the features of package admission for which the
// protocols between the processes have no messages.
func limitedToSocketProtocols(config *nodeconfig.Config) *nodeconfig.Config {
	own := *config
	n := &own.Node
	n.DeduplicationEntryKB = 0                // results of tokens are cached in the node's memory, not in the executor's
	n.StopSupport = admission.StopUnsupported // a run can't be stopped
	n.ReadReuseWindow = 0                     // the answer of a read can't be shared
	n.Operations = slices.Clone(n.Operations)
	for i := range n.Operations {
		n.Operations[i].SkippedCallWeightShare = 0 // a run can't continue without its call
	}
	return &own
}

// Step applies inputs and all timers that are due, and returns the effects, which are valid until the next step. now is the
// time on a clock that only advances, and wall is the wall-clock time in Unix nanoseconds.
//
// A step handles, in this order: inputs, timers, changes of the configuration, the controller's decisions, the subsystems
// that depend on these, the exit, and the time of the next wakeup.
func (sm *StateMachine) Step(now, wall int64, inputs []Input) []Effect {
	sm.begin(now, wall)
	for i := range inputs {
		if inputs[i].Kind != ConnectionOpened {
			sm.apply(&inputs[i])
		}
	}
	for i := range inputs { // last, so that a new connection evicts none that has just brought an invocation
		if inputs[i].Kind == ConnectionOpened {
			sm.connections.opened(inputs[i].Link)
		}
	}
	// Timers.
	sm.runTimers()
	sm.expireLease()
	// Changes of the configuration.
	sm.applyVersions()
	sm.applyPendingConfig()
	// Decisions.
	sm.decide()
	// Subsystems that depend on the decisions.
	sm.expireTokens()
	sm.stepLeases()
	sm.stepClaims()
	sm.executor.requestAcknowledgement()
	sm.sampler.sampleIfDue()
	sm.stepConfigSync()
	sm.stepMembership()
	// The exit, and the time of the next wakeup.
	sm.drain.finish()
	wakeAt := sm.nextWakeup()
	sm.Invariants.Check(wakeAt > now, "the next wakeup is after now")
	sm.emit(Effect{Kind: SetWakeup, At: wakeAt})
	if invariant.Debug {
		sm.CheckRuns()
	}
	return sm.effects
}

// begin starts a step at a time, with the events that the last step deferred.
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

// decide has the controller decide on the events, and carries out its actions. Later events are deferred to the next step.
func (sm *StateMachine) decide() {
	sm.decided = true
	if sm.controller == nil || len(sm.events) == 0 {
		return
	}
	for _, action := range sm.controller.Decide(sm.now, sm.events) {
		sm.execute(&action)
	}
}

// apply passes an input to the component that handles it.
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

// applyFleetInput passes an input to the component of the fleet that handles it: messages of other nodes, finished disk
// writes of the replica and of configuration versions, and the load of a hollow node.
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
		sm.sampler.countRejectedOrFailed(a.Reason)
		sm.degradation.countAnswer(false, false, a.Reason)
		sm.reject(a)
	case admission.Fail:
		sm.sampler.countRejectedOrFailed(a.Reason)
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
		// The token is kept for the deduplication window, and longer for a run that may end late.
		v.tokenExpiresAt = sm.now + a.Duration + v.tokenLimits.lateAllowance
	case admission.Release:
		sm.releaseInvocation(a.Invocation)
	default:
		sm.Invariants.Check(false, "the controller takes only actions that the protocols support")
	}
}

// notifyController passes an event to the controller. After the decisions of this step, it defers the event to the next.
func (sm *StateMachine) notifyController(e admission.Event) {
	if sm.hollow.enabled() {
		return // a hollow node has no controller
	}
	if sm.decided {
		sm.deferredEvents = append(sm.deferredEvents, e)
	} else {
		sm.events = append(sm.events, e)
	}
}

// emit adds an effect to those of this step.
func (sm *StateMachine) emit(e Effect) { sm.effects = append(sm.effects, e) }

// log emits a log entry. id identifies its subject, such as an invocation, and may be empty.
func (sm *StateMachine) log(level LogLevel, text, id string, err error) {
	sm.emit(Effect{Kind: WriteLog, LogLevel: level, Text: text, ID: id, Err: err})
}

// nextLink returns an unused number for a link to the executor or the catalogue, or for a report.
func (sm *StateMachine) nextLink() int {
	sm.lastLink++
	return sm.lastLink
}

// applyAddresses switches to the new addresses at once, except that calls in flight on links to the catalogue's old address
// may finish there.
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
	sm.log(Info, fmt.Sprintf("addresses are now %s (executor), %s (catalogue) and %s (control plane)", to.Executor, to.Catalogue, to.Control), "", nil)
}

// startController creates the controller after the executor's first welcome. cold is set if the executor has just started.
func (sm *StateMachine) startController(cold bool, coresStartedAt int64) {
	sm.config.Node.ColdStart = cold
	sm.config.Node.ProcessStart = sm.startedAt
	sm.controller = sm.NewDecider(&sm.config.Node, coresStartedAt)
	sm.health.setHealth(true, false)
	sm.timerAt = sm.now
	if sm.degradation.enabled() {
		sm.events = append(sm.events, sm.degradation.levelSetEvent())
	}
}
