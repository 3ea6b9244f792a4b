// Command topazlab plays experiments of the laboratory.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"

	"topazpost/internal/testbed/experiment"
	"topazpost/internal/testbed/processfleet"
)

type runCommand struct {
	File  string            `arg:"" help:"The experiment, a Jsonnet file." type:"path"`
	Seed  int64             `help:"First seed." default:"1"`
	Seeds int               `help:"How many seeds are played; those of the experiment without it."`
	Set   map[string]string `help:"Values to change, by path: day.load.period=60 s;day.nodes=8."`
	JSON  bool              `help:"Print one object as the last line."`
	Out   string            `help:"Folder for the series as Parquet and for plots." type:"path" placeholder:"DIR"`
}

var errClaimFailed = errors.New("a claim did not hold")

// Run plays an experiment, or a fault scenario, and fails where a claim does not hold.
func (c *runCommand) Run() error {
	scenario, isScenario, err := processfleet.Read(c.File, c.Set)
	if err != nil {
		return err
	}
	if isScenario {
		return c.runScenario(scenario)
	}
	x, err := experiment.Read(c.File, c.Set)
	if err != nil {
		return err
	}
	seeds := c.seeds(&x.Seeds)
	var progress func(done, all int)
	if isatty.IsTerminal(os.Stderr.Fd()) {
		progress = func(done, all int) { fmt.Fprintf(os.Stderr, "\r%d of %d days played", done, all) }
	}
	result, err := x.Run(seeds, progress)
	if err != nil {
		return err
	}
	if progress != nil {
		fmt.Fprintln(os.Stderr)
	}
	if c.Out != "" {
		if err := result.Save(c.Out); err != nil {
			return err
		}
	}
	return c.report(result)
}

// seeds are those to play; how many the experiment says, unless the command does.
func (c *runCommand) seeds(many *int) (seeds []int64) {
	if c.Seeds > 0 {
		*many = c.Seeds
	}
	for k := range *many {
		seeds = append(seeds, c.Seed+int64(k))
	}
	return seeds
}

// report prints what an experiment came to, and fails where a claim does not hold.
func (c *runCommand) report(result interface {
	Print(to io.Writer) error
	JSON(to io.Writer) error
	Held() bool
}) error {
	if err := result.Print(os.Stdout); err != nil {
		return err
	}
	if c.JSON {
		if err := result.JSON(os.Stdout); err != nil {
			return err
		}
	}
	if !result.Held() {
		return errClaimFailed
	}
	return nil
}

// runScenario plays a fault scenario on a fleet of processes.
func (c *runCommand) runScenario(n *processfleet.Scenario) error {
	seeds := c.seeds(&n.Seeds)
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
	}
	result, err := n.Run(seeds, filepath.Join(filepath.Dir(program), "topazpost"), c.Out)
	if err != nil {
		return err
	}
	return c.report(result)
}

func main() {
	var line struct {
		Run      runCommand      `cmd:"" help:"Play the variants of an experiment side by side, and say of each claim whether it held."`
		Capacity capacityCommand `cmd:"" help:"Climb a ladder of sizes for each quantity on built daemons, and make the tables of docs/CAPACITY.md."`
		Hollow   hollowCommand   `cmd:"" help:"Run hollow nodes of a fleet as lines on stdin say, and tell figures on stdout: experiments start it."`
	}
	c := kong.Parse(&line, kong.Name("topazlab"), kong.Description("Plays fleets in virtual time. Its figures are simulated."))
	c.FatalIfErrorf(c.Run())
}
