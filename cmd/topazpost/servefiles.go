package main

import (
	"topazpost/internal/degradation/degradationplan"
	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/resultcache/cacheconfig"
	"topazpost/server"
)

const maxVersionLength = 12 // characters of the version that peers see

// readDegradationPlan reads the plan of degradation levels, if there is one.
func (c *serveCommand) readDegradationPlan(config *server.Config) error {
	if c.Plan == "" {
		return nil
	}
	file, err := render(c.Plan)
	if err != nil {
		return err
	}
	config.Levels, err = degradationplan.Parse(file, config.Settings.Operations)
	return err
}

// readFleet reads the fleet's file, if there is one.
func (c *serveCommand) readFleet(config *server.Config) error {
	if c.Fleet == "" {
		return nil
	}
	file, err := render(c.Fleet)
	if err != nil {
		return err
	}
	config.Fleet, err = fleetconfig.From(file, config.Name)
	if err != nil {
		return err
	}
	version := revision()
	config.Fleet.Membership.Version = version[:min(maxVersionLength, len(version))]
	return nil
}

// readResultCache reads the configuration of the result cache, if there is one.
func (c *serveCommand) readResultCache(config *server.Config) error {
	if c.Keep == "" {
		return nil
	}
	file, err := render(c.Keep)
	if err != nil {
		return err
	}
	config.Keep, err = cacheconfig.From(file, config.Settings.Node.Operations, config.MemoryMB)
	return err
}
