package node

import (
	"fmt"
	"strconv"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
)

const (
	maxBodyBytes    = 2 << 10    // bytes of an invocation's body
	maxHeapKB       = 2_000.0    // kB of memory that an invocation may be booked with
	maxArrivalAgeMS = 60_000     // ms past which the stamp of an arrival can't be one: far above any client timeout
	maxClockSkewMS  = 1_000      // ms that a stamp may lie ahead: a clock that was set back between it and its reading
	maxTTLMS        = 86_400_000 // ms that a caller may say it waits: a day, far above any client timeout
	maxCallerNumber = 1 << 32    // numbers of callers: a few thousand in the largest fleet
	maxWorkMS       = 1e7        // ms of work that may be expected: some hours
	maxDecimalBytes = 32         // bytes of a decimal number
)

// decodeInvocation turns an invocation's fields into an event.
func (sm *StateMachine) decodeInvocation(f *frame.Frame, v *invocation, e *admission.Event) error {
	if f.Past {
		return errBodyTooLarge
	}
	fields, body, err := frame.Fields(f.Payload)
	if err != nil {
		return err
	}
	var op, call, recv, src, heap bool
	left := int64(-1) // ms that the caller waits from the arrival on, where it says so
	for _, field := range fields {
		ok, n := true, 0.0
		switch field.Name {
		case "op":
			e.OperationIndex, ok = sm.config.Operations.Lookup(field.Value)
			v.op, op = field.Value, true
		case "call":
			v.call, call, ok = field.Value, true, isHex16(field.Value)
		case "recv":
			var at int64
			at, ok = parseWhole(field.Value)
			recv, ok = true, ok && sm.isPlausibleStamp(at)
			e.Age = sm.arrivalAge(at)
		case "src":
			e.Caller, ok = parseWhole(field.Value)
			src, ok = true, ok && e.Caller <= maxCallerNumber
		case "org":
			if sm.config.Tenants.Len() > 0 {
				e.Tenant, ok = sm.config.Tenants.Lookup(field.Value)
			}
		case "ttl":
			left, ok = parseWhole(field.Value)
			ok = ok && left <= maxTTLMS
		case "rep":
			e.Retry, ok = true, field.Value == "1"
		case "work":
			n, ok = parseDecimal(field.Value)
			e.ExpectedWork, ok = int64(n*float64(ms)), ok && n <= maxWorkMS
		case "heap":
			e.QueuedKB, ok = parseDecimal(field.Value)
			heap, ok = true, ok && e.QueuedKB > 0 && e.QueuedKB < maxHeapKB
		case "crit":
			n, ok = parseDecimal(field.Value)
			ok = ok && n < 1
		case sm.results.token:
			v.tokenKey.Token, ok = field.Value, sm.results.keeper == nil || len(field.Value) <= tokenMost
		case "row":
			e.HasReadKey, ok = true, isHex16(field.Value)
		}
		if !ok {
			return fmt.Errorf("field %s: %w", field.Name, errField)
		}
	}
	if !(op && call && recv && src && heap) {
		return fmt.Errorf("op, call, recv, src or heap: %w", errField)
	}
	if e.Tenant < 0 && sm.config.Tenants.Len() > 0 {
		return fmt.Errorf("field org: %w: the settings name tenants", errField)
	}
	if sm.results.keeper != nil && v.tokenKey.Token == "" && sm.config.Node.Operations[e.OperationIndex].Idempotency == admission.IdempotentWithKey {
		return fmt.Errorf("field %s: %w: repeats of %s are known by it", sm.results.token, errField, v.op)
	}
	if left >= 0 {
		e.Deadline = max(1, sm.now-e.Age+left*ms) // 0 would say that it is not known
	}
	if _, known := sm.indexByCall[v.call]; known {
		return fmt.Errorf("field call: %w: in use", errField)
	}
	if len(body) > maxBodyBytes {
		return errBodyTooLarge
	}
	v.body = body
	return nil
}

// isPlausibleStamp says whether a stamp can be that of an arrival. It is of this machine's own clock, which jumps with it.
func (sm *StateMachine) isPlausibleStamp(stamp int64) bool {
	return stamp-sm.wall/ms <= maxClockSkewMS && sm.wall/ms-stamp <= maxArrivalAgeMS
}

// arrivalAge is how long ago an invocation came to the machine.
func (sm *StateMachine) arrivalAge(stamp int64) int64 { return max(0, sm.wall-stamp*ms) }

// parseDecimal reads digits with at most one point among them, and nothing else that a parser of numbers would take.
func parseDecimal(s string) (float64, bool) {
	if len(s) > maxDecimalBytes || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

func parseWhole(s string) (int64, bool) {
	n, err := strconv.ParseUint(s, 10, 63)
	return int64(n), err == nil
}

func isHex16(s string) bool { return len(s) == 16 && strings.Trim(s, "0123456789abcdef") == "" }

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
