// Package admission holds every decision of a node: what it takes, runs and turns away.
// A host makes one Post for a node's life with New and hands each batch of events to Decide, which returns
// the actions to take, in order. It knows only what it is handed. The interface, types only, is package node.
//
// The ordinary path is that of "Draining, in three beats"; docs/design.md says what was kept and changed.
package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"topazpost/internal/stats"
)

const (
	ms = int64(1_000_000) // ns in a millisecond

	beat         = 50 * ms     // ns; one timer for all that waits: short beside any client timeout
	answerMargin = 60 * ms     // ns before the due time at which a final answer is given: a beat and a tick
	preDrain     = 5_000 * ms  // ns of the paper's pre-drain delay
	drainBudget  = 20_000 * ms // ns of the paper's drain timeout
	killMargin   = 300 * ms    // ns kept free before the kill, room for a pause
	awayLead     = 1_000 * ms  // ns before the end of intake at which callers are asked away: time to hear

	binCount     = 28         // bins: ratios of 1/128 to 128
	binsAnOctave = 2.0        // bins to a factor of two: coarse, yet within a fifth
	longMemory   = 96.0       // samples kept of an operation's usual cost: some ten seconds of a small node
	fade         = 0.98       // of the arrivals remembered that each beat keeps: some seconds of them
	lagMemory    = 8.0        // arrivals over which the time unread is taken: a second or two
	gaugePart    = 0.2        // of the shortest objective, for the gauge of others: short beside a run
	gaugeLong    = 2.0        // the same for their mean, by which the hold is reckoned to clear: bursts pass
	paceMemory   = 24.0       // samples of the pace: fewer and a few skewed runs look like a slow node
	awayTimes    = 2.0        // times the mean number off the cores that may be off them: calls come in waves
	callerGone   = 0.05       // arrivals of late under which a caller is forgotten: what it heard has lapsed
	tenantGone   = 0x1p-53    // arrivals of late under which a tenant is forgotten: one more makes no difference
	callPart     = 3.0        // one call may take one of so many parts of the share left: some more must fit
	awayMemory   = 1e9        // ns over which the mean number off the cores is taken: some runs
	patienceBins = 24         // parts of a client timeout: fine beside the spread of run times
	patienceMost = 0.67       // of callers that must still wait to make a run worth while: notices get lost
	askedSpan    = 2_000 * ms // ns over which what is asked for is taken: a drop is seen at once
	askedSlices  = 8          // slices of it
	shortMemory  = 8.0        // samples kept of the present: a second of a small node

	crowdRoom    = 0.75 // of the survivable crowd: the rest is room for returns from calls and for pauses
	memoryRoom   = 0.85 // of the memory that runs and records may take; the hold may take half of the rest
	recordRoom   = 0.25 // of the memory for the table of tokens and shared reads
	callRoom     = 0.9  // of the node's share of calls; the rest covers ticks and pauses
	callSlices   = 10   // slices of the span in which calls in hand are counted
	callTimes    = 8.0  // times its usual length that a call may take even of a small share
	freeBusy     = 0.9  // busy fraction of the cores under which they count as free
	limitGrowth  = 0.25 // step up of the running limit while cores are free and work waits
	limitBackoff = 0.8  // part of the best throughput at a lower limit that counts as a drop; the step down

	makeWayFrom  = 1.5   // times the rank of a run from which one that waits takes its place
	skew         = 0.4   // of its expected cost that half of all runs do without, and one past it still needs
	pressureHigh = 0.5   // of the shortest objective: a longer wait asks callers for less
	servedLast   = 1e-3  // of its rank, where a level would refuse it but for the spare room
	spareWait    = 0.15  // of the shortest objective: work that is held under which a level need not bind
	pressureLow  = 0.25  // of the shortest objective: a shorter wait asks them for more
	adviceUp     = 0.02  // of all that could be asked for, given back for each beat of low pressure
	creditTop    = 4.0   // outstanding invocations a core that credits start from
	adviceDown   = 0.05  // part of what is asked for taken back for each beat of high pressure
	adviceLow    = 0.025 // of all that could be asked for, at the least: some must tell when trouble ends
	levelHigh    = 0.5   // highest level outside a drain: past it the lowest operations starve at the callers
	slowPace     = 2.0   // times the usual cost past which the node itself counts as slow
	fewRuns      = 2.0   // runs whose overstaying tells half: a few large ones among few are no stall
	soundPace    = 1.4   // times the usual cost under which it counts as sound again
	echoShare    = 0.3   // of arrivals that are further tries past which other nodes turn work away too
	callTries    = 4     // calls made for one need; one that may have run counts for two
	callLong     = 6.0   // times its usual length past which a call is repeated, where it may be
)

type state uint8

const (
	ended state = iota
	held
	joined   // waits for the result of the invocation it repeats
	running  // on the cores
	standing // at a call not yet made
	calling  // its call is in hand
	paused
)

