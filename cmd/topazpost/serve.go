package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"

	"topazpost/server"
)

// logOptions are the flags of a process's log.
type logOptions struct {
	Level string `help:"Least level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	Form  string `help:"Form of the log: json, or console to read by eye." default:"json" enum:"json,console"`
}

// logger returns the log that the flags describe.
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

// Run serves until it is stopped by a signal: the first one drains the node, a second one aborts its invocations and
// answers them, a third one stops at once.
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
	debug.FreeOSMemory() // which reading a large file took; there is no load yet
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.handleSignals(node, log, stop)
	return node.Run(ctx)
}
