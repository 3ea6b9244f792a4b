package processfleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/node"
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
// virtual time; its clock is wall time.
type processVersions struct {
	*virtualVersions
	p     *processes
	fleet envelope.FleetID

	mu     sync.Mutex
	marks  map[uint64]configsync.Digest // as nodes had them in force
	has    []configsync.Revision
	up     []bool
	lives  []int
	began  []int64           // of each node's life
	empty  []bool            // without a disk, and nothing was in force since
	bytes  [][]trafficSample // of each node, since its last start
	agreed configsync.ReplicaStatus
	undone [][2]uint64 // versions between these two were taken back by the second
	ask    chan struct{}
}

// trafficSample is what a holder had sent and received, and how often it had set a peer aside.
type trafficSample struct {
	at               int64
	bytes            int64
	invalidResponses int
	incarnation      int
}

// question asks a node.
func (f *processVersions) question(i int, q *configsync.Query) (*configsync.Answer, error) {
	text, err := envelope.Seal(nil, f.fleet, node.ConfigQueryBody(q))
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
			a, err := f.question(i, &configsync.Query{Kind: configsync.QueryStatus})
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
	m, mark := f.members[i], a.Status.Revision
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
	f.recordReplica(a.ReplicaStatus)
}

// recordReplica notes what the newest answer of a replica has agreed on, nil for the answer of a node; under the lock.
func (f *processVersions) recordReplica(s *configsync.ReplicaStatus) {
	if s == nil {
		return
	}
	if s.Head.All.Version > f.agreed.Head.All.Version || s.Newest.Version > f.agreed.Newest.Version || s.Head.Stopped {
		if s.Head.Stopped && !f.agreed.Head.Stopped {
			f.logNowf("version %d is stopped by %s: %s", s.Head.Canary.Version, s.Head.StoppedBy, s.Head.StopReason)
		}
		f.agreed = *s
	} else if s.Head.Canary.Version >= f.agreed.Head.Canary.Version {
		f.agreed = *s
	}
}

// updateReachable notes who is in reach from a time on; under the lock.
func (f *processVersions) updateReachable(now int64) {
	f.recordReachability(now, func(m *member) bool { return f.up[m.index] }, func(m *member) bool { return f.empty[m.index] })
}

// playVersionsOnProcesses plays the same on built daemons, hollow nodes and processes that are seats.
func (n *Scenario) playVersionsOnProcesses(p *processes, seed int64) *Outcome {
	o := &Outcome{Seed: seed, Measures: map[string]float64{}}
	f := &processVersions{virtualVersions: newVirtualVersions(n, seed), p: p, fleet: envelope.FleetIDOf("rig"), marks: map[uint64]configsync.Digest{},
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
