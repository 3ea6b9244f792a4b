package degradationlog

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes a table of the changes of all nodes, earliest first, and a row for the end of each log.
func (t *Timeline) Print(to io.Writer) error {
	changes := slices.Clone(t.Changes)
	slices.SortStableFunc(changes, func(a, b LevelChange) int { return a.At.Compare(b.At) })
	var b strings.Builder
	b.WriteString("time\tnode\tfrom\tto\twhy\tafter\twhole\treduced\tthrottled by level\tthrottled otherwise\n")
	for i := range changes {
		c := &changes[i]
		fmt.Fprintf(&b, "%s\t%s\t%s\t%s\t%s\t%.1f s\t%d\t%d\t%d\t%d\n", timestamp(c.At), c.Node, c.From, c.To, c.reason(), c.PreviousLevelSeconds,
			c.Before.Whole, c.Before.Reduced, c.Before.ThrottledByLevel, c.Before.Throttled)
	}
	for i := range t.Logs {
		log := &t.Logs[i]
		fmt.Fprintf(&b, "%s\t%s\t\t%s\t%d changes, %d unreadable lines, %d missing changes; %s\n", timestamp(log.LastAt), log.Node, log.Level, log.Changes,
			log.Unreadable, log.MissingChanges, log.end())
	}
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return err
	}
	return w.Flush()
}

// reason describes why the level changed.
func (c *LevelChange) reason() string {
	if c.Signal == "" {
		return c.Cause
	}
	return fmt.Sprintf("%s: %s %.0f %%, limit %.0f %%, for %.1f s", c.Cause, c.Signal, 100*c.Value, 100*c.Limit, c.ConditionSeconds)
}

// end describes how the log ended.
func (log *NodeLog) end() string {
	if log.Drained {
		return "drained"
	}
	return "no completed drain: killed, still running, or log cut off"
}

func timestamp(at time.Time) string { return at.UTC().Format(time.DateTime) }
