package nodeconfig

import (
	"maps"
	"slices"

	"topazpost/internal/admission"
)

// Paths of settings that are read and written, or read in several places.
const (
	operationsPath      = "grades"
	tenantsPath         = "tenants"
	namePath            = "name"
	tenantRatePath      = "quota_rps"
	dependencyCallsPath = "family_info.class_calls"      // a list over all operations
	skippedCallsPath    = "family_info.class_skip_worth" // a list over all operations
	callQuotaPath       = "family_info.calls_out"
	drainGracePath      = "guarantees.drain_grace"
	peersPath           = "group_size"
	overQuotaWeightPath = "over_share_worth"
	retryAfterPath      = "limits.retry_after"
	maxRetryAfterPath   = "limits.max_retry_after"
	listLengthSuffix    = ".count"
	unsetValue          = "-"
)

// Paths of an operation's settings, below the operation.
const (
	latencyObjectivePath    = "aim"
	objectivePerWorkPath    = "aim_stretch"
	clientTimeoutPath       = "give_up"
	deduplicationWindowPath = "window"
	priorityWeightPath      = "importance"
	lateWeightSharePath     = "late_share"
	idempotencyPath         = "effect"
	callsDependencyPath     = "class_calls"
	skippedCallWeightPath   = "class_skip_worth"
)

var idempotencyValues = map[string]admission.Idempotency{
	"idempotent":   admission.Idempotent,
	"deduplicated": admission.IdempotentWithKey,
	"at_most_once": admission.NonIdempotent,
}

var stopSupportValues = map[string]admission.StopSupport{
	"":      admission.StopUnsupported,
	"off":   admission.StopUnsupported,
	"drop":  admission.StopDiscardsProgress,
	"pause": admission.StopKeepsProgress,
}

var backpressureValues = map[string]admission.BackpressureKind{
	"":         admission.NoBackpressure,
	"off":      admission.NoBackpressure,
	"min_rank": admission.BackpressureLevel,
	"tokens":   admission.BackpressureCredits,
	"bias":     admission.BackpressureWeight,
}

var dependencyValues = map[string]admission.DependencyKind{
	"":         admission.NoDependency,
	"off":      admission.NoDependency,
	"common":   admission.SharedDependency,
	"next_hop": admission.TieredDependency,
}

// valueKind is the kind of a setting's value.
type valueKind int

const (
	numberValue valueKind = iota
	flagValue
)

// liveSettings are the settings that may change while a node serves.
var liveSettings = map[string]valueKind{
	callQuotaPath:       numberValue,
	drainGracePath:      numberValue,
	maxRetryAfterPath:   numberValue,
	overQuotaWeightPath: numberValue,
	peersPath:           numberValue,
	retryAfterPath:      flagValue,
}

// LiveSettings lists the settings that may change while a node serves, sorted by path.
func LiveSettings() []string { return slices.Sorted(maps.Keys(liveSettings)) }
