package cacheconfig

import (
	"topazpost/internal/admission"
	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/segmentstore"
)

const (
	defaultField        = "dedupe"
	defaultResultBytes  = 4 << 10   // of one result: the most that an answer carries
	defaultMemoryBytes  = 32 << 20  // of tokens and results
	memoryDivisor       = 4         // part of the node's own memory that they take at most by default
	defaultStoreBytes   = 256 << 20 // of all segments
	defaultSegmentBytes = 8 << 20   // of one segment: a few minutes of a busy node
	defaultBatchWindow  = 2_000_000 // ns, short beside a sync
)

// Default is the configuration without a file: in memory only. Its window is 0 where no operation takes a token.
func Default(operations []admission.Operation, memoryMB int) *Config {
	return &Config{
		Field: defaultField,
		Cache: resultcache.Config{
			MaxBytes:       min(defaultMemoryBytes, megabytes(memoryMB)/memoryDivisor),
			MaxResultBytes: defaultResultBytes,
			Window:         longestWindow(operations),
		},
	}
}

// TakesTokens reports whether one of the operations takes a token.
func TakesTokens(operations []admission.Operation) bool { return longestWindow(operations) > 0 }

// defaultForFile is the configuration that a file changes.
func defaultForFile(operations []admission.Operation, memoryMB int) *Config {
	config := Default(operations, memoryMB)
	config.Limits = segmentstore.Limits{SegmentBytes: defaultSegmentBytes, MaxBytes: defaultStoreBytes}
	config.BatchWindow = defaultBatchWindow
	return config
}

// longestWindow is the longest window of the operations with a token, 0 where there are none.
func longestWindow(operations []admission.Operation) (window int64) {
	for _, operation := range operations {
		if operation.Idempotency == admission.IdempotentWithKey {
			window = max(window, operation.RepeatWindow())
		}
	}
	return window
}

func megabytes(n int) int64 { return int64(n) << 20 }
