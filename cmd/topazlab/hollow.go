package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"topazpost/internal/testbed/hollow"
)

type hollowCommand struct {
	Level string `help:"Least level that is logged on stderr: debug, info, warn or error." default:"error" enum:"debug,info,warn,error"`
}

// Run runs hollow nodes as the lines on stdin say, and tells figures on stdout.
func (c *hollowCommand) Run() error {
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return hollow.Serve(ctx, os.Stdin, os.Stdout, zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger())
}
