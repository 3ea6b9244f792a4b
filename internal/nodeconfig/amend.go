package nodeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
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
	maxOperations    = 1 << 16 // indices, those included whose operation is gone and not forgotten yet
	maxTenants       = 1 << 21 // the same of tenants
	maxItemNameBytes = 256     // bytes of a name
	maxItemBytes     = 4 << 10 // bytes of an item's value
)

// Item is one of a configuration's: an operation, a tenant or a limit. Value is the canonical JSON object of an operation or
// tenant, keys sorted, without its name, or the JSON value of a limit, whose name is the path of a setting; nil where the
// item is removed. An operation has the fields of the settings' list, and class_calls and class_skip_worth for what
// family_info says of it.
type Item struct {
	Part, Name string
	Value      []byte
}

// liveSetting says of each setting that may change in service whether it is a flag; all others are numbers.
func liveSetting(path string) (flag, live bool) {
	switch path {
	case "limits.retry_after":
		return true, true
	case "limits.max_retry_after", "over_share_worth", "group_size", "family_info.calls_out", "guarantees.drain_grace":
		return false, true
	}
	return false, false
}

// LiveSettings lists the settings that may change while a node serves.
func LiveSettings() []string {
	return []string{"family_info.calls_out", "group_size", "guarantees.drain_grace", "limits.max_retry_after", "limits.retry_after",
		"over_share_worth"}
}

// Change is an item that was read.
type Change struct {
	Part, Name string
	Removed    bool
	Operation  admission.Operation
	Rate       float64 // of a tenant
	Limit      string  // as pairs have it
}

// Amendment is a list of changes, each of them sound by itself.
type Amendment struct {
	Changes []Change

	operationChanges []int32 // places of those of operations
	tenantChanges    []int32 // of those that set a tenant
}

// Parse reads items, each by itself, at the cost of the items. An error names the item and its field as a check does.
func Parse(items []Item) (*Amendment, error) {
	a := &Amendment{Changes: make([]Change, 0, len(items))}
	seen := make(map[[2]string]struct{}, len(items))
	for i := range items {
		key := [2]string{items[i].Part, items[i].Name}
		if _, twice := seen[key]; twice {
			return nil, fmt.Errorf("nodeconfig: %s.%s: named twice; a change has each item once", key[0], key[1])
		}
		seen[key] = struct{}{}
		c, err := items[i].decode()
		if err != nil {
			return nil, err
		}
		switch a.Changes = append(a.Changes, c); {
		case c.Part == Operations:
			a.operationChanges = append(a.operationChanges, int32(i))
		case c.Part == Tenants && !c.Removed:
			a.tenantChanges = append(a.tenantChanges, int32(i))
		}
	}
	return a, nil
}

func (it *Item) decode() (Change, error) {
	c := Change{Part: it.Part, Name: it.Name, Removed: it.Value == nil}
	at := it.Part + "." + it.Name
	fault := func(what string) (Change, error) { return c, fmt.Errorf("nodeconfig: %s: %s", at, what) }
	if _, may := liveSetting(it.Name); it.Part == Limits && !may {
		return fault("takes a new start: set it in the nodes' own files and restart them; in service may change " +
			strings.Join(LiveSettings(), ", "))
	}
	switch {
	case it.Part != Operations && it.Part != Tenants && it.Part != Limits:
		return fault("no such part; there are operations, tenants and limits")
	case it.Name == "" || len(it.Name) > maxItemNameBytes:
		return fault(fmt.Sprintf("a name has 1 to %d bytes", maxItemNameBytes))
	case c.Removed:
		return c, nil
	case len(it.Value) > maxItemBytes:
		return fault(fmt.Sprintf("takes %d bytes; %d at the most", len(it.Value), maxItemBytes))
	}
	var tree any
	d := json.NewDecoder(bytes.NewReader(it.Value))
	d.UseNumber()
	err := d.Decode(&tree)
	if err == nil {
		if _, err = d.Token(); err == io.EOF {
			err = nil
		} else if err == nil {
			err = fmt.Errorf("more than one value")
		}
	}
	if err != nil {
		return fault(err.Error())
	}
	s := &settingsReader{values: make(map[string]string), errorPrefix: at + "."}
	object, is := tree.(map[string]any)
	if it.Part == Limits {
		return it.decodeLimit(c, tree, fault)
	} else if !is {
		return fault("an object is needed")
	}
	if _, named := object["name"]; named {
		return fault("name: the item has it already; leave it out")
	}
	flatten(s.values, "", object)
	if it.Part == Tenants {
		c.Rate = s.float("quota_rps")
	} else {
		c.Operation = s.operation()
		c.Operation.CallsDependency, c.Operation.SkippedCallWeightShare = s.flag("class_calls"), s.float("class_skip_worth")
		if what := operationFault(it.Name, &c.Operation); s.err == nil && what != "" {
			return fault(what)
		}
	}
	return c, s.err
}

// decodeLimit reads the value of a limit, which is a flag or a number that is not negative.
func (it *Item) decodeLimit(c Change, tree any, fault func(string) (Change, error)) (Change, error) {
	c.Limit = fmt.Sprint(tree)
	flag, _ := liveSetting(it.Name)
	if flag && c.Limit != "true" && c.Limit != "false" {
		return fault(fmt.Sprintf("malformed value %q; it is true or false", c.Limit))
	} else if n, err := strconv.ParseFloat(c.Limit, 64); !flag && (err != nil || !(n >= 0) || math.IsInf(n, 0)) {
		return fault(fmt.Sprintf("malformed value %q; it is a number from 0 on", c.Limit))
	}
	return c, nil
}

// ValidateAmendment says why a config can't take an amendment as a whole, at the cost of the operations in it, and of the tenants only
// near their bound. Nothing is changed.
func (p *Config) ValidateAmendment(a *Amendment) error {
	left, operations, tenants := p.Operations.Len(), 0, len(a.tenantChanges)
	for _, i := range a.operationChanges {
		c := &a.Changes[i]
		_, serves := p.Operations.Find(c.Name)
		switch {
		case c.Removed && serves:
			left--
		case !c.Removed && !serves:
			left++
			if _, known := p.Operations.Lookup(c.Name); !known {
				operations++
			}
		}
	}
	if p.Tenants.count+tenants > maxTenants { // else there is room for all of them, known or not
		tenants = 0
		for _, i := range a.tenantChanges {
			if _, known := p.Tenants.Lookup(a.Changes[i].Name); !known {
				tenants++
			}
		}
	}
	return (&ChangeValidator{config: p, remainingOperations: left, newOperations: operations, newTenants: tenants}).Err()
}

// ApplyResult is what became of a change.
type ApplyResult struct {
	Index          int32 // of the operation or tenant
	Added, Removed bool  // it came into service, or went out of it
	Changed        bool  // anything was changed at all
}

// Apply takes a change that was checked, at its own cost. What goes out of service keeps its index, its name and its terms
// until Forget; what comes again before that has them again.
func (p *Config) Apply(c *Change) (t ApplyResult) {
	n := &p.Node
	if c.Part == Limits {
		was := *n
		if delete(p.nodeSettings, c.Name); !c.Removed {
			p.nodeSettings[c.Name] = c.Limit
		}
		(&settingsReader{values: p.nodeSettings}).readLimits(n)
		t.Changed = was.OverQuotaWeightShare != n.OverQuotaWeightShare || was.Peers != n.Peers || was.CallQuota != n.CallQuota ||
			was.DrainGrace != n.DrainGrace || was.MaxRetryAfter != n.MaxRetryAfter
		return t
	}
	names := p.Operations
	if c.Part == Tenants {
		names = p.Tenants
	}
	index, known := names.Find(c.Name)
	if t.Index = index; c.Removed {
		for known { // a file may have named it twice
			names.Retire(index)
			t.Removed, t.Changed = true, true
			index, known = names.Find(c.Name)
		}
		return t
	}
	if !known {
		t.Index, t.Added, t.Changed = names.Add(c.Name), true, true
	}
	if c.Part == Operations {
		n.Operations = append(n.Operations, make([]admission.Operation, max(0, int(t.Index)+1-len(n.Operations)))...)
		t.Changed = t.Changed || n.Operations[t.Index] != c.Operation
		n.Operations[t.Index] = c.Operation
		return t
	}
	n.TenantRates = append(n.TenantRates, make([]float64, max(0, int(t.Index)+1-len(n.TenantRates)))...)
	t.Changed = t.Changed || n.TenantRates[t.Index] != c.Rate
	n.TenantRates[t.Index] = c.Rate
	return t
}

// Forget gives the index of an operation or tenant that is out of service to whatever comes next.
func (p *Config) Forget(part string, i int32) {
	if part == Operations {
		p.Operations.Remove(i)
		p.Node.Operations[i] = admission.Operation{Removed: true}
	} else {
		p.Tenants.Remove(i)
		p.Node.TenantRates[i] = 0
	}
}

// Clone is a copy that may be amended without the original's changing.
func (p *Config) Clone() *Config {
	own := *p
	own.nodeSettings = maps.Clone(p.nodeSettings)
	own.Operations, own.Tenants = p.Operations.clone(), p.Tenants.clone()
	own.Node.Operations, own.Node.TenantRates = slices.Clone(p.Node.Operations), slices.Clone(p.Node.TenantRates)
	return &own
}

// Diff gives the items that make one config's configuration another's, in the order of parts and indices, and the paths of
// settings that differ and take a new start. From nil it gives all of them.
func Diff(from, to *Config) (items []Item, starts []string) {
	starts = diffItems(from, to, func(i Item) { items = append(items, i) })
	return items, starts
}

