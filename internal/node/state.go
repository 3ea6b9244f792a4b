package node

import "topazpost/internal/admission"

const stateSampleInterval = 1_000 * ms // ns

// State is a sample of a node's state: the state of its controller, and counts of its answers, connections and links.
// Answers are counted since the previous sample. Times are in nanoseconds.
type State struct {
	admission.ControllerState
	Level                  string         `json:"level,omitempty"` // name of the degradation level, empty without a plan
	LoadByLevel            []float64      `json:"loads,omitempty"` // demand on the cores by level, starting with full service; nil without a plan
	Succeeded              int            `json:"succeeded"`
	Throttled              int            `json:"refused"` // answered with a throttle
	Errored                int            `json:"errored"`
	CallersDisconnected    int            `json:"gone"`               // not answered: the caller disconnected
	RejectedOrFailed       map[string]int `json:"given_up,omitempty"` // rejected or failed by the controller, by reason
	Connections            int            `json:"connections"`        // open connections of dispatchers
	CatalogueLinks         int            `json:"links"`              // links to the catalogue, open or being dialed
	IdleCatalogueLinks     int            `json:"idle"`               // links to the catalogue without a call
	WaitingCalls           int            `json:"waiting"`            // calls that wait for a link
	UnacknowledgedCommands int            `json:"unread"`             // commands that the executor has not acknowledged
	GaugesAge              int64          `json:"gauge_age_ns"`       // age of the last gauges of the executor, -1 before the first
	ExecutorSynced         bool           `json:"synced"`             // the executor's link is synced, so that it carries commands

	Configuration *ConfigSyncStatus `json:"configuration,omitempty"` // nil unless the fleet distributes its configuration
}

// stateSampler publishes a sample of the state at an interval once there is a controller. It has no timer of its own: the
// controller's ticks wake the node often enough.
type stateSampler struct {
	sm               *StateMachine
	nextAt           int64
	rejectedOrFailed [admission.ReasonCount]int // invocations rejected or failed since the last sample, by reason
	lastCounters     Counters                   // the node's counters at the last sample
}

// countRejectedOrFailed counts an invocation that the controller has rejected or failed.
func (s *stateSampler) countRejectedOrFailed(reason admission.Reason) { s.rejectedOrFailed[reason]++ }

func (s *stateSampler) sampleIfDue() {
	sm := s.sm
	if sm.controller == nil || sm.now < s.nextAt {
		return
	}
	state := s.snapshot()
	s.nextAt = sm.now + stateSampleInterval
	s.lastCounters = sm.Counters
	s.rejectedOrFailed = [admission.ReasonCount]int{}
	sm.emit(Effect{Kind: PublishState, State: state})
}

// snapshot returns the current state.
func (s *stateSampler) snapshot() *State {
	sm := s.sm
	state := &State{
		ControllerState:        sm.controller.State(),
		Succeeded:              sm.Counters.Succeeded - s.lastCounters.Succeeded,
		Throttled:              sm.Counters.Throttled - s.lastCounters.Throttled,
		Errored:                sm.Counters.Errored - s.lastCounters.Errored,
		CallersDisconnected:    sm.Counters.CallersDisconnected - s.lastCounters.CallersDisconnected,
		RejectedOrFailed:       s.rejectedOrFailedByReason(),
		Connections:            sm.connections.count(),
		CatalogueLinks:         sm.catalogue.linkCount(),
		IdleCatalogueLinks:     sm.catalogue.idleLinkCount(),
		WaitingCalls:           sm.catalogue.waitingCallCount(),
		UnacknowledgedCommands: sm.executor.unacknowledgedCommands(),
		GaugesAge:              sm.executor.gaugesAge(),
		ExecutorSynced:         sm.executor.isSynced(),
		Configuration:          sm.ConfigSyncStatus(),
	}
	if sm.degradation.enabled() {
		state.Level = sm.degradation.levelName()
		state.LoadByLevel = sm.degradation.loadByLevel()
	}
	return state
}

// rejectedOrFailedByReason returns the invocations rejected or failed since the last sample by the name of the reason, nil if there are
// none.
func (s *stateSampler) rejectedOrFailedByReason() (counts map[string]int) {
	for reason, count := range s.rejectedOrFailed {
		if count == 0 {
			continue
		}
		if counts == nil {
			counts = make(map[string]int)
		}
		counts[admission.ReasonNames[reason]] = count
	}
	return counts
}
