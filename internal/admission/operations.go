package admission

import (
	"math"

	"topazpost/internal/stats"
)

const (
	maxOperationSamples = 96.0 // about ten seconds of runs at a small node
	demandWindow        = 2_000 * millisecond
	demandSlices        = 8
)

// operation is an operation as it was configured at some time. Its state is shared with its later configurations.
type operation struct {
	Operation
	*operationState
}

// operationState has the measurements of an operation and its service at the present degradation level.
type operationState struct {
	serviceTimeRatios stats.RatioHistogram // core time of runs over the product of their base work and work share
	blockedTimeRatios stats.RatioHistogram // duration of calls over the latency objective
	demand            stats.SlidingSum     // core time (ns) that first attempts would need if all were served completely
	service           Service
}

func newOperationState() *operationState {
	return &operationState{
		serviceTimeRatios: newRatioHistogram(maxOperationSamples),
		blockedTimeRatios: newRatioHistogram(maxOperationSamples),
		demand:            stats.NewSlidingSum(demandWindow, demandSlices),
	}
}

// demandShare returns the share of the cores that recent first attempts need. It is 0 for a nil operation.
func (op *operation) demandShare(now int64, cores float64) float64 {
	if op == nil {
		return 0
	}
	op.demand.Add(now, 0)
	return op.demand.Sum() / (float64(demandWindow) * cores)
}

// operationTable is the set of operations of a node.
type operationTable struct {
	list              []*operation // by index, nil where no operation has the index
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

// configure adds or changes an operation, or removes it if config is nil. Its measurements are kept when it changes and
// lost when it is removed. Invocations that arrived earlier refer to the previous configuration.
func (t *operationTable) configure(i int32, config *Operation, services []Service) {
	missing := max(0, int(i)+1-len(t.list))
	t.list = append(t.list, make([]*operation, missing)...)
	previous := t.list[i]
	if previous != nil {
		t.objectives.Remove(previous.LatencyObjective)
	}
	t.list[i] = nil
	if config != nil {
		t.list[i] = newOperation(config, previous, services)
		t.objectives.Add(config.LatencyObjective)
	}
	if t.objectives.Len() > 0 {
		t.shortestObjective = float64(t.objectives.Min())
		t.longestObjective = t.objectives.Max()
	}
}

func newOperation(config *Operation, previous *operation, services []Service) *operation {
	op := &operation{Operation: *config}
	if previous != nil {
		op.operationState = previous.operationState
	} else {
		op.operationState = newOperationState()
	}
	if len(services) > 0 {
		op.service = services[0]
	}
	return op
}

// setServices sets the service of each operation by its index. Operations beyond the end of the list are served
// completely.
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
