package processfleet

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/testbed/virtualfleet"
)

const (
	putAgain  = 1_500 * ms // ns without an answer after which a caller asks another seat
	putMost   = 100        // changes in one put: those that gathered since the last one
	pieceMost = 600        // items in one piece of the content that a fleet begins with
	takeMost  = 20 * ms    // ns until a node has a version in force, at the most
	writeMost = 10 * ms    // ns until it is on a node's disk
	syncMost  = 4 * ms     // ns until a seat's write is
	lookAgain = second     // ns between looks at links, which change without the view
	sealed    = envelope.Fleet(1)
	newBuild  = `"of a later build"` // a value that nodes of the build before can't take
)

// Versions has a night play versions of the configuration, over seats that agree on their order.
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
	disk  kept
	wrote consensus.DiskContents // the seat's
	life  *nodeProcess
	held  []taken
	out   []interval // when it was out of reach
	spent []int      // bytes in each second, both ways
}

// kept is a node's file: as sound as its digest.
type kept struct {
	mark    configsync.Revision
	content *configsync.Content
}

// taken says since when a node has a version in force.
type taken struct {
	at      int64
	version uint64
}

type interval struct{ from, to int64 }

// nodeProcess is one nodeProcess of a member: its holder, and its seat where it has one.
type nodeProcess struct {
	f       *virtualVersions
	m       *member
	holder  *configsync.Replicator
	inbox   []configsync.Input
	woken   timer // of the holder
	asked   map[int]func(body any, size int)
	links   int
	council *consensus.Group
	toSeat  []consensus.Input
	seated  timer // of the seat
	current bool  // as the holder knows of its seat
	writes  []*consensus.Write
	free    int64 // when the seat's disk has nothing to do
	fresh   bool  // began without a disk, and has taken nothing since
}

// parcel is a message with its bytes.
type parcel struct {
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
	callers  []*putter
	changes  []*change
	agreedAt map[uint64]int64
	digests  map[uint64]configsync.Digest
	records  map[uint64]*configsync.Record
	last     *configsync.Agreed // the newest that a seat told
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
		f.callers = append(f.callers, &putter{name: fmt.Sprint("caller-", k)})
	}
	return f
}

func (f *virtualVersions) logf(form string, args ...any) {
	f.lines = append(f.lines, fmt.Sprintf("%9.3f ", float64(f.Now-f.start)/1e9)+fmt.Sprintf(form, args...))
}

// begin is a new life of a node: from its disk, or from a file without anything.
func (f *virtualVersions) begin(n *virtualfleet.Node) virtualfleet.Payload {
	m := f.byName[n.Name]
	start := configsync.InitialState{Mark: m.disk.mark, Content: m.disk.content, Source: "disk"}
	l := &nodeProcess{f: f, m: m, asked: map[int]func(any, int){}, fresh: m.disk.content == nil}
	if l.fresh {
		start = configsync.InitialState{Content: &configsync.Content{}, Source: "file"}
	}
	l.woken.step, l.seated.step = l.step, l.stepReplica
	m.life = l
	l.holder = configsync.NewReplicator(f.Now, configsync.ReplicatorConfig{Name: n.Name, Seed: f.chance.Int63()}, start)
	if s := l.holder.Status(f.Now); s.Mark != m.disk.mark || s.Source != start.Source {
		f.wrong = append(f.wrong, fmt.Sprintf("%s starts from its %s with version %d, and kept %d", n.Name, s.Source, s.Mark.Version, m.disk.mark.Version))
	}
	m.held = append(m.held, taken{f.Now, m.disk.mark.Version})
	l.inbox = append(l.inbox, l.view())
	if m.seat {
		l.council = consensus.NewGroup(f.seats, n.Name, uint64(f.Now)<<8|uint64(m.index), f.Now, f.chance.Int63())
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
		m.disk, m.wrote = kept{}, consensus.DiskContents{}
	}
}

func (l *nodeProcess) view() configsync.Input {
	v := &configsync.View{}
	v.Neighbours, v.Zone = l.m.NeighboursAndZone()
	for _, s := range l.f.seats {
		if s != l.m.Name {
			v.Seats = append(v.Seats, s)
		}
	}
	return configsync.Input{Kind: configsync.Viewed, View: v}
}

func (l *nodeProcess) viewMayHaveChanged() {
	if l.f.terms.Membership {
		l.deliver(l.view())
		l.m.Later(lookAgain, l.viewMayHaveChanged)
	}
}

// ViewChanged looks at what is around, in a step of its own.
func (l *nodeProcess) ViewChanged(membership.Change) { l.m.Later(0, func() { l.deliver(l.view()) }) }

