// Package must checks what has to hold: builds with the tag debug panic where it does not, others count it.
package must

// Guard counts what did not hold, by name. The zero value is ready.
type Guard struct {
	broken map[string]int
	Tell   func(what string, times int) // told of each breach, may be nil
}

// Hold reports whether what must hold does.
func (g *Guard) Hold(ok bool, what string) bool {
	if ok {
		return true
	}
	if Debug {
		panic("must hold: " + what)
	}
	if g.broken == nil {
		g.broken = make(map[string]int)
	}
	g.broken[what]++
	if g.Tell != nil {
		g.Tell(what, g.broken[what])
	}
	return false
}

// All is how often each did not hold.
func (g *Guard) All() map[string]int { return g.broken }

// Broken is how often something did not hold.
func (g *Guard) Broken(what string) int { return g.broken[what] }
