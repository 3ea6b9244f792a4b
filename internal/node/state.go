package node

import "topazpost/internal/admission"

const stateSampleInterval = 1_000 * ms // ns

// State is a sample of the whole node: what its controller decides by, and what its connections hold. Counts of answers
// are of the time since the last sample. Times are nanoseconds.
type State struct {
	admission.ControllerState
	Level       string         `json:"level,omitempty"` // of degraded service, where there is a plan
	Loads       []float64      `json:"loads,omitempty"` // demand on the cores at each level, full service first
	Succeeded   int            `json:"succeeded"`
	Refused     int            `json:"refused"` // answered by a throttle
	Errored     int            `json:"errored"`
	Gone        int            `json:"gone"` // whose caller disconnected
	GivenUp     map[string]int `json:"given_up,omitempty"`
	Connections int            `json:"connections"`  // of dispatchers
	Links       int            `json:"links"`        // to the catalogue, open or being dialed
	Idle        int            `json:"idle"`         // of them
	Waiting     int            `json:"waiting"`      // calls without a link
	Unread      int            `json:"unread"`       // commands that the executor has not acknowledged
	GaugeAge    int64          `json:"gauge_age_ns"` // -1 before the first
	Synced      bool           `json:"synced"`       // the executor's link carries commands

	Configuration *ConfigSyncStatus `json:"configuration,omitempty"` // nil where it isn't distributed
}

// stateSampler samples the state at an interval while there is a controller, whose ticks keep the node awake for it.
type stateSampler struct {
	sm      *StateMachine
	nextAt  int64
	givenUp [admission.ReasonCount]int // invocations by reason since the last sample
	last    Counters                   // at the last sample
}

// countGivenUp counts an invocation that the controller rejected or failed.
func (s *stateSampler) countGivenUp(reason admission.Reason) { s.givenUp[reason]++ }

func (s *stateSampler) sampleIfDue() {
	sm := s.sm
	if sm.controller == nil || sm.now < s.nextAt {
		return
	}
	state := s.snapshot()
	s.nextAt = sm.now + stateSampleInterval
	s.last = sm.Counters
	s.givenUp = [admission.ReasonCount]int{}
	sm.emit(Effect{Kind: SampleState, State: state})
}

// snapshot is the state now.
func (s *stateSampler) snapshot() *State {
	sm := s.sm
	state := &State{
		ControllerState: sm.controller.State(),
		Succeeded:       sm.Counters.Succeeded - s.last.Succeeded,
		Refused:         sm.Counters.Throttled - s.last.Throttled,
		Errored:         sm.Counters.Errored - s.last.Errored,
		Gone:            sm.Counters.CallersGone - s.last.CallersGone,
		GivenUp:         s.givenUpByName(),
		Connections:     sm.connections.count(),
		Links:           sm.catalogue.linkCount(),
		Idle:            sm.catalogue.idleLinkCount(),
		Waiting:         sm.catalogue.waitingCallCount(),
		Unread:          sm.executor.unacknowledgedCommands(),
		GaugeAge:        sm.executor.gaugesAge(),
		Synced:          sm.executor.isSynced(),
		Configuration:   sm.ConfigSyncStatus(),
	}
	if sm.degradation.enabled() {
		state.Level = sm.degradation.levelName()
		state.Loads = sm.degradation.loadByLevel()
	}
	return state
}

// givenUpByName is the reasons that were given since the last sample, nil without any.
func (s *stateSampler) givenUpByName() (counts map[string]int) {
	for reason, count := range s.givenUp {
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
