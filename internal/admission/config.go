package admission

// Idempotency specifies whether an operation may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota
	IdempotentWithKey             // the node prevents repeated executions by an idempotency key
	NonIdempotent
)

// StopSupport specifies whether a run can be stopped, and whether it can be resumed from where it stopped.
type StopSupport uint8

// The kinds of stop support.
const (
	StopUnsupported StopSupport = iota
	StopDiscardsProgress
	StopKeepsProgress
)

// BackpressureKind is the meaning of the value that a node signals to its callers.
type BackpressureKind uint8

// The kinds of backpressure.
const (
	NoBackpressure      BackpressureKind = iota
	BackpressureLevel                    // 0 for full load to 1 for none
	BackpressureCredits                  // invocations that each caller may have outstanding
	BackpressureWeight                   // weight of this node among its peers, 0 to 1
)

// DependencyKind is the kind of the dependency that runs make calls to.
type DependencyKind uint8

// The kinds of dependency.
const (
	NoDependency     DependencyKind = iota
	SharedDependency                // shared by all nodes, each of which has a quota of calls
	TieredDependency                // the next tier in a chain of services, to which no quota applies
)

// Operation is the configuration of one kind of invocation. Times are in nanoseconds.
type Operation struct {
	Idempotency            Idempotency
	LatencyObjective       int64
	ObjectivePerWork       float64 // added to the objective for each nanosecond of expected work
	ClientTimeout          int64
	DeduplicationWindow    int64
	PriorityWeight         float64 // of an invocation that ends within its objective, see Config.WeightScalesWithWork
	LateWeightShare        float64 // of the weight, for an invocation that ends later
	SkippedCallWeightShare float64 // of the weight, for an invocation whose call was skipped; the controller only checks whether it is 0, which forbids that
	CallsDependency        bool
	Removed                bool // no operation has this index at present
}

// RepeatWindow returns for how long (ns) after an arrival its repeats may come, and lie unread until their callers give up.
func (op *Operation) RepeatWindow() int64 { return op.DeduplicationWindow + op.ClientTimeout }

// Config is the configuration of a Controller. Times are in nanoseconds, memory is in kilobytes. The host may change
// TenantRates, OverQuotaWeightShare, Peers, CallQuota, DrainGrace, MaxRetryAfter and MaxDeduplicationEntries between calls of Decide.
type Config struct {
	Seed                    int64
	Operations              []Operation
	TenantRates             []float64 // quota of each tenant at all peers together, in arrivals per second; 0 for none
	OverQuotaWeightShare    float64   // of the weight, for invocations beyond the quota
	WeightScalesWithWork    bool      // the value of an invocation is its weight times its work, otherwise its weight
	Cores                   int
	MemoryKB                float64
	RunningMemoryFactor     float64 // memory of a running invocation over that of a queued one
	DeduplicationEntryKB    float64
	MaxDeduplicationEntries int // 0 if only memory limits them
	StopSupport             StopSupport
	Backpressure            BackpressureKind
	Peers                   int // number of nodes over which tenant quotas are divided
	Dependency              DependencyKind
	CallQuota               float64 // calls in flight that the node may have, as a mean over the window
	CallQuotaWindow         int64
	AbandonedCallTime       int64   // how long an abandoned call still occupies the dependency
	ReadReuseWindow         int64   // how long after its deadline the result of a read may answer equal reads; 0 for no reuse
	DeepHealthChecks        bool    // health checks may be passed to the executor; read by the host only
	ColdStart               bool    // the cores start cold, and a previous process may have used the quota of calls
	ProcessStart            int64   // 0 if the process started together with the cores
	RetriesMarked           bool    // callers mark their retries
	ColdSpeedShare          float64 // speed of cold cores over that of warm ones
	WarmUpTime              int64   // guaranteed maximum of the time until cold cores reach full speed
	SurvivableRunsPerCore   float64 // runs for each core, on it or blocked, up to which a warm node does not collapse
	DrainGrace              int64   // maximum time from the request of a drain to the end of intake
	MaxRetryAfter           int64   // 0 if callers can't be told when to retry
}
