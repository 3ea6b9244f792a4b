package main

import (
	"fmt"

	"topazpost/internal/admission"
	"topazpost/internal/degradation/degradationplan"
	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/resultcache/cacheconfig"
	"topazpost/server"
)

const nanosecondsPerSecond = 1e9

type checkCommand struct {
	Keep  string `help:"What is kept of tokened invocations, to check beside the configuration." env:"TOPAZPOST_KEEP" type:"path" placeholder:"FILE"`
	Fleet string `help:"Fleet to check beside the configuration." env:"TOPAZPOST_FLEET" type:"path" placeholder:"FILE"`
	Plan  string `help:"Plan of levels to check beside the configuration." env:"TOPAZPOST_PLAN" type:"path" placeholder:"FILE"`
	configPath
}

// Run prints what a node would start with.
func (c *checkCommand) Run() error {
	config, err := c.read()
	if err != nil {
		return err
	}
	fmt.Printf("%s listens on %s; executor %s, catalogue %s, control plane %s; %d operations, %g cores, %d MB, "+
		"%d descriptors, %g ms from the notice to the kill\n", config.Name, config.Listen, config.Executor, config.Catalog, config.Control,
		config.Settings.Operations.Len(), config.Cores, config.MemoryMB, config.Sockets, config.StopMS)
	for _, check := range []func(*server.Config) error{c.checkFleet, c.checkResultCache, c.checkDegradationPlan} {
		if err := check(config); err != nil {
			return err
		}
	}
	return nil
}

func (c *checkCommand) checkFleet(config *server.Config) error {
	if c.Fleet == "" {
		return nil
	}
	fleet, err := fleetconfig.Read(c.Fleet, config.Name)
	if err != nil {
		return err
	}
	config.Fleet = fleet
	fmt.Printf("fleet %s: hears peers on %s, told to them as %s, %d seeds; %s\n", fleet.Name, fleet.Bind, fleet.Membership.Address,
		len(fleet.Membership.Seeds), fleet.Describe())
	if fleet.ConsensusGroup != nil {
		warnShortTimeouts(config, fleet)
	}
	return nil
}

func (c *checkCommand) checkResultCache(config *server.Config) error {
	if c.Keep == "" {
		return nil
	}
	cache, err := cacheconfig.Read(c.Keep, cacheNode(config))
	if err != nil {
		return err
	}
	fmt.Printf("keeps results by the field %q: %d kB in memory, results of %d bytes, %g s at the most; %s\n", cache.Field,
		cache.Cache.MaxBytes>>10, cache.Cache.MaxResultBytes, seconds(cache.Cache.Window), cache.Location())
	return nil
}

func (c *checkCommand) checkDegradationPlan(config *server.Config) error {
	if c.Plan == "" {
		return nil
	}
	plan, err := degradationplan.Read(c.Plan, config.Settings.Operations)
	if err != nil {
		return err
	}
	fmt.Printf("plan %s: %d levels above full service\n", plan.Name, len(plan.Levels))
	return nil
}

// warnShortTimeouts names the idempotent operations whose clients give up before another node can take over.
func warnShortTimeouts(config *server.Config, fleet *fleetconfig.Fleet) {
	for i, name := range config.Settings.Operations.All() {
		op := &config.Settings.Node.Operations[i]
		if op.Idempotency == admission.IdempotentWithKey && op.ClientTimeout <= fleet.DetectionTime() {
			fmt.Printf("note: %s has a client timeout of %g s, and a death is known after %g s: what a lost node held of it is not taken over in "+
				"time; shorten silence, settle and probe\n", name, seconds(op.ClientTimeout), seconds(fleet.DetectionTime()))
		}
	}
}

func seconds(ns int64) float64 { return float64(ns) / nanosecondsPerSecond }
