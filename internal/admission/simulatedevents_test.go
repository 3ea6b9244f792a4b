package admission_test

import (
	"math"

	"topazpost/internal/admission"
)

// addArrivals adds arrivals, at a rate that varies as a sine wave. Where the number is not whole, its fraction is the
// probability of one more arrival.
func (h *simulatedHost) addArrivals() {
	wave := 1 + 0.9*math.Sin(float64(h.steps)/150)
	for n := h.meanArrivals * wave * 2 * h.random.Float64(); n > 0; n-- {
		if n < 1 && h.random.Float64() >= n {
			return
		}
		op := int32(h.random.Intn(len(h.presentOperations)))
		if h.presentOperations[op] {
			h.addArrival(op)
		}
	}
}

func (h *simulatedHost) addArrival(op int32) {
	i := h.allocateJob()
	e := admission.Event{
		Kind:           admission.Arrived,
		Invocation:     i,
		OperationIndex: op,
		Tenant:         int32(h.random.Intn(len(h.config.TenantRates)+1)) - 1,
		Caller:         int64(h.random.Intn(40)),
		Original:       admission.NoOriginal,
		Retry:          h.oneIn(4),
		HasReadKey:     h.oneIn(2),
		Write:          h.oneIn(3),
		Age:            h.randomDuration(0, 8),
		QueuedKB:       4 + 30*h.random.Float64(),
	}
	if !h.oneIn(3) {
		e.ExpectedWork = h.randomDuration(10, 150)
	}
	if h.oneIn(4) {
		e.Deadline = h.now + h.randomDuration(80, 2_500)
	}
	if h.oneIn(50) { // almost too late
		e.Deadline = h.now + h.randomDuration(1, 30)
		e.Age = h.randomDuration(200, 1_000)
	}
	j := simulatedJob{phase: phaseWaiting, operationIndex: op, original: -1}
	if h.config.Operations[op].CallsDependency {
		j.remainingCalls = h.random.Intn(3)
	}
	if h.oneIn(15) {
		e.Original = h.randomOriginal(i)
		j.original = e.Original
	}
	h.jobs[i] = j
	h.enqueue(e)
}

// allocateJob returns the index of an unused job.
func (h *simulatedHost) allocateJob() int32 {
	last := len(h.freeIndices) - 1
	if last < 0 {
		h.jobs = append(h.jobs, simulatedJob{})
		return int32(len(h.jobs) - 1)
	}
	i := h.freeIndices[last]
	h.freeIndices = h.freeIndices[:last]
	return i
}

// randomOriginal returns a random job that job i may repeat, or OriginalEnded.
func (h *simulatedHost) randomOriginal(i int32) int32 {
	original := int32(h.random.Intn(len(h.jobs)))
	j := &h.jobs[original]
	if original == i || j.phase == phaseUnused || j.phase == phaseJoined || j.answered {
		return admission.OriginalEnded
	}
	return original
}

// addExternalEvents adds disconnections, degradation levels, call limits, changes of operations and, if drain is true,
// requests of a drain. It also varies the slowdown of runs and calls.
func (h *simulatedHost) addExternalEvents(drain bool) {
	h.addDisconnections()
	h.addLateEvent()
	if h.oneIn(350) {
		h.slowdown = []float64{1, 1, 2, 4}[h.random.Intn(4)]
	}
	if h.oneIn(120) {
		h.addDegradationLevel()
	}
	if h.oneIn(200) {
		h.addCallLimit()
	}
	if h.oneIn(150) {
		h.reconfigureOperation()
	}
	if drain && (h.killAt == 0 || h.oneIn(100)) {
		h.killAt = h.now + h.randomDuration(500, 9_000)
		h.enqueue(admission.Event{Kind: admission.DrainRequested, KillAt: h.killAt})
	}
}

func (h *simulatedHost) addDisconnections() {
	for k := range h.jobs {
		j := &h.jobs[k]
		if j.phase != phaseUnused && !j.answered && h.oneIn(900) {
			h.enqueue(admission.Event{Kind: admission.CallerDisconnected, Invocation: int32(k)})
			h.answer(j)
		}
	}
}

// addLateEvent adds, in some steps, an event of an invocation that has ended.
func (h *simulatedHost) addLateEvent() {
	if len(h.freeIndices) == 0 || !h.oneIn(40) {
		return
	}
	kinds := []admission.EventKind{admission.RunEnded, admission.CallerDisconnected, admission.CallEnded, admission.CallRequested}
	kind := kinds[h.random.Intn(len(kinds))]
	i := h.freeIndices[h.random.Intn(len(h.freeIndices))]
	for _, e := range h.events {
		if e.Kind == admission.Arrived && e.Invocation == i {
			return
		}
	}
	h.enqueue(admission.Event{Kind: kind, Invocation: i})
}

func (h *simulatedHost) addDegradationLevel() {
	choices := []admission.Service{
		{},
		{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8},
		{Form: admission.Shed},
		{Form: admission.Shed, WorkShare: 0.4, WeightShare: 0.6},
	}
	var services []admission.Service
	if h.oneIn(2) {
		for range 1 + h.random.Intn(len(h.presentOperations)) {
			services = append(services, choices[h.random.Intn(len(choices))])
		}
	}
	useSpareCapacity := h.oneIn(2)
	h.enqueue(admission.Event{Kind: admission.DegradationLevelSet, Services: services, UseSpareCapacity: useSpareCapacity})
}

func (h *simulatedHost) addCallLimit() {
	e := admission.Event{Kind: admission.CallLimitSet, CallLimit: unlimitedCalls, MaxCallTime: unlimitedTime}
	if h.oneIn(2) {
		e.CallLimit = h.random.Intn(6)
		e.MaxCallTime = h.randomDuration(50, 400)
	}
	h.enqueue(e)
}

// reconfigureOperation changes an operation, removes one that no job refers to, or adds one that was removed.
func (h *simulatedHost) reconfigureOperation() {
	op := int32(h.random.Intn(len(h.presentOperations)))
	config := h.config.Operations[op]
	config.LatencyObjective += h.randomDuration(0, 100)
	config.PriorityWeight *= 0.5 + h.random.Float64()
	config.Removed = false
	e := admission.Event{Kind: admission.OperationConfigured, OperationIndex: op, Operation: &config}
	if h.oneIn(3) {
		e.Services = []admission.Service{{Form: admission.Reduced, WorkShare: 0.6, WeightShare: 0.9}}
	}
	if h.presentOperations[op] && h.countPresentOperations() > 1 && h.oneIn(2) {
		if h.isOperationInUse(op) {
			return
		}
		e.Operation = nil
		e.Services = nil
	}
	h.presentOperations[op] = e.Operation != nil
	h.enqueue(e)
}

func (h *simulatedHost) countPresentOperations() int {
	count := 0
	for _, present := range h.presentOperations {
		if present {
			count++
		}
	}
	return count
}

func (h *simulatedHost) isOperationInUse(op int32) bool {
	for k := range h.jobs {
		if h.jobs[k].phase != phaseUnused && h.jobs[k].operationIndex == op {
			return true
		}
	}
	return false
}
