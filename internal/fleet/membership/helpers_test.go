package membership

import (
	"fmt"
	"slices"
)

const second = 1_000 * ms

var testConfig = Config{Name: "a", Address: "10.0.0.1:9", ProbeInterval: 500 * ms, LinkTimeout: 3_500 * ms, SuspicionTimeout: 400 * ms, ForgetTimeout: 60 * second, MaxMembers: 1_000}

// record returns a record of the member with the given name, incarnation and links.
func record(name string, incarnation uint64, links ...string) Record {
	r := Record{Name: name, Address: "10.0.1." + name + ":9", StartedAt: int64(incarnation), Incarnation: incarnation}
	for _, l := range links {
		r.Links = append(r.Links, IDOf(l))
	}
	slices.Sort(r.Links)
	return r
}

// bringLinksUp runs the first step of a node and marks the links that it opens as up.
func bringLinksUp(m *Members) *Members {
	m.Step(second, 100, nil)
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 {
			l.up, l.confirmedAt = true, m.unpausedTime
		}
	}
	m.linksDirty = true
	m.Step(second+300*ms, 100, nil)
	return m
}

// newLinkedMembers returns node a, started at 100, in a view with others. All of them have links with each other.
func newLinkedMembers(others ...string) *Members {
	m := New(testConfig, second, 100, 0, 1)
	all := append([]string{"a"}, others...)
	for _, name := range others {
		r := record(name, 100, slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == name })...)
		m.applyRecord(&r, -1)
	}
	return bringLinksUp(m)
}

// newLargeFleet returns a node with links to its neighbours only, among n members that are linked in a ring.
func newLargeFleet(n int) *Members {
	m := New(testConfig, second, 100, 0, 1)
	name := func(i int) string { return fmt.Sprint("m", (i+n)%n) }
	for i := range n {
		r := record(name(i), 100, name(i-1), name(i+1), "a")
		m.applyRecord(&r, -1)
	}
	return bringLinksUp(m)
}

// ackPings returns acks for the last ping of each link.
func ackPings(m *Members) (inputs []Input) {
	for k := range m.links {
		if l := &m.links[k]; l.member >= 0 {
			inputs = append(inputs, Input{Kind: DatagramReceived, Message: &Message{Kind: MessageAck, From: m.members[l.member].id, Seq: l.pingSeq, Digest: m.digest}})
		}
	}
	return inputs
}

// changeTexts returns the member and cause of each change of the view among the effects.
func changeTexts(effects []Effect) (list []string) {
	for _, e := range effects {
		if e.Kind == ViewChanged {
			list = append(list, e.Change.Member+" "+CauseNames[e.Change.Cause])
		}
	}
	return list
}

// runUntil steps at each wake from a time to another and returns the changes of the view. If answered is set, all pings are
// answered at once.
func runUntil(m *Members, from, to int64, answered bool) (list []string) {
	for now := from; now < to; {
		effects, wake := m.Step(now, now, nil)
		list = append(list, changeTexts(effects)...)
		if answered {
			effects, wake = m.Step(now, now, ackPings(m))
			list = append(list, changeTexts(effects)...)
		}
		now = max(wake, now+1)
	}
	return list
}

// runBriefly returns the changes of the view within 100 ms, with all pings answered.
func runBriefly(m *Members) []string { return runUntil(m, m.wakeAt, m.wakeAt+100*ms, true) }