// Items gives what the config holds of what may change in service, one item at a time.
func (p *Config) Items(yield func(Item)) { diffItems(nil, p, yield) }

func diffItems(from, to *Config, yield func(Item)) (starts []string) {
	if from == nil {
		from = &Config{Operations: new(Names), Tenants: new(Names), nodeSettings: to.restartOnlySettings()}
	}
	each := func(part string, was, is *Names, same func(i, j int32) bool, value func(j int32) []byte) {
		for i := range int32(was.Slots()) {
			if j, known := was.Find(was.Name(i)); known && j == i && was.Has(i) {
				if _, stays := is.Find(was.Name(i)); !stays {
					yield(Item{Part: part, Name: was.Name(i)})
				}
			}
		}
		for j := range int32(is.Slots()) {
			name := is.Name(j)
			if last, known := is.Find(name); !known || last != j || !is.Has(j) {
				continue
			}
			if i, known := was.Find(name); !known || !same(i, j) {
				yield(Item{Part: part, Name: name, Value: value(j)})
			}
		}
	}
	each(Operations, from.Operations, to.Operations, func(i, j int32) bool { return from.Node.Operations[i] == to.Node.Operations[j] },
		func(j int32) []byte { return operationJSON(&to.Node.Operations[j]) })
	each(Tenants, from.Tenants, to.Tenants, func(i, j int32) bool { return from.Node.TenantRates[i] == to.Node.TenantRates[j] },
		func(j int32) []byte { return canonicalObject(field{"quota_rps", formatFloat(to.Node.TenantRates[j])}) })
	paths := make(map[string]struct{})
	for _, of := range []*Config{from, to} {
		for path := range of.nodeSettings {
			paths[path] = struct{}{}
		}
	}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		was, is := &settingsReader{values: from.nodeSettings}, &settingsReader{values: to.nodeSettings}
		_, has := to.nodeSettings[path]
		flag, may := liveSetting(path)
		switch {
		case was.text(path) == is.text(path), may && flag && was.flag(path) == is.flag(path), may && !flag && was.float(path) == is.float(path):
		case !may && (path == "family_info.class_calls" || path == "family_info.class_skip_worth"): // the operations say it
		case !may:
			starts = append(starts, path)
		case !has:
			yield(Item{Part: Limits, Name: path})
		case flag:
			yield(Item{Part: Limits, Name: path, Value: strconv.AppendBool(nil, is.flag(path))})
		default:
			yield(Item{Part: Limits, Name: path, Value: []byte(formatFloat(is.float(path)))})
		}
	}
	return starts
}

// restartOnlySettings are the settings that take a new start.
func (p *Config) restartOnlySettings() map[string]string {
	only := make(map[string]string)
	for path, value := range p.nodeSettings {
		if _, may := liveSetting(path); !may {
			only[path] = value
		}
	}
	return only
}

type field struct{ name, value string }

// canonicalObject is the canonical JSON of fields that are sorted by name; those without a value are left out.
func canonicalObject(fields ...field) []byte {
	b := []byte{'{'}
	for _, f := range fields {
		if f.value == "" || f.value == "0" {
			continue
		}
		if len(b) > 1 {
			b = append(b, ',')
		}
		b = append(strconv.AppendQuote(b, f.name), ':')
		b = append(b, f.value...)
	}
	return append(b, '}')
}

func operationJSON(op *admission.Operation) []byte {
	calls := ""
	if op.CallsDependency {
		calls = "true"
	}
	effect := map[admission.Idempotency]string{admission.Idempotent: `"idempotent"`, admission.IdempotentWithKey: `"deduplicated"`, admission.NonIdempotent: `"at_most_once"`}[op.Idempotency]
	return canonicalObject(field{"aim", formatMilliseconds(op.LatencyObjective)}, field{"aim_stretch", formatFloat(op.ObjectivePerWork)}, field{"class_calls", calls},
		field{"class_skip_worth", formatFloat(op.SkippedCallWeightShare)}, field{"effect", effect}, field{"give_up", formatMilliseconds(op.ClientTimeout)},
		field{"importance", formatFloat(op.PriorityWeight)}, field{"late_share", formatFloat(op.LateWeightShare)}, field{"window", formatMilliseconds(op.DeduplicationWindow)})
}

// formatFloat is the shortest JSON number that reads as n.
func formatFloat(n float64) string {
	b, err := json.Marshal(n)
	if err != nil {
		return "0"
	}
	return string(b)
}

// formatMilliseconds is the JSON number of milliseconds that reads as so many nanoseconds.
func formatMilliseconds(ns int64) string {
	n := float64(ns) / 1e6
	for range 4 { // the product below is cut, so one that is rounded down misses by one
		if int64(n*1e6) >= ns {
			break
		}
		n = math.Nextafter(n, math.Inf(1))
	}
	return formatFloat(n)
}
