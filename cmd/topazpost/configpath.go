package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"topazpost/server"
)

// GC percentages while a configuration is read, most of which is garbage afterwards.
const (
	readGCPercent   = 40
	reloadGCPercent = 20 // of a node of a fleet, whose heap is larger
)

// configPath is the configuration file of a node.
type configPath struct {
	Config string `arg:"" optional:"" env:"GW_CONFIG" help:"Path of the configuration." type:"path"`
}

// read reads the configuration that a node starts with.
func (p *configPath) read() (*server.Config, error) {
	return p.decode(server.DecodeConfig, readGCPercent)
}

// decode reads the configuration with a decoder. A running node shares the memory, so garbage is collected more often.
func (p *configPath) decode(decode func(io.Reader) (*server.Config, error), gcPercent int) (*server.Config, error) {
	if p.Config == "" {
		return nil, errors.New("configuration: no path is given and GW_CONFIG is not set")
	}
	file, err := os.Open(p.Config)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	return decode(file)
}
