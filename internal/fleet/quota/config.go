package quota

import "fmt"

const (
	minLeaseDuration = 1_000 * ms  // ns; shorter leases would end during an election
	maxLeaseDuration = 60_000 * ms // ns; longer leases would leave the units of lost nodes unused for too long
	minLeaseUses     = 2           // uses of MaxUseTime that must fit in a lease, so that there is time to begin a use
	driftDivisor     = 50          // 2 % of a lease is left unused: two clocks differ by at most that if each runs at most 1 % fast or slow
)

// HolderConfig configures the leases of one limit. Times are in nanoseconds.
type HolderConfig struct {
	Name       string
	LeaseTerm  int64 // duration of a lease
	MaxUseTime int64 // longest use of one unit, including work that goes on after the user gave up
	Units      int64 // of the limit; checked and described, not used by the holder
}

// driftMargin returns how long before the end of its term a lease ends for its holder, to allow for clock drift.
func (c *HolderConfig) driftMargin() int64 { return c.LeaseTerm / driftDivisor }

// Problem returns what is wrong with the configuration, or an empty string.
func (c *HolderConfig) Problem() string {
	switch {
	case c.Units < 1:
		return "allows less than one unit"
	case c.LeaseTerm < minLeaseDuration || c.LeaseTerm > maxLeaseDuration:
		return "has a lease term outside 1 s to 60 s"
	case c.MaxUseTime < 0 || minLeaseUses*c.MaxUseTime > c.LeaseTerm-c.driftMargin():
		return "has a longest use of one unit above half a lease term, less 1/50 for clock drift"
	}
	return ""
}

// DescribeBound describes the bounds on the use of the limit, as computed from the configuration.
func (c *HolderConfig) DescribeBound() string {
	usable := seconds(c.LeaseTerm - c.driftMargin())
	reclaimed := seconds(c.LeaseTerm + c.driftMargin() + MaxTimeStep)
	return fmt.Sprintf("at most %d %s in use fleet-wide, during any partition, pause or restart; units of a lease are used for at most %g s after it was "+
		"requested; units of a lost node are free again within %g s; a lowered limit holds after all nodes have renewed, within %g s",
		c.Units, c.Name, usable, reclaimed, reclaimed)
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }
