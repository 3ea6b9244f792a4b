package degradation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
)

func TestValidateReportsEachProblem(t *testing.T) {
	assert.Empty(t, plan().Validate(3))
	for want, change := range map[string]func(*Plan){
		"has no level":                                       func(p *Plan) { p.Levels = nil },
		"covers 2 operations, expected 3":                    func(p *Plan) { p.Levels[0].Services = p.Levels[0].Services[:2] },
		"restricts no operation":                             func(p *Plan) { p.Levels[0].Services = make([]admission.Service, 3) },
		"has no condition: the level could never be entered": func(p *Plan) { p.Levels[1].Enter = nil },
		"names no signal: the level would end as soon as its hold time is over": func(p *Plan) { p.Levels[1].Exit.Limits = NoLimits() },
		"120 % is not below the 100 % of enter.0":                               func(p *Plan) { p.Levels[0].Exit.Limits[Load] = 1.2 },
		"gives each operation the same form and value as levels.0 (a)":          func(p *Plan) { p.Levels[1].Services = p.Levels[0].Services },
		"is less restrictive than levels.1 (b)":                                 func(p *Plan) { p.Levels[2].Services = p.Levels[0].Services },
		"lifts a restriction of levels.1 (b)":                                   func(p *Plan) { p.Levels[2].Services = []admission.Service{{}, {Form: admission.Shed}, {}} },
		`"full" is reserved for full service`:                                   func(p *Plan) { p.Levels[0].Name = FullService },
		`"a" is also the name of levels.0`:                                      func(p *Plan) { p.Levels[2].Name = "a" },
		"is shorter than hold":                                                  func(p *Plan) { p.MaxHold = second },
	} {
		assert.Contains(t, fmt.Sprint(plan(change).Validate(3)), want)
	}
}
