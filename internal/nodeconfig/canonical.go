package nodeconfig

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

// field is a field of a JSON object, its value as JSON text.
type field struct{ name, value string }

// canonicalObject returns the JSON object of some fields, sorted by name, without those that are empty or zero.
func canonicalObject(fields ...field) []byte {
	slices.SortFunc(fields, func(x, y field) int { return strings.Compare(x.name, y.name) })
	b := []byte{'{'}
	for _, f := range fields {
		if f.value == "" || f.value == "0" {
			continue
		}
		if len(b) > 1 {
			b = append(b, ',')
		}
		b = strconv.AppendQuote(b, f.name)
		b = append(b, ':')
		b = append(b, f.value...)
	}
	return append(b, '}')
}

func operationJSON(op *admission.Operation) []byte {
	calls := ""
	if op.CallsDependency {
		calls = "true"
	}
	return canonicalObject(
		field{latencyObjectivePath, formatMilliseconds(op.LatencyObjective)},
		field{objectivePerWorkPath, formatFloat(op.ObjectivePerWork)},
		field{callsDependencyPath, calls},
		field{skippedCallWeightPath, formatFloat(op.SkippedCallWeightShare)},
		field{idempotencyPath, idempotencyJSON(op.Idempotency)},
		field{clientTimeoutPath, formatMilliseconds(op.ClientTimeout)},
		field{priorityWeightPath, formatFloat(op.PriorityWeight)},
		field{lateWeightSharePath, formatFloat(op.LateWeightShare)},
		field{deduplicationWindowPath, formatMilliseconds(op.DeduplicationWindow)},
	)
}

func idempotencyJSON(idempotency admission.Idempotency) string {
	for name, value := range idempotencyValues {
		if value == idempotency {
			return strconv.Quote(name)
		}
	}
	return ""
}

func tenantJSON(rate float64) []byte {
	return canonicalObject(field{tenantRatePath, formatFloat(rate)})
}

// formatFloat returns the shortest JSON number that is read as n.
func formatFloat(n float64) string {
	b, err := json.Marshal(n)
	if err != nil {
		return "0"
	}
	return string(b)
}

// formatMilliseconds returns the JSON number of milliseconds that is read as ns nanoseconds.
func formatMilliseconds(ns int64) string {
	const maxRoundingSteps = 4
	n := float64(ns) / nanosecondsPerMillisecond
	for range maxRoundingSteps { // reading cuts the product, so that a number that was rounded down misses by one
		if int64(n*nanosecondsPerMillisecond) >= ns {
			break
		}
		n = math.Nextafter(n, math.Inf(1))
	}
	return formatFloat(n)
}
