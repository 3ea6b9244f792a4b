package fleetconfig

import "fmt"

const nanosecondsPerSecond = 1e9

// Describe returns a text for operators on what the settings amount to: which pauses are tolerated, and when all nodes
// know of a failure.
func (f *Fleet) Describe() string {
	c := &f.Membership
	text := fmt.Sprintf("a pause of up to %s is borne; a death is known to all within about %s; a member outside the view is looked for for %s",
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
		location = "and seats keep it in " + g.Folder
	}
	text := fmt.Sprintf("; a council of %d, which bears the loss of %d at a time, agrees on claims of tokens, %d kB at the most, %s",
		len(g.Replicas), len(g.Replicas)/2, g.MaxTableBytes>>10, location)
	if g.CallQuota != nil {
		text += "; " + g.CallQuota.DescribeBound()
	}
	return text
}

func (c *ConfigSync) describe() string {
	location := "in memory only, so that a start is from the node's file until a seat is heard"
	if c.Folder != "" {
		location = "and the last version is kept in " + c.Folder
	}
	return "; operations, tenants and limits are taken in service from versions that the council agrees on, " + location
}

func formatSeconds(ns int64) string { return fmt.Sprintf("%g s", float64(ns)/nanosecondsPerSecond) }
