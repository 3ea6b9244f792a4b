package node

import "topazpost/internal/admission"

const (
	stateSampleInterval = 1_000 * ms // ns between samples of the state: fine beside what operators act on, a line a second
)

// State is what the whole node stands on at a moment: what its module goes by, and what its doors hold. Counts
// with a name in the past are of the time since the last sample. Times are nanoseconds.
type State struct {
	admission.ControllerState
	Level       string         `json:"level,omitempty"` // of reduced service, where there is a plan
	Loads       []float64      `json:"loads,omitempty"` // what is asked of the cores at each level, full service first
	Succeeded   int            `json:"succeeded"`
	Refused     int            `json:"refused"` // answered by a throttle
	Errored     int            `json:"errored"`
	Gone        int            `json:"gone"` // the caller left
	GivenUp     map[string]int `json:"given_up,omitempty"`
	Connections int            `json:"connections"`  // of dispatchers
	Links       int            `json:"links"`        // to the catalogue, open or being opened
	Idle        int            `json:"idle"`         // of them
	Waiting     int            `json:"waiting"`      // calls without a link
	Unread      int            `json:"unread"`       // commands that the executor may not have read
	GaugeAge    int64          `json:"gauge_age_ns"` // -1 before the first
	Synced      bool           `json:"synced"`       // the executor's link carries commands

	Configuration *ConfigSyncState `json:"configuration,omitempty"` // nil where it isn't taken in service
}

// sampleState samples the state once a second while the module decides; the beat keeps the node awake for it.
func (sm *StateMachine) sampleState() {
	if sm.controller == nil || sm.now < sm.stateAt {
		return
	}
	s := sm.snapshotState()
	sm.stateAt, sm.lastCounters, sm.givenUpByReason = sm.now+stateSampleInterval, sm.Counters, [admission.ReasonCount]int{}
	sm.emit(Effect{Kind: SampleState, State: s})
}

// snapshotState is the snapshotState now.
func (sm *StateMachine) snapshotState() *State {
	s := &State{ControllerState: sm.controller.State(), Succeeded: sm.Counters.Succeeded - sm.lastCounters.Succeeded,
		Refused: sm.Counters.Throttled - sm.lastCounters.Throttled, Errored: sm.Counters.Errored - sm.lastCounters.Errored,
		Gone: sm.Counters.CallersGone - sm.lastCounters.CallersGone, Connections: sm.connections.count(), Links: len(sm.catalogue.links),
		Waiting: len(sm.catalogue.waiting), Unread: sm.executor.unreadCommands(), GaugeAge: sm.executor.gauges.age(sm.now), Synced: sm.executor.synced}
	s.Configuration = sm.ConfigSyncState()
	if l := &sm.degradation; l.plan != nil {
		s.Level, s.Loads = l.plan.LevelName(l.steps.Level()), l.steps.LoadByLevel()
	}
	for why, n := range sm.givenUpByReason {
		if n > 0 {
			if s.GivenUp == nil {
				s.GivenUp = make(map[string]int)
			}
			s.GivenUp[admission.ReasonNames[why]] = n
		}
	}
	s.Idle = sm.catalogue.idleLinks()
	return s
}
