package plate

import "fmt"

// Checking checks an amendment that comes in pieces against a plate, at the cost of the changes. Nothing is changed.
type Checking struct {
	plate                     *Plate
	left, operations, tenants int // operations in service after all of it, and what needs an index
}

// Checking begins with no change.
func (p *Plate) Checking() *Checking { return &Checking{plate: p, left: p.Operations.Len()} }

// Add takes further changes; each item is in one of them at the most.
func (c *Checking) Add(changes []Change) {
	p := c.plate
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

// Err says why the plate can't take all that was added.
func (c *Checking) Err() error {
	if c.left < 1 {
		return fmt.Errorf("plate: operations: none would be left; add one before the last is removed")
	}
	for _, t := range []struct {
		part      string
		all, most int
	}{{Operations, c.plate.Operations.live + c.operations, operationsMost}, {Tenants, c.plate.Tenants.live + c.tenants, tenantsMost}} {
		if t.all > t.most {
			return fmt.Errorf("plate: %s: %d with those removed of late, %d at the most; wait, or remove some", t.part, t.all, t.most)
		}
	}
	return nil
}
