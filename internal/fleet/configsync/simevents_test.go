package configsync

import (
	"fmt"
	"slices"
	"strings"
)

// injectRandomEvent injects one random change, crash, restart, partition or flood.
func (s *simulation) injectRandomEvent() {
	i := s.random.Intn(len(s.nodes))
	kinds := 14
	if s.largeChanges {
		kinds = 17
	}
	switch s.random.Intn(kinds) {
	case 0, 1, 2, 3:
		s.put(s.callers[s.random.Intn(2)], s.randomItem(), s.randomItem())
	case 4: // concurrent changes by both callers
		s.put(s.callers[0], s.randomItem())
		s.put(s.callers[1], s.randomItem())
	case 5:
		s.rollbackToAll(s.callers[s.random.Intn(2)])
	case 6:
		s.rollbackToRandom(s.callers[0])
	case 7, 8: // a replica's table survives the crash
		s.crashIfUp(i)
	case 9:
		s.restartRandomly(i)
	case 10:
		s.partition()
	case 11:
		s.heal()
	case 12: // a replica may crash between the commit of a change and its announcement
		s.put(s.callers[0], s.randomItem())
		s.at(s.now+30*ms, func() { s.crashIfUp(s.random.Intn(s.replicas)) })
	case 13:
		s.floodWithInvalid(i)
	case 14, 15, 16: // a change whose record exceeds one answer
		s.put(s.callers[s.random.Intn(2)], largeChange(s.random.Intn(3))...)
	}
}

func (s *simulation) randomItem() Item {
	name := fmt.Sprintf("t%d", s.random.Intn(6))
	switch s.random.Intn(12) {
	case 0, 1, 2:
		return Item{Part: Tenants, Name: name} // removed; other changes add it again
	case 3:
		return Item{Operations, name, []byte(`"new"`)}
	case 4:
		return Item{Limits, name, []byte("12")}
	}
	return Item{Tenants, name, []byte(fmt.Sprintf(`{"rate":%d}`, s.random.Intn(9)))}
}

func (s *simulation) rollbackToAll(c *caller) {
	if c.command == nil {
		s.rollback(c, s.agreed.Head().All.Version)
	}
}

func (s *simulation) rollbackToRandom(c *caller) {
	versions := s.agreed.RollbackVersions()
	if len(versions) > 0 && c.command == nil {
		s.rollback(c, versions[s.random.Intn(len(versions))])
	}
}

func (s *simulation) crashIfUp(i int) {
	if s.nodes[i].up {
		s.crash(i)
	}
}

// restartRandomly restarts a node that is down, with its disk, an older state of the disk, or an empty one.
func (s *simulation) restartRandomly(i int) {
	n := s.nodes[i]
	if n.up {
		return
	}
	switch s.random.Intn(4) {
	case 0:
		n.disk = simDisk{}
	case 1:
		n.disk = n.olderDisk
		n.maxVersion = n.olderDisk.revision.Version
	}
	s.restart(i)
}

// partition splits the fleet randomly into two sides, with a caller on each.
func (s *simulation) partition() {
	for _, n := range s.nodes {
		n.partition = s.random.Intn(2)
	}
	s.callers[0].partition = 0
	s.callers[1].partition = 1
}

func (s *simulation) heal() {
	for _, n := range s.nodes {
		n.partition = 0
	}
	for _, c := range s.callers {
		c.partition = 0
	}
}

// floodWithInvalid delivers many invalid announcements of each faulty node to a node.
func (s *simulation) floodWithInvalid(i int) {
	for _, n := range s.nodes {
		if !n.faulty || !n.up {
			continue
		}
		for range 50 {
			invalid := Message{Kind: MessageAnnounce, Head: s.agreed.Head()}
			invalid.Head.All.Version += uint64(s.random.Intn(1 << 20))
			invalid.Head.All.Digest.A = s.random.Uint64()
			invalid.Has = invalid.Head.All
			s.deliver(i, Input{Kind: DatagramReceived, From: n.name, Message: &invalid})
		}
	}
}

// largeNames holds 31 item names for each of 12 blocks.
var largeNames = func() (names [12][31]string) {
	const blocksBetween = 85
	full := 0
	for k := 0; full < len(names); k++ {
		name := fmt.Sprint("large", k)
		n := blockOf(byte(slices.Index(partNames[:], Tenants)), name)
		if n%blocksBetween != 0 || n/blocksBetween >= len(names) {
			continue
		}
		list := names[n/blocksBetween][:]
		free := slices.Index(list, "")
		if free < 0 {
			continue
		}
		list[free] = name
		if free == len(list)-1 {
			full++
		}
	}
	return names
}()

// largeChange returns, for each block of largeNames, a large item that is the same for all kinds and small items that depend on the kind.
func largeChange(kind int) (list []Item) {
	for _, names := range largeNames {
		list = append(list, Item{Tenants, names[0], []byte(`"` + strings.Repeat("x", 3_000) + `"`)})
		for k, name := range names[1:] {
			list = append(list, Item{Tenants, name, []byte(fmt.Sprintf(`{"burst":%d,"of":"%030d","rate":%d}`, k, 0, kind))})
		}
	}
	return list
}

// restart starts a node again. A replica's table is restored from a snapshot; if the node's disk is empty, it may be empty as well.
func (s *simulation) restart(i int) {
	n := s.nodes[i]
	if n.isReplica {
		text, err := n.table.Snapshot()
		if err != nil {
			s.fail("%s: %v", n.name, err)
			return
		}
		n.table, err = Restore(text)
		if err != nil {
			s.fail("%s: %v", n.name, err)
			return
		}
		if n.disk.content == nil && s.random.Intn(2) == 0 {
			n.table = NewTable()
			n.appliedEntries = 0
		}
	}
	s.start(i, 2)
}

// finish heals all faults, rolls back stopped versions, and checks that all nodes end up with the newest version in time.
func (s *simulation) finish() {
	if s.failure != "" {
		return
	}
	s.heal()
	for i, n := range s.nodes {
		if !n.up {
			s.restart(i)
		}
		n.olderBuild = false // the rollout of the new build is complete
	}
	s.loss = min(s.loss, 0.05)
	s.stragglers = 0
	for end := s.now + 30_000*ms; s.now < end && s.failure == ""; s.run(s.now + 1_000*ms) {
		if s.agreed.Head().Stopped {
			s.rollbackToAll(s.callers[0])
		}
	}
	for _, c := range s.callers {
		if c.command != nil {
			s.fail("%s still waits for %+v", c.name, c.command)
		}
	}
	for i, n := range s.nodes { // a node that refused a version under the older build must apply it after a restart
		if n.replicator.refused.Version > n.replicator.applied.Version && n.up {
			s.crash(i)
			s.restart(i)
		}
	}
	healed := s.now
	for s.unsettled() != "" && s.now < healed+10_000*ms && s.failure == "" {
		s.run(s.now + 250*ms)
	}
	if why := s.unsettled(); why != "" {
		s.fail("10 s after all faults were healed: %s", why)
	}
	s.check()
}
