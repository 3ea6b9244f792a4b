package fleetconfig

import (
	"fmt"
	"net/netip"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/membership"
)

// Defaults and bounds of membership; times in nanoseconds.
const (
	defaultProbeInterval    = 500_000_000
	minProbeInterval        = 50_000_000
	minProbesPerTimeout     = 4             // so that a few lost probes don't end a link
	defaultLinkTimeout      = 3_500_000_000 // tolerates a pause of 3 s
	defaultSuspicionTimeout = 400_000_000   // longer than gossip takes over another path
	defaultForgetTimeout    = 3_600_000_000_000
	minLinkTimeoutsToForget = 2
	defaultMaxMembers       = 512   // including lost ones; such a table takes 200 kB
	maxMembers              = 1_500 // a table of this size fits in one message
)

// membership returns the membership configuration, with defaults for settings that the file omits.
func (r *fileReader) membership() membership.Config {
	c := membership.Config{
		Name:             r.node,
		Address:          r.content.Advertise,
		Zone:             r.content.Zone,
		Seeds:            r.content.Seeds,
		ProbeInterval:    timeOr(r.content.Probe, defaultProbeInterval),
		LinkTimeout:      timeOr(r.content.Silence, defaultLinkTimeout),
		SuspicionTimeout: timeOr(r.content.Settle, defaultSuspicionTimeout),
		ForgetTimeout:    timeOr(r.content.Forget, defaultForgetTimeout),
		MaxMembers:       defaultMaxMembers,
	}
	if c.Address == "" {
		c.Address = r.content.Bind
	}
	if r.content.Members != nil {
		c.MaxMembers = *r.content.Members
	}
	return c
}

// timeOr returns t in nanoseconds, or defaultNS if t is nil.
func timeOr(t *configfile.Time, defaultNS int64) int64 {
	if t == nil {
		return defaultNS
	}
	return int64(*t)
}

// checkAddress checks that peers can connect to the address at a path of the file.
func (r *fileReader) checkAddress(address string, path ...string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		r.fail(fmt.Sprintf("%q is not an address with a port", address), `write it as "192.0.2.7:7946"; host names are not resolved`, path...)
	case parsed.Port() == 0:
		r.fail("has port 0, expected 1 to 65535", "choose a fixed port", path...)
	case parsed.Addr().IsUnspecified() && (path[0] != "bind" || !r.content.AnyAddress):
		r.fail("is the unspecified address, which is open to all networks; peers do not authenticate each other",
			"choose an address on a trusted network, or set any_address: true for bind", path...)
	}
}

func (r *fileReader) checkTiming(c *membership.Config) {
	if c.ProbeInterval < minProbeInterval {
		r.fail("is shorter than 50 ms", "choose 50 ms or more", "probe")
	}
	if c.LinkTimeout < minProbesPerTimeout*c.ProbeInterval {
		r.fail(fmt.Sprintf("is shorter than %d probe intervals, so that a few lost probes end a link", minProbesPerTimeout),
			"make it longer, or make probe shorter", "silence")
	}
	if c.SuspicionTimeout > c.LinkTimeout {
		r.fail("is longer than silence, which is its upper bound", "make it shorter: it only needs to cover a change of links", "settle")
	}
	if c.ForgetTimeout < minLinkTimeoutsToForget*c.LinkTimeout {
		r.fail("is shorter than twice silence, which is its lower bound", "make it longer: lost members are probed until then", "forget")
	}
}