type invocation struct {
	op                *operation
	state             state
	answered          bool // a final answer was given or is owed no more
	ran, further      bool // ran: it, or the try it repeats, has started
	tenant            int32
	tries             int // calls made for its present need
	arrived, due      int64
	callAt, callUntil int64
	kb, key           float64 // its memory while held, its place in the order of the hold
	base              float64 // ns: the hint, or the operation's unit where there is none
	part, worth       float64 // of the work and of the billed value, below 1 for a reduced form
	spent, since      float64 // ns of one whole core so far, core clock when it last came on
}

// operation is the terms of an operation, and what is of it under any terms.
type operation struct {
	Operation
	*measured
}

// measured is what was measured of an operation, and what its level leaves of it.
type measured struct {
	usual stats.RatioHistogram // own core time of runs, over their base
	away  stats.RatioHistogram // time a run spent off the cores, over the objective
	asked stats.SlidingSum     // ns of core time that first tries of late asked for, were all run whole

	service Service // what the level of reduced service leaves of it
}

// Controller decides for one node.
type Controller struct {
	config          *Config
	chance          *rand.Rand
	born, now, next int64 // next is when the beat is due
	out             []Action
	ops             []*operation // by index, nil where it is no operation's
	invs            []invocation
	live, order     []int32 // not ended, in order of arrival; the hold, in the order it is to run
	tightest, cores float64 // ns of the shortest latency objective; how many cores there are
	slowest         int64   // ns of the longest latency objective
	objectives      stats.MinMax
	callUnit        float64 // ns in which lengths of calls are counted: the shortest objective at birth

	onCores, standing, inHand  int     // on the cores, off them with no call made, with one in hand
	waiting                    int     // held
	units                      int     // calls that the fleet's limit leaves, MaxInt without one
	hold                       int64   // ns that one may take then
	records                    []int64 // when kept records end
	memory                     float64 // kB of what is held and run
	coreClock                  float64 // ns that a run on the cores has had of one whole core since birth
	away, reading, meanReading float64 // mean off the cores; others that want cores, now and as a mean
	stays                      stats.SurvivalCurve
	patient                    float64 // part of the client timeout that most callers wait
	stall                      float64 // times the usual cost that every run has overstayed
	lag                        float64 // ns that arrivals lay unread of late

	limit, throughput, workDone float64 // throughput is the best seen at the last lower limit

	callUsed                  stats.SlidingSum     // ns of calls in hand over the last span
	pace, callFails, callTime stats.RatioHistogram // of late; callTime over the shortest objective

	gauged, windowAt, noticed, intakeEnd, drainEnd int64 // gauged: when the gauges came
	opened, closed                                 int   // invocations ever read, and ended
	atNotice, closedBefore                         int   // in flight and ended at the notice
	unhealthy, free, drained                       bool  // free: a core was idle at the last beat
	spare                                          bool  // what levels refuse is served last, the rest whole

	open, said                  float64               // open is the part of all that could be asked for
	allFull                     bool                  // other nodes seem to turn work away too
	arrivals, echoes, throttled float64               // of late; echoes are further tries among the arrivals
	levelled                    float64               // of late, throttled as their level leaves nothing of them
	callers, tenants            stats.DecayingCounter // arrivals of late, of each that was seen
}

func ratios(memory float64) stats.RatioHistogram {
	return stats.NewRatioHistogram(binCount, binsAnOctave, memory)
}

// NewController makes the decisions' state of a node that has just started, on cores that started at now.
func NewController(config *Config, now int64) *Controller {
	cores := float64(config.Cores)
	p := &Controller{config: config, chance: rand.New(rand.NewSource(config.Seed)), born: now, now: now, next: now,
		pace: ratios(paceMemory), callFails: ratios(shortMemory), callTime: ratios(shortMemory),
		stays:    stats.NewSurvivalCurve(patienceBins, longMemory),
		callUsed: stats.NewSlidingSum(config.CallQuotaWindow, callSlices),
		windowAt: now, cores: cores, limit: cores, open: 1, tightest: math.Inf(1), said: -1,
		units: math.MaxInt, hold: math.MaxInt64 / 4,
		patient: 1}
	for i := range config.Operations {
		if p.ops = append(p.ops, nil); !config.Operations[i].Removed {
			p.setOperation(int32(i), &config.Operations[i], nil)
		}
	}
	p.callUnit = p.tightest
	if config.ColdStart {
		p.open = config.ColdSpeedShare
		// What a life before this one may have held counts as used: the dependency's mean still holds it.
		part := callRoom * config.CallQuota * float64(config.CallQuotaWindow) / callSlices
		for k, began := int64(callSlices), max(now, config.ProcessStart); k > 0; k-- {
			p.callUsed.Add(began-k*config.CallQuotaWindow/callSlices, part)
		}
	}
	return p
}

