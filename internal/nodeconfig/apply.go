package nodeconfig

import (
	"maps"
	"slices"

	"topazpost/internal/admission"
)

// ApplyResult is the effect of a change.
type ApplyResult struct {
	Index          int32 // of the operation or tenant
	Added, Removed bool  // it came into service, or went out of it
	Changed        bool  // the configuration is different
}

// Apply applies a change that was validated, at the cost of the change. An operation or tenant that is removed keeps its
// index, its name and its terms until Forget; one that is added again before that has the same index.
func (c *Config) Apply(change *Change) ApplyResult {
	if change.Part == Limits {
		return ApplyResult{Changed: c.applyLimit(change)}
	}
	names := c.Operations
	if change.Part == Tenants {
		names = c.Tenants
	}
	if change.Removed {
		return retireAll(names, change.Name)
	}
	index, known := names.Find(change.Name)
	result := ApplyResult{Index: index}
	if !known {
		result.Index = names.Add(change.Name)
		result.Added = true
	}
	changed := false
	if change.Part == Operations {
		c.Node.Operations, changed = setAt(c.Node.Operations, result.Index, change.Operation)
	} else {
		c.Node.TenantRates, changed = setAt(c.Node.TenantRates, result.Index, change.Rate)
	}
	result.Changed = result.Added || changed
	return result
}

// applyLimit reports whether the limits are different after the change.
func (c *Config) applyLimit(change *Change) (changed bool) {
	limits := &c.Node
	before := *limits
	delete(c.nodeSettings, change.Name)
	if !change.Removed {
		c.nodeSettings[change.Name] = change.Limit
	}
	s := &settingsReader{values: c.nodeSettings}
	s.readLimits(limits)
	return before.OverQuotaWeightShare != limits.OverQuotaWeightShare || before.Peers != limits.Peers || before.CallQuota != limits.CallQuota ||
		before.DrainGrace != limits.DrainGrace || before.MaxRetryAfter != limits.MaxRetryAfter
}

// retireAll takes all indices of a name out of service: a file may have it twice.
func retireAll(names *Names, name string) ApplyResult {
	index, known := names.Find(name)
	result := ApplyResult{Index: index, Removed: known, Changed: known}
	for known {
		names.Retire(index)
		index, known = names.Find(name)
	}
	return result
}

// setAt sets an element of a list that grows as needed, and reports whether it was different.
func setAt[T comparable](list []T, index int32, value T) (_ []T, changed bool) {
	missing := max(0, int(index)+1-len(list))
	list = append(list, make([]T, missing)...)
	changed = list[index] != value
	list[index] = value
	return list, changed
}

// Forget makes the index of a retired operation or tenant available to another.
func (c *Config) Forget(part string, index int32) {
	if part == Operations {
		c.Operations.Remove(index)
		c.Node.Operations[index] = admission.Operation{Removed: true}
		return
	}
	c.Tenants.Remove(index)
	c.Node.TenantRates[index] = 0
}

// Clone returns a copy that may be changed without changing the original.
func (c *Config) Clone() *Config {
	clone := *c
	clone.nodeSettings = maps.Clone(c.nodeSettings)
	clone.Operations = c.Operations.clone()
	clone.Tenants = c.Tenants.clone()
	clone.Node.Operations = slices.Clone(c.Node.Operations)
	clone.Node.TenantRates = slices.Clone(c.Node.TenantRates)
	return &clone
}
