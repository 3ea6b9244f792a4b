package nodeconfig

import "fmt"

// ChangeValidator checks an amendment that comes in pieces against a config, at the cost of the changes. Nothing is changed.
type ChangeValidator struct {
	config                                         *Config
	remainingOperations, newOperations, newTenants int // operations in service after all of it, and what needs an index
}

// NewChangeValidator begins with no change.
func (p *Config) NewChangeValidator() *ChangeValidator {
	return &ChangeValidator{config: p, remainingOperations: p.Operations.Len()}
}

// Add takes further changes; each item is in one of them at the most.
func (c *ChangeValidator) Add(changes []Change) {
	p := c.config
	for i := range changes {
		switch ch := &changes[i]; {
		case ch.Part == Operations:
			_, serves := p.Operations.Find(ch.Name)
			_, known := p.Operations.Lookup(ch.Name)
			if ch.Removed {
				if serves {
					c.remainingOperations--
				}
				continue
			}
			if !serves {
				c.remainingOperations++
			}
			if !known {
				c.newOperations++
			}
		case ch.Part == Tenants && !ch.Removed:
			if _, known := p.Tenants.Lookup(ch.Name); !known {
				c.newTenants++
			}
		}
	}
}

// Err says why the config can't take all that was added.
func (c *ChangeValidator) Err() error {
	if c.remainingOperations < 1 {
		return fmt.Errorf("nodeconfig: operations: none would be left; add one before the last is removed")
	}
	for _, t := range []struct {
		part      string
		all, most int
	}{{Operations, c.config.Operations.count + c.newOperations, maxOperations}, {Tenants, c.config.Tenants.count + c.newTenants, maxTenants}} {
		if t.all > t.most {
			return fmt.Errorf("nodeconfig: %s: %d with those removed of late, %d at the most; wait, or remove some", t.part, t.all, t.most)
		}
	}
	return nil
}
