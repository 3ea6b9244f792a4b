// Package fleetconfig reads the configuration of a fleet: its name, the addresses of peers, the timing of membership, the
// consensus group and the synchronization of configurations.
package fleetconfig

import (
	"strconv"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/membership"
)

// Fleet is the configuration of a fleet as read for one of its nodes.
type Fleet struct {
	Name                string
	Bind                string // address that peers connect to
	AllowAnyAddress     bool   // Bind can be an unspecified address
	Membership          membership.Config
	PreviousIncarnation uint64          // as stored on disk; 0 without a stored one
	ConsensusGroup      *ConsensusGroup // nil without one
	ConfigSync          *ConfigSync     // nil where the configuration changes only by a restart
	ClockOffset         int64           // ns added to the wall clock, for tests
	Path                string
}

// Read reads the fleet file at path for the node with the given name.
func Read(path, name string) (*Fleet, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return From(file, name)
}

// From reads the fleet from an evaluated file for the node with the given name. The error lists all problems of the file.
func From(file *configfile.File, name string) (*Fleet, error) {
	if err := file.Check(schema()); err != nil {
		return nil, err
	}
	r := &fileReader{file: file, node: name}
	if err := file.Into(&r.content); err != nil {
		return nil, err
	}
	fleet := &Fleet{
		Name:            r.content.Fleet,
		Bind:            r.content.Bind,
		AllowAnyAddress: r.content.AnyAddress,
		Membership:      r.membership(),
		ClockOffset:     int64(r.content.ClockAhead - r.content.ClockBehind),
		Path:            file.Path,
	}
	r.checkAddresses()
	if r.content.Council != nil {
		fleet.ConsensusGroup = r.consensusGroup(r.content.Council)
	}
	if r.content.Configuration != nil {
		fleet.ConfigSync = r.configSync()
	}
	r.checkTiming(&fleet.Membership)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return fleet, nil
}

// DetectionTime returns the nanoseconds within which all nodes know of a failure, provided that the other links work.
func (f *Fleet) DetectionTime() int64 {
	return f.Membership.LinkTimeout + f.Membership.SuspicionTimeout + f.Membership.ProbeInterval
}

// fileReader reads a fleet file and collects its problems.
type fileReader struct {
	file     *configfile.File
	node     string // name of the node
	content  fileContent
	problems configfile.ProblemErrors
}

// fail records a problem with the value at a path of the file, and how to fix it.
func (r *fileReader) fail(message, hint string, path ...string) {
	r.problems = append(r.problems, r.file.At(path, message, hint))
}

func (r *fileReader) checkAddresses() {
	r.checkAddress(r.content.Bind, "bind")
	if r.content.Advertise != "" {
		r.checkAddress(r.content.Advertise, "advertise")
	} else if r.content.AnyAddress {
		r.fail("requires an address that peers can connect to", "set advertise", "any_address")
	}
	for i, seed := range r.content.Seeds {
		r.checkAddress(seed, "seeds", strconv.Itoa(i))
	}
}
