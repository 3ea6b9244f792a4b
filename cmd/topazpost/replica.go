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
	replicaSockets = 256 // descriptors that it may use: 96 streams, exchanges, its files, and room
	replicaStopMS  = 500 // for its last words to the fleet
)

type replicaCommand struct {
	Name string `help:"Name of the node, one of those in council.seats." required:"" env:"TOPAZPOST_NAME"`
	logOptions
	Fleet string `arg:"" env:"TOPAZPOST_FLEET" help:"Fleet that it is a member of, a Jsonnet file." type:"path" placeholder:"FILE"`
}

// Run is a seat until a signal to end: the first one says farewell to the fleet, a second one stops at once.
func (c *replicaCommand) Run() error {
	fleet, err := fleetconfig.Read(c.Fleet, c.Name)
	if err != nil {
		return err
	}
	if fleet.ConsensusGroup == nil || !slices.Contains(fleet.ConsensusGroup.Replicas, c.Name) {
		return fmt.Errorf("%s: council.seats: %q is not one of them, and a process without a seat has nothing to do; name it there, or start it with the name of one",
			c.Fleet, c.Name)
	}
	log, err := c.logger()
	if err != nil {
		return err
	}
	n := &server.Config{Name: c.Name, StopMS: replicaStopMS, Sockets: replicaSockets, Fleet: fleet, Hollow: server.OnlySeat(),
		Settings: &nodeconfig.Config{Operations: nodeconfig.NewNames(), Tenants: nodeconfig.NewNames()}}
	n.Settings.Node.Seed = int64(os.Getpid())
	log.Info().Str("name", c.Name).Strs("seats", fleet.ConsensusGroup.Replicas).Str("folder", fleet.ConsensusGroup.Folder).Msg("a seat of the council, serving nothing")
	node := server.New(n, log, server.SystemClock())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-stopSignals
		node.Drain()
		<-stopSignals
		stop()
	}()
	if err = node.Run(ctx); errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
