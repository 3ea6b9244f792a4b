// Package baselines has plain policies that the decisions of package admission are compared with. None is for production.
package baselines

import (
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/node"
)

const (
	runsPerCore   = 2
	queuedPerCore = 4           // more are rejected
	tickInterval  = 50_000_000  // ns
	answerMargin  = 100_000_000 // ns before an invocation's deadline at which it is answered
)

// invocation is one that the pool decides about.
type invocation struct {
	deadline int64
	live     bool
	running  bool
	answered bool
}

// pool runs so many invocations for each core and has a short queue; it rejects the rest.
type pool struct {
	config          *admission.Config
	invocations     []invocation
	queue           []int32
	running         int
	stopAcceptingAt int64 // 0 without a drain notice
	actions         []admission.Action
	released        []int32 // to be released at the end of a step
	healthReported  bool
}

// Pool is a pool of runs with a short queue, which rejects what exceeds it.
func Pool(config *admission.Config, _ int64) node.Decider { return &pool{config: config} }

// act adds an action of this step.
func (p *pool) act(a admission.Action) { p.actions = append(p.actions, a) }

// Decide takes the events up to now and returns the actions that they lead to.
func (p *pool) Decide(now int64, events []admission.Event) []admission.Action {
	p.actions = p.actions[:0]
	p.released = p.released[:0]
	if !p.healthReported {
		p.healthReported = true
		p.act(admission.Action{Kind: admission.ReportHealth, Healthy: true, Cached: true})
	}
	for i := range events {
		p.apply(now, &events[i])
	}
	p.startRuns()
	p.release()
	return p.actions
}

func (p *pool) apply(now int64, e *admission.Event) {
	switch e.Kind {
	case admission.Arrived:
		p.arrived(now, e)
	case admission.DrainRequested:
		p.stopAcceptingAt = now + min(p.config.DrainGrace, e.KillAt-now)
	case admission.CallRequested:
		at := max(now+1, p.invocations[e.Invocation].deadline-answerMargin)
		p.act(admission.Action{Kind: admission.StartCall, Invocation: e.Invocation, At: at})
	case admission.CallEnded:
		if e.Outcome != admission.Succeeded {
			p.answer(e.Invocation, admission.Fail)
		}
	case admission.CallerDisconnected:
		v := &p.invocations[e.Invocation]
		v.answered = true
		if !v.running {
			p.released = append(p.released, e.Invocation)
		}
	case admission.RunEnded:
		p.running--
		p.invocations[e.Invocation].answered = true
		p.released = append(p.released, e.Invocation)
	case admission.TimerFired:
		p.tick(now)
		p.act(admission.Action{Kind: admission.SetTimer, At: now + tickInterval})
	}
}

func (p *pool) arrived(now int64, e *admission.Event) {
	missing := max(0, int(e.Invocation)+1-len(p.invocations))
	p.invocations = append(p.invocations, make([]invocation, missing)...)
	deadline := now - e.Age + p.config.Operations[e.OperationIndex].ClientTimeout
	p.invocations[e.Invocation] = invocation{deadline: deadline, live: true}
	full := p.running+len(p.queue) >= (runsPerCore+queuedPerCore)*p.config.Cores
	if full || p.isStopped(now) {
		p.answer(e.Invocation, admission.Reject)
		p.released = append(p.released, e.Invocation)
		return
	}
	p.queue = append(p.queue, e.Invocation)
}

// isStopped reports whether a drain has ended the accepting of invocations.
func (p *pool) isStopped(now int64) bool { return p.stopAcceptingAt > 0 && now >= p.stopAcceptingAt }

// startRuns runs the head of the queue as far as there are free places.
func (p *pool) startRuns() {
	p.queue = slices.DeleteFunc(p.queue, func(i int32) bool { return p.invocations[i].answered })
	for len(p.queue) > 0 && p.running < runsPerCore*p.config.Cores {
		i := p.queue[0]
		p.queue = p.queue[1:]
		v := &p.invocations[i]
		if v.live && !v.answered {
			v.running = true
			p.running++
			p.act(admission.Action{Kind: admission.Run, Invocation: i})
		}
	}
}

// release frees the indices of what has ended, which may then be another invocation's.
func (p *pool) release() {
	if len(p.released) > 0 {
		p.queue = slices.DeleteFunc(p.queue, func(i int32) bool { return slices.Contains(p.released, i) })
	}
	for _, i := range p.released {
		if p.invocations[i].live {
			p.invocations[i].live = false
			p.act(admission.Action{Kind: admission.Release, Invocation: i})
		}
	}
}

// answer answers an invocation once.
func (p *pool) answer(i int32, kind admission.ActionKind) {
	v := &p.invocations[i]
	if v.answered {
		return
	}
	v.answered = true
	p.act(admission.Action{Kind: kind, Invocation: i})
}

// tick answers what has reached its deadline, and exits once a drain has stopped accepting and nothing is open.
func (p *pool) tick(now int64) {
	open := false
	for i := range p.invocations {
		v := &p.invocations[i]
		if !v.live || v.answered {
			continue
		}
		open = true
		if now >= v.deadline-answerMargin {
			p.expire(int32(i))
		}
	}
	if !p.isStopped(now) {
		return
	}
	p.act(admission.Action{Kind: admission.StopAccepting})
	if !open {
		p.act(admission.Action{Kind: admission.Exit, Report: "pool: drained"})
	}
}

// expire fails an invocation that runs, and rejects one that is queued.
func (p *pool) expire(i int32) {
	if p.invocations[i].running {
		p.answer(i, admission.Fail)
		return
	}
	p.answer(i, admission.Reject)
	p.released = append(p.released, i)
}

// State is the lengths of the queue and of the pool.
func (p *pool) State() admission.ControllerState {
	return admission.ControllerState{Queued: len(p.queue), OnCores: p.running}
}

// MeasureLoad measures nothing: a pool has no levels.
func (p *pool) MeasureLoad(m *admission.LoadMetrics) {
	*m = admission.LoadMetrics{DemandByOperation: append(m.DemandByOperation[:0], make([]float64, len(p.config.Operations))...)}
}
