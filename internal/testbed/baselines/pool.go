// Package baselines holds plain policies that the decisions are compared with. None of them is for service.
package baselines

import (
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/node"
)

const (
	runsACore = 2           // of the pool
	lineACore = 4           // that wait for it; more are turned away
	beat      = 50_000_000  // ns
	margin    = 100_000_000 // ns before the due time at which a final answer is given
)

type entry struct {
	due      int64
	live     bool
	runs     bool
	answered bool
}

// pool runs so many for each core and keeps a short line; it rejects the rest.
type pool struct {
	config  *admission.Config
	entries []entry
	line    []int32
	running int
	intake  int64 // when it ends, 0 while there was no notice
	out     []admission.Action
	said    bool
}

// Pool is a plain pool with a short queue that rejects.
func Pool(config *admission.Config, _ int64) node.Decider { return &pool{config: config} }

func (p *pool) do(a admission.Action) { p.out = append(p.out, a) }

// Decide takes what happened and returns what to do.
func (p *pool) Decide(now int64, events []admission.Event) []admission.Action {
	p.out = p.out[:0]
	var over []int32
	if !p.said {
		p.said = true
		p.do(admission.Action{Kind: admission.ReportHealth, Healthy: true, Cached: true})
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case admission.Arrived:
			p.arrived(now, e, &over)
		case admission.DrainRequested:
			p.intake = now + min(p.config.DrainGrace, e.KillAt-now)
		case admission.CallRequested:
			p.do(admission.Action{Kind: admission.StartCall, Invocation: e.Invocation, At: max(now+1, p.entries[e.Invocation].due-margin)})
		case admission.CallEnded:
			if e.Outcome != admission.Succeeded {
				p.answer(e.Invocation, admission.Fail)
			}
		case admission.CallerDisconnected:
			p.entries[e.Invocation].answered = true
			if !p.entries[e.Invocation].runs {
				over = append(over, e.Invocation)
			}
		case admission.RunEnded:
			p.running--
			p.entries[e.Invocation].answered = true
			over = append(over, e.Invocation)
		case admission.TimerFired:
			p.keep(now, &over)
			p.do(admission.Action{Kind: admission.SetTimer, At: now + beat})
		}
	}
	p.line = slices.DeleteFunc(p.line, func(i int32) bool { return p.entries[i].answered })
	for len(p.line) > 0 && p.running < runsACore*p.config.Cores {
		i := p.line[0]
		p.line = p.line[1:]
		if x := &p.entries[i]; x.live && !x.answered {
			x.runs = true
			p.running++
			p.do(admission.Action{Kind: admission.Run, Invocation: i})
		}
	}
	if len(over) > 0 { // an index may stand for another one once it is released
		p.line = slices.DeleteFunc(p.line, func(i int32) bool { return slices.Contains(over, i) })
	}
	for _, i := range over {
		if p.entries[i].live {
			p.entries[i].live = false
			p.do(admission.Action{Kind: admission.Release, Invocation: i})
		}
	}
	return p.out
}

func (p *pool) arrived(now int64, e *admission.Event, over *[]int32) {
	p.entries = append(p.entries, make([]entry, max(0, int(e.Invocation)+1-len(p.entries)))...)
	p.entries[e.Invocation] = entry{due: now - e.Age + p.config.Operations[e.OperationIndex].ClientTimeout, live: true}
	if p.running+len(p.line) >= (runsACore+lineACore)*p.config.Cores || p.intake > 0 && now >= p.intake {
		p.answer(e.Invocation, admission.Reject)
		*over = append(*over, e.Invocation)
		return
	}
	p.line = append(p.line, e.Invocation)
}

func (p *pool) answer(i int32, kind admission.ActionKind) {
	if x := &p.entries[i]; !x.answered {
		x.answered = true
		p.do(admission.Action{Kind: kind, Invocation: i})
	}
}

// keep answers what is due.
func (p *pool) keep(now int64, over *[]int32) {
	open := false
	for i := range p.entries {
		x := &p.entries[i]
		if !x.live || x.answered {
			continue
		}
		if open = true; now >= x.due-margin {
			if p.answer(int32(i), map[bool]admission.ActionKind{true: admission.Fail, false: admission.Reject}[x.runs]); !x.runs {
				*over = append(*over, int32(i))
			}
		}
	}
	if p.intake > 0 && now >= p.intake {
		p.do(admission.Action{Kind: admission.StopAccepting})
		if !open {
			p.do(admission.Action{Kind: admission.Exit, Report: "pool: drained"})
		}
	}
}

// State tells nothing.
func (p *pool) State() admission.ControllerState {
	return admission.ControllerState{Queued: len(p.line), OnCores: p.running}
}

// MeasureLoad tells nothing: a pool has no levels.
func (p *pool) MeasureLoad(m *admission.LoadMetrics) {
	*m = admission.LoadMetrics{DemandByOperation: append(m.DemandByOperation[:0], make([]float64, len(p.config.Operations))...)}
}
