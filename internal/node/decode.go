package node

import (
	"fmt"
	"strconv"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
)

const (
	bodyMost   = 2 << 10    // bytes of an invocation's body
	heapMost   = 2_000.0    // kB of memory that an invocation may be booked with
	ageMost    = 60_000     // ms past which the stamp of an arrival can't be one: far above any client timeout
	aheadMost  = 1_000      // ms that a stamp may lie ahead: a clock that was set back between it and its reading
	ttlMost    = 86_400_000 // ms that a caller may say it waits: a day, far above any client timeout
	callerMost = 1 << 32    // numbers of callers: a few thousand in the largest fleet
	workMost   = 1e7        // ms of work that may be expected: some hours
	digitsMost = 32         // bytes of a decimal number
)

// decodeInvocation turns an invocation's fields into an event.
func (sm *StateMachine) decodeInvocation(f *frame.Frame, v *invocation, e *admission.Event) error {
	if f.Past {
		return errBody
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
			v.call, call, ok = field.Value, true, hex16(field.Value)
		case "recv":
			var at int64
			at, ok = whole(field.Value)
			recv, ok = true, ok && sm.plausible(at)
			e.Age = sm.age(at)
		case "src":
			e.Caller, ok = whole(field.Value)
			src, ok = true, ok && e.Caller <= callerMost
		case "org":
			if sm.config.Tenants.Len() > 0 {
				e.Tenant, ok = sm.config.Tenants.Lookup(field.Value)
			}
		case "ttl":
			left, ok = whole(field.Value)
			ok = ok && left <= ttlMost
		case "rep":
			e.Retry, ok = true, field.Value == "1"
		case "work":
			n, ok = decimal(field.Value)
			e.ExpectedWork, ok = int64(n*float64(ms)), ok && n <= workMost
		case "heap":
			e.QueuedKB, ok = decimal(field.Value)
			heap, ok = true, ok && e.QueuedKB > 0 && e.QueuedKB < heapMost
		case "crit":
			n, ok = decimal(field.Value)
			ok = ok && n < 1
		case sm.results.token:
			v.tokenKey.Token, ok = field.Value, sm.results.keeper == nil || len(field.Value) <= tokenMost
		case "row":
			e.HasReadKey, ok = true, hex16(field.Value)
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
	if len(body) > bodyMost {
		return errBody
	}
	v.body = body
	return nil
}

// plausible says whether a stamp can be that of an arrival. It is of this machine's own clock, which jumps with it.
func (sm *StateMachine) plausible(stamp int64) bool {
	return stamp-sm.wall/ms <= aheadMost && sm.wall/ms-stamp <= ageMost
}

// age is how long ago an invocation came to the machine.
func (sm *StateMachine) age(stamp int64) int64 { return max(0, sm.wall-stamp*ms) }

// decimal reads digits with at most one point among them, and nothing else that a parser of numbers would take.
func decimal(s string) (float64, bool) {
	if len(s) > digitsMost || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

func whole(s string) (int64, bool) {
	n, err := strconv.ParseUint(s, 10, 63)
	return int64(n), err == nil
}

func hex16(s string) bool { return len(s) == 16 && strings.Trim(s, "0123456789abcdef") == "" }

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
