package node

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/frame"
)

// Limits on the fields of an invocation, far above the values that a correct dispatcher sends.
const (
	maxBodyBytes    = 2 << 10
	maxHeapKB       = 2_000.0
	maxArrivalAgeMS = 60_000
	maxClockSkewMS  = 1_000 // how far an arrival time may lie ahead of the clock, which may have been set back since
	maxTTLMS        = 86_400_000
	maxCallerNumber = 1 << 32
	maxWorkMS       = 1e7
	maxDecimalBytes = 32
)

// fieldSet is a set of required fields, with a bit for each.
type fieldSet uint8

const (
	fieldOp fieldSet = 1 << iota
	fieldCall
	fieldRecv
	fieldSrc
	fieldHeap

	requiredFields = fieldOp | fieldCall | fieldRecv | fieldSrc | fieldHeap
)

// fieldDecoder decodes the fields of one invocation.
type fieldDecoder struct {
	sm         *StateMachine
	invocation *invocation
	event      *admission.Event
	present    fieldSet // required fields decoded so far
	ttlMS      int64    // how long the caller waits from the arrival on, -1 if not given
}

// decodeInvocation decodes the fields and the body of an invocation into v and e, its arrival event.
func (sm *StateMachine) decodeInvocation(f *frame.Frame, v *invocation, e *admission.Event) error {
	if f.Oversized {
		return errBodyTooLarge
	}
	d := fieldDecoder{sm: sm, invocation: v, event: e, ttlMS: -1}
	var invalid error
	body, err := frame.EachField(f.Payload, func(name, value []byte) bool {
		if d.knows(name) && !d.decode(string(name), string(value)) {
			invalid = fmt.Errorf("field %s: %w", name, errInvalidField)
		}
		return invalid == nil
	})
	if err = cmp.Or(err, invalid); err != nil {
		return err
	}
	if err := d.validate(); err != nil {
		return err
	}
	if len(body) > maxBodyBytes {
		return errBodyTooLarge
	}
	v.body = body
	return nil
}

// knows reports whether a field has a meaning. Others take no memory.
func (d *fieldDecoder) knows(name []byte) bool {
	switch string(name) {
	case "op", "call", "recv", "src", "org", "ttl", "rep", "work", "heap", "crit", "row", d.sm.results.tokenFieldName():
		return true
	}
	return false
}

// decode decodes one field, and reports whether its value is valid. The fields are:
//
//	op    name of the operation; required
//	call  id of the invocation, 16 hexadecimal digits; required
//	recv  time of the arrival at the machine, in Unix milliseconds; required
//	src   number of the caller; required
//	org   name of the tenant; required if the configuration names tenants
//	ttl   how long the caller waits from the arrival on, in milliseconds
//	rep   1 if the invocation is a retry
//	work  expected work, in milliseconds
//	heap  memory of the invocation while it is queued, in KB; required
//	crit  a weight below 1; has no effect
//	row   key of a read, 16 hexadecimal digits; has no effect, since a node on sockets doesn't share answers of reads
//
// The name of the field with the idempotency token is configured.
func (d *fieldDecoder) decode(name, value string) (valid bool) {
	v := d.invocation
	e := d.event
	switch name {
	case "op":
		d.present |= fieldOp
		v.operationName = value
		e.OperationIndex, valid = d.sm.config.Operations.Lookup(value)
	case "call":
		d.present |= fieldCall
		v.invocationID = value
		valid = isHex16(value)
	case "recv":
		d.present |= fieldRecv
		valid = d.decodeArrival(value)
	case "src":
		d.present |= fieldSrc
		e.Caller, valid = parseInteger(value, maxCallerNumber)
	case "org":
		valid = d.decodeTenant(value)
	case "ttl":
		d.ttlMS, valid = parseInteger(value, maxTTLMS)
	case "rep":
		e.Retry = true
		valid = value == "1"
	case "work":
		workMS, ok := parseDecimal(value)
		e.ExpectedWork = int64(workMS * float64(ms))
		valid = ok && workMS <= maxWorkMS
	case "heap":
		d.present |= fieldHeap
		e.QueuedKB, valid = parseDecimal(value)
		valid = valid && e.QueuedKB > 0 && e.QueuedKB < maxHeapKB
	case "crit":
		weight, ok := parseDecimal(value)
		valid = ok && weight < 1
	case d.sm.results.tokenFieldName():
		v.tokenKey.Token = value
		valid = d.sm.results.isValidToken(value)
	case "row":
		e.HasReadKey = true
		valid = isHex16(value)
	default:
		valid = true
	}
	return valid
}

