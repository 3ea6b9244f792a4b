// Package invariant checks what has to hold: builds with the tag debug panic where it does not, others count it.
package invariant

// Checker counts what did not hold, by name. The zero value is ready.
type Checker struct {
	violations  map[string]int
	OnViolation func(what string, times int) // told of each breach, may be nil
}

// Check reports whether what must hold does.
func (c *Checker) Check(ok bool, name string) bool {
	if ok {
		return true
	}
	if Debug {
		panic("invariant: " + name)
	}
	if c.violations == nil {
		c.violations = make(map[string]int)
	}
	c.violations[name]++
	if c.OnViolation != nil {
		c.OnViolation(name, c.violations[name])
	}
	return false
}

// All is how often each did not hold.
func (c *Checker) All() map[string]int { return c.violations }

// Broken is how often something did not hold.
func (c *Checker) Broken(name string) int { return c.violations[name] }
