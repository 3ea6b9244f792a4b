// Package cacheconfig reads the operators' configuration of the result cache: the token's field, durability, and limits.
package cacheconfig

import (
	"fmt"

	"topazpost/internal/admission"
	"topazpost/internal/configfile"
	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/segmentstore"
)

// Durability says when a record is on disk.
type Durability uint8

// The durabilities.
const (
	InMemory    Durability = iota // never
	SyncBatched                   // groups of records share a sync
	SyncEach                      // each record has its own sync
)

// Config is what a node caches, and where.
type Config struct {
	Cache       resultcache.Config
	Field       string // of an invocation, which carries the token
	Durability  Durability
	Folder      string
	Limits      segmentstore.Limits
	BatchWindow int64 // ns for which a group waits for more records
}

// Location describes where results are stored.
func (c *Config) Location() string {
	if c.Durability == InMemory {
		return "in memory only, a crash forgets them"
	}
	return fmt.Sprintf("in %s, %d MB at the most", c.Folder, c.Limits.MaxBytes>>20)
}

// Node is what the configuration of a node's result cache depends on.
type Node struct {
	Operations    []admission.Operation // of the node's own file
	TakesVersions bool                  // versions of the fleet's configuration may bring other operations
	MemoryMB      int
}

// Read reads the file of a path.
func Read(path string, node Node) (*Config, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return From(file, node)
}

// From reads the configuration from a file that was evaluated. All problems are reported at once.
func From(file *configfile.File, node Node) (*Config, error) {
	if err := file.Check(schema()); err != nil {
		return nil, err
	}
	var content fileContent
	if err := file.Into(&content); err != nil {
		return nil, err
	}
	if !node.TakesVersions && !TakesTokens(node.Operations) {
		return nil, configfile.ProblemErrors{file.At(nil, "keeps results where no operation is tokened",
			"leave the file out, or give an operation the effect \"deduplicated\" and a window")}
	}
	config := defaultForFile(node.Operations, node.MemoryMB)
	content.applyTo(config, file.Path)
	if problems := config.problems(file, node.MemoryMB); len(problems) > 0 {
		return nil, problems
	}
	return config, nil
}
