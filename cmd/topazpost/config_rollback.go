package main

import (
	"time"

	"topazpost/internal/fleet/configsync"
)

type configRollback struct {
	Version uint64 `arg:"" help:"Version whose content is to be in force again."`
	configTarget
	changeOptions
}

// Run proposes the content of an older version as a new one.
func (c *configRollback) Run() error {
	deadline := time.Now().Add(c.Within)
	replicas, err := c.queryReplicas()
	if err != nil {
		return err
	}
	request, err := c.requestID()
	if err != nil {
		return err
	}
	command := &configsync.Command{Kind: configsync.CommandRollback, Caller: request, Seq: 1, Version: c.Version, WallTime: time.Now().UnixNano()}
	verdict, err := c.propose(replicas, command, deadline)
	if err != nil {
		return err
	}
	o := &changeOutcome{Done: verdict.Done, Version: verdict.Version, Changes: 1, Refused: verdict.Refused, Request: request}
	return c.finish(&c.configTarget, o, deadline)
}