// Decide is the one entry point: it takes what happened at a moment and returns what to do.
func (p *Controller) Decide(now int64, events []Event) []Action {
	p.out = p.out[:0]
	p.advance(now)
	for i := range events {
		p.take(&events[i])
	}
	p.keepDrain()
	p.makeCalls()
	p.orderHold()
	p.startRuns()
	p.keepMemory()
	if now >= p.next {
		p.next = now + beat
		p.do(Action{Kind: SetTimer, At: p.next})
		p.patient = p.stays.TimeAtSurvival(patienceMost)
		p.keepDeadlines()
		p.adjustLimit()
		p.adjustHealth()
		p.adjustAdvice()
	}
	p.live = slices.DeleteFunc(p.live, func(i int32) bool {
		over := p.invs[i].state == ended
		if over {
			p.do(Action{Kind: Release, Invocation: i})
		}
		return over
	})
	return p.out
}

func (p *Controller) do(a Action) { p.out = append(p.out, a) }

// advance moves the clocks: that of the cores, which all runs share, and that of the calls in hand.
func (p *Controller) advance(now int64) {
	dt := float64(now - p.now)
	p.away += (float64(p.standing+p.inHand) - p.away) * min(1, dt/awayMemory)
	p.coreClock += dt * min(1, p.cores/max(1, float64(p.onCores)+p.reading))
	p.callUsed.Add(now, dt*float64(p.inHand))
	p.now = now
}

func (p *Controller) take(e *Event) {
	switch i := e.Invocation; {
	case e.Kind == Arrived:
		p.intake(e)
	case e.Kind == DrainRequested:
		p.drain(e.KillAt)
	case e.Kind == TimerFired:
		p.free = e.BusyShare >= 0 && e.BusyShare < freeBusy
		if e.RunnableThreads >= 0 {
			p.free = e.RunnableThreads < p.cores
			others, part := max(0, e.RunnableThreads-float64(p.onCores)), float64(p.now-p.gauged)/p.tightest
			p.reading, p.gauged = p.reading+(others-p.reading)*min(1, part/gaugePart), p.now
			p.meanReading += (others - p.meanReading) * min(1, part/gaugeLong)
		}
	case e.Kind == CallLimitSet:
		p.units, p.hold = e.CallLimit, e.MaxCallTime
	case e.Kind == OperationConfigured:
		p.setOperation(e.OperationIndex, e.Operation, e.Services)
	case e.Kind == DegradationLevelSet:
		p.setLevel(e.Services, e.UseSpareCapacity)
	case p.invs[i].state == ended:
	case e.Kind == CallerDisconnected:
		p.watch(&p.invs[i], true)
		p.invs[i].answered = true
		p.letGo(i)
	case e.Kind == CallRequested:
		p.shift(&p.invs[i], standing)
	case e.Kind == CallEnded:
		p.callEnded(&p.invs[i], e.Outcome)
	case e.Kind == RunEnded:
		p.runEnded(i, e.Outcome)
	}
}

// shift moves an invocation to another state and keeps the counts and its core time true.
func (p *Controller) shift(v *invocation, to state) {
	if v.state == running {
		v.spent += p.coreClock - v.since
	}
	p.weigh(v, -1)
	v.state, v.since = to, p.coreClock
	p.weigh(v, 1)
}

// weigh counts an invocation in or out of what its state takes up.
func (p *Controller) weigh(v *invocation, by int) {
	kb := v.kb
	if v.state >= running {
		kb *= p.config.RunningMemoryFactor
	}
	switch v.state {
	case ended:
		return
	case held:
		p.waiting += by
	case running:
		p.onCores += by
	case calling:
		p.inHand += by
	case standing:
		p.standing += by
	}
	p.memory += float64(by) * kb
}

func (p *Controller) end(i int32) {
	p.shift(&p.invs[i], ended)
	p.closed++
}

// intake takes what was read into the hold, joins it to the invocation it repeats, or turns it away.
func (p *Controller) intake(e *Event) {
	p.invs = append(p.invs, make([]invocation, max(0, int(e.Invocation)+1-len(p.invs)))...)
	v, op, arrived := &p.invs[e.Invocation], p.ops[e.OperationIndex], p.now-e.Age
	*v = invocation{op: op, tenant: e.Tenant, further: e.Retry, arrived: arrived, kb: e.QueuedKB,
		due:  cmp.Or(e.Deadline, arrived+op.ClientTimeout),
		base: float64(cmp.Or(e.ExpectedWork, op.LatencyObjective/8)), part: 1, worth: 1}
	p.live = append(p.live, e.Invocation)
	p.opened++
	p.shift(v, held)
	p.lag += (float64(e.Age) - p.lag) / lagMemory
	p.arrivals++
	p.callers.Add(e.Caller)
	if e.Retry {
		p.echoes++
	} else {
		op.asked.Add(p.now, v.base*op.usual.Mean(1)*p.slowness())
	}
	p.tenants.Add(int64(e.Tenant))
	v.ran = e.Original == OriginalEnded || e.Original >= 0 && p.invs[e.Original].ran
	switch {
	case p.noticed != 0 && p.now >= p.intakeEnd:
		p.giveUp(e.Invocation, ReasonDraining)
	case e.Original != NoOriginal:
		p.do(Action{Kind: JoinOriginal, Invocation: e.Invocation})
		p.shift(v, joined)
	case op.service.Form == Shed && !p.spare:
		p.giveUp(e.Invocation, ReasonDegraded)
	case op.Idempotency == IdempotentWithKey:
		p.record(e.Invocation, v.arrived+op.DeduplicationWindow)
	case op.Idempotency == Idempotent && p.config.ReadReuseWindow > 0 && e.HasReadKey && !e.Write:
		p.record(e.Invocation, v.due+p.config.ReadReuseWindow)
	}
}

