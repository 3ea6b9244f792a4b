package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

const (
	readBufferSize = 64 << 10

	minStopMS   = 1
	minCores    = 0.01
	minMemoryMB = 12
	minSockets  = 32
)

// configFile is the JSON form of the configuration.
type configFile struct {
	Name     string       `json:"name"`
	Listen   string       `json:"listen"`
	Executor string       `json:"executor"`
	Control  string       `json:"control"`
	Catalog  string       `json:"catalog"`
	Seed     string       `json:"seed"`
	StopMS   float64      `json:"stop_ms"`
	Limits   configLimits `json:"limits"`

	settings       *nodeconfig.Config
	settingsDigest uint64
}

type configLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// settingsDecoder decodes the settings from a stream, with their digest.
type settingsDecoder func(offset int64, d *json.Decoder) (*nodeconfig.Config, uint64, error)

// ReadConfig decodes a configuration; an error names the field that is invalid.
func ReadConfig(text []byte) (*Config, error) { return DecodeConfig(bytes.NewReader(text)) }

// DecodeConfig decodes a configuration from a stream; an error names the field that is invalid.
func DecodeConfig(from io.Reader) (*Config, error) { return decodeConfig(from, nodeconfig.Decode) }

// DecodeReload decodes a configuration for Reload, with the errors of DecodeConfig. It keeps no table of tenants: the running
// node has its own, and a second one would need much memory beside it.
func DecodeReload(from io.Reader) (*Config, error) {
	return decodeConfig(from, nodeconfig.DecodeWithoutTenants)
}

func decodeConfig(from io.Reader, decodeSettings settingsDecoder) (*Config, error) {
	var f configFile
	if err := f.decode(from, decodeSettings); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return &Config{
		Name:           f.Name,
		Listen:         f.Listen,
		Executor:       f.Executor,
		Control:        f.Control,
		Catalog:        f.Catalog,
		StopMS:         f.StopMS,
		Cores:          f.Limits.Cores,
		MemoryMB:       int(f.Limits.MemoryMB),
		Sockets:        int(f.Limits.Sockets),
		Settings:       f.settings,
		settingsDigest: f.settingsDigest,
	}, nil
}

// decode decodes the fields in the order of the stream. The settings, the largest part, are decoded one item at a time.
func (f *configFile) decode(from io.Reader, decodeSettings settingsDecoder) error {
	d := json.NewDecoder(bufio.NewReaderSize(from, readBufferSize))
	d.UseNumber()
	start, err := d.Token()
	if err != nil {
		return unexpectedEOF(err)
	}
	if start != json.Delim('{') {
		return fmt.Errorf("an object is needed, not %v", start)
	}
	for d.More() {
		if err := f.decodeField(d, decodeSettings); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return unexpectedEOF(err)
}

// decodeField decodes a key and its value. Values other than the settings are left to the JSON package together with their
// key, so that its errors name the field.
func (f *configFile) decodeField(d *json.Decoder, decodeSettings settingsDecoder) error {
	token, err := d.Token()
	if err != nil {
		return unexpectedEOF(err)
	}
	key := token.(string)
	if strings.EqualFold(key, "settings") {
		f.settings, f.settingsDigest, err = decodeSettings(0, d)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		return nil
	}
	var value json.RawMessage
	if err := d.Decode(&value); err != nil {
		return unexpectedEOF(err)
	}
	object, err := json.Marshal(map[string]json.RawMessage{key: value})
	if err != nil {
		return err
	}
	return json.Unmarshal(object, f)
}

// unexpectedEOF is err, or io.ErrUnexpectedEOF for the end of a stream within the configuration.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// validate checks all fields and completes the settings.
func (f *configFile) validate() error {
	if f.Name == "" {
		return errors.New("name: missing")
	}
	if err := f.validateAddresses(); err != nil {
		return err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if err := f.validateLimits(); err != nil {
		return err
	}
	if f.settings == nil {
		return errors.New("settings: missing")
	}
	f.settings.Node.Seed = int64(seed)
	if err := f.settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if f.Catalog == "" && f.settings.Node.Dependency != admission.NoDependency {
		return errors.New("catalog: missing, though family_info.below says that there is something below; set both or none")
	}
	return nil
}

func (f *configFile) validateAddresses() error {
	for _, address := range []struct{ field, value string }{
		{"listen", f.Listen},
		{"executor", f.Executor},
		{"control", f.Control},
		{"catalog", f.Catalog},
	} {
		if address.field == "catalog" && address.value == "" {
			continue // a node without a dependency has none, which validate checks
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return fmt.Errorf("%s: %w", address.field, err)
		}
	}
	return nil
}

func (f *configFile) validateLimits() error {
	for _, limit := range []struct {
		field string
		value float64
		min   float64
	}{
		{"stop_ms", f.StopMS, minStopMS},
		{"limits.cores", f.Limits.Cores, minCores},
		{"limits.memory_mb", f.Limits.MemoryMB, minMemoryMB},
		{"limits.sockets", f.Limits.Sockets, minSockets},
	} {
		if limit.value < limit.min {
			return fmt.Errorf("%s: %g is less than %g", limit.field, limit.value, limit.min)
		}
	}
	return nil
}