func (m *member) spend(now int64, bytes int) {
	s := int(now / second)
	for len(m.spent) <= s {
		m.spent = append(m.spent, 0)
	}
	m.spent[s] += bytes
}

// DatagramReceived takes a message of another node's holder or seat.
func (l *nodeProcess) DatagramReceived(from *virtualfleet.Node, body any) {
	p := body.(parcel)
	l.m.spend(l.f.Now, p.size)
	switch msg := p.body.(type) {
	case *configsync.Message:
		again := *msg
		l.deliver(configsync.Input{Kind: configsync.Came, From: from.Name, Message: &again})
	case []byte:
		got := new(consensus.Message)
		if err := cbor.Unmarshal(msg, got); err != nil {
			l.f.wrong = append(l.f.wrong, fmt.Sprintf("a message between seats can't be read: %v", err))
		} else if l.council != nil {
			l.deliverToReplica(consensus.Input{Message: got})
		}
	}
}

// ExchangeOpened takes an exchange.
func (l *nodeProcess) ExchangeOpened(from *virtualfleet.Node, body any, reply func(body any, size int)) {
	p := body.(parcel)
	l.m.spend(l.f.Now, p.size)
	l.links++
	l.asked[l.links] = reply
	again := *p.body.(*configsync.Message)
	l.deliver(configsync.Input{Kind: configsync.Asked, From: from.Name, Link: l.links, Message: &again})
}

func (l *nodeProcess) deliver(in configsync.Input) {
	l.inbox = append(l.inbox, in)
	l.wake(l.f.Now)
}

// timer steps a part of a life at the earliest time for which it was set.
type timer struct {
	at   int64 // 0 while it isn't set
	step func()
}

func (l *nodeProcess) schedule(a *timer, at int64) {
	if at = max(at, l.f.Now); a.at > 0 && a.at <= at {
		return
	}
	a.at = at
	l.m.Later(at-l.f.Now, func() {
		if a.at == at && l.m.life == l {
			a.at = 0
			a.step()
		}
	})
}

func (l *nodeProcess) wake(at int64) { l.schedule(&l.woken, at) }

func (l *nodeProcess) step() {
	in := l.inbox
	l.inbox = nil
	effects, next := l.holder.Step(l.f.Now, in)
	for k := range effects {
		l.apply(&effects[k])
	}
	l.wake(next)
}

func sized(body any) int {
	b, err := envelope.Seal(nil, sealed, body)
	if err != nil {
		panic(err) // of plain fields
	}
	return len(b)
}

func (l *nodeProcess) apply(e *configsync.Effect) {
	f, m := l.f, l.m
	switch e.Kind {
	case configsync.Send:
		if to := f.byName[e.To]; to != nil {
			size := sized(e.Message)
			m.spend(f.Now, size)
			m.SendDatagram(to.Node, parcel{e.Message, size}, size)
		}
	case configsync.Exchange:
		to, link, size := f.byName[e.To], e.Link, sized(e.Message)
		m.spend(f.Now, size)
		m.OpenExchange(to.Node, parcel{e.Message, size}, size, func(body any, ok bool) {
			if !ok {
				l.deliver(configsync.Input{Kind: configsync.Missed, Link: link})
				return
			}
			p := body.(parcel)
			m.spend(f.Now, p.size)
			again := *p.body.(*configsync.Message)
			l.deliver(configsync.Input{Kind: configsync.Answered, Link: link, Message: &again})
		})
	case configsync.Reply:
		if reply := l.asked[e.Link]; reply != nil {
			delete(l.asked, e.Link)
			size := sized(e.Message)
			m.spend(f.Now, size)
			reply(parcel{e.Message, size}, size)
		}
	case configsync.Take, configsync.Check:
		l.adopt(e)
	case configsync.Persist:
		next := kept{e.Mark, e.New}
		m.Later(f.chance.Int63n(writeMost), func() {
			m.disk = next
			l.deliver(configsync.Input{Kind: configsync.Saved})
		})
	case configsync.Order:
		if l.council != nil {
			l.deliverToReplica(consensus.Input{Proposed: []configsync.Command{*e.Command}})
		}
	}
}

