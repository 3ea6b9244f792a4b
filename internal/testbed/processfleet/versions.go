package processfleet

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/testbed/virtualfleet"
)

const (
	putAgain      = 1_500 * ms // ns without an answer after which a caller asks another seat
	maxPutChanges = 100        // changes in one put: those that gathered since the last one
	maxPieceItems = 600        // items in one piece of the content that a fleet begins with
	maxAdoptTime  = 20 * ms    // ns until a node has a version in force, at the most
	maxWriteTime  = 10 * ms    // ns until it is on a node's disk
	maxSyncTime   = 4 * ms     // ns until a seat's write is
	lookAgain     = second     // ns between looks at links, which change without the view
	sealed        = envelope.FleetID(1)
	newBuild      = `"of a later build"` // a value that nodes of the build before can't take
)

// Versions has a scenario play versions of the configuration, over seats that agree on their order.
type Versions struct {
	Seats      int             // of the nodes, spread over the zones
	Regions    int             // that zones are dealt to, in turn
	Zones      int             // that nodes are dealt to, in turn
	Far        configfile.Time // that a message takes more between regions
	Tenants    int             // on all disks at the start
	Changes    []Changes       // that callers put
	Callers    int
	Old        configfile.Part // of the nodes: they are of a build that can't take what a change of kind new brings
	Membership bool            // is played below; else the fleet begins joined, and views are given by the faults
}

// Changes are changes that callers want, one each so often.
type Changes struct {
	At, For, Every configfile.Time
	New            bool // one, of what the build before can't take: it is taken back once it is stopped
}

// member is a node with what outlives its lives.
type member struct {
	*virtualfleet.Node
	index int
	seat  bool
	old   bool
	disk  storedContent
	wrote consensus.DiskContents // the seat's
	life  *nodeProcess
	held  []revisionTime
	out   []interval // when it was out of reach
	spent []int      // bytes in each second, both ways
}

// storedContent is a node's file: as sound as its digest.
type storedContent struct {
	mark    configsync.Revision
	content *configsync.Content
}

// revisionTime says since when a node has a version in force.
type revisionTime struct {
	at      int64
	version uint64
}

type interval struct{ from, to int64 }

// messageInFlight is a message with its bytes.
type messageInFlight struct {
	body any
	size int
}

// virtualVersions is a fleet of holders and seats in virtual time.
type virtualVersions struct {
	*virtualfleet.Fleet
	scenario *Scenario
	terms    *Versions
	members  []*member
	byName   map[string]*member
	seats    []string
	chance   *rand.Rand
	callers  []*proposer
	changes  []*wantedChange
	agreedAt map[uint64]int64
	digests  map[uint64]configsync.Digest
	records  map[uint64]*configsync.Record
	last     *configsync.Agreed // the newest that a replica reported
	apart    map[*member]bool   // in the region that is cut off
	wrong    []string
	back     int // versions that went back
	forked   int // versions with two contents
	stops    int
	refused  int // at nodes
	holding  bool
	bad      uint64 // the version that an older build can't take, until it is taken back
	good     uint64 // the last before it that was in force for all
	puts     []float64
	recovers []float64 // seconds until a node without a disk had a version in force
	start    int64
	lines    []string
}

func newVirtualVersions(n *Scenario, seed int64) *virtualVersions {
	t := n.Versions
	f := &virtualVersions{Fleet: virtualfleet.New(seed, n.Nodes, min(n.Contacts, n.Nodes)), scenario: n, terms: t, byName: map[string]*member{},
		chance: rand.New(rand.NewSource(seed)), agreedAt: map[uint64]int64{}, digests: map[uint64]configsync.Digest{},
		records: map[uint64]*configsync.Record{}, apart: map[*member]bool{}, last: &configsync.Agreed{}}
	f.digests[0] = configsync.Digest{}
	f.AssignZones(t.Regions, t.Zones)
	var seats []int
	for k := range t.Seats {
		seats = append(seats, k*t.Zones/t.Seats)
	}
	f.RegionLatency = int64(t.Far)
	if !t.Membership {
		f.UseStaticMembership()
	}
	for i, n := range f.Nodes {
		m := &member{Node: n, index: i, seat: slices.Contains(seats, i)}
		m.old = !m.seat && f.chance.Float64() < float64(t.Old)
		f.members = append(f.members, m)
		f.byName[n.Name] = m
		if m.seat {
			f.seats = append(f.seats, n.Name)
		}
	}
	f.NewPayload = f.begin
	for k := range max(1, t.Callers) {
		f.callers = append(f.callers, &proposer{name: fmt.Sprint("caller-", k)})
	}
	return f
}