// setOperation gives an index the terms of its operation, other terms, or none. What was measured stays with
// the index as long as it is an operation's; what was taken keeps the terms that it was taken under.
func (p *Controller) setOperation(i int32, terms *Operation, service []Service) {
	p.ops = append(p.ops, make([]*operation, max(0, int(i)+1-len(p.ops)))...)
	was := p.ops[i]
	if was != nil {
		p.objectives.Remove(was.LatencyObjective)
	}
	if p.ops[i] = nil; terms != nil {
		op := &operation{Operation: *terms}
		if was != nil {
			op.measured = was.measured
		} else {
			op.measured = &measured{usual: ratios(longMemory), away: ratios(longMemory),
				asked: stats.NewSlidingSum(askedSpan, askedSlices)}
		}
		if len(service) > 0 {
			op.service = service[0]
		}
		p.ops[i] = op
		p.objectives.Add(op.LatencyObjective)
	}
	if p.objectives.Len() > 0 {
		p.tightest, p.slowest = float64(p.objectives.Min()), p.objectives.Max()
	}
}

// setLevel applies a level of reduced service: what waits unrun and is refused now goes at once,
// unless the plan leaves it the spare room.
func (p *Controller) setLevel(services []Service, spare bool) {
	p.spare = spare
	for k, op := range p.ops {
		if op == nil {
			continue
		}
		if op.service = (Service{}); k < len(services) {
			op.service = services[k]
		}
	}
	for _, i := range p.live {
		v := &p.invs[i]
		if v.state == held && !v.ran {
			if v.part, v.worth = 1, 1; v.op.service.Form == Shed && !p.spare {
				p.giveUp(i, ReasonDegraded)
			}
		}
	}
}

// roomy says whether a level need not reduce: the plan allows that, and what is held is gone within a moment.
func (p *Controller) roomy() bool {
	return p.spare && p.work(held) < spareWait*p.tightest*p.freeCores()
}

// record guards against a second effect; a tokened invocation that finds no room is turned away unrun.
func (p *Controller) record(i int32, until int64) {
	room := p.config.MaxDeduplicationEntries == 0 || len(p.records) < p.config.MaxDeduplicationEntries
	if room && p.recordKB()+p.config.DeduplicationEntryKB <= recordRoom*p.config.MemoryKB && until > p.now {
		p.do(Action{Kind: RecordKey, Invocation: i, Duration: until - p.now})
		p.records = append(p.records, until)
	} else if p.invs[i].op.Idempotency == IdempotentWithKey {
		p.giveUp(i, ReasonMemory)
	}
}

func (p *Controller) recordKB() float64 {
	return float64(len(p.records)) * p.config.DeduplicationEntryKB
}

// giveUp gives the final answer to what will not be served, at once.
func (p *Controller) giveUp(i int32, why Reason) {
	v := &p.invs[i]
	if v.answered {
		return
	}
	p.watch(v, false)
	if v.answered = true; v.state == held && !v.ran {
		if why == ReasonDegraded {
			p.levelled++
		}
		if p.throttled++; !p.config.RetriesMarked {
			p.echoes++ // where they bear no mark, what is turned away here tells of those to come
		}
		p.do(Action{Kind: Reject, Invocation: i, Duration: p.comeBack(), NoRetry: v.further || p.allFull,
			Reason: why})
	} else {
		p.do(Action{Kind: Fail, Invocation: i, Reason: why})
	}
	p.letGo(i)
}

// watch learns, by part of the client timeout, how long callers wait: most leave well before it.
func (p *Controller) watch(v *invocation, left bool) {
	if !v.answered {
		p.stays.Add(float64(p.now-v.arrived)/float64(v.op.ClientTimeout), left)
	}
}

// letGo drops what needs no answer more; a run is stopped if that is allowed, one at a call ends by itself.
func (p *Controller) letGo(i int32) {
	switch p.invs[i].state {
	case held, joined, paused:
		p.end(i)
	case running:
		if p.config.StopSupport != StopUnsupported {
			p.do(Action{Kind: Stop, Invocation: i})
		}
	}
}

// comeBack names the time after which the node can take more: the end of its life, or of its backlog.
func (p *Controller) comeBack() int64 {
	if p.noticed != 0 {
		return p.config.MaxRetryAfter
	}
	return min(p.config.MaxRetryAfter, int64((0.5+p.chance.Float64())*p.wait())) // spread, not all at once
}

