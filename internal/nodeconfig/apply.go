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
func (p *Config) Apply(c *Change) ApplyResult {
	if c.Part == Limits {
		return ApplyResult{Changed: p.applyLimit(c)}
	}
	names := p.Operations
	if c.Part == Tenants {
		names = p.Tenants
	}
	if c.Removed {
		return retireAll(names, c.Name)
	}
	index, known := names.Find(c.Name)
	r := ApplyResult{Index: index}
	if !known {
		r.Index = names.Add(c.Name)
		r.Added = true
	}
	changed := false
	if c.Part == Operations {
		p.Node.Operations, changed = setAt(p.Node.Operations, r.Index, c.Operation)
	} else {
		p.Node.TenantRates, changed = setAt(p.Node.TenantRates, r.Index, c.Rate)
	}
	r.Changed = r.Added || changed
	return r
}

// applyLimit reports whether the limits are different after the change.
func (p *Config) applyLimit(c *Change) (changed bool) {
	n := &p.Node
	before := *n
	delete(p.nodeSettings, c.Name)
	if !c.Removed {
		p.nodeSettings[c.Name] = c.Limit
	}
	s := &settingsReader{values: p.nodeSettings}
	s.readLimits(n)
	return before.OverQuotaWeightShare != n.OverQuotaWeightShare || before.Peers != n.Peers || before.CallQuota != n.CallQuota ||
		before.DrainGrace != n.DrainGrace || before.MaxRetryAfter != n.MaxRetryAfter
}

// retireAll takes all indices of a name out of service: a file may have it twice.
func retireAll(names *Names, name string) ApplyResult {
	index, known := names.Find(name)
	r := ApplyResult{Index: index, Removed: known, Changed: known}
	for known {
		names.Retire(index)
		index, known = names.Find(name)
	}
	return r
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
func (p *Config) Forget(part string, i int32) {
	if part == Operations {
		p.Operations.Remove(i)
		p.Node.Operations[i] = admission.Operation{Removed: true}
		return
	}
	p.Tenants.Remove(i)
	p.Node.TenantRates[i] = 0
}

// Clone returns a copy that may be changed without changing the original.
func (p *Config) Clone() *Config {
	c := *p
	c.nodeSettings = maps.Clone(p.nodeSettings)
	c.Operations = p.Operations.clone()
	c.Tenants = p.Tenants.clone()
	c.Node.Operations = slices.Clone(p.Node.Operations)
	c.Node.TenantRates = slices.Clone(p.Node.TenantRates)
	return &c
}
