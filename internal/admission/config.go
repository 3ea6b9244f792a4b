package admission

// Idempotency says whether an operation may be executed more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota
	IdempotentWithKey             // repeated executions are prevented by means of an idempotency key
	NonIdempotent
)

// StopSupport says how a run can be stopped and what becomes of its progress.
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
	BackpressureCredits                  // outstanding invocations for each caller
	BackpressureWeight                   // weight of this node among its peers, 0 to 1
)

// DependencyKind says what invocations call while they run.
type DependencyKind uint8

// The kinds of dependency.
const (
	NoDependency DependencyKind = iota
	SharedDependency
	TieredDependency
)

// Operation is the configuration of one kind of invocation. Times are in nanoseconds.
type Operation struct {
	Idempotency            Idempotency
	LatencyObjective       int64
	ObjectivePerWork       float64 // added to the objective for each unit of expected work
	ClientTimeout          int64
	DeduplicationWindow    int64
	PriorityWeight         float64 // value of an invocation that ends within its objective
	LateWeightShare        float64 // of the weight, for one that ends later
	SkippedCallWeightShare float64 // of the weight, for one whose call was skipped; 0 where none may be
	CallsDependency        bool
	Removed                bool // the index belongs to no operation at present
}

// Config is the configuration of a node's decisions. Times are in nanoseconds, memory is in kilobytes.
type Config struct {
	Seed                    int64
	Operations              []Operation
	TenantRates             []float64 // quota of each tenant over all peers, per second; 0 for none
	OverQuotaWeightShare    float64   // of the weight, for invocations beyond the quota
	WeightScalesWithWork    bool
	Cores                   int
	MemoryKB                float64
	RunningMemoryFactor     float64 // memory of a running invocation over that of a queued one
	DeduplicationEntryKB    float64
	MaxDeduplicationEntries int // 0 where only memory limits them
	StopSupport             StopSupport
	Backpressure            BackpressureKind
	Peers                   int
	Dependency              DependencyKind
	CallQuota               float64 // calls in flight that the node may have, as a mean over the window
	CallQuotaWindow         int64
	AbandonedCallTime       int64 // for which an abandoned call still occupies the dependency
	ReadReuseWindow         int64
	DeepHealthChecks        bool
	ColdStart               bool
	ProcessStart            int64 // 0 where the process started with the cores
	RetriesMarked           bool  // callers mark their retries
	ColdSpeedShare          float64
	WarmUpTime              int64
	SurvivableRunsPerCore   float64 // runs per core that a warm node survives
	DrainGrace              int64
	MaxRetryAfter           int64 // 0 where callers can't be given a time
}
