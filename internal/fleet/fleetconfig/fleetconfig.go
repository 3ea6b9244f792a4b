// Package fleetconfig reads what operators write of a fleet: its name, where peers meet, and the timing of membership.
// It decides nothing.
package fleetconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/fleet/quota"
)

const (
	defaultProbeInterval    = 500_000_000       // ns between pings on a link: seven in a silence
	defaultLinkTimeout      = 3_500_000_000     // ns without an answer past which a link is lost: a pause of 3 s is borne
	defaultSuspicionTimeout = 400_000_000       // ns that a loss must last: news of another path takes less
	defaultForgetTimeout    = 3_600_000_000_000 // ns after which the lost are no longer looked for: a night's repair is longer, a new start joins anew
	defaultMaxMembers       = 512               // members and lost ones in the table: 200 kB
	maxMembers              = 1_500             // whose table still fits one message of an exchange
	defaultTableBytes       = 4 << 20           // bytes of the council's table: some 10,000 claims
	defaultLeaseTerm        = 4_000_000_000     // ns of a lease: longer than an election
	minTableBytes           = 64 << 10          // of it: fewer claims than that stop at once
	maxTableBytes           = 12 << 20          // of it: one letter of a stream holds it
	minProbeInterval        = 50_000_000        // ns; shorter ones are a load
	minProbesPerTimeout     = 4                 // pings in a silence, so that a few that are lost end no link
)

// Fleet is a fleet configuration with what the sockets need.
type Fleet struct {
	Name                string
	Bind                string // where peers' datagrams and exchanges are heard
	AllowAnyAddress     bool   // Bind may be an unspecified address
	Membership          membership.Config
	PreviousIncarnation uint64          // incarnation that the last life left on a disk, 0 without one
	ConsensusGroup      *ConsensusGroup // nil without one
	ConfigSync          *ConfigSync     // nil where it takes a new start
	ClockOffset         int64           // ns by which the wall clock is set off, for tests
	Path                string
}

// ConsensusGroup is who agrees on claims of tokens for all.
type ConsensusGroup struct {
	Replicas         []string            // names of nodes
	Folder           string              // where the node's seat keeps what it must not forget; empty in memory only
	MaxTableBytes    int64               // of the table of claims
	CallQuota        *quota.HolderConfig // of the limit on calls in hand, nil without one
	CallQuotaVersion uint64              // of that limit
}

var schema = sync.OnceValue(func() *configfile.Schema {
	return configfile.Compile("fleet.json", strings.NewReplacer("TIME", configfile.TimePattern, "SIZE", configfile.SizePattern, "MEMBERS",
		fmt.Sprint(maxMembers)).Replace(`{
 "$schema": "https://json-schema.org/draft/2020-12/schema", "type": "object", "additionalProperties": false,
 "required": ["fleet", "bind"],
 "$defs": {"time": {"type": "string", "pattern": "TIME"}},
 "properties": {
  "fleet": {"type": "string", "minLength": 1},
  "bind": {"type": "string", "minLength": 1},
  "advertise": {"type": "string", "minLength": 1},
  "any_address": {"type": "boolean"},
  "zone": {"type": "string", "maxLength": 32},
  "seeds": {"type": "array", "maxItems": 32, "items": {"type": "string", "minLength": 1}},
  "probe": {"$ref": "#/$defs/time"}, "silence": {"$ref": "#/$defs/time"}, "settle": {"$ref": "#/$defs/time"},
  "forget": {"$ref": "#/$defs/time"},
  "members": {"type": "integer", "minimum": 2, "maximum": MEMBERS},
  "council": {"type": "object", "additionalProperties": false, "required": ["seats"], "properties": {
   "seats": {"type": "array", "minItems": 1, "items": {"type": "string", "minLength": 1, "maxLength": 64}},
   "table": {"type": "string", "pattern": "SIZE"},
   "folder": {"type": "string", "minLength": 1},
   "calls": {"type": "object", "additionalProperties": false, "required": ["limit", "hold"], "properties": {
    "limit": {"type": "integer", "minimum": 1, "maximum": 1000000}, "version": {"type": "integer", "minimum": 1},
    "hold": {"$ref": "#/$defs/time"}, "lease": {"$ref": "#/$defs/time"}}}}},
  "configuration": {"type": "object", "additionalProperties": false, "properties": {"folder": {"type": "string", "minLength": 1}}},
  "clock_ahead": {"$ref": "#/$defs/time"}, "clock_behind": {"$ref": "#/$defs/time"}}}`))
})