// Order of the hold.

// expected is the core time that an invocation is still to take.
func (p *Controller) expected(v *invocation) float64 {
	cost, spent := v.base*v.part*v.op.usual.Mean(1)*p.slowness(), v.spent
	if v.state == running {
		spent += p.coreClock - v.since
	}
	return max(cost-spent, skew*cost)
}

func (p *Controller) slowness() float64 { return max(p.pace.Mean(1), p.stall) }

// work is the core time that those in a state still need.
func (p *Controller) work(of state) (sum float64) {
	for _, i := range p.live {
		if v := &p.invs[i]; v.state == of {
			sum += p.expected(v)
		}
	}
	return sum
}

// freeCores is what reading and checks leave to runs while the hold clears.
func (p *Controller) freeCores() float64 { return max(p.cores/2, p.cores-p.meanReading) }

// wait is how long the hold would take to clear, with the time that arrivals lay unread while any do.
func (p *Controller) wait() float64 {
	return p.work(held)/p.freeCores() + p.lag*min(1, p.reading) + p.callWait()
}

// callWait is how long one that comes to a call now would stand there until it is made.
func (p *Controller) callWait() float64 {
	return float64(p.standing) / float64(max(1, p.inHand)) * p.callTime.Mean(0) * p.callUnit
}

func (p *Controller) objective(v *invocation) float64 {
	return min(float64(v.arrived+v.op.LatencyObjective)+v.op.ObjectivePerWork*v.base, p.left(v))
}

// left is when most callers have left an invocation, or its due time.
func (p *Controller) left(v *invocation) float64 {
	return min(float64(v.due-answerMargin), float64(v.arrived)+p.patient*float64(v.op.ClientTimeout))
}

// orderHold ranks the hold and gives up at once on what is unlikely to end in time to earn anything. Guards
// against work wasted on late answers, whatever made them late; does harm while large ones inflate the costs.
func (p *Controller) orderHold() {
	p.order = p.order[:0]
	for _, i := range p.live {
		if v := &p.invs[i]; v.state == held || v.state == paused {
			if !v.ran && v.op.service.WorkShare > 0 {
				v.part, v.worth = v.op.service.WorkShare, v.op.service.WeightShare
			}
			p.rank(v)
			p.order = append(p.order, i)
		}
	}
	slices.SortStableFunc(p.order, p.byKey)
	ahead := p.work(running)
	p.order = slices.DeleteFunc(p.order, func(i int32) bool {
		v := &p.invs[i]
		end := p.ends(v)
		if float64(p.onCores) >= p.cores || i != p.order[0] {
			end += ahead / p.freeCores()
		}
		if end-skew*p.expected(v) > p.objective(v) && (v.op.LateWeightShare == 0 || end > p.left(v)) {
			levelled := v.op.service.Form == Shed
			p.giveUp(i, map[bool]Reason{false: ReasonUnlikelyInTime, true: ReasonDegraded}[levelled])
			return true
		}
		ahead += p.expected(v)
		return false
	})
}

// rank sets the place in the order: billed value for each unit of core time, by the chance to end in time.
func (p *Controller) rank(v *invocation) {
	v.key = v.op.PriorityWeight * v.worth * p.withinShare(v.tenant)
	if !p.config.WeightScalesWithWork {
		v.key /= p.expected(v)
	}
	if v.op.service.Form == Shed && !v.ran {
		v.key *= servedLast
	}
	if need, slack := p.ends(v)-float64(p.now), p.objective(v)-float64(p.now); need > slack {
		v.key *= v.op.LateWeightShare
	} else {
		v.key *= 1 - math.Exp(-slack/need)
	}
}

// ends is when an invocation would end if it ran from now on.
func (p *Controller) ends(v *invocation) float64 {
	end := float64(p.now) + p.expected(v)
	if v.op.CallsDependency {
		end += v.op.away.Mean(0)*float64(v.op.LatencyObjective) + p.callWait()
	}
	return end
}

// withinShare is the expected part of full value for a tenant that may be over its share of the fleet.
func (p *Controller) withinShare(tenant int32) float64 {
	if tenant < 0 || p.config.TenantRates[tenant] <= 0 {
		return 1
	}
	share := p.config.TenantRates[tenant] / float64(max(1, p.config.Peers)) * float64(beat) / 1e9 / (1 - fade)
	inside := share / max(share, p.tenants.Count(int64(tenant)))
	return inside + (1-inside)*p.config.OverQuotaWeightShare
}

// survivable is the crowd on the cores that is safe now, at the slowest warm-up that is guaranteed.
func (p *Controller) survivable() float64 {
	warm := 1.0
	if p.config.ColdStart {
		age := float64(p.now-p.born) / float64(max(1, p.config.WarmUpTime))
		warm = min(1, p.config.ColdSpeedShare+(1-p.config.ColdSpeedShare)*age)
	}
	return crowdRoom * p.cores * (1 + (p.config.OverloadMultiple-1)*warm)
}

