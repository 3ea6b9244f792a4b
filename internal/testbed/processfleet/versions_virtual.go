package processfleet

import (
	"fmt"
	"math"
	"slices"
	"time"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
)

const (
	inForce     = 10 * second                           // in which a change is to be in force
	reachStep   = 100 * ms                              // between looks at who is in reach
	lasting     = math.MaxInt64                         // the end of a stretch that goes on
	noticed     = 500 * ms                              // until an operator takes back what was stopped
	loadTimeout = 60 * second                           // for the first content to be agreed on
	joinTimeout = 60 * second                           // for one view, where membership is played
	quietPeriod = 10 * second                           // at the start in which traffic is that of an idle fleet; after it has been quiet as long
	window      = 15                                    // seconds over which a node's bytes are bounded
	rebuilt     = 20                                    // nodes whose content is digested anew in the end
	lateNamed   = 6                                     // nodes that a line of the timeline names
	itemText    = `{"burst":40,"key":"%08x","rate":%d}` // with its name some 55 bytes, as 6 MB for 130,000 tenants have
)

// wantedChange is one that a caller wants.
type wantedChange struct {
	item    configsync.Item
	version uint64 // 0 until it is acknowledged
	isNew   bool
}

// proposer is a caller that puts what gathered, one command at a time, at any seat.
type proposer struct {
	name    string
	seq     uint64
	base    uint64
	waiting []*wantedChange
	inHand  []*wantedChange
	command *configsync.Command
	sent    int64
	begun   int64
}

// propose has a command taken to a seat that is up, and again to another while it isn't answered.
func (f *virtualVersions) propose(c *proposer) {
	command := c.command
	c.sent = f.Now
	if m := f.byName[f.seats[f.chance.Intn(len(f.seats))]]; m.Up {
		in := consensus.Input{ConfigCommands: []configsync.Command{*command}, Owner: claims.Owner{Name: c.name, Incarnation: 1}}
		f.After(ms, func() {
			if m.Up && m.life != nil {
				m.life.deliverToReplica(in)
			}
		})
	} else {
		c.sent -= putAgain - reachStep // the connection is refused
	}
	f.At(c.sent+putAgain, func() {
		if c.command == command && f.Now >= c.sent+putAgain {
			f.propose(c)
		}
	})
}

// next has a caller put what it has gathered.
func (f *virtualVersions) next(c *proposer) {
	if c.command != nil || len(c.waiting) == 0 || f.holding && !c.waiting[0].isNew {
		return
	}
	n := min(len(c.waiting), maxPutChanges)
	if c.waiting[0].isNew { // by itself
		n = 1
	}
	c.inHand = c.waiting[:n]
	c.waiting = c.waiting[n:]
	c.begun = f.Now
	c.seq++
	c.command = &configsync.Command{Kind: configsync.CommandPut, Caller: c.name, Seq: c.seq, Base: c.base}
	for _, x := range c.inHand {
		c.command.Changes = append(c.command.Changes, x.item)
	}
	f.propose(c)
}

// decided takes the verdicts on what a proposer put.
func (f *virtualVersions) decided(c *proposer, list []configsync.Verdict) {
	for i := range list {
		v := &list[i]
		if c.command == nil || v.Seq != c.command.Seq {
			continue
		}
		if !v.Done { // made anew on the newest
			if !v.Stale {
				f.logf("%s is refused: %s", c.name, v.Refused)
			}
			again := *c.command
			c.seq++
			again.Seq = c.seq
			again.Base = v.Version
			c.base = v.Version
			c.command = &again
			f.propose(c)
			continue
		}
		c.base = v.Version
		for _, x := range c.inHand {
			if x.version = v.Version; x.isNew {
				f.bad = v.Version
				f.logf("version %d is of a later build", v.Version)
			}
		}
		if c.command.Kind == configsync.CommandRollback {
			f.holding = false
			f.logf("version %d takes it back", v.Version)
		} else if len(c.inHand) > 0 {
			f.puts = append(f.puts, seconds(f.Now-c.begun))
		}
		c.inHand = nil
		c.command = nil
		for _, other := range f.callers {
			f.next(other)
		}
	}
}

// stopped has an operator take back what was stopped, or what came through though some can't take it.
func (f *virtualVersions) stopped(h *configsync.RolloutState) {
	if f.bad == 0 || (!h.Stopped || h.Canary.Version < f.bad) && h.All.Version < f.bad {
		return
	}
	if h.Stopped {
		f.stops++
		f.logf("version %d is stopped by %s: %s", h.Canary.Version, h.StoppedBy, h.StopReason)
	}
	to := f.good
	f.bad = 0
	f.After(noticed, func() { f.rollBack(to) })
}

