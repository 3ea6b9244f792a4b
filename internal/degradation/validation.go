package degradation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

// Problem describes an error in a plan. Path names the faulty value by the keys and indices of the plan file, outermost first.
// Description is worded to follow the path.
type Problem struct {
	Path        []string
	Description string
	Suggestion  string
}

// levelProblems collects the problems of one level. Its method add takes paths relative to the level.
type levelProblems struct {
	level int
	found []Problem
}

func (p *levelProblems) add(description, suggestion string, path ...string) {
	at := append([]string{"levels", strconv.Itoa(p.level)}, path...)
	p.found = append(p.found, Problem{Path: at, Description: description, Suggestion: suggestion})
}

// Validate returns the problems of a plan for a node with the given number of operations, or nil if there are none. It does not check
// the idle condition.
func (p *Plan) Validate(operations int) []Problem {
	if len(p.Levels) == 0 {
		return []Problem{{Path: []string{"levels"}, Description: "has no level", Suggestion: "add one"}}
	}
	var found []Problem
	if p.MaxHold < p.MinHold {
		found = append(found, Problem{Path: []string{"hold_most"}, Description: "is shorter than hold", Suggestion: "make it at least as long"})
	}
	for k := range p.Levels {
		problems := &levelProblems{level: k}
		p.validateLevel(k, operations, problems)
		found = append(found, problems.found...)
	}
	return found
}

// validateLevel checks a level by itself and against the levels before it.
func (p *Plan) validateLevel(k, operations int, problems *levelProblems) {
	level := &p.Levels[k]
	if len(level.Services) != operations {
		problems.add(fmt.Sprintf("covers %d operations, expected %d", len(level.Services), operations), "cover every operation")
		return
	}
	level.validate(problems)
	for j := range k {
		if p.Levels[j].Name == level.Name {
			problems.add(fmt.Sprintf("%q is also the name of levels.%d", level.Name, j), "give each level its own name", "name")
		}
	}
	if k > 0 && len(p.Levels[k-1].Services) == operations {
		level.validateOrder(&p.Levels[k-1], k-1, problems)
	}
}

func (l *Level) validate(problems *levelProblems) {
	if l.Name == FullService {
		problems.add(fmt.Sprintf("%q is reserved for full service", FullService), "choose another name", "name")
	}
	if !slices.ContainsFunc(l.Services, func(s admission.Service) bool { return s.Form != admission.Complete }) {
		problems.add("restricts no operation", "name an operation under refuse or reduce")
	}
	if len(l.Enter) == 0 {
		problems.add("has no condition: the level could never be entered", "add one", "enter")
	}
	nameOne := "name one of " + strings.Join(SignalNames[:], ", ")
	for c := range l.Enter {
		if l.Enter[c].isEmpty() {
			problems.add("names no signal", nameOne, "enter", strconv.Itoa(c))
		}
	}
	if l.Exit.isEmpty() {
		problems.add("names no signal: the level would end as soon as its hold time is over", nameOne, "exit")
	}
	l.validateExit(problems)
}

// validateExit checks that the exit limit of each signal is below all enter limits of the signal.
func (l *Level) validateExit(problems *levelProblems) {
	for signal, exit := range l.Exit.Limits {
		for c := range l.Enter {
			enter := l.Enter[c].Limits[signal]
			if exit >= enter {
				problems.add(fmt.Sprintf("%g %% is not below the %g %% of enter.%d: the level could end as soon as its hold time is over", 100*exit, 100*enter, c),
					"lower it", "exit", SignalNames[signal])
			}
		}
	}
}

// validateOrder checks that a level is more restrictive than the previous one, which has the given index.
func (l *Level) validateOrder(previous *Level, previousIndex int, problems *levelProblems) {
	atLeastAsRestrictive := AtMostAsRestrictive(previous.Services, l.Services)
	atMostAsRestrictive := AtMostAsRestrictive(l.Services, previous.Services)
	switch {
	case atLeastAsRestrictive && atMostAsRestrictive:
		problems.add(fmt.Sprintf("gives each operation the same form and value as levels.%d (%s)", previousIndex, previous.Name), "remove one of them")
	case atMostAsRestrictive:
		problems.add(fmt.Sprintf("is less restrictive than levels.%d (%s)", previousIndex, previous.Name), "order levels from the least to the most restrictive")
	case !atLeastAsRestrictive:
		problems.add(fmt.Sprintf("lifts a restriction of levels.%d (%s)", previousIndex, previous.Name),
			"refuse or reduce at least what the previous level does")
	}
}
