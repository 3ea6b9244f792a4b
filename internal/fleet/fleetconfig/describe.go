package fleetconfig

import "fmt"

const nanosecondsPerSecond = 1e9

// Describe returns a summary of the configuration for operators: the pauses that are tolerated, the time until all nodes
// know of a failure, and what the consensus group does.
func (f *Fleet) Describe() string {
	c := &f.Membership
	text := fmt.Sprintf("pauses of a node's process of up to %s are tolerated; all nodes know of a failure within about %s; lost members are probed for %s",
		formatSeconds(c.LinkTimeout-c.ProbeInterval), formatSeconds(f.DetectionTime()), formatSeconds(c.ForgetTimeout))
	if f.ConsensusGroup != nil {
		text += f.ConsensusGroup.describe()
	}
	if f.ConfigSync != nil {
		text += f.ConfigSync.describe()
	}
	return text
}

func (g *ConsensusGroup) describe() string {
	location := "in memory only"
	if g.Folder != "" {
		location = "stored in " + g.Folder
	}
	text := fmt.Sprintf("; a council of %d seats, which tolerates the loss of %d at a time, agrees on claims of idempotency tokens, at most %d KiB, %s",
		len(g.Replicas), len(g.Replicas)/2, g.MaxTableBytes>>10, location)
	if g.CallQuota != nil {
		text += "; " + g.CallQuota.DescribeBound()
	}
	return text
}

func (c *ConfigSync) describe() string {
	location := "in memory only, so a restart uses the node's file until a seat answers"
	if c.Folder != "" {
		location = "and the latest is stored in " + c.Folder
	}
	return "; operations, tenants and limits come from versions that the council agrees on, " + location
}

func formatSeconds(ns int64) string { return fmt.Sprintf("%g s", float64(ns)/nanosecondsPerSecond) }
