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
	p, err := c.query()
	if err != nil {
		return err
	}
	if l := p.Lease; l != nil {
		fmt.Printf("%s may use %d, uses %d, wants %d, its part is %d; asked for %d ms ago; asked %d times, given less than wanted %d, lapsed %d, worst over %d\n",
			p.Node, l.Units, l.Used, l.Wanted, l.Target, l.AgeMS, l.Asked, l.Short, l.Lapsed, l.Worst)
	}
	if p.Replica == nil {
		fmt.Println("it has no seat in the council, and no book of leases")
		return nil
	}
	w := newTable("limit\tversion\tunits\theld\tholder\tunits\twants\tleft s")
	for _, l := range p.Limits {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t\t\t\t\n", l.Name, l.Version, l.Units, l.LeasedUnits())
		for _, x := range l.Leases {
			fmt.Fprintf(w, "\t\t\t\t%s\t%d\t%d\t%.1f\n", x.Who.Name, x.Units, x.Want, seconds(x.Until-p.Time))
		}
	}
	return w.Flush()
}

// Run prints the bound that the settings guarantee.
func (c *quotaBound) Run() error {
	f, err := fleetconfig.Read(c.File, c.Name)
	if err != nil {
		return err
	}
	if f.ConsensusGroup == nil || f.ConsensusGroup.CallQuota == nil {
		return fmt.Errorf("%s: has no limit; set council.calls", c.File)
	}
	fmt.Println(f.ConsensusGroup.CallQuota.DescribeBound())
	return nil
}
