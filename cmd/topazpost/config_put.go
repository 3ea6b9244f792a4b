package main

import (
	"time"

	"topazpost/internal/fleet/configsync"
)

// Bounds on the changes of one command, which a replica validates within some milliseconds.
const (
	maxCommandBytes  = 48 << 10
	maxCommandItems  = 400
	itemFramingBytes = 24 // of an item besides its name and value
)

type configPut struct {
	File string  `arg:"" help:"A node's whole file, or {operations: {NAME: {...} or null}, tenants: {...}, limits: {...}}; JSON or Jsonnet." type:"path"`
	Base *uint64 `help:"Version that it was made on; the newest that seats agreed on without it." placeholder:"VERSION"`
	configTarget
	changeOptions
}

// Run proposes the content of a file as a new version.
func (c *configPut) Run() error {
	deadline := time.Now().Add(c.Within)
	file, err := readChangeFile(c.File)
	if err != nil {
		return err
	}
	replicas, err := c.awaitReplicas(deadline)
	if err != nil {
		return err
	}
	newest, content, err := c.readContent(replicas[0].address, configsync.ContentNewest)
	if err != nil {
		return err
	}
	base := newest.Version
	if c.Base != nil {
		base = *c.Base
	}
	changes := file.items
	if base == newest.Version { // otherwise the replicas refuse it
		changes, err = file.changesTo(content)
		if err != nil {
			return err
		}
	}
	request, err := c.requestID()
	if err != nil {
		return err
	}
	o := &changeOutcome{Done: true, Version: newest.Version, Changes: len(changes), Request: request}
	if newest.Version == 0 && !file.isWhole {
		o.Done = false
		o.Refused = "nothing was ever put, and changes need something to change: put a node's whole file first"
		return c.finish(&c.configTarget, o, deadline)
	}
	highest := highestVersion(replicas)
	for _, command := range splitCommands(changes) {
		command.Kind = configsync.CommandPut
		command.Caller = request
		command.Base = base
		command.Version = highest
		command.WallTime = time.Now().UnixNano()
		verdict, err := c.propose(replicas, &command, deadline)
		if err != nil {
			return err
		}
		o.apply(verdict)
		if !verdict.Done {
			break
		}
	}
	return c.finish(&c.configTarget, o, deadline)
}

// awaitReplicas queries the replicas until one answers.
func (c *configPut) awaitReplicas(deadline time.Time) ([]replicaAnswer, error) {
	replicas, err := c.queryReplicas()
	for err != nil && time.Now().Before(deadline) {
		time.Sleep(proposeBackoff)
		replicas, err = c.queryReplicas()
	}
	return replicas, err
}

// apply adds a replica's verdict to the outcome.
func (o *changeOutcome) apply(verdict *configsync.Verdict) {
	o.Done = verdict.Done
	o.Version = verdict.Version
	o.Refused = verdict.Refused
	o.More = verdict.UnlistedDiffering
	for _, item := range verdict.Differing {
		o.Differ = append(o.Differ, item.Part+"."+item.Name)
	}
}

// highestVersion returns the highest version that a node has, above which a consensus group that lost its state goes on.
func highestVersion(replicas []replicaAnswer) uint64 {
	highest := uint64(0)
	for _, status := range latestStatuses(replicas) {
		highest = max(highest, status.Revision.Version)
	}
	return highest
}

// splitCommands splits changes into commands within bounds.
func splitCommands(changes []configsync.Item) (commands []configsync.Command) {
	for len(changes) > 0 {
		n := 0
		size := 0
		for n < min(len(changes), maxCommandItems) && (n == 0 || size < maxCommandBytes) {
			size += len(changes[n].Name) + len(changes[n].Value) + itemFramingBytes
			n++
		}
		commands = append(commands, configsync.Command{
			Changes:    changes[:n],
			Piece:      len(commands),
			Seq:        uint64(len(commands) + 1),
			MorePieces: n < len(changes),
		})
		changes = changes[n:]
	}
	return commands
}
