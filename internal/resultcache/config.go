package resultcache

// Durability says what must be on disk before a run starts and before its answer is given.
type Durability uint8

// The durabilities. OnDisk covers group commits too: how long a write may wait for others is the store's concern.
const (
	InMemory Durability = iota
	OnDisk
)

// StoreFailurePolicy says what becomes of invocations with a token while the store fails.
type StoreFailurePolicy uint8

// The policies: reject them unrun, or run them with what memory holds.
const (
	RejectOnStoreFailure StoreFailurePolicy = iota
	ContinueInMemory
)

// Config is what operators configure. Sizes are bytes.
type Config struct {
	Durability     Durability
	OnStoreFailure StoreFailurePolicy
	MaxBytes       int64 // of tokens and results, those of runs in progress included
	MaxResultBytes int64 // of one result; of a larger one only the outcome is cached
	Window         int64 // ns, the longest window of any operation: all that is recovered is kept for it
}

const entryOverheadBytes = 160 // of one token beside its key and its result: its record, index and timers

// MaxTokens is the most tokens that there is room for, each without a result.
func (c *Config) MaxTokens() int { return max(1, int(c.MaxBytes/entryOverheadBytes)) }
