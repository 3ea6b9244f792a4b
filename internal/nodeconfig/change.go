package nodeconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

// The parts of a configuration that may change while a node serves.
const (
	Operations = "operations"
	Tenants    = "tenants"
	Limits     = "limits"
)

const (
	maxItemNameBytes = 256
	maxItemBytes     = 4 << 10
)

// Item is one item of a configuration: an operation, a tenant or a limit. Value is the canonical JSON object of an
// operation or tenant, keys sorted, without its name, or the JSON value of a limit, whose name is the path of a setting;
// nil where the item is removed. An operation has the fields of the settings' list, and class_calls and class_skip_worth
// for its elements of the lists in family_info.
type Item struct {
	Part, Name string
	Value      []byte
}

// Change is a decoded item.
type Change struct {
	Part, Name string
	Removed    bool
	Operation  admission.Operation
	Rate       float64 // of a tenant
	Limit      string  // the text of the value, as in pairs
}

// Amendment is a list of changes, each of them valid by itself.
type Amendment struct {
	Changes []Change

	operationChanges []int32 // indices in Changes
	tenantChanges    []int32 // indices in Changes of those that set a tenant
}

// Parse decodes items, each by itself, at the cost of the items. An error names the item and its field.
func Parse(items []Item) (*Amendment, error) {
	amendment := &Amendment{Changes: make([]Change, 0, len(items))}
	seen := make(map[[2]string]struct{}, len(items))
	for i := range items {
		key := [2]string{items[i].Part, items[i].Name}
		if _, twice := seen[key]; twice {
			return nil, fmt.Errorf("nodeconfig: %s.%s: named twice; a change has each item once", key[0], key[1])
		}
		seen[key] = struct{}{}
		change, err := items[i].decode()
		if err != nil {
			return nil, err
		}
		amendment.Changes = append(amendment.Changes, change)
		switch {
		case change.Part == Operations:
			amendment.operationChanges = append(amendment.operationChanges, int32(i))
		case change.Part == Tenants && !change.Removed:
			amendment.tenantChanges = append(amendment.tenantChanges, int32(i))
		}
	}
	return amendment, nil
}

func (it *Item) path() string { return it.Part + "." + it.Name }

func (it *Item) errorf(format string, args ...any) error {
	return fmt.Errorf("nodeconfig: %s: %w", it.path(), fmt.Errorf(format, args...))
}

// validate checks the item without its value's content.
func (it *Item) validate() error {
	if _, live := liveSettings[it.Name]; it.Part == Limits && !live {
		return it.errorf("takes a new start: set it in the nodes' own files and restart them; in service may change %s",
			strings.Join(LiveSettings(), ", "))
	}
	switch {
	case it.Part != Operations && it.Part != Tenants && it.Part != Limits:
		return it.errorf("no such part; there are operations, tenants and limits")
	case it.Name == "" || len(it.Name) > maxItemNameBytes:
		return it.errorf("a name has 1 to %d bytes", maxItemNameBytes)
	case len(it.Value) > maxItemBytes:
		return it.errorf("takes %d bytes; %d at the most", len(it.Value), maxItemBytes)
	}
	return nil
}

func (it *Item) decode() (change Change, err error) {
	if err := it.validate(); err != nil {
		return change, err
	}
	change = Change{Part: it.Part, Name: it.Name, Removed: it.Value == nil}
	if change.Removed {
		return change, nil
	}
	tree, err := decodeSingleValue(it.Value)
	if err != nil {
		return change, it.errorf("%w", err)
	}
	if it.Part == Limits {
		change.Limit, err = it.limitText(tree)
		return change, err
	}
	object, isObject := tree.(map[string]any)
	if !isObject {
		return change, it.errorf("an object is needed")
	}
	if _, named := object[namePath]; named {
		return change, it.errorf("name: the item has it already; leave it out")
	}
	s := &settingsReader{values: make(map[string]string), errorPrefix: it.path() + "."}
	flatten(s.values, "", object)
	if it.Part == Tenants {
		change.Rate = s.float(tenantRatePath)
		return change, s.err
	}
	change.Operation, err = it.operation(s)
	return change, err
}

// decodeSingleValue decodes JSON text that holds exactly one value.
func decodeSingleValue(text []byte) (tree any, err error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	_, err = d.Token()
	if err == nil {
		return nil, errors.New("more than one value")
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return tree, nil
}

// operation reads an operation with its dependency calls.
func (it *Item) operation(s *settingsReader) (admission.Operation, error) {
	op := s.operation()
	op.CallsDependency = s.flag(callsDependencyPath)
	op.SkippedCallWeightShare = s.float(skippedCallWeightPath)
	if s.err != nil {
		return op, s.err
	}
	if fault := operationFault(it.Name, &op); fault != "" {
		return op, it.errorf("%s", fault)
	}
	return op, nil
}

// limitText returns the text of a limit's value, which is a flag or a finite number that is not negative.
func (it *Item) limitText(value any) (string, error) {
	text := fmt.Sprint(value)
	if liveSettings[it.Name] == flagValue {
		if text != "true" && text != "false" {
			return "", it.errorf("malformed value %q; it is true or false", text)
		}
		return text, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || n < 0 || math.IsInf(n, 0) {
		return "", it.errorf("malformed value %q; it is a number from 0 on", text)
	}
	return text, nil
}
