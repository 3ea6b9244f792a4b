package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/resultcache/cacheconfig"
)

const readBufferSize = 64 << 10 // bytes of a configuration that are read at a time

// Config is what a node is started with.
type Config struct {
	Name, Listen, Executor, Control, Catalog string
	StopMS                                   float64
	Cores                                    float64
	MemoryMB                                 int
	Sockets                                  int
	Settings                                 *nodeconfig.Config
	Levels                                   *node.DegradationPlan // of reduced service, nil for none; from a file of its own
	Fleet                                    *fleetconfig.Fleet    // nil for a node that shares nothing; from a file of its own
	Keep                                     *cacheconfig.Config   // what is kept of tokened invocations; nil for what is usual
	Hollow                                   *Hollow               // nil for a whole node
	settingsDigest                           uint64                // of the settings as they were read
}

func (c *Config) addresses() node.Addresses {
	return node.Addresses{Executor: c.Executor, Catalogue: c.Catalog, Control: c.Control}
}

// changedFields names the fields of another config that a running node does not take.
func (c *Config) changedFields(next *Config) (fields []string) {
	for field, same := range map[string]bool{"name": c.Name == next.Name, "listen": c.Listen == next.Listen,
		"stop_ms": c.StopMS == next.StopMS, "settings": c.settingsDigest == next.settingsDigest,
		"limits": c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.Sockets == next.Sockets} {
		if !same {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	return fields
}

// configFile is the form of the configuration.
type configFile struct {
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
	settings *nodeconfig.Config
	digest   uint64
}

// ReadConfig reads a configuration; an error names the field that is unusable.
func ReadConfig(text []byte) (*Config, error) { return DecodeConfig(bytes.NewReader(text)) }

// decode reads the fields as they come. Of the settings, by far the most of it, one item at a time is kept; the other
// fields go the way of the JSON package, so that they are named in its errors.
func (f *configFile) decode(from io.Reader, settings func(int64, *json.Decoder) (*nodeconfig.Config, uint64, error)) error {
	d := json.NewDecoder(bufio.NewReaderSize(from, readBufferSize))
	d.UseNumber()
	tok, err := d.Token()
	if err == nil && tok != json.Delim('{') {
		return fmt.Errorf("configuration: an object is needed, not %v", tok)
	}
	for err == nil && d.More() {
		if tok, err = d.Token(); err != nil {
			break
		}
		if key := tok.(string); strings.EqualFold(key, "settings") {
			if f.settings, f.digest, err = settings(0, d); err != nil {
				return fmt.Errorf("configuration: settings: %w", err)
			}
		} else {
			var raw, object []byte
			if err = d.Decode((*json.RawMessage)(&raw)); err != nil {
				break
			}
			if object, err = json.Marshal(map[string]json.RawMessage{key: raw}); err == nil {
				err = json.Unmarshal(object, f)
			}
		}
	}
	if err == nil {
		_, err = d.Token()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// DecodeConfig reads a configuration as a stream; an error names the field that is unusable.
func DecodeConfig(from io.Reader) (*Config, error) { return decodeConfig(from, nodeconfig.Decode) }

// DecodeReload reads a configuration for Reload, with the errors of DecodeConfig. It keeps no list of tenants: a node that
// serves holds its own, and a second one beside it would be a third of what the configuration takes.
func DecodeReload(from io.Reader) (*Config, error) { return decodeConfig(from, nodeconfig.DecodeLight) }

func decodeConfig(from io.Reader, settings func(int64, *json.Decoder) (*nodeconfig.Config, uint64, error)) (*Config, error) {
	var f configFile
	if err := f.decode(from, settings); err != nil {
		return nil, err
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
	read := f.settings
	if read == nil {
		return nil, fmt.Errorf("configuration: settings: missing")
	}
	read.Node.Seed = int64(seed)
	if err := read.Usable(); err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	if f.Catalog == "" && read.Node.Dependency != admission.NoDependency {
		return nil, fmt.Errorf("configuration: catalog: missing, though family_info.below says that there is something below; set both or none")
	}
	return &Config{Name: f.Name, Listen: f.Listen, Executor: f.Executor, Control: f.Control,
		Catalog: f.Catalog, StopMS: f.StopMS, Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB),
		Sockets: int(f.Limits.Sockets), Settings: read, settingsDigest: f.digest}, nil
}
