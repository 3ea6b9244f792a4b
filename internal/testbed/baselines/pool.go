// Package baselines holds plain policies that the decisions are compared with. None of them is for service.
package baselines

import (
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/node"
)

const (
	runsPerCore   = 2           // of the pool
	queuedPerCore = 4           // that wait for it; more are turned away
	tickInterval  = 50_000_000  // ns
	answerMargin  = 100_000_000 // ns before the due time at which a final answer is given
)

type invocation struct {
	deadline int64
	live     bool
	running  bool
	answered bool
}

// pool runs so many for each core and keeps a short line; it rejects the rest.
type pool struct {
	config          *admission.Config
	invocations     []invocation
	queue           []int32
	running         int
	stopAcceptingAt int64 // when it ends, 0 while there was no notice
	actions         []admission.Action
	healthReported  bool
}

// Pool is a plain pool with a short queue that rejects.
func Pool(config *admission.Config, _ int64) node.Decider { return &pool{config: config} }

func (p *pool) act(a admission.Action) { p.actions = append(p.actions, a) }

// Decide takes what happened and returns what to do.
func (p *pool) Decide(now int64, events []admission.Event) []admission.Action {
	p.actions = p.actions[:0]
	var over []int32
	if !p.healthReported {
		p.healthReported = true
		p.act(admission.Action{Kind: admission.ReportHealth, Healthy: true, Cached: true})
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case admission.Arrived:
			p.arrived(now, e, &over)
		case admission.DrainRequested:
			p.stopAcceptingAt = now + min(p.config.DrainGrace, e.KillAt-now)
		case admission.CallRequested:
			p.act(admission.Action{Kind: admission.StartCall, Invocation: e.Invocation, At: max(now+1, p.invocations[e.Invocation].deadline-answerMargin)})
		case admission.CallEnded:
			if e.Outcome != admission.Succeeded {
				p.answer(e.Invocation, admission.Fail)
			}
		case admission.CallerDisconnected:
			p.invocations[e.Invocation].answered = true
			if !p.invocations[e.Invocation].running {
				over = append(over, e.Invocation)
			}
		case admission.RunEnded:
			p.running--
			p.invocations[e.Invocation].answered = true
			over = append(over, e.Invocation)
		case admission.TimerFired:
			p.tick(now, &over)
			p.act(admission.Action{Kind: admission.SetTimer, At: now + tickInterval})
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(i int32) bool { return p.invocations[i].answered })
	for len(p.queue) > 0 && p.running < runsPerCore*p.config.Cores {
		i := p.queue[0]
		p.queue = p.queue[1:]
		if x := &p.invocations[i]; x.live && !x.answered {
			x.running = true
			p.running++
			p.act(admission.Action{Kind: admission.Run, Invocation: i})
		}
	}
	if len(over) > 0 { // an index may stand for another one once it is released
		p.queue = slices.DeleteFunc(p.queue, func(i int32) bool { return slices.Contains(over, i) })
	}
	for _, i := range over {
		if p.invocations[i].live {
			p.invocations[i].live = false
			p.act(admission.Action{Kind: admission.Release, Invocation: i})
		}
	}
	return p.actions
}

func (p *pool) arrived(now int64, e *admission.Event, over *[]int32) {
	p.invocations = append(p.invocations, make([]invocation, max(0, int(e.Invocation)+1-len(p.invocations)))...)
	p.invocations[e.Invocation] = invocation{deadline: now - e.Age + p.config.Operations[e.OperationIndex].ClientTimeout, live: true}
	if p.running+len(p.queue) >= (runsPerCore+queuedPerCore)*p.config.Cores || p.stopAcceptingAt > 0 && now >= p.stopAcceptingAt {
		p.answer(e.Invocation, admission.Reject)
		*over = append(*over, e.Invocation)
		return
	}
	p.queue = append(p.queue, e.Invocation)
}

func (p *pool) answer(i int32, kind admission.ActionKind) {
	if x := &p.invocations[i]; !x.answered {
		x.answered = true
		p.act(admission.Action{Kind: kind, Invocation: i})
	}
}

// tick answers what is due.
func (p *pool) tick(now int64, over *[]int32) {
	open := false
	for i := range p.invocations {
		x := &p.invocations[i]
		if !x.live || x.answered {
			continue
		}
		if open = true; now >= x.deadline-answerMargin {
			if p.answer(int32(i), map[bool]admission.ActionKind{true: admission.Fail, false: admission.Reject}[x.running]); !x.running {
				*over = append(*over, int32(i))
			}
		}
	}
	if p.stopAcceptingAt > 0 && now >= p.stopAcceptingAt {
		p.act(admission.Action{Kind: admission.StopAccepting})
		if !open {
			p.act(admission.Action{Kind: admission.Exit, Report: "pool: drained"})
		}
	}
}

// State tells nothing.
func (p *pool) State() admission.ControllerState {
	return admission.ControllerState{Queued: len(p.queue), OnCores: p.running}
}

// MeasureLoad tells nothing: a pool has no levels.
func (p *pool) MeasureLoad(m *admission.LoadMetrics) {
	*m = admission.LoadMetrics{DemandByOperation: append(m.DemandByOperation[:0], make([]float64, len(p.config.Operations))...)}
}
