package degradationplan

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
)

const minTotal = 1e-9 // lower bound of totals, so that the shares of an empty mix are finite

// savings sums up the work that a level saves and the value that it gives up. The value of an operation is its work times its priority
// weight.
type savings struct {
	work, totalWork   float64
	value, totalValue float64
}

// add adds an operation, given its work and value at full service, and how the level serves it.
func (s *savings) add(work, value float64, service *admission.Service) {
	s.totalWork += work
	s.totalValue += value
	switch service.Form {
	case admission.Shed:
		s.work += work
		s.value += value
	case admission.Reduced:
		s.work += (1 - service.WorkShare) * work
		s.value += (1 - service.WeightShare) * value
	}
}

// workPercent returns the percentage of the work that is saved.
func (s *savings) workPercent() float64 { return 100 * s.work / max(s.totalWork, minTotal) }

// valuePercent returns the percentage of the value that is given up.
func (s *savings) valuePercent() float64 { return 100 * s.value / max(s.totalValue, minTotal) }

// Show prints a plan as a table. A row states how the level serves each operation, the work that the level saves, the value that it
// gives up, and its conditions. The mix gives the share of each operation in the work; an operation that is not in it has no work.
func Show(w io.Writer, p *node.DegradationPlan, config *nodeconfig.Config, mix map[string]float64) error {
	names := config.Operations.All()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	var b strings.Builder
	fmt.Fprintf(&b, "plan %s\n", p.Name)
	fmt.Fprintf(&b, "level\t%s\twork saved\tvalue given up\tenter\texit\n", strings.Join(names, "\t"))
	fmt.Fprintf(&b, "full%s\t0 %%\t0 %%\t\t\n", strings.Repeat("\twhole", len(names)))
	for k := range p.Levels {
		level := &p.Levels[k]
		b.WriteString(level.Name)
		var total savings
		for i := range level.Services {
			service := &level.Services[i]
			work := mix[names[i]]
			total.add(work, work*config.Node.Operations[i].PriorityWeight, service)
			b.WriteString("\t" + serviceText(service, p.Forms[k][i]))
		}
		fmt.Fprintf(&b, "\t%.0f %%\t%.0f %%\t%s\t%s\n", total.workPercent(), total.valuePercent(), enterText(level.Enter), conditionText(&level.Exit, "<"))
	}
	fmt.Fprintf(&b, "a level is held for %s to %s after it was last needed, before jitter\n", seconds(p.MinHold), seconds(p.MaxHold))
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

// serviceText describes how a level serves an operation.
func serviceText(s *admission.Service, form string) string {
	switch s.Form {
	case admission.Shed:
		return "refused"
	case admission.Reduced:
		return fmt.Sprintf("%s (work %g %%, value %g %%)", form, 100*s.WorkShare, 100*s.WeightShare)
	default:
		return "whole"
	}
}

// enterText describes when a level is entered.
func enterText(conditions []degradation.Condition) string {
	list := make([]string, len(conditions))
	for i := range conditions {
		list[i] = conditionText(&conditions[i], ">")
	}
	return strings.Join(list, " or ")
}

// conditionText describes a condition. The sign, < or >, stands between each signal and its limit.
func conditionText(c *degradation.Condition, sign string) string {
	var list []string
	for signal, limit := range c.Limits {
		if !math.IsNaN(limit) {
			list = append(list, fmt.Sprintf("%s %s %g %%", degradation.SignalNames[signal], sign, 100*limit))
		}
	}
	return strings.Join(list, " and ") + " for " + seconds(c.Duration)
}

func seconds(ns int64) string { return fmt.Sprintf("%g s", float64(ns)/1e9) }
