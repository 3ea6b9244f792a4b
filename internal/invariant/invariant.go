// Package invariant checks what has to hold: builds with the tag debug panic where it does not, others count it.
package invariant

// Checker counts what did not hold, by name. The zero value is ready.
type Checker struct {
	broken map[string]int
	Tell   func(what string, times int) // told of each breach, may be nil
}

// Check reports whether what must hold does.
func (c *Checker) Check(ok bool, what string) bool {
	if ok {
		return true
	}
	if Debug {
		panic("invariant: " + what)
	}
	if c.broken == nil {
		c.broken = make(map[string]int)
	}
	c.broken[what]++
	if c.Tell != nil {
		c.Tell(what, c.broken[what])
	}
	return false
}

// All is how often each did not hold.
func (c *Checker) All() map[string]int { return c.broken }

// Broken is how often something did not hold.
func (c *Checker) Broken(what string) int { return c.broken[what] }