// startRuns starts the hold in order. Reading counts towards the limit, but one run always goes on. What left
// the cores returns unasked, so it has a bound with runs: the crowd or, with no core free, twice its usual.
func (p *Controller) startRuns() {
	room, all := max(1, p.limit-p.reading), p.survivable()
	if !p.free {
		all = min(all, room+awayTimes*p.away)
	}
	for _, i := range p.order {
		v := &p.invs[i]
		if float64(p.onCores) >= room || float64(p.onCores+p.standing+p.inHand) >= all {
			p.makeWay(v)
			return
		}
		if v.state == held && p.memory+p.recordKB()+v.kb*(p.config.RunningMemoryFactor-1) > memoryRoom*p.config.MemoryKB {
			continue
		}
		form := Complete
		if v.op.service.Form == Reduced && !v.ran && p.roomy() {
			v.part, v.worth = 1, 1
		} else if v.part < 1 {
			form = Reduced
		}
		v.ran = true
		p.do(Action{Kind: Run, Invocation: i, Form: form})
		p.shift(v, running)
	}
}

// makeWay pauses the run of the lowest rank where one that waits ranks far above it and it still ends in time
// after that. Guards against short objectives missed behind long runs; does harm where expectations fail.
func (p *Controller) makeWay(first *invocation) {
	least, key, takes := int32(-1), first.key, p.expected(first)
	for _, i := range p.live {
		if v := &p.invs[i]; v.state == running && !v.answered && p.ends(v)+takes < p.objective(v) {
			if p.rank(v); v.key*makeWayFrom < key {
				least, key = i, v.key*makeWayFrom
			}
		}
	}
	if least >= 0 && p.config.StopSupport == StopKeepsProgress {
		p.do(Action{Kind: Stop, Invocation: least})
	}
}

// adjustLimit grows the limit while cores are free and work waits, and backs off when throughput drops.
func (p *Controller) adjustLimit() {
	waiting := len(p.order) > 0 && float64(p.onCores) >= p.limit-1
	if !p.free {
		p.limit -= limitGrowth
	} else if waiting {
		p.limit += max(1, limitGrowth*p.limit)
	}
	if p.now-p.windowAt >= 20*beat {
		rate := p.workDone / float64(p.now-p.windowAt)
		if p.limit > p.cores && waiting && rate < limitBackoff*p.throughput {
			p.limit *= limitBackoff
		} else if p.limit <= p.cores || rate > p.throughput {
			p.throughput = rate
		}
		p.workDone, p.windowAt = 0, p.now
	}
	p.limit = max(p.cores, min(p.limit, p.survivable()))
}

// runEnded closes a run and learns what it cost.
func (p *Controller) runEnded(i int32, outcome Outcome) {
	v := &p.invs[i]
	if outcome == Stopped && !v.answered && p.config.StopSupport != StopUnsupported {
		p.shift(v, map[StopSupport]state{StopKeepsProgress: paused, StopDiscardsProgress: held}[p.config.StopSupport])
		return
	}
	if v.state == calling {
		p.callUsed.Add(p.now, float64(p.config.AbandonedCallTime))
	}
	p.watch(v, false)
	own, usual := v.state != joined, v.base*v.part*v.op.usual.Mean(1)
	if p.end(i); own && (outcome == Succeeded || v.spent > usual) {
		p.pace.Add(v.spent / usual)
		v.op.usual.Add(v.spent / (v.base * v.part))
		p.workDone += usual
	}
}

// makeCalls makes the calls that runs stand at, highest billed value first, then the oldest. If allowed, one
// that failed, or may fail or be late, is left out; else what can't end in time is given up while one is in
// hand: were none made, nothing would tell that calls are short again.
func (p *Controller) makeCalls() {
	p.order = p.order[:0]
	for _, i := range p.live {
		if v := &p.invs[i]; v.state == standing && !v.answered {
			v.key = v.op.PriorityWeight * v.worth
			p.order = append(p.order, i)
		}
	}
	slices.SortStableFunc(p.order, p.byKey)
	for _, i := range p.order {
		v, room := &p.invs[i], p.callRoom()
		until, failed := min(v.due-answerMargin, p.now+min(room, p.hold)), v.tries >= callTries
		skippable, latest := v.op.SkippedCallWeightShare > 0, int64(p.objective(v)-p.expected(v))
		if skippable {
			until = min(until, latest)
		} else if v.op.Idempotency == Idempotent && v.tries < callTries/2 && p.callTime.Mean(0) > 0 {
			until = min(until, p.now+int64(callLong*p.callTime.Mean(0)*p.callUnit))
		}
		switch {
		case skippable && (failed || latest <= p.now || p.chance.Float64() < p.callFails.Mean(0)):
			p.do(Action{Kind: SkipCall, Invocation: i})
			p.shift(v, running)
		case failed, !skippable && v.op.LateWeightShare == 0 && p.inHand > 0 &&
			float64(p.now)+p.callTime.Mean(0)*p.callUnit > p.objective(v):
			p.giveUp(i, ReasonNoCallCapacity)
		case room > 0 && until > p.now && p.inHand < p.units:
			v.callAt, v.callUntil, v.tries = p.now, until, v.tries+1
			p.do(Action{Kind: StartCall, Invocation: i, At: until})
			p.shift(v, calling)
		}
	}
}

