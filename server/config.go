package server

import (
	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/resultcache/cacheconfig"
)

// Config is the configuration that a node is started with. ReadConfig and DecodeConfig read the fields up to Settings; the
// others come from files of their own, and are set by the embedder.
type Config struct {
	Name     string
	Listen   string // address for dispatchers
	Executor string // address
	Control  string // address of the control plane
	Catalog  string // address of the catalogue, empty where the node has no dependency

	StopMS   float64 // until the process is killed after a notice to drain
	Cores    float64
	MemoryMB int
	Sockets  int // limit on descriptors
	Settings *nodeconfig.Config

	Levels *node.DegradationPlan // nil without graceful degradation
	Fleet  *fleetconfig.Fleet    // nil for a node outside a fleet
	Keep   *cacheconfig.Config   // of the result cache, nil for the default
	Hollow *Hollow               // nil for a node that serves dispatchers

	settingsDigest uint64 // of the settings as they were read
}

func (c *Config) addresses() node.Addresses {
	return node.Addresses{Executor: c.Executor, Catalogue: c.Catalog, Control: c.Control}
}

// changedFields names, in order, the fields of another config that differ and that a running node does not take.
func (c *Config) changedFields(next *Config) (fields []string) {
	sameLimits := c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.Sockets == next.Sockets
	for _, field := range []struct {
		name string
		same bool
	}{
		{"limits", sameLimits},
		{"listen", c.Listen == next.Listen},
		{"name", c.Name == next.Name},
		{"settings", c.settingsDigest == next.settingsDigest},
		{"stop_ms", c.StopMS == next.StopMS},
	} {
		if !field.same {
			fields = append(fields, field.name)
		}
	}
	return fields
}
