// Command topazpost is one node: the decision module on real sockets.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"topazpost/internal/admission"
	"topazpost/internal/degradation/degradationplan"
	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/resultcache/cacheconfig"
	"topazpost/server"
)

const (
	readGCPercent   = 40 // % that the heap may grow between collections while a configuration is read: most of it is soon garbage
	reloadGCPercent = 20 // the same beside a node of a fleet, whose heap is larger: twice as many collections, of some 2 ms
)

// logOptions is the log of a process that serves or sits.
type logOptions struct {
	Level string `help:"Least level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	Form  string `help:"Form of the log: json, or console to read by eye." default:"json" enum:"json,console"`
}

func (l *logOptions) logger() (log zerolog.Logger, err error) {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		return log, err
	}
	log = zerolog.New(os.Stderr)
	if l.Form == "console" {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr})
	}
	return log.Level(level).With().Timestamp().Logger(), nil
}

type serveCommand struct {
	logOptions
	Plan  string `help:"Plan of levels of reduced service, a Jsonnet file; none without it." type:"path" env:"TOPAZPOST_PLAN" placeholder:"FILE"`
	Keep  string `help:"What is kept of tokened invocations, a Jsonnet file; in memory only without it." type:"path" env:"TOPAZPOST_KEEP" placeholder:"FILE"`
	Fleet string `help:"Fleet that the node is one of, a Jsonnet file; it shares nothing without it." type:"path" env:"TOPAZPOST_FLEET" placeholder:"FILE"`
	configPath
}

type checkCommand struct {
	Keep  string `help:"What is kept of tokened invocations, to check beside the configuration." env:"TOPAZPOST_KEEP" type:"path" placeholder:"FILE"`
	Fleet string `help:"Fleet to check beside the configuration." env:"TOPAZPOST_FLEET" type:"path" placeholder:"FILE"`
	Plan  string `help:"Plan of levels to check beside the configuration." env:"TOPAZPOST_PLAN" type:"path" placeholder:"FILE"`
	configPath
}

type versionCommand struct{}

type configPath struct {
	Config string `arg:"" optional:"" env:"GW_CONFIG" help:"Path of the configuration." type:"path"`
}

func (w *configPath) read() (*server.Config, error) {
	return w.decode(server.DecodeConfig, readGCPercent)
}

func (w *configPath) decode(as func(io.Reader) (*server.Config, error), percent int) (*server.Config, error) {
	if w.Config == "" {
		return nil, fmt.Errorf("configuration: no path is given and GW_CONFIG is not set")
	}
	file, err := os.Open(w.Config)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer file.Close()
	defer debug.SetGCPercent(debug.SetGCPercent(percent)) // a node that serves goes on beside it, within its memory
	return as(file)
}

// Run serves until a signal to end has been heeded. The first one drains, a second one aborts what is in hand and answers it, a third one stops at once.
func (c *serveCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	log, err := c.logger()
	if err != nil {
		return err
	}
	if err := c.readFleet(config); err != nil {
		return err
	}
	config.Limit()
	if err := c.readDegradationPlan(config); err != nil {
		return err
	}
	if err := c.readResultCache(config); err != nil {
		return err
	}
	node := server.New(config, log, server.SystemClock())
	debug.FreeOSMemory() // what reading a large file took; nobody is served yet
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.handleSignals(node, log, stop)
	return node.Run(ctx)
}

// Run says what a node would start with.
func (c *checkCommand) Run() error {
	n, err := c.read()
	if err != nil {
		return err
	}
	fmt.Printf("%s listens on %s; executor %s, catalogue %s, control plane %s; %d operations, %g cores, %d MB, "+
		"%d descriptors, %g ms from the notice to the kill\n", n.Name, n.Listen, n.Executor, n.Catalog, n.Control,
		n.Settings.Operations.Len(), n.Cores, n.MemoryMB, n.Sockets, n.StopMS)
	if c.Fleet != "" {
		fleet, err := fleetconfig.Read(c.Fleet, n.Name)
		if err != nil {
			return err
		}
		fmt.Printf("fleet %s: hears peers on %s, told to them as %s, %d seeds; %s\n", fleet.Name, fleet.Bind, fleet.Membership.Address,
			len(fleet.Membership.Seeds), fleet.Describe())
		if fleet.ConsensusGroup != nil {
			warnShortTimeouts(n, fleet)
		}
	}
	if c.Keep != "" {
		k, err := cacheconfig.Read(c.Keep, n.Settings.Node.Operations, n.MemoryMB)
		if err != nil {
			return err
		}
		fmt.Printf("keeps results by the field %q: %d kB in memory, results of %d bytes, %g s at the most; %s\n", k.Field,
			k.Cache.MaxBytes>>10, k.Cache.MaxResultBytes, float64(k.Cache.Window)/1e9, k.Location())
	}
	if c.Plan == "" {
		return nil
	}
	ladder, err := degradationplan.Read(c.Plan, n.Settings.Operations)
	if err == nil {
		fmt.Printf("plan %s: %d levels above full service\n", ladder.Name, len(ladder.Levels))
	}
	return err
}

// warnShortTimeouts names the tokened operations whose work can't be taken over in time.
func warnShortTimeouts(n *server.Config, fleet *fleetconfig.Fleet) {
	for i, name := range n.Settings.Operations.All() {
		if op := &n.Settings.Node.Operations[i]; op.Idempotency == admission.IdempotentWithKey && op.ClientTimeout <= fleet.DetectionTime() {
			fmt.Printf("note: %s has a client timeout of %g s, and a death is known after %g s: what a lost node held of it is not taken over in "+
				"time; shorten silence, settle and probe\n", name, float64(op.ClientTimeout)/1e9, float64(fleet.DetectionTime())/1e9)
		}
	}
}

// Run says what was built.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("this build has no information about itself")
	}
	fmt.Println("topazpost", info.Main.Version, "revision", revision(), info.GoVersion)
	return nil
}

// revision is the commit that was built, or unknown.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}

func main() {
	var line struct {
		Serve   serveCommand    `cmd:"" help:"Serve as one node: SIGTERM drains, a second one aborts what is in hand, a third one stops, SIGHUP reads the configuration anew."`
		Seat    replicaCommand  `cmd:"" help:"Serve nothing: be a member of a fleet with a seat in its council. SIGTERM leaves at once."`
		Check   checkCommand    `cmd:"" help:"Read a configuration and say what is wrong with it, or what would start."`
		Plan    planCommands    `cmd:"" help:"Look at plans of levels of reduced service."`
		Levels  levelsCommands  `cmd:"" help:"Look at what levels nodes were at."`
		Results resultsCommands `cmd:"" help:"Look at results of tokened invocations that a stopped node has kept, and settle them."`
		Store   storeCommands   `cmd:"" help:"Look at the files that results are kept in."`
		Members membersCommands `cmd:"" help:"Look at whom nodes have in their view of the fleet."`
		Claims  claimsCommands  `cmd:"" help:"Look at claims of tokens that a fleet's council agrees on."`
		Config  configCommands  `cmd:"" help:"Put, look at and take back versions of the configuration that a fleet takes in service."`
		Quota   quotaCommands   `cmd:"" help:"Look at limits that hold for the whole fleet."`
		Version versionCommand  `cmd:"" help:"Say what was built."`
	}
	signal.Notify(reloadSignals, syscall.SIGHUP) // before all else: it must never end the process
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	run := kong.Parse(&line, kong.Name("topazpost"),
		kong.Description("Decides, inside one server of a fleet, what it takes, runs and turns away."))
	run.FatalIfErrorf(run.Run())
}