func (f *virtualVersions) rollBack(to uint64) {
	c := f.callers[0]
	if c.command != nil {
		f.After(reachStep, func() { f.rollBack(to) })
		return
	}
	c.seq++
	c.command = &configsync.Command{Kind: configsync.CommandRollback, Caller: c.name, Seq: c.seq, Version: to}
	f.propose(c)
}

// load has the seats agree on the first content, which all other disks hold then.
func (f *virtualVersions) load() error {
	for _, name := range f.seats {
		f.byName[name].Start()
	}
	var items []configsync.Item
	for k := range max(1, f.terms.Tenants) {
		items = append(items, f.tenant(k, 0))
	}
	file := &proposer{name: "file"}
	f.callers = append(f.callers, file)
	for k := 0; k < len(items); k += maxPieceItems {
		file.seq++
		file.command = &configsync.Command{Kind: configsync.CommandPut, Caller: file.name, Seq: file.seq, Piece: k / maxPieceItems,
			MorePieces: k+maxPieceItems < len(items), Changes: items[k:min(len(items), k+maxPieceItems)]}
		f.propose(file)
		if f.RunUntil(loadTimeout, func() bool { return file.command == nil }) < 0 {
			return fmt.Errorf("the seats did not agree on the first content")
		}
	}
	f.callers = f.callers[:len(f.callers)-1]
	if f.RunUntil(loadTimeout, func() bool { return f.last.Head.All.Version == 1 && f.settled() == "" }) < 0 {
		return fmt.Errorf("the first content was not in force at the seats: %s", f.settled())
	}
	for _, m := range f.members {
		if !m.seat {
			m.disk = storedContent{f.last.Head.All, f.last.All}
		}
	}
	for _, c := range f.callers {
		c.base = 1
	}
	return nil
}

func (f *virtualVersions) tenant(k, count int) configsync.Item {
	return configsync.Item{Part: configsync.Tenants, Name: fmt.Sprintf("tenant-%05d", k),
		Value: fmt.Appendf(nil, itemText, f.chance.Uint32(), count)}
}

// settled says what isn't as it must be in the end.
func (f *virtualVersions) settled() string {
	h := &f.last.Head
	if h.Canary != h.All || h.Newest != h.All.Version {
		return fmt.Sprintf("version %d of %d is in force for all", h.All.Version, h.Newest)
	}
	for _, m := range f.members {
		if m.Up && m.life.holder.Revision() != h.All {
			return fmt.Sprintf("%s has version %d, %d is in force for all", m.Name, m.life.holder.Revision().Version, h.All.Version)
		}
	}
	return ""
}

// scheduleChanges lays changes and faults out in time.
func (f *virtualVersions) scheduleChanges(end int64) {
	count := 0
	for _, c := range f.terms.Changes {
		last := min(end, f.start+int64(c.At)+int64(c.For)+1)
		for at := f.start + int64(c.At); at < last; at += int64(c.Every) {
			count++
			x := &wantedChange{isNew: c.New, item: f.tenant(f.chance.Intn(f.terms.Tenants), count)}
			if c.New {
				x.item = configsync.Item{Part: configsync.Operations, Name: "new", Value: []byte(newBuild)}
			}
			f.changes = append(f.changes, x)
			by := f.callers[f.chance.Intn(len(f.callers))]
			f.At(at, func() { f.want(by, x) })
			if c.Every <= 0 {
				break
			}
		}
	}
	for _, fault := range f.scenario.Faults {
		for at := f.start + int64(fault.At); at < end; at += int64(fault.Every) {
			f.At(at, func() { f.beginFault(&fault, end) })
			if fault.Every <= 0 {
				break
			}
		}
	}
}

// want has a caller put a change; what is of a new build alone, with all others waiting.
func (f *virtualVersions) want(by *proposer, x *wantedChange) {
	if x.isNew {
		f.holding = true
		by.waiting = slices.Insert(slices.Clone(by.waiting), 0, x)
	} else {
		by.waiting = append(by.waiting, x)
	}
	f.next(by)
}

// drawMembers is whom a fault concerns: one node or seat that is up, all seats, or those of a zone.
func (f *virtualVersions) drawMembers(who string) (list []*member) {
	if who == "seats" {
		return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return !m.seat || !m.Up })
	}
	for _, i := range f.chance.Perm(len(f.members)) {
		m := f.members[i]
		if m.Up && (who == "zone" || m.seat == (who == "seat")) {
			if list = append(list, m); who != "zone" {
				return list
			}
		}
	}
	if len(list) > 0 {
		zone := list[0].Zone
		list = slices.DeleteFunc(list, func(m *member) bool { return m.Zone != zone })
	}
	return list
}