func (f *virtualVersions) logf(form string, args ...any) {
	f.lines = append(f.lines, fmt.Sprintf("%9.3f ", float64(f.Now-f.start)/1e9)+fmt.Sprintf(form, args...))
}

// begin is a new life of a node: from its disk, or from a file without anything.
func (f *virtualVersions) begin(n *virtualfleet.Node) virtualfleet.Payload {
	m := f.byName[n.Name]
	start := configsync.InitialState{ContentRevision: m.disk.mark, Content: m.disk.content, Source: "disk"}
	l := &nodeProcess{f: f, m: m, asked: map[int]func(any, int){}, fresh: m.disk.content == nil}
	if l.fresh {
		start = configsync.InitialState{Content: &configsync.Content{}, Source: "file"}
	}
	l.woken.step = l.step
	l.seated.step = l.stepReplica
	m.life = l
	l.holder = configsync.NewReplicator(f.Now, configsync.ReplicatorConfig{Name: n.Name, Seed: f.chance.Int63()}, start)
	if s := l.holder.Status(f.Now); s.Revision != m.disk.mark || s.Source != start.Source {
		f.wrong = append(f.wrong, fmt.Sprintf("%s starts from its %s with version %d, and kept %d", n.Name, s.Source, s.Revision.Version, m.disk.mark.Version))
	}
	m.held = append(m.held, revisionTime{f.Now, m.disk.mark.Version})
	l.inbox = append(l.inbox, l.view())
	if m.seat {
		l.council = consensus.NewReplica(f.seats, n.Name, uint64(f.Now)<<8|uint64(m.index), f.Now, f.chance.Int63())
		if err := l.council.Recover(f.Now, m.wrote); err != nil {
			f.wrong = append(f.wrong, fmt.Sprintf("%s can't take its disk up: %v", n.Name, err))
		}
		l.wakeReplica(f.Now)
	}
	l.wake(f.Now)
	n.Later(lookAgain, l.viewMayHaveChanged)
	return l
}

// stop ends a life: a seat's disk has a part of what was on its way, and one that forgets has none.
func (f *virtualVersions) stop(m *member, forgets bool) {
	if !m.Up {
		return
	}
	l := m.life
	for _, w := range l.writes[:f.chance.Intn(len(l.writes)+1)] {
		m.write(w)
	}
	m.Kill()
	m.life = nil
	if forgets {
		m.disk = storedContent{}
		m.wrote = consensus.DiskContents{}
	}
}

func (m *member) spend(now int64, bytes int) {
	s := int(now / second)
	for len(m.spent) <= s {
		m.spent = append(m.spent, 0)
	}
	m.spent[s] += bytes
}

func (m *member) write(w *consensus.Write) {
	d := &m.wrote
	if w.DiscardEarlier {
		*d = consensus.DiskContents{}
		return
	}
	if w.Base != nil {
		parts := map[string][]byte{}
		for k, v := range w.Parts {
			parts[k] = v
		}
		*d = consensus.DiskContents{Base: w.Base, Parts: parts}
	}
	d.Records = append(d.Records[:len(d.Records):len(d.Records)], w.Records...)
}

// recordAgreed follows what seats agreed on: one version has one content.
func (f *virtualVersions) recordAgreed(a *configsync.Agreed) {
	for k := len(a.Log) - 1; k >= 0; k-- {
		r := a.Log[k]
		if d, known := f.digests[r.Version]; !known {
			f.digests[r.Version] = r.Digest
			f.agreedAt[r.Version] = f.Now
			f.records[r.Version] = r
		} else {
			if d != r.Digest {
				f.forked++
				f.logf("version %d has two contents", r.Version)
			}
			break
		}
	}
	x, y := &a.Head, &f.last.Head
	if f.bad == 0 || x.All.Version < f.bad {
		f.good = max(f.good, x.All.Version)
	}
	if cmp.Or(cmp.Compare(x.All.Version, y.All.Version), cmp.Compare(x.Canary.Version, y.Canary.Version), cmp.Compare(x.Newest, y.Newest)) > 0 ||
		x.Canary == y.Canary && x.Stopped && !y.Stopped {
		if x.All != y.All || x.Canary != y.Canary {
			f.logf("version %d is in force for all, %d for the first stage, %d agreed on", x.All.Version, x.Canary.Version, x.Newest)
		}
		f.last = a
	}
	f.stopped(&f.last.Head)
}
