package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"

	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/nodeconfig"
	"topazpost/server"
)

const (
	replicaSockets = 256 // descriptors: 96 streams, exchanges, files, and some to spare
	replicaStopMS  = 500 // to leave the fleet
)

type replicaCommand struct {
	Name string `help:"Name of the node, one of those in council.seats." required:"" env:"TOPAZPOST_NAME"`
	logOptions
	Fleet string `arg:"" env:"TOPAZPOST_FLEET" help:"Fleet that it is a member of, a Jsonnet file." type:"path" placeholder:"FILE"`
}

// Run is a replica of the consensus group until a signal: the first one leaves the fleet, a second one stops at once.
func (c *replicaCommand) Run() error {
	fleet, err := fleetconfig.Read(c.Fleet, c.Name)
	if err != nil {
		return err
	}
	group := fleet.ConsensusGroup
	if group == nil || !slices.Contains(group.Replicas, c.Name) {
		return fmt.Errorf("%s: council.seats: %q is not one of them, and a process without a seat has nothing to do; name it there, or start it with the name of one",
			c.Fleet, c.Name)
	}
	log, err := c.logger()
	if err != nil {
		return err
	}
	config := &server.Config{
		Name: c.Name, StopMS: replicaStopMS, Sockets: replicaSockets, Fleet: fleet, Hollow: server.OnlySeat(),
		Settings: &nodeconfig.Config{Operations: nodeconfig.NewNames(), Tenants: nodeconfig.NewNames()},
	}
	config.Settings.Node.Seed = int64(os.Getpid())
	log.Info().Str("name", c.Name).Strs("seats", group.Replicas).Str("folder", group.Folder).Msg("a seat of the council, serving nothing")
	node := server.New(config, log, server.SystemClock())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-stopSignals
		node.Drain()
		<-stopSignals
		stop()
	}()
	err = node.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
