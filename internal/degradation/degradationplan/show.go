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

const minTotal = 1e-9 // keeps the parts of an empty mix finite

// savings sums up what a level saves of the work, and gives up of the billed value.
type savings struct {
	work, totalWork   float64
	value, totalValue float64
}

// add adds an operation with its shares of the work and the value.
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

// workPercent is the part of the work that is saved.
func (s *savings) workPercent() float64 { return 100 * s.work / max(s.totalWork, minTotal) }

// valuePercent is the part of the value that is given up.
func (s *savings) valuePercent() float64 { return 100 * s.value / max(s.totalValue, minTotal) }

// Show prints a plan as a table: what each level leaves, what it saves of the work and gives up of the billed value, and its conditions.
// The mix is the share of each operation in the work; one that it lacks has none.
func Show(w io.Writer, p *node.DegradationPlan, config *nodeconfig.Config, mix map[string]float64) error {
	names := config.Operations.All()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	var b strings.Builder
	fmt.Fprintf(&b, "plan %s\n", p.Name)
	fmt.Fprintf(&b, "level\t%s\tsaves of the work\tgives up of the value\tenter\texit\n", strings.Join(names, "\t"))
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
	fmt.Fprintf(&b, "held for %s after the last need, %s at the most\n", seconds(p.MinHold), seconds(p.MaxHold))
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}
	return t.Flush()
}

// serviceText says what a level leaves of an operation.
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

// enterText says when a level is entered.
func enterText(conditions []degradation.Condition) string {
	list := make([]string, len(conditions))
	for i := range conditions {
		list[i] = conditionText(&conditions[i], ">")
	}
	return strings.Join(list, " or ")
}

// conditionText says when a condition holds, with the sign between signals and limits.
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