// beginFault begins a fault and has it end.
func (f *virtualVersions) beginFault(fault *Fault, end int64) {
	back := min(f.Now+int64(fault.For), end)
	switch fault.Kind {
	case "kill":
		list := f.drawMembers(fault.Who)
		for _, m := range list {
			f.stop(m, fault.Shape == "forgets")
			f.At(back, func() {
				if !m.Up {
					m.Start()
				}
			})
		}
		if len(list) > 0 {
			f.logf("FAULT %d killed: %s of %s, for %.0f s %s", len(list), list[0].Name, list[0].Zone, seconds(back-f.Now), fault.Shape)
		}
	case "cut":
		region, seats := fmt.Sprint("r", f.chance.Intn(f.terms.Regions)), 0
		f.CutOff(region)
		within := f.Within(region)
		for _, n := range within {
			m := f.byName[n.Name]
			if f.apart[m] = true; m.seat {
				seats++
			}
		}
		f.logf("FAULT region %s is cut off: %d nodes, %d seats, for %.0f s", region, len(within), seats, seconds(back-f.Now))
		f.At(back, func() {
			f.RemoveCuts()
			clear(f.apart)
		})
	case "loss":
		f.LossRate = float64(fault.Part)
		f.DuplicateRate = float64(fault.Part) / 5
		f.LateRate = float64(fault.Part) / 50
		f.MaxLate = 30 * second
		f.At(back, f.removeLinkFaults)
	}
}

func (f *virtualVersions) removeLinkFaults() { f.LossRate, f.DuplicateRate, f.LateRate = 0, 0, 0 }

// recordReachability notes who is in reach from now on: up, with a majority of all seats up on its side of a cut, and not still recovering
// from a lost disk. Both kinds of play measure by it.
func (f *virtualVersions) recordReachability(now int64, up, recovering func(*member) bool) {
	seats := map[bool]int{} // that are up, by side
	all := 0
	for _, m := range f.members {
		if m.seat {
			all++
			if up(m) {
				seats[f.apart[m]]++
			}
		}
	}
	for _, m := range f.members {
		in := up(m) && 2*seats[f.apart[m]] > all && !recovering(m)
		switch k := len(m.out); {
		case !in && (k == 0 || m.out[k-1].to != lasting):
			m.out = append(m.out, interval{now, lasting})
		case in && k > 0 && m.out[k-1].to == lasting:
			m.out[k-1].to = now
		}
	}
}

// updateReachability looks again and again at who is in updateReachability.
func (f *virtualVersions) updateReachability() {
	f.recordReachability(f.Now, func(m *member) bool { return m.Up }, func(m *member) bool { return m.life.fresh })
	f.After(reachStep, f.updateReachability)
}

// playVersionsInVirtualTime plays changes and faults, heals all, and measures.
func (n *Scenario) playVersionsInVirtualTime(seed int64) *Outcome {
	o := &Outcome{Seed: seed, Measures: map[string]float64{}}
	began := time.Now()
	f := newVirtualVersions(n, seed)
	defer func() { o.Timeline = f.lines }()
	if err := f.load(); err != nil {
		o.Failed = err.Error()
		return o
	}
	for _, m := range f.members {
		if !m.Up {
			m.Start()
		}
	}
	joined := func() bool { return !f.terms.Membership || f.Agreed() }
	if o.Measures["joined_s"] = seconds(f.RunUntil(joinTimeout, joined)); o.Measures["joined_s"] < 0 {
		o.Failed = "the fleet did not come to one view"
		return o
	}
	f.Run((f.Now/second + 1 + 2*quietPeriod/second) * second) // words that a start brings are over
	f.start = f.Now
	f.recovers = nil
	o.Measures["idle_bytes"] = f.mean(f.start-quietPeriod, f.start)
	end := f.start + int64(n.Seconds*1e9)
	f.scheduleChanges(end)
	f.updateReachability()
	f.Run(end)
	f.RemoveCuts()
	f.removeLinkFaults()
	for _, m := range f.members {
		if !m.Up {
			m.Start()
		}
	}
	clear(f.apart)
	healed, last := f.Now, f.last.Head.Newest
	o.Measures["healed_s"] = seconds(f.RunUntil(int64(n.Calm*1e9), func() bool {
		return !slices.ContainsFunc(f.members, func(m *member) bool { return m.life.holder.Revision().Version < last })
	}))
	if o.Measures["healed_s"] < 0 {
		o.Measures["healed_s"] = math.Inf(1)
	}
	f.Run(healed + int64(n.Calm*1e9))
	if why := f.settled(); why != "" {
		f.logf("in the end: %s", why)
	}
	o.Measures["pace"] = float64(f.Now) / float64(max(1, time.Since(began)))
	f.measure(o.Measures)
	if len(f.wrong) > 0 {
		o.Failed = fmt.Sprintf("%d things were wrong: %s", len(f.wrong), f.wrong[0])
	}
	return o
}
