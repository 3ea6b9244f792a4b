// Package invariant checks conditions that must always hold: builds with the tag debug panic on a violation, others count
// it.
package invariant

// Checker counts violations by name. The zero value is ready for use.
type Checker struct {
	violations map[string]int
	// OnViolation, if set, is called on each violation with its count so far.
	OnViolation func(name string, count int)
}

// Check reports whether a condition holds, and counts a violation where it doesn't.
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

// All is the count of each violation, by name.
func (c *Checker) All() map[string]int { return c.violations }

// Broken is how often a condition was violated.
func (c *Checker) Broken(name string) int { return c.violations[name] }
