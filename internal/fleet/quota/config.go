package quota

import "fmt"

const (
	minLeaseDuration = 1_000 * ms  // ns; shorter leases would end in an election
	maxLeaseDuration = 60_000 * ms // ns; longer leases leave the units of lost nodes unused for long
	minLeaseUses     = 2           // longest uses of one unit that fit a lease, or nothing could be used
	driftDivisor     = 50          // part of a lease that is left unused: clocks run 1 % fast or slow at the most
)

// HolderConfig configures the use of one limit. Times are nanoseconds.
type HolderConfig struct {
	Name       string
	LeaseTerm  int64 // of a lease
	MaxUseTime int64 // longest use of one unit, and how long it lingers after that
	Units      int64 // of the limit, for checks
}

// driftMargin is how much earlier than its term a lease ends for its holder, for clocks that drift.
func (c *HolderConfig) driftMargin() int64 { return c.LeaseTerm / driftDivisor }

// Problem describes what is wrong with the configuration, or is empty.
func (c *HolderConfig) Problem() string {
	switch {
	case c.Units < 1:
		return "a limit of less than one unit"
	case c.LeaseTerm < minLeaseDuration || c.LeaseTerm > maxLeaseDuration:
		return "leases are of 1 s to 60 s"
	case c.MaxUseTime < 0 || minLeaseUses*c.MaxUseTime > c.LeaseTerm-c.driftMargin():
		return "a use of one unit must end within half a lease"
	}
	return ""
}

// DescribeBound describes what holds for the limit, computed from the configuration.
func (c *HolderConfig) DescribeBound() string {
	usable := seconds(c.LeaseTerm - c.driftMargin())
	reclaimed := seconds(c.LeaseTerm + c.driftMargin() + MaxTimeStep)
	return fmt.Sprintf("at most %d %s in use fleet-wide at any cut, pause or restart, 0 over; a node uses none later than %g s after it asked for its "+
		"last lease; units of a node that is lost are free again within %g s; a lower limit holds once all have asked again, within %g s at the most",
		c.Units, c.Name, usable, reclaimed, reclaimed)
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }
