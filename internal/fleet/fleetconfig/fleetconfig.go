// Package fleetconfig reads the configuration of a fleet: its name, the addresses of peers, the timing of membership, the
// consensus group and the synchronization of configurations.
package fleetconfig

import (
	"strconv"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/membership"
)

// Fleet is the configuration of a fleet for one of its nodes.
type Fleet struct {
	Name                string
	Bind                string // address that peers connect to
	AllowAnyAddress     bool   // Bind may be an unspecified address
	Membership          membership.Config
	PreviousIncarnation uint64          // as stored on disk, 0 without one
	ConsensusGroup      *ConsensusGroup // nil without one
	ConfigSync          *ConfigSync     // nil where configurations change by a restart only
	ClockOffset         int64           // ns that the wall clock is set ahead, for tests
	Path                string
}

// Read reads the fleet file at a path for the node of a name.
func Read(path, name string) (*Fleet, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return From(file, name)
}

// From reads the fleet for the node of a name from a file that was evaluated. The error covers all problems of the file.
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

// DetectionTime is the time, in nanoseconds, within which all nodes know of a failure where links are healthy.
func (f *Fleet) DetectionTime() int64 {
	return f.Membership.LinkTimeout + f.Membership.SuspicionTimeout + f.Membership.ProbeInterval
}

// fileReader reads a fleet file and collects its problems.
type fileReader struct {
	file     *configfile.File
	node     string // name
	content  fileContent
	problems configfile.ProblemErrors
}

// fail adds a problem with the value at a path.
func (r *fileReader) fail(message, hint string, path ...string) {
	r.problems = append(r.problems, r.file.At(path, message, hint))
}

func (r *fileReader) checkAddresses() {
	r.checkAddress(r.content.Bind, "bind")
	if r.content.Advertise != "" {
		r.checkAddress(r.content.Advertise, "advertise")
	} else if r.content.AnyAddress {
		r.fail("needs an address that peers are told", "set advertise", "any_address")
	}
	for i, seed := range r.content.Seeds {
		r.checkAddress(seed, "seeds", strconv.Itoa(i))
	}
}
