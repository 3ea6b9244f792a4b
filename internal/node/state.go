package node

import "topazpost/internal/admission"

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

// keepState samples the state once a second while the module decides; the beat keeps the node awake for it.
func (r *StateMachine) keepState() {
	if r.post == nil || r.now < r.stateAt {
		return
	}
	s := r.state()
	r.stateAt, r.counted, r.givenUp = r.now+stateEvery, r.Counters, [admission.ReasonCount]int{}
	r.do(Effect{Kind: SampleState, State: s})
}

// state is the state now.
func (r *StateMachine) state() *State {
	s := &State{ControllerState: r.post.State(), Succeeded: r.Counters.Succeeded - r.counted.Succeeded,
		Refused: r.Counters.Throttled - r.counted.Throttled, Errored: r.Counters.Errored - r.counted.Errored,
		Gone: r.Counters.CallersGone - r.counted.CallersGone, Connections: len(r.conns), Links: len(r.supplies),
		Waiting: len(r.waiting), Unread: len(r.unread), GaugeAge: r.now - r.metered, Synced: r.synced}
	if r.metered < 0 {
		s.GaugeAge = -1
	}
	s.Configuration = r.ConfigSyncState()
	if l := &r.levels; l.plan != nil {
		s.Level, s.Loads = l.plan.LevelName(l.steps.Level()), l.steps.LoadByLevel()
	}
	for why, n := range r.givenUp {
		if n > 0 {
			if s.GivenUp == nil {
				s.GivenUp = make(map[string]int)
			}
			s.GivenUp[admission.ReasonNames[why]] = n
		}
	}
	for k := range r.supplies {
		if r.supplies[k].up && r.supplies[k].inv < 0 {
			s.Idle++
		}
	}
	return s
}