func (p *Controller) byKey(a, b int32) int { return cmp.Compare(p.invs[b].key, p.invs[a].key) }

// callRoom is how long one more call may take: a third of the share left if all in hand are left at the
// last, or some times the usual. Guards against hangs, small shares; does harm where calls grow longer.
func (p *Controller) callRoom() int64 {
	if p.config.Dependency != SharedDependency || p.units < math.MaxInt { // a lease counts calls, not their time
		return math.MaxInt64 / 4
	}
	linger := float64(p.config.AbandonedCallTime)
	spare := callRoom*p.config.CallQuota*float64(p.config.CallQuotaWindow) - p.callUsed.Sum()
	for _, i := range p.live {
		if v := &p.invs[i]; v.state == calling {
			spare -= float64(max(0, v.callUntil-p.now)) + linger
		}
	}
	usual := p.callTime.Mean(0) * p.callUnit
	room := max(spare/callPart-linger, min(spare-linger, callTimes*usual))
	if room < 2*usual {
		return 0
	}
	return int64(room)
}

// callEnded learns how calls go; one that failed is repeated if known not to have run, or once if idempotent.
// Guards against replies spoilt or lost; does harm where a dependency fails for the calls that it gets.
func (p *Controller) callEnded(v *invocation, outcome Outcome) {
	took := float64(p.now - v.callAt)
	p.callTime.Add(took / p.callUnit)
	if outcome == Succeeded {
		v.op.away.Add(took / float64(v.op.LatencyObjective))
		p.callFails.Add(0)
		v.tries = 0
		p.shift(v, running)
		return
	}
	p.callFails.Add(1)
	p.shift(v, standing)
	if outcome != Overloaded && outcome != Unreachable {
		v.tries += 1 + callTries*int(v.op.Idempotency) // no more, unless it is idempotent
		p.callUsed.Add(p.now, float64(p.config.AbandonedCallTime))
	}
}

// keepDeadlines answers what is due and stops runs that can earn nothing more.
func (p *Controller) keepDeadlines() {
	for _, i := range p.live {
		v := &p.invs[i]
		futile := v.state == running && p.config.StopSupport != StopUnsupported && v.op.LateWeightShare == 0
		if v.state != ended && (futile && float64(p.now) > p.objective(v) || p.now >= v.due-answerMargin) {
			p.giveUp(i, ReasonDeadline)
		}
		if v.state == running && v.answered {
			p.letGo(i) // again: a stop has no effect while the cores stand still
		}
	}
}

// keepMemory turns away the end of the hold before memory runs out and forgets records that ended.
func (p *Controller) keepMemory() {
	p.records = slices.DeleteFunc(p.records, func(until int64) bool { return until < p.now })
	for k := len(p.order) - 1; k >= 0 && p.memory+p.recordKB() > (1+memoryRoom)/2*p.config.MemoryKB; k-- {
		if p.invs[p.order[k]].state == held {
			p.giveUp(p.order[k], ReasonMemory)
		}
	}
}

// drain is beat 1: bad health, a sample of what is in flight. Both durations shrink to fit under the kill,
// the delay only as far as the longest objective needs: guards against refusals while callers hear late.
func (p *Controller) drain(kill int64) {
	if p.noticed == 0 {
		p.noticed, p.atNotice, p.closedBefore = p.now, p.opened-p.closed, p.closed
		p.intakeEnd, p.drainEnd = math.MaxInt64, math.MaxInt64
		p.unhealthy, p.next = true, p.now
		p.tellHealth()
	}
	room := max(0, kill-killMargin-p.noticed)
	scale := min(1, float64(room)/float64(preDrain+drainBudget))
	delay := max(int64(scale*float64(preDrain)), min(preDrain, room-p.slowest))
	p.intakeEnd = min(p.intakeEnd, p.noticed+min(delay, p.config.DrainGrace))
	p.drainEnd = min(p.drainEnd, p.noticed+room, p.intakeEnd+int64(scale*float64(drainBudget)))
}

// keepDrain stops intake and ends beat 3 once nothing is open; at the deadline the rest is aborted, counted.
func (p *Controller) keepDrain() {
	if p.noticed == 0 || p.drained || p.now < p.intakeEnd {
		return
	}
	p.do(Action{Kind: StopAccepting})
	abandoned, completed := 0, p.closed-p.closedBefore
	for _, i := range p.live {
		if v := &p.invs[i]; v.state != ended && !v.answered {
			if p.now < p.drainEnd {
				return
			}
			abandoned++
			p.giveUp(i, ReasonDraining)
		}
	}
	p.drained = true
	p.do(Action{Kind: Exit, Report: fmt.Sprintf(
		"drain: in flight at start %d, completed %d, abandoned %d", p.atNotice, completed, abandoned)})
}