// adopt has a version in force at a node, or only checks it, or refuses it.
func (l *nodeProcess) adopt(e *configsync.Effect) {
	f, m, mark := l.f, l.m, e.Mark
	if want, agreed := f.digests[mark.Version]; !agreed || want != mark.Digest || e.New.Digest() != mark.Digest {
		f.wrong = append(f.wrong, fmt.Sprintf("%s takes %s as version %d, which is %s", m.Name, e.New.Digest(), mark.Version, want))
	}
	why := ""
	if m.old && string(e.New.Get(configsync.Operations, "new")) == newBuild {
		why = "operations new is of a later build"
	}
	m.Later(f.chance.Int63n(takeMost), func() {
		if why != "" {
			if f.refused++; f.refused <= lateNamed {
				f.logf("%s refuses version %d, first stage %t", m.Name, mark.Version, e.First)
			}
		} else if e.Kind == configsync.Take {
			if k := len(m.held); k > 0 && mark.Version <= m.held[k-1].version {
				f.back++
				f.logf("%s goes from version %d to %d", m.Name, m.held[k-1].version, mark.Version)
			}
			m.held = append(m.held, taken{f.Now, mark.Version})
			if l.fresh {
				l.fresh = false
				f.recovers = append(f.recovers, seconds(f.Now-m.Started))
			}
		}
		answer := configsync.Input{Kind: configsync.Took, Mark: mark, Why: why}
		if e.Kind == configsync.Check {
			answer.Kind = configsync.Checked
		}
		l.deliver(answer)
	})
}

func (l *nodeProcess) deliverToReplica(in consensus.Input) {
	l.toSeat = append(l.toSeat, in)
	l.wakeReplica(l.f.Now)
}

func (l *nodeProcess) wakeReplica(at int64) { l.schedule(&l.seated, at) }

func (l *nodeProcess) stepReplica() {
	f, m := l.f, l.m
	in := l.toSeat
	l.toSeat = nil
	effects, next := l.council.Step(f.Now, in)
	for k := range effects {
		switch e := &effects[k]; e.Kind {
		case consensus.Send:
			l.sendFromReplica(e)
		case consensus.Persist:
			l.persist(e.Write)
		case consensus.WriteLog:
			f.logf("%s: %s", m.Name, e.Text)
		}
	}
	if agreed, changed := l.council.AgreedConfig(); changed {
		if agreed != nil {
			f.recordAgreed(agreed)
		}
		l.deliver(configsync.Input{Kind: configsync.Ordered, Agreed: agreed})
	}
	if current := l.council.IsCurrent(); current != l.current {
		l.current = current
		l.deliver(configsync.Input{Kind: configsync.Stood, Current: current})
	}
	l.wakeReplica(next)
}

func (l *nodeProcess) sendFromReplica(e *consensus.Effect) {
	f, m := l.f, l.m
	if e.Message.Kind == consensus.MessageVerdicts && len(e.Message.Decided) > 0 {
		list := slices.Clone(e.Message.Decided)
		for _, c := range f.callers {
			if c.name == e.To {
				f.After(ms, func() { f.decided(c, list) })
			}
		}
		return
	}
	text, err := cbor.Marshal(&e.Message)
	if err != nil {
		f.wrong = append(f.wrong, fmt.Sprintf("a message between seats can't be written: %v", err))
		return
	}
	if e.To == m.Name {
		m.Later(0, func() {
			got := new(consensus.Message)
			if cbor.Unmarshal(text, got) == nil {
				l.deliverToReplica(consensus.Input{Message: got})
			}
		})
		return
	}
	if to := f.byName[e.To]; to != nil {
		size := len(text) + envelope.Head
		m.spend(f.Now, size)
		m.SendDatagram(to.Node, parcel{text, size}, size)
	}
}

// persist has writes reach the seat's disk in their order.
func (l *nodeProcess) persist(w *consensus.Write) {
	f, m := l.f, l.m
	l.free = max(l.free, f.Now) + ms/10 + f.chance.Int63n(syncMost)
	l.writes = append(l.writes, w)
	m.Later(l.free-f.Now, func() {
		m.write(l.writes[0])
		l.writes = l.writes[1:]
		l.deliverToReplica(consensus.Input{Persisted: w.Number})
	})
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
			f.digests[r.Version], f.agreedAt[r.Version], f.records[r.Version] = r.Digest, f.Now, r
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
	if cmp.Or(cmp.Compare(x.All.Version, y.All.Version), cmp.Compare(x.First.Version, y.First.Version), cmp.Compare(x.Newest, y.Newest)) > 0 ||
		x.First == y.First && x.Stopped && !y.Stopped {
		if x.All != y.All || x.First != y.First {
			f.logf("version %d is in force for all, %d for the first stage, %d agreed on", x.All.Version, x.First.Version, x.Newest)
		}
		f.last = a
	}
	f.stopped(&f.last.Head)
}
