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
	minProbesPerTimeout     = 4             // so that some lost probes don't end a link
	defaultLinkTimeout      = 3_500_000_000 // longer than a pause of 3 s
	defaultSuspicionTimeout = 400_000_000   // longer than gossip takes on another path
	defaultForgetTimeout    = 3_600_000_000_000
	minLinkTimeoutsToForget = 2
	defaultMaxMembers       = 512   // live and failed ones: 200 kB
	maxMembers              = 1_500 // whose table fits in one message
)

// membership returns the membership's configuration, with defaults for what the file doesn't set.
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

// timeOr returns a time in nanoseconds, or a default where it is not set.
func timeOr(t *configfile.Time, defaultNS int64) int64 {
	if t == nil {
		return defaultNS
	}
	return int64(*t)
}

// checkAddress checks the address at a path, which peers connect to.
func (r *fileReader) checkAddress(address string, path ...string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		r.fail(fmt.Sprintf("%q is no address with a port", address), `write it as "192.0.2.7:7946"; names are not looked up`, path...)
	case parsed.Port() == 0:
		r.fail("has the port 0", "choose one that all nodes can be told of", path...)
	case parsed.Addr().IsUnspecified() && (path[0] != "bind" || !r.content.AnyAddress):
		r.fail("is every address of the machine; there is no sign-in between peers",
			"name the one on the trusted network, or set any_address: true for bind", path...)
	}
}

func (r *fileReader) checkTiming(c *membership.Config) {
	if c.ProbeInterval < minProbeInterval {
		r.fail("is shorter than 50 ms", "choose a longer one", "probe")
	}
	if c.LinkTimeout < minProbesPerTimeout*c.ProbeInterval {
		r.fail(fmt.Sprintf("holds fewer than %d probes, so that some lost ones end a link", minProbesPerTimeout),
			"make it longer, or probe shorter", "silence")
	}
	if c.SuspicionTimeout > c.LinkTimeout {
		r.fail("is longer than silence", "make it shorter: it bridges a change of links", "settle")
	}
	if c.ForgetTimeout < minLinkTimeoutsToForget*c.LinkTimeout {
		r.fail("is shorter than two silences", "make it longer: the lost are looked for until then", "forget")
	}
}
