package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"time"

	"topazpost/internal/configfile"
	"topazpost/internal/degradation/degradationlog"
	"topazpost/internal/degradation/degradationplan"
	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/resultcache/cacheconfig"
	"topazpost/server"
)

const (
	renderTimeout     = 4 * time.Second       // for a plan to be evaluated: past what settings allows, and a start of the program
	maxRenderedBytes  = 1 << 20               // bytes that it may come to
	maxHeapBytes      = 64 << 20              // bytes of memory past which an evaluation ends itself
	maxVersionLength  = 12                    // letters of the version that peers are told
	heapCheckInterval = 10 * time.Millisecond // between looks at it
)

// planCommands are the commands about files.
type planCommands struct {
	Show   planShow   `cmd:"" help:"Print the ladder of a plan as a table."`
	Render planRender `cmd:"" help:"Evaluate a plan and print what it comes to, as JSON."`
}

type planShow struct {
	File   string             `arg:"" help:"The plan." type:"path"`
	Config string             `arg:"" optional:"" env:"GW_CONFIG" help:"Configuration whose operations it speaks of." type:"path"`
	Mix    map[string]float64 `help:"Share of each operation in the work, NAME=SHARE;...; even without it."`
}

type planRender struct {
	File string `arg:"" help:"The plan." type:"path"`
}

// Run prints the ladder.
func (c *planShow) Run() error {
	w := configPath{c.Config}
	config, err := w.read()
	if err != nil {
		return err
	}
	ladder, err := degradationplan.Read(c.File, config.Settings.Operations)
	if err != nil {
		return err
	}
	if len(c.Mix) == 0 {
		c.Mix = make(map[string]float64)
		for _, name := range config.Settings.Operations.All() {
			c.Mix[name] = 1
		}
	}
	return degradationplan.Show(os.Stdout, ladder, config.Settings, c.Mix)
}

// Run evaluates a plan within bounds of its own: it ends itself where a template takes too much memory.
func (c *planRender) Run() error {
	go func() {
		for {
			var m runtime.MemStats
			if runtime.ReadMemStats(&m); m.HeapAlloc > maxHeapBytes {
				fmt.Fprintf(os.Stderr, "%s: takes more than %d MB to evaluate; build less in templates\n", c.File, maxHeapBytes>>20)
				os.Exit(1)
			}
			time.Sleep(heapCheckInterval)
		}
	}()
	file, err := configfile.Read(c.File)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(file.JSON)
	return err
}

// readDegradationPlan reads the plan of levels, if there is one.
func (c *serveCommand) readDegradationPlan(into *server.Config) error {
	if c.Plan == "" {
		return nil
	}
	file, err := render(c.Plan)
	if err != nil {
		return err
	}
	into.Levels, err = degradationplan.From(file, into.Settings.Operations)
	return err
}

// readFleet reads the fleet's file, if there is one.
func (c *serveCommand) readFleet(into *server.Config) error {
	if c.Fleet == "" {
		return nil
	}
	file, err := render(c.Fleet)
	if err != nil {
		return err
	}
	if into.Fleet, err = fleetconfig.From(file, into.Name); err == nil {
		into.Fleet.Membership.Version = revision()[:min(maxVersionLength, len(revision()))]
	}
	return err
}

// readResultCache reads what is kept of tokened invocations, if there is a file.
func (c *serveCommand) readResultCache(into *server.Config) error {
	if c.Keep == "" {
		return nil
	}
	file, err := render(c.Keep)
	if err != nil {
		return err
	}
	into.Keep, err = cacheconfig.From(file, into.Settings.Node.Operations, into.MemoryMB)
	return err
}

// render evaluates a file in a process of its own, so that no template can slow down or fill up the node.
func render(path string) (*configfile.File, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithTimeout(context.Background(), renderTimeout)
	defer end()
	var told, failed bytes.Buffer
	command := exec.CommandContext(ctx, program, "plan", "render", path)
	command.Stdout, command.Stderr = &limitedWriter{&told, maxRenderedBytes}, &limitedWriter{&failed, maxRenderedBytes}
	if err := command.Run(); err != nil {
		if text := bytes.TrimSpace(failed.Bytes()); len(text) > 0 {
			return nil, errors.New(string(bytes.TrimPrefix(text, []byte("topazpost: error: "))))
		}
		return nil, fmt.Errorf("%s: can't be evaluated: %w", path, err)
	}
	return configfile.Rendered(path, told.Bytes())
}

// limitedWriter keeps the first bytes of what is written.
type limitedWriter struct {
	buffer    *bytes.Buffer
	remaining int
}

func (b *limitedWriter) Write(p []byte) (int, error) {
	n := min(len(p), b.remaining)
	b.remaining -= n
	b.buffer.Write(p[:n])
	return len(p), nil
}

// levelsCommands are the commands about logs.
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
		err = all.Read(path, file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return all.Print(os.Stdout)
}