// adjustHealth reports bad in a drain or while doing worse than usual; were full ones bad, none were left.
func (p *Controller) adjustHealth() {
	if p.stall = 0; p.onCores == 0 {
		p.pace.Add(1) // an idle node comes back: nothing else would tell it that it may
	}
	for _, i := range p.live {
		v := &p.invs[i]
		usual := v.base * v.part * v.op.usual.Mean(1)
		stay := (v.spent + p.coreClock - v.since) / usual / (1 + fewRuns/float64(p.onCores))
		if v.state == running && 2*float64(p.onCores) > p.cores && (p.stall == 0 || stay < p.stall) {
			p.stall = stay
		}
	}
	was, pace := p.unhealthy, p.slowness()
	p.unhealthy = p.noticed != 0 || pace > slowPace || p.unhealthy && pace > soundPace
	if p.unhealthy != was || p.said < 0 {
		p.tellHealth()
	}
}

// tellHealth answers checks from store, since a full one costs work.
func (p *Controller) tellHealth() {
	p.do(Action{Kind: ReportHealth, Healthy: !p.unhealthy, Cached: true})
}

// adjustAdvice tells callers how much to send: less while the wait is long, more while it is short.
func (p *Controller) adjustAdvice() {
	p.arrivals, p.echoes = p.arrivals*fade, p.echoes*fade
	p.throttled, p.levelled = p.throttled*fade, p.levelled*fade
	sum, squares := 0.0, 1e-9
	for _, n := range p.callers.Counts() {
		sum, squares = sum+math.Round(n), squares+math.Round(n)*math.Round(n)
	}
	p.allFull = p.throttled > echoShare/2*p.arrivals && (p.allFull || p.echoes > echoShare*p.arrivals)
	p.callers.Decay(fade, callerGone)
	p.tenants.Decay(fade, tenantGone)
	if wait := p.wait(); wait > pressureHigh*p.tightest {
		p.open = max(adviceLow, p.open*(1-adviceDown))
	} else if wait < pressureLow*p.tightest {
		p.open = min(1, p.open+adviceUp)
	}
	value, away := p.open, 0.0
	if p.config.Backpressure == BackpressureLevel {
		value, away = levelHigh*(1-p.open), 1
	} else if p.config.Backpressure == BackpressureCredits { // for each caller that counts, unequal as they are
		value *= creditTop * p.cores / max(1, sum*sum/squares)
	}
	if p.noticed != 0 && p.now >= p.intakeEnd-awayLead {
		value = away
	}
	value = math.Ceil(value*100) / 100 // never rounded to nothing
	if value != p.said && p.config.Backpressure != NoBackpressure {
		p.do(Action{Kind: SignalBackpressure, Value: value})
	}
	p.said = value
}

// State is what decisions stand on now; it changes nothing.
func (p *Controller) State() ControllerState {
	return ControllerState{Limit: p.limit, OnCores: p.onCores, Queued: p.waiting, AwaitingCall: p.standing,
		CallsInFlight: p.inHand, MeanBlocked: p.away,
		QueueWait: p.wait(), CallWait: p.callWait(), QueueingDelay: p.lag, OtherRunnable: p.reading, MeanOtherRunnable: p.meanReading,
		ServiceTimeRatio: p.pace.Mean(1), StallRatio: p.stall, CallerWaitShare: p.patient, CallTime: p.callTime.Mean(0) * p.callUnit,
		CallFailureShare: p.callFails.Mean(0), MaxCallTime: float64(p.callRoom()), AdvertisedCapacity: p.open, LastSignal: p.said,
		CallQuotaUsed: p.callUsed.Sum() / max(1, p.config.CallQuota*float64(p.config.CallQuotaWindow)),
		Arrivals:      p.arrivals, Retries: p.echoes, Rejected: p.throttled, Callers: len(p.callers.Counts()),
		Memory: p.memory, FleetOverloaded: p.allFull, Unhealthy: p.unhealthy, CoreIdle: p.free}
}

// MeasureLoad tells of the present what concerns more than one invocation, into m.
func (p *Controller) MeasureLoad(m *LoadMetrics) {
	m.DemandByOperation = m.DemandByOperation[:0]
	for _, op := range p.ops {
		if op == nil {
			m.DemandByOperation = append(m.DemandByOperation, 0)
			continue
		}
		op.asked.Add(p.now, 0)
		m.DemandByOperation = append(m.DemandByOperation, op.asked.Sum()/(float64(askedSpan)*p.cores))
	}
	m.IntakeShare = min(p.meanReading, p.cores) / max(p.cores, float64(p.onCores)+p.meanReading)
	m.QueueWait, m.QueueingDelay, m.CallWait = p.wait()/p.tightest, p.lag/p.tightest, p.callWait()/p.tightest
	m.RejectedShare, m.MemoryShare = (p.throttled-p.levelled)/max(1, p.arrivals), p.memory/p.config.MemoryKB
}
