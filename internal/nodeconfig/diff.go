package nodeconfig

import (
	"maps"
	"slices"
	"strconv"
)

// Diff returns the items that turn one config into another, in the order of parts and indices, and the paths of the
// settings that differ and need a restart. From nil it returns all items.
func Diff(from, to *Config) (items []Item, needRestart []string) {
	needRestart = diffItems(from, to, func(i Item) { items = append(items, i) })
	return items, needRestart
}

// Items yields the items that may change while a node serves, one at a time.
func (c *Config) Items(yield func(Item)) { diffItems(nil, c, yield) }

func diffItems(from, to *Config, yield func(Item)) (needRestart []string) {
	if from == nil {
		from = &Config{Operations: new(Names), Tenants: new(Names), nodeSettings: to.restartOnlySettings()}
	}
	operations := namesDiff{
		part: Operations, from: from.Operations, to: to.Operations,
		equal: func(i, j int32) bool { return from.Node.Operations[i] == to.Node.Operations[j] },
		value: func(j int32) []byte { return operationJSON(&to.Node.Operations[j]) },
	}
	tenants := namesDiff{
		part: Tenants, from: from.Tenants, to: to.Tenants,
		equal: func(i, j int32) bool { return from.Node.TenantRates[i] == to.Node.TenantRates[j] },
		value: func(j int32) []byte { return tenantJSON(to.Node.TenantRates[j]) },
	}
	operations.each(yield)
	tenants.each(yield)
	return diffSettings(from.nodeSettings, to.nodeSettings, yield)
}

// namesDiff compares the operations or tenants of two configs by name.
type namesDiff struct {
	part     string
	from, to *Names
	equal    func(i, j int32) bool // the terms of one's index and the other's
	value    func(j int32) []byte  // of the item at an index of to
}

func (d *namesDiff) each(yield func(Item)) {
	for i := range int32(d.from.Slots()) {
		if !d.from.current(i) {
			continue
		}
		name := d.from.Name(i)
		if _, remains := d.to.Find(name); !remains {
			yield(Item{Part: d.part, Name: name})
		}
	}
	for j := range int32(d.to.Slots()) {
		if !d.to.current(j) {
			continue
		}
		name := d.to.Name(j)
		if i, known := d.from.Find(name); !known || !d.equal(i, j) {
			yield(Item{Part: d.part, Name: name, Value: d.value(j)})
		}
	}
}

// diffSettings yields the limits that differ and returns the other settings that do.
func diffSettings(from, to map[string]string, yield func(Item)) (needRestart []string) {
	paths := make(map[string]struct{})
	for path := range from {
		paths[path] = struct{}{}
	}
	for path := range to {
		paths[path] = struct{}{}
	}
	before := &settingsReader{values: from}
	after := &settingsReader{values: to}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		kind, live := liveSettings[path]
		switch {
		case before.text(path) == after.text(path):
		case path == dependencyCallsPath || path == skippedCallsPath: // a part of the operations' items
		case !live:
			needRestart = append(needRestart, path)
		case kind == flagValue:
			if before.flag(path) != after.flag(path) {
				yield(limitItem(to, path, strconv.AppendBool(nil, after.flag(path))))
			}
		default:
			if before.float(path) != after.float(path) {
				yield(limitItem(to, path, []byte(formatFloat(after.float(path)))))
			}
		}
	}
	return needRestart
}

// limitItem is the item of a limit, which is removed where it is not set.
func limitItem(settings map[string]string, path string, value []byte) Item {
	if _, set := settings[path]; !set {
		value = nil
	}
	return Item{Part: Limits, Name: path, Value: value}
}

// restartOnlySettings returns the settings that can't change while a node serves.
func (c *Config) restartOnlySettings() map[string]string {
	only := make(map[string]string)
	for path, value := range c.nodeSettings {
		if _, live := liveSettings[path]; !live {
			only[path] = value
		}
	}
	return only
}
