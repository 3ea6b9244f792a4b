package processfleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/testbed/virtualtime"
	"topazpost/server"
)

const (
	queryInterval = 400 * time.Millisecond // between questions to a node
	maxQueries    = 64                     // at once
	putBackoff    = 50 * time.Millisecond  // between looks for something to put, and tries at seats
	putTimeout    = 60 * second            // that the first content and what is not answered yet are waited for
	newItem       = `{"aim":1000,"class_calls":true,"effect":"idempotent","give_up":4000,"importance":2}`
)

// processVersions is a fleet of processes that is asked what it has. It shares changes, callers' bookkeeping and measures with the fleet in
// virtual time; its clock is the rig's.
type processVersions struct {
	*virtualVersions
	p     *processes
	fleet envelope.Fleet

	mu     sync.Mutex
	marks  map[uint64]configsync.Digest // as nodes had them in force
	has    []configsync.Revision
	up     []bool
	lives  []int
	began  []int64           // of each node's life
	empty  []bool            // without a disk, and nothing was in force since
	bytes  [][]trafficSample // of each node, since its last start
	agreed configsync.AtSeat
	undone [][2]uint64 // versions between these two were taken back by the second
	ask    chan struct{}
}

// trafficSample is what a holder had sent and received, and how often it had set a peer aside.
type trafficSample struct {
	at    int64
	bytes int64
	lies  int
	life  int
}

// versionsFiles has the files of a fleet's nodes say that they take versions.
func (p *processes) versionsFiles(config, fleet map[string]any, i int) {
	if p.scenario.Versions == nil {
		return
	}
	if fleet != nil {
		fleet["configuration"] = map[string]any{"folder": filepath.Join(p.folder, "configuration-{name}")}
		fleet["council"].(map[string]any)["folder"] = filepath.Join(p.folder, "council-{name}")
	}
	if config != nil {
		family := config["settings"].(map[string]any)["family_info"].(map[string]any)
		if delete(family, "class_calls"); i >= 0 { // whole nodes are those that can't take it: they have no catalogue
			config["catalog"] = ""
			family["below"] = "off"
		} else {
			family["below"] = "common"
			family["calls_out"] = 1.0
		}
	}
}

// question asks a node.
func (f *processVersions) question(i int, q *configsync.Query) (*configsync.Answer, error) {
	text, err := envelope.Seal(nil, f.fleet, node.EncodeConfigQuery(q))
	if err != nil {
		return nil, err
	}
	if text, err = server.Swap(context.Background(), "", f.p.bind[i], text); err != nil {
		return nil, err
	}
	return node.DecodeConfigAnswer(text, f.fleet)
}

