package main

import (
	"fmt"

	"topazpost/internal/fleet/fleetconfig"
)

// quotaCommands are the commands about limits of a whole fleet.
type quotaCommands struct {
	Show  quotaShow  `cmd:"" help:"Print who holds what of the fleet's limits, as a node with a seat in the council knows it."`
	Bound quotaBound `cmd:"" help:"Say what holds of the limit in a fleet's file, computed from its settings."`
}

type quotaShow struct{ claimsTarget }

type quotaBound struct {
	File string `arg:"" help:"The fleet's file." type:"path"`
	Name string `help:"Name of a node." default:"n1"`
}

// Run prints the leases of all quotas, and the node's own.
func (c *quotaShow) Run() error {
	summary, err := c.query()
	if err != nil {
		return err
	}
	if lease := summary.Lease; lease != nil {
		fmt.Printf("%s may use %d, uses %d, wants %d, its part is %d; asked for %d ms ago; asked %d times, given less than wanted %d, lapsed %d, worst over %d\n",
			summary.Node, lease.Units, lease.Used, lease.Wanted, lease.FairShare, lease.AgeMS, lease.Requests, lease.ShortGrants, lease.Lapsed, lease.MaxOveruse)
	}
	if summary.Replica == nil {
		fmt.Println("it has no seat in the council, and no book of leases")
		return nil
	}
	w := newTable("limit\tversion\tunits\theld\tholder\tunits\twants\tleft s")
	for _, limit := range summary.Limits {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t\t\t\t\n", limit.Name, limit.Version, limit.Units, limit.LeasedUnits())
		for _, lease := range limit.Leases {
			fmt.Fprintf(w, "\t\t\t\t%s\t%d\t%d\t%.1f\n", lease.Owner.Name, lease.Units, lease.WantedUnits, seconds(lease.ExpiresAt-summary.Time))
		}
	}
	return w.Flush()
}

// Run prints the bound that the settings guarantee.
func (c *quotaBound) Run() error {
	fleet, err := fleetconfig.Read(c.File, c.Name)
	if err != nil {
		return err
	}
	if fleet.ConsensusGroup == nil || fleet.ConsensusGroup.CallQuota == nil {
		return fmt.Errorf("%s: has no limit; set council.calls", c.File)
	}
	fmt.Println(fleet.ConsensusGroup.CallQuota.DescribeBound())
	return nil
}
