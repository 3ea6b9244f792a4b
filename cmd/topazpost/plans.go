package main

import (
	"os"

	"topazpost/internal/degradation/degradationplan"
)

// planCommands are the commands about plans of degradation levels.
type planCommands struct {
	Show   planShow   `cmd:"" help:"Print the ladder of a plan as a table."`
	Render planRender `cmd:"" help:"Evaluate a plan and print what it comes to, as JSON."`
}

type planShow struct {
	File   string             `arg:"" help:"The plan." type:"path"`
	Config string             `arg:"" optional:"" env:"GW_CONFIG" help:"Configuration whose operations it speaks of." type:"path"`
	Mix    map[string]float64 `help:"Share of each operation in the work, NAME=SHARE;...; even without it."`
}

// Run prints the levels of a plan.
func (c *planShow) Run() error {
	path := configPath{c.Config}
	config, err := path.read()
	if err != nil {
		return err
	}
	plan, err := degradationplan.Read(c.File, config.Settings.Operations)
	if err != nil {
		return err
	}
	if len(c.Mix) == 0 {
		c.Mix = make(map[string]float64)
		for _, name := range config.Settings.Operations.All() {
			c.Mix[name] = 1
		}
	}
	return degradationplan.Show(os.Stdout, plan, config.Settings, c.Mix)
}
