package admission

import (
	"math"

	"topazpost/internal/stats"
)

const (
	maxOperationSamples = 96.0 // some ten seconds of a small node
	demandWindow        = 2_000 * millisecond
	demandSlices        = 8
)

// operation is the configuration of an operation, and what is known of it under any configuration.
type operation struct {
	Operation
	*operationMeasurements
}

// operationMeasurements are the measurements of an operation, and its service at the present degradation level.
type operationMeasurements struct {
	serviceTimes stats.RatioHistogram // core time of runs over their base work
	blockedTimes stats.RatioHistogram // duration of calls over the latency objective
	demand       stats.SlidingSum     // core time (ns) of first attempts, were all served completely
	service      Service
}

func newOperationMeasurements() *operationMeasurements {
	return &operationMeasurements{
		serviceTimes: newRatioHistogram(maxOperationSamples),
		blockedTimes: newRatioHistogram(maxOperationSamples),
		demand:       stats.NewSlidingSum(demandWindow, demandSlices),
	}
}

// demandShare is the share of the cores that recent first attempts need. It is 0 for a nil operation.
func (op *operation) demandShare(now int64, cores float64) float64 {
	if op == nil {
		return 0
	}
	op.demand.Add(now, 0)
	return op.demand.Sum() / (float64(demandWindow) * cores)
}

// operationTable is the set of operations of a node.
type operationTable struct {
	list              []*operation // by index, nil where the index belongs to none
	objectives        stats.MinMax // latency objectives
	shortestObjective float64      // ns
	longestObjective  int64        // ns
}

func newOperationTable(operations []Operation) operationTable {
	t := operationTable{
		list:              make([]*operation, len(operations)),
		shortestObjective: math.Inf(1),
	}
	for i := range operations {
		if !operations[i].Removed {
			t.configure(int32(i), &operations[i], nil)
		}
	}
	return t
}

// configure adds an operation, changes its terms, or removes it where terms is nil. Measurements outlast a change of
// terms, not a removal. Invocations that arrived before refer to the former terms.
func (t *operationTable) configure(i int32, terms *Operation, services []Service) {
	missing := max(0, int(i)+1-len(t.list))
	t.list = append(t.list, make([]*operation, missing)...)
	former := t.list[i]
	if former != nil {
		t.objectives.Remove(former.LatencyObjective)
	}
	t.list[i] = nil
	if terms != nil {
		t.list[i] = newOperation(terms, former, services)
		t.objectives.Add(terms.LatencyObjective)
	}
	if t.objectives.Len() > 0 {
		t.shortestObjective = float64(t.objectives.Min())
		t.longestObjective = t.objectives.Max()
	}
}

func newOperation(terms *Operation, former *operation, services []Service) *operation {
	op := &operation{Operation: *terms}
	if former != nil {
		op.operationMeasurements = former.operationMeasurements
	} else {
		op.operationMeasurements = newOperationMeasurements()
	}
	if len(services) > 0 {
		op.service = services[0]
	}
	return op
}

// setServices sets the service of each operation: by index, complete beyond the end of the list.
func (t *operationTable) setServices(services []Service) {
	for i, op := range t.list {
		if op == nil {
			continue
		}
		op.service = Service{}
		if i < len(services) {
			op.service = services[i]
		}
	}
}