type fileContent struct {
	Fleet, Bind, Advertise, Zone   string
	AnyAddress                     bool `json:"any_address"`
	Seeds                          []string
	Probe, Silence, Settle, Forget *configfile.Time
	Members                        *int
	Council                        *struct {
		Seats  []string
		Table  *configfile.Size
		Folder string
		Calls  *struct {
			Limit       int64
			Version     *uint64
			Hold, Lease configfile.Time
		}
	}
	Configuration *struct{ Folder string }
	ClockAhead    configfile.Time `json:"clock_ahead"`
	ClockBehind   configfile.Time `json:"clock_behind"`
}

// Read reads a fleet's file in this process.
func Read(path, name string) (*Fleet, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return From(file, name)
}

// From reads a fleet for the node of a name from a file that was evaluated. All that is wrong is told at once.
func From(file *configfile.File, name string) (*Fleet, error) {
	if err := file.Check(schema()); err != nil {
		return nil, err
	}
	var w fileContent
	if err := file.Into(&w); err != nil {
		return nil, err
	}
	f := &Fleet{Name: w.Fleet, Bind: w.Bind, AllowAnyAddress: w.AnyAddress, ClockOffset: int64(w.ClockAhead - w.ClockBehind),
		Path: file.Path, Membership: membership.Config{Name: name, Address: w.Advertise, Zone: w.Zone, Seeds: w.Seeds,
			ProbeInterval: defaultProbeInterval, LinkTimeout: defaultLinkTimeout, SuspicionTimeout: defaultSuspicionTimeout, ForgetTimeout: defaultForgetTimeout, MaxMembers: defaultMaxMembers}}
	c := &f.Membership
	if c.Address == "" {
		c.Address = w.Bind
	}
	for _, t := range []struct {
		from *configfile.Time
		to   *int64
	}{{w.Probe, &c.ProbeInterval}, {w.Silence, &c.LinkTimeout}, {w.Settle, &c.SuspicionTimeout}, {w.Forget, &c.ForgetTimeout}} {
		if t.from != nil {
			*t.to = int64(*t.from)
		}
	}
	if w.Members != nil {
		c.MaxMembers = *w.Members
	}
	found := configfile.ProblemErrors{}
	address := func(value string, path ...string) {
		a, err := netip.ParseAddrPort(value)
		switch {
		case err != nil:
			found = append(found, file.At(path, fmt.Sprintf("%q is no address with a port", value),
				`write it as "192.0.2.7:7946"; names are not looked up`))
		case a.Port() == 0:
			found = append(found, file.At(path, "has the port 0", "choose one that all nodes can be told of"))
		case a.Addr().IsUnspecified() && (path[0] != "bind" || !w.AnyAddress):
			found = append(found, file.At(path, "is every address of the machine; there is no sign-in between peers",
				"name the one on the trusted network, or set any_address: true for bind"))
		}
	}
	address(w.Bind, "bind")
	if w.Advertise != "" {
		address(w.Advertise, "advertise")
	} else if w.AnyAddress {
		found = append(found, file.At([]string{"any_address"}, "needs an address that peers are told", "set advertise"))
	}
	for k, s := range w.Seeds {
		address(s, "seeds", fmt.Sprint(k))
	}
	if w.Council != nil {
		f.ConsensusGroup = &ConsensusGroup{Replicas: w.Council.Seats, MaxTableBytes: defaultTableBytes}
		var wrong configfile.ProblemErrors
		f.ConsensusGroup.Folder, wrong = nodeFolder(file, name, w.Council.Folder, "seat", "council", "folder")
		found = append(found, wrong...)
		if w.Council.Table != nil {
			f.ConsensusGroup.MaxTableBytes = int64(*w.Council.Table)
		}
		if calls := w.Council.Calls; calls != nil {
			f.ConsensusGroup.CallQuotaVersion = 1
			if calls.Version != nil {
				f.ConsensusGroup.CallQuotaVersion = *calls.Version
			}
			f.ConsensusGroup.CallQuota = &quota.HolderConfig{Name: "calls", Units: calls.Limit, Hold: int64(calls.Hold), Term: cmp.Or(int64(calls.Lease), defaultLeaseTerm)}
			if wrong := f.ConsensusGroup.CallQuota.Problem(); wrong != "" {
				found = append(found, file.At([]string{"council", "calls"}, wrong, "see docs/operate/quota.md for the bounds"))
			}
		}
		if n := len(w.Council.Seats); n != 1 && n != 3 && n != 5 {
			found = append(found, file.At([]string{"council", "seats"}, fmt.Sprintf("are %d", n), "name 1, 3 or 5 nodes: a council of an even number bears no more losses than one of a seat less"))
		}
		if sorted := slices.Sorted(slices.Values(w.Council.Seats)); len(slices.Compact(sorted)) < len(w.Council.Seats) {
			found = append(found, file.At([]string{"council", "seats"}, "name a node twice", "name each once"))
		}
		if b := f.ConsensusGroup.MaxTableBytes; b < minTableBytes || b > maxTableBytes {
			found = append(found, file.At([]string{"council", "table"}, fmt.Sprintf("is %d bytes", b), "choose 64 KiB to 12 MiB: a seat that comes back gets it in one piece"))
		}
	}
	if w.Configuration != nil {
		var wrong configfile.ProblemErrors
		f.ConfigSync, wrong = newConfigSync(file, name, w.Configuration.Folder, w.Council != nil)
		found = append(found, wrong...)
	}
	if c.ProbeInterval < minProbeInterval {
		found = append(found, file.At([]string{"probe"}, "is shorter than 50 ms", "choose a longer one"))
	}
	if c.LinkTimeout < minProbesPerTimeout*c.ProbeInterval {
		found = append(found, file.At([]string{"silence"}, fmt.Sprintf("holds fewer than %d probes, so that some lost ones end a link",
			minProbesPerTimeout), "make it longer, or probe shorter"))
	}
	if c.SuspicionTimeout > c.LinkTimeout {
		found = append(found, file.At([]string{"settle"}, "is longer than silence", "make it shorter: it bridges a change of links"))
	}
	if c.ForgetTimeout < 2*c.LinkTimeout {
		found = append(found, file.At([]string{"forget"}, "is shorter than two silences", "make it longer: the lost are looked for until then"))
	}
	if len(found) > 0 {
		return nil, found
	}
	return f, nil
}