// decodeArrival decodes the time at which the invocation arrived at the machine, in Unix milliseconds.
func (d *fieldDecoder) decodeArrival(value string) (valid bool) {
	arrivalMS, ok := parseInteger(value, math.MaxInt64)
	d.event.Age = d.sm.arrivalAge(arrivalMS)
	return ok && d.sm.isPlausibleArrival(arrivalMS)
}

// decodeTenant decodes the tenant's name. Without tenants in the configuration the name is only part of the token's key, so that a repeat
// has the same key once there are tenants.
func (d *fieldDecoder) decodeTenant(value string) (valid bool) {
	d.invocation.tokenKey.Tenant = value
	if d.sm.config.Tenants.Len() == 0 {
		return true
	}
	d.event.Tenant, valid = d.sm.config.Tenants.Lookup(value)
	return valid
}

// validate checks the decoded fields against each other and sets the deadline.
func (d *fieldDecoder) validate() error {
	sm := d.sm
	v := d.invocation
	e := d.event
	if d.present&requiredFields != requiredFields {
		return fmt.Errorf("fields op, call, recv, src and heap are required: %w", errInvalidField)
	}
	if e.Tenant < 0 && sm.config.Tenants.Len() > 0 {
		return fmt.Errorf("field org: %w: required, as the configuration names tenants", errInvalidField)
	}
	needsToken := sm.config.Node.Operations[e.OperationIndex].Idempotency == admission.IdempotentWithKey
	if sm.results.enabled() && v.tokenKey.Token == "" && needsToken {
		return fmt.Errorf("field %s: %w: operation %s requires an idempotency token", sm.results.tokenFieldName(), errInvalidField, v.operationName)
	}
	if d.ttlMS >= 0 {
		e.Deadline = max(1, sm.now-e.Age+d.ttlMS*ms) // 0 means that the deadline is unknown
	}
	if _, known := sm.indexByID[v.invocationID]; known || sm.refusals.isPending(v.invocationID) {
		return fmt.Errorf("field call: %w: another invocation in flight has this id", errInvalidField)
	}
	if sm.recentRuns.has(v.invocationID, sm.now) {
		return fmt.Errorf("field call: %w: an invocation with this id has run, and must not run again", errInvalidField)
	}
	return nil
}

// isPlausibleArrival reports whether a time, in Unix milliseconds of this machine's clock, can be that of an arrival.
func (sm *StateMachine) isPlausibleArrival(arrivalMS int64) bool {
	return arrivalMS-sm.wall/ms <= maxClockSkewMS && sm.wall/ms-arrivalMS <= maxArrivalAgeMS
}

// arrivalAge returns how long ago an invocation arrived at the machine, in nanoseconds.
func (sm *StateMachine) arrivalAge(arrivalMS int64) int64 { return max(0, sm.wall-arrivalMS*ms) }

// parseDecimal parses digits with at most one decimal point. It rejects the signs, exponents and names that strconv accepts.
func parseDecimal(s string) (float64, bool) {
	if len(s) > maxDecimalBytes || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil
}

// parseInteger parses a decimal integer from 0 to limit.
func parseInteger(s string, limit int64) (int64, bool) {
	n, err := strconv.ParseUint(s, 10, 63)
	return int64(n), err == nil && int64(n) <= limit
}

// isHex16 reports whether s is 16 lower-case hexadecimal digits.
func isHex16(s string) bool { return len(s) == 16 && strings.Trim(s, "0123456789abcdef") == "" }

// formatNumber formats a number without an exponent.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
