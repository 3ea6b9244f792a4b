package main

import (
	"fmt"
	"os"

	"topazpost/internal/degradation/degradationlog"
)

// levelsCommands are the commands about the history of degradation levels.
type levelsCommands struct {
	History levelsHistory `cmd:"" help:"Rebuild from logs of nodes what level each was at, and when."`
}

type levelsHistory struct {
	Logs []string `arg:"" help:"Logs of nodes; a line that was cut is passed over." type:"path"`
}

// Run prints the timeline of all logs, earliest first.
func (c *levelsHistory) Run() error {
	var all degradationlog.Timeline
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = all.AddLog(path, file)
		_ = file.Close() // it was only read
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return all.Print(os.Stdout)
}