// DetectionTime is the time, in nanoseconds, by which a death is known to all where links are sound.
func (f *Fleet) DetectionTime() int64 {
	return f.Membership.LinkTimeout + f.Membership.SuspicionTimeout + f.Membership.ProbeInterval
}

// Describe says in words what the timing comes to: how long a pause is borne, and by when a death is known.
func (f *Fleet) Describe() string {
	c := &f.Membership
	text := fmt.Sprintf("a pause of up to %s is borne; a death is known to all within about %s; a member outside the view is looked for for %s",
		formatSeconds(c.LinkTimeout-c.ProbeInterval), formatSeconds(f.DetectionTime()), formatSeconds(c.ForgetTimeout))
	if f.ConsensusGroup != nil {
		where := "in memory only"
		if f.ConsensusGroup.Folder != "" {
			where = "and seats keep it in " + f.ConsensusGroup.Folder
		}
		text += fmt.Sprintf("; a council of %d, which bears the loss of %d at a time, agrees on claims of tokens, %d kB at the most, %s",
			len(f.ConsensusGroup.Replicas), len(f.ConsensusGroup.Replicas)/2, f.ConsensusGroup.MaxTableBytes>>10, where)
		if f.ConsensusGroup.CallQuota != nil {
			text += "; " + f.ConsensusGroup.CallQuota.DescribeBound()
		}
	}
	if f.ConfigSync != nil {
		text += f.ConfigSync.describe()
	}
	return text
}

func formatSeconds(ns int64) string { return fmt.Sprintf("%g s", float64(ns)/1e9) }
