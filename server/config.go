package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"

	"topazpost/charter"
	"topazpost/keep"
	"topazpost/node"
	"topazpost/plate"
	"topazpost/reducer"
)

// Nameplate is what a node is started with.
type Nameplate struct {
	Name, Listen, Executor, Control, Catalog string
	StopMS                                   float64
	Cores                                    float64
	MemoryMB                                 int
	Sockets                                  int
	Settings                                 *plate.Plate
	Levels                                   *reducer.Plan  // of reduced service, nil for none; from a file of its own
	Fleet                                    *charter.Fleet // nil for a node that shares nothing; from a file of its own
	Keep                                     *keep.Keep     // what is kept of tokened invocations; nil for what is usual
	Hollow                                   *Hollow        // nil for a whole node
	settings                                 []byte         // as they were read
}

func (n *Nameplate) peers() reducer.Addresses {
	return reducer.Addresses{Executor: n.Executor, Catalogue: n.Catalog, Control: n.Control}
}

// differs names the fields of another nameplate that a running node does not take.
func (n *Nameplate) differs(next *Nameplate) (fields []string) {
	for field, same := range map[string]bool{"name": n.Name == next.Name, "listen": n.Listen == next.Listen,
		"stop_ms": n.StopMS == next.StopMS, "settings": bytes.Equal(n.settings, next.settings),
		"limits": n.Cores == next.Cores && n.MemoryMB == next.MemoryMB && n.Sockets == next.Sockets} {
		if !same {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	return fields
}

// file is the form of the configuration.
type file struct {
	Name     string  `json:"name"`
	Listen   string  `json:"listen"`
	Executor string  `json:"executor"`
	Control  string  `json:"control"`
	Catalog  string  `json:"catalog"`
	Seed     string  `json:"seed"`
	StopMS   float64 `json:"stop_ms"`
	Limits   struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

// ReadNameplate reads a configuration; an error names the field that is unusable.
func ReadNameplate(text []byte) (*Nameplate, error) {
	var f file
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if f.Name == "" {
		return nil, fmt.Errorf("configuration: name: missing")
	}
	for _, address := range []struct{ field, value string }{{"listen", f.Listen}, {"executor", f.Executor},
		{"control", f.Control}, {"catalog", f.Catalog}} {
		if address.field == "catalog" && address.value == "" {
			continue // a site may have nothing below its nodes: its settings say so
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return nil, fmt.Errorf("configuration: %s: %w", address.field, err)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("configuration: seed: %w", err)
	}
	for _, n := range []struct {
		field       string
		value, from float64
	}{{"stop_ms", f.StopMS, 1}, {"limits.cores", f.Limits.Cores, 0.01},
		{"limits.memory_mb", f.Limits.MemoryMB, 12}, {"limits.sockets", f.Limits.Sockets, 32}} {
		if n.value < n.from {
			return nil, fmt.Errorf("configuration: %s: %g is less than %g", n.field, n.value, n.from)
		}
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, f.Settings); err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	settings, err := plate.FromJSON(int64(seed), f.Settings)
	if err == nil {
		err = settings.Usable()
	}
	if err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	if f.Catalog == "" && settings.Nameplate.Below != node.NothingBelow {
		return nil, fmt.Errorf("configuration: catalog: missing, though family_info.below says that there is something below; set both or none")
	}
	return &Nameplate{Name: f.Name, Listen: f.Listen, Executor: f.Executor, Control: f.Control,
		Catalog: f.Catalog, StopMS: f.StopMS, Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB),
		Sockets: int(f.Limits.Sockets), Settings: settings, settings: compact.Bytes()}, nil
}
