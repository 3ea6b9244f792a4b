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

// cacheNode returns what the configuration of a node's result cache depends on. The fleet's file must have been read.
func cacheNode(config *server.Config) cacheconfig.Node {
	takesVersions := config.Fleet != nil && config.Fleet.ConfigSync != nil
	return cacheconfig.Node{Operations: config.Settings.Node.Operations, TakesVersions: takesVersions, MemoryMB: config.MemoryMB}
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
	config.Keep, err = cacheconfig.From(file, cacheNode(config))
	return err
}