// watch asks a node what it has, until the play ends.
func (f *processVersions) watch(ctx context.Context, i int) {
	for ctx.Err() == nil {
		f.mu.Lock()
		up, life := f.up[i], f.lives[i]
		f.mu.Unlock()
		if up {
			f.ask <- struct{}{}
			a, err := f.question(i, &configsync.Query{Kind: configsync.ShowStanding})
			now := f.p.now()
			<-f.ask
			if err == nil && a.Status != nil {
				f.recordAnswer(i, life, now, a)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(queryInterval):
		}
	}
}

// recordAnswer notes what a node has: since when, and whether that went back.
func (f *processVersions) recordAnswer(i, life int, now int64, a *configsync.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lives[i] != life || !f.up[i] {
		return
	}
	m, mark := f.members[i], a.Status.Mark
	if last := f.has[i]; mark != last {
		if mark.Version < last.Version {
			f.back++
			f.logNowf("n%d goes from version %d to %d", i, last.Version, mark.Version)
		}
		f.has[i] = mark
		at := max(now-a.Status.TakenNS, f.began[i])
		m.held = append(m.held, revisionTime{at, mark.Version})
		if f.empty[i] && mark.Version > 0 {
			f.empty[i] = false
			f.recovers = append(f.recovers, seconds(at-f.began[i]))
			f.updateReachable(at)
		}
	}
	if d, known := f.marks[mark.Version]; mark.Version > 0 && known && d != mark.Digest {
		f.forked++
	} else if mark.Version > 0 {
		f.marks[mark.Version] = mark.Digest
	}
	c := &a.Status.Counters
	f.bytes[i] = append(f.bytes[i], trafficSample{now, c.BytesSent + c.BytesReceived, c.InvalidResponses, life})
	f.recordReplica(a.Seat)
}

// recordReplica notes what the newest answer of a replica has agreed on, nil for the answer of a node; under the lock.
func (f *processVersions) recordReplica(s *configsync.AtSeat) {
	if s == nil {
		return
	}
	if s.Head.All.Version > f.agreed.Head.All.Version || s.Newest.Version > f.agreed.Newest.Version || s.Head.Stopped {
		if s.Head.Stopped && !f.agreed.Head.Stopped {
			f.logNowf("version %d is stopped by %s: %s", s.Head.First.Version, s.Head.Who, s.Head.Why)
		}
		f.agreed = *s
	} else if s.Head.First.Version >= f.agreed.Head.First.Version {
		f.agreed = *s
	}
}

// updateReachable notes who is in reach from a time on; under the lock.
func (f *processVersions) updateReachable(now int64) {
	f.recordReachability(now, func(m *member) bool { return f.up[m.index] }, func(m *member) bool { return f.empty[m.index] })
}

// put has one command ordered, at one seat after the other until there is a verdict.
func (f *processVersions) put(ctx context.Context, c *configsync.Command, chance *rand.Rand) *configsync.Verdict {
	for ctx.Err() == nil {
		i := chance.Intn(f.terms.Seats)
		f.mu.Lock()
		up := f.up[i]
		f.mu.Unlock()
		if up {
			if a, err := f.question(i, &configsync.Query{Kind: configsync.Propose, Command: c}); err == nil && a.Verdict != nil {
				return a.Verdict
			}
		}
		time.Sleep(putBackoff)
	}
	return nil
}

// putAll puts what callers want at its time, one command at a time.
func (f *processVersions) putAll(ctx context.Context, list []timedChange, base uint64) {
	chance, seq := rand.New(rand.NewSource(f.p.seed)), uint64(0)
	for len(list) > 0 && ctx.Err() == nil {
		n, named := 0, map[string]bool{} // a put has each item once, and what is new alone
		for now := f.p.now(); n < len(list) && n < maxPutChanges && list[n].at <= now && (n == 0 || !list[n].isNew && !list[0].isNew) && !named[list[n].item.Name]; n++ {
			named[list[n].item.Name] = true
		}
		if n == 0 {
			time.Sleep(putBackoff)
			continue
		}
		some, began := list[:n], f.p.now()
		list = list[n:]
		command := &configsync.Command{Kind: configsync.Put, From: "rig"}
		for _, x := range some {
			command.Changes = append(command.Changes, x.item)
		}
		v := f.until(ctx, command, &seq, &base, chance)
		if v == nil {
			return
		}
		f.mu.Lock()
		for _, x := range some {
			x.version = v.Version
		}
		f.agreedAt[v.Version] = began // not later than it was agreed on
		f.puts = append(f.puts, seconds(f.p.now()-began))
		f.mu.Unlock()
		if some[0].isNew {
			f.rollBackTo(ctx, v.Version, &seq, &base, chance)
		}
	}
}

// until puts a command anew on the newest version until it is done.
func (f *processVersions) until(ctx context.Context, command *configsync.Command, seq, base *uint64, chance *rand.Rand) *configsync.Verdict {
	for ctx.Err() == nil {
		again := *command
		*seq++
		again.Seq = *seq
		again.Base = *base
		v := f.put(ctx, &again, chance)
		if v == nil {
			return nil
		}
		if *base = v.Version; v.Done {
			return v
		}
		f.mu.Lock()
		f.logNowf("a change is refused: %s", v.Refused)
		f.mu.Unlock()
		time.Sleep(putBackoff)
	}
	return nil
}

// rollBackTo waits until what an older build can't take is stopped, and goes back.
func (f *processVersions) rollBackTo(ctx context.Context, version uint64, seq, base *uint64, chance *rand.Rand) {
	for ctx.Err() == nil {
		f.mu.Lock()
		h := f.agreed.Head
		good := f.agreed.Good
		f.mu.Unlock()
		to := h.All.Version
		switch {
		case h.Stopped && h.First.Version >= version:
			f.stops++
		case to >= version && len(good) > 0:
			to = good[len(good)-1]
		default:
			time.Sleep(putBackoff)
			continue
		}
		v := f.until(ctx, &configsync.Command{Kind: configsync.Rollback, From: "rig", Version: to}, seq, base, chance)
		if v != nil {
			f.mu.Lock()
			f.undone = append(f.undone, [2]uint64{to, v.Version})
			f.logNowf("version %d takes version %d back to %d", v.Version, version, to)
			f.mu.Unlock()
		}
		return
	}
}

// timedChange is a change that is wanted at a time.
type timedChange struct {
	*wantedChange
	at int64
}

// wantedAt draws the changes of a play.
func (f *processVersions) wantedAt(start, end int64) (list []timedChange) {
	for _, c := range f.terms.Changes {
		last := min(end, start+int64(c.At)+int64(c.For)+1)
		for at := start + int64(c.At); at < last; at += int64(c.Every) {
			x := &wantedChange{isNew: c.New, item: tenantOf(f.chance.Intn(f.terms.Tenants), len(list)+1)}
			if c.New {
				x.item = configsync.Item{Part: configsync.Operations, Name: "new", Value: []byte(newItem)}
			}
			f.changes = append(f.changes, x)
			list = append(list, timedChange{x, at})
			if c.Every <= 0 {
				break
			}
		}
	}
	slices.SortStableFunc(list, func(a, b timedChange) int { return cmp.Compare(a.at, b.at) })
	return list
}

func tenantOf(k, count int) configsync.Item {
	return configsync.Item{Part: configsync.Tenants, Name: fmt.Sprintf("tenant-%05d", k), Value: fmt.Appendf(nil, `{"quota_rps":%d}`, 1+count)}
}

// playVersionsOnProcesses plays the same on built daemons, hollow nodes and processes that are seats.
func (n *Scenario) playVersionsOnProcesses(p *processes, seed int64) *Outcome {
	o := &Outcome{Seed: seed, Measures: map[string]float64{}}
	f := &processVersions{virtualVersions: newVirtualVersions(n, seed), p: p, fleet: envelope.FleetOf("rig"), marks: map[uint64]configsync.Digest{},
		has: make([]configsync.Revision, n.Nodes), up: make([]bool, n.Nodes), lives: make([]int, n.Nodes), began: make([]int64, n.Nodes), empty: make([]bool, n.Nodes), bytes: make([][]trafficSample, n.Nodes),
		ask: make(chan struct{}, maxQueries)}
	f.Simulator = virtualtime.New(seed, 0)
	for i, m := range f.members {
		m.seat = i < n.Versions.Seats
	}
	defer func() { o.Timeline = f.lines }()
	all := make([]int, n.Nodes)
	for i := range all {
		all[i] = i
		f.up[i] = true
	}
	began := time.Now()
	if err := startAll(p, all, n.JoinOver); err != nil {
		o.Failed = err.Error()
		return o
	}
	if o.Measures["joined_s"] = seconds(n.runUntilAgreed(p, int64(n.Join*1e9), f.up)); o.Measures["joined_s"] < 0 {
		o.Failed = "the fleet did not come to one view"
		return o
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for i := range all {
		go f.watch(ctx, i)
	}
	base, err := f.loadFile(ctx)
	if err != nil {
		o.Failed = err.Error()
		return o
	}
	p.run(p.now() + 2*quietPeriod)
	start := p.now()
	f.start = start
	end := start + int64(n.Seconds*1e9)
	done := make(chan struct{})
	list := f.wantedAt(start, end)
	go func() { f.putAll(ctx, list, base); close(done) }()
	if err := f.playFaults(start, end); err != nil {
		o.Failed = err.Error()
		return o
	}
	healed := p.now()
	select {
	case <-done:
	case <-time.After(time.Duration(putTimeout)):
	}
	o.Measures["healed_s"] = 1e9
	for p.now() < healed+int64(n.Calm*1e9) {
		if f.allAt() {
			o.Measures["healed_s"] = seconds(p.now() - healed)
			break
		}
		time.Sleep(putBackoff)
	}
	time.Sleep(queryInterval + time.Second)
	stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Now = p.now()
	o.Measures["pace"] = float64(f.Now) / float64(max(1, time.Since(began)))
	f.measurePolled(o.Measures, start)
	return o
}

// loadFile puts the operations and limits of a whole node's file and the first tenants, and waits until all have them.
func (f *processVersions) loadFile(ctx context.Context) (uint64, error) {
	text, err := json.Marshal(f.p.config(0))
	if err != nil {
		return 0, err
	}
	n, err := server.DecodeConfig(bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	var items []configsync.Item
	found, _ := nodeconfig.Diff(nil, n.Settings)
	for k := range found {
		items = append(items, configsync.Item(found[k]))
	}
	for k := range f.terms.Tenants {
		items = append(items, tenantOf(k, 0))
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(putTimeout))
	defer stop()
	chance, version := rand.New(rand.NewSource(f.p.seed)), uint64(0)
	for k := 0; k < len(items); k += maxPieceItems {
		c := &configsync.Command{Kind: configsync.Put, From: "file", Seq: uint64(k/maxPieceItems) + 1, Piece: k / maxPieceItems,
			More: k+maxPieceItems < len(items), Changes: items[k:min(len(items), k+maxPieceItems)]}
		v := f.put(ctx, c, chance)
		if v == nil || !v.Done {
			return 0, fmt.Errorf("the first content was not put: %+v", v)
		}
		version = v.Version
	}
	for ctx.Err() == nil {
		f.mu.Lock()
		behind := slices.IndexFunc(f.has, func(m configsync.Revision) bool { return m.Version < version })
		f.mu.Unlock()
		if behind < 0 {
			return version, nil
		}
		time.Sleep(putBackoff)
	}
	return 0, fmt.Errorf("the first content was not in force everywhere within %.0f s", seconds(putTimeout))
}

// allAt says whether all nodes have the newest version that was acknowledged in force.
func (f *processVersions) allAt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := uint64(0)
	for _, c := range f.changes {
		newest = max(newest, c.version)
	}
	return !slices.ContainsFunc(f.has, func(m configsync.Revision) bool { return m.Version < newest })
}

// logLockedf is a line of the timeline, sayNow one under the lock.
func (f *processVersions) logLockedf(form string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logNowf(form, args...)
}

func (f *processVersions) logNowf(form string, args ...any) {
	f.Now = f.p.now()
	f.logf(form, args...)
}

// seatFlags are those of a process that is a seat and serves nothing.
func (p *processes) seatFlags(i int, fleet string) []string {
	return []string{"seat", "--name", name(i), fleet}
}
