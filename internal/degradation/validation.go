package degradation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

// Problem is one thing wrong with a plan: where in it, as it is written, what, and how to mend it.
type Problem struct {
	Path        []string
	Description string
	Suggestion  string
}

// levelProblems collects the problems of one level.
type levelProblems struct {
	level int
	found []Problem
}

func (p *levelProblems) add(description, suggestion string, path ...string) {
	at := append([]string{"levels", strconv.Itoa(p.level)}, path...)
	p.found = append(p.found, Problem{Path: at, Description: description, Suggestion: suggestion})
}

// Validate finds all that is wrong with a plan for so many operations; nothing for a valid one.
func (p *Plan) Validate(operations int) []Problem {
	if len(p.Levels) == 0 {
		return []Problem{{Path: []string{"levels"}, Description: "has no level", Suggestion: "add one"}}
	}
	var found []Problem
	if p.MaxHold < p.MinHold {
		found = append(found, Problem{Path: []string{"hold_most"}, Description: "is shorter than hold", Suggestion: "make it as long at the least"})
	}
	for k := range p.Levels {
		problems := &levelProblems{level: k}
		p.validateLevel(k, operations, problems)
		found = append(found, problems.found...)
	}
	return found
}

// validateLevel checks a level by itself, and against those before it.
func (p *Plan) validateLevel(k, operations int, problems *levelProblems) {
	level := &p.Levels[k]
	if len(level.Services) != operations {
		problems.add(fmt.Sprintf("speaks of %d operations where there are %d", len(level.Services), operations), "name the others too")
		return
	}
	level.validate(problems)
	for j := range k {
		if p.Levels[j].Name == level.Name {
			problems.add(fmt.Sprintf("%q is the name of levels.%d too", level.Name, j), "name each level once", "name")
		}
	}
	if k > 0 && len(p.Levels[k-1].Services) == operations {
		level.validateOrder(&p.Levels[k-1], k-1, problems)
	}
}

func (l *Level) validate(problems *levelProblems) {
	if l.Name == FullService {
		problems.add(fmt.Sprintf("%q is the name of full service", FullService), "choose another", "name")
	}
	if !slices.ContainsFunc(l.Services, func(s admission.Service) bool { return s.Form != admission.Complete }) {
		problems.add("takes nothing away", "name an operation under refuse or reduce")
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
		problems.add("names no signal: the level would end as soon as it may", nameOne, "exit")
	}
	l.validateExit(problems)
}

// validateExit checks that no condition of entry holds where that of exit does.
func (l *Level) validateExit(problems *levelProblems) {
	for signal, exit := range l.Exit.Limits {
		for c := range l.Enter {
			enter := l.Enter[c].Limits[signal]
			if exit >= enter {
				problems.add(fmt.Sprintf("%g %% is not below the %g %% of enter.%d: the level would end as it begins", 100*exit, 100*enter, c),
					"lower it", "exit", SignalNames[signal])
			}
		}
	}
}

// validateOrder checks a level against the one before it, which has to be milder.
func (l *Level) validateOrder(before *Level, index int, problems *levelProblems) {
	stricter := AtMostAsRestrictive(before.Services, l.Services)
	milder := AtMostAsRestrictive(l.Services, before.Services)
	switch {
	case stricter && milder:
		problems.add(fmt.Sprintf("does the same as levels.%d (%s)", index, before.Name), "drop one of them")
	case milder:
		problems.add(fmt.Sprintf("takes away less than levels.%d (%s)", index, before.Name), "order levels from the mildest up")
	case !stricter:
		problems.add(fmt.Sprintf("gives back what levels.%d (%s) takes away", index, before.Name),
			"repeat here what the level before refuses and reduces")
	}
}
