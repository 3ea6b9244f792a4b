package nodeconfig

import "fmt"

// Checking checks an amendment that comes in pieces against a config, at the cost of the changes. Nothing is changed.
type Checking struct {
	config                    *Config
	left, operations, tenants int // operations in service after all of it, and what needs an index
}

// Checking begins with no change.
func (p *Config) Checking() *Checking { return &Checking{config: p, left: p.Operations.Len()} }

// Add takes further changes; each item is in one of them at the most.
func (c *Checking) Add(changes []Change) {
	p := c.config
	for i := range changes {
		switch ch := &changes[i]; {
		case ch.Part == Operations:
			_, serves := p.Operations.Find(ch.Name)
			_, known := p.Operations.Lookup(ch.Name)
			if ch.Removed {
				if serves {
					c.left--
				}
				continue
			}
			if !serves {
				c.left++
			}
			if !known {
				c.operations++
			}
		case ch.Part == Tenants && !ch.Removed:
			if _, known := p.Tenants.Lookup(ch.Name); !known {
				c.tenants++
			}
		}
	}
}

// Err says why the config can't take all that was added.
func (c *Checking) Err() error {
	if c.left < 1 {
		return fmt.Errorf("nodeconfig: operations: none would be left; add one before the last is removed")
	}
	for _, t := range []struct {
		part      string
		all, most int
	}{{Operations, c.config.Operations.live + c.operations, operationsMost}, {Tenants, c.config.Tenants.live + c.tenants, tenantsMost}} {
		if t.all > t.most {
			return fmt.Errorf("nodeconfig: %s: %d with those removed of late, %d at the most; wait, or remove some", t.part, t.all, t.most)
		}
	}
	return nil
}
