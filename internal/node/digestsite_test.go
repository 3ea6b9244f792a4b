package node_test

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/degradation"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/fleet/quota"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
	"topazpost/internal/resultcache"
	"topazpost/internal/testbed/virtualtime"
)

const (
	millisecond = int64(1_000_000)                // ns
	epoch       = 1_764_576_000_000 * millisecond // wall time of a site's start
	fleetName   = "tests"
	headBytes   = 9 // of a frame before its payload
)

var errDrawn = errors.New("drawn")

// siteOptions say what a simulated site has and what befalls it.
type siteOptions struct {
	nodes, hollow, seats, cores int
	seconds, rate               int // rate: invocations a second at each whole node
	links                       int // to the catalogue that a node may have
	callers                     int // connections that each node's callers hold at a time
	loss                        float64
	durability                  resultcache.Durability

	keep, lease, configures                        bool
	levels, amends, reloads, drains, aborts, kills bool
	wild, broken, failing                          bool // callers; executor and catalogue; stores
}

// site is some nodes in virtual time, with all that they speak to: drawn from one seed.
type site struct {
	*virtualtime.World
	siteOptions
	t        testing.TB
	stations []*station
	settings string
	digest   digest
	steps    int
	effects  int
	kinds    [64]int // effects by kind
	inFlight int     // summed over steps
	ids      int
	exchange int
	orders   uint64
	record   func(now, wall int64, inputs []node.Input) // of the first node; nil for none
}

// station is one node with what surrounds it. It outlives the node's process.
type station struct {
	*site
	index   int
	name    string
	address string
	seed    int64
	brain   *node.StateMachine
	life    int
	inbox   []node.Input
	woken   bool
	wake    int64
	broken  []string // invariants that did not hold

	conns     []*conn // of callers, open ones
	lastConn  int
	link      int // to the executor that is up
	silent    bool
	runs      map[string]*run
	seen      map[string]bool // runs that were begun or refused
	notices   []lineprotocol.Line
	booted    int64
	supplies  map[int]string // links to the catalogue, and the call on each
	stored    []resultcache.Record
	disk      consensus.DiskContents
	exchanges map[int]question // asked of this node
	streams   map[int]stream
	lastLink  int
	version   uint64 // the next that Amend brings
}

// conn is a connection of a caller.
type conn struct {
	link    int
	last    uint32
	open    map[uint32]string
	noMore  bool
	closing int // counts ends that were begun or taken back
}

// run is one at the executor.
type run struct {
	id, body string
	calls    int
	waits    bool
}

// question is an exchange that a node is to answer.
type question struct {
	from *station
	life int
	link int
}

// stream is the other end of a stream.
type stream struct {
	to   *station
	life int
	link int
}

// newSite makes a site in which no node is up.
func newSite(t testing.TB, seed int64, options siteOptions) *site {
	t.Helper()
	s := &site{World: virtualtime.New(seed, 0), siteOptions: options, t: t, digest: newDigest()}
	effect := "idempotent"
	if s.keep {
		effect = "deduplicated"
	}
	s.cores, s.callers, s.links = max(2, s.cores), max(6, s.callers), cmp.Or(s.links, 6)
	s.settings = fmt.Sprintf(`{"grades":[{"name":"catalogue","aim":600,"give_up":1500,"importance":1,"late_share":0.2,"effect":"idempotent"},
	{"name":"hold","aim":800,"give_up":2000,"importance":5,"effect":%q,"window":8000},
	{"name":"pay","aim":900,"give_up":2500,"importance":3,"effect":"at_most_once"}],
	"family_info":{"n_cores":%d,"memory_kb":90000,"blowup":4,"entry_kb":1,"class_calls":[true,true,false],"below":"common","calls_out":%d,
	"calls_over":5000,"linger":100,"advert":"min_rank","gauges":["cpu_busy","runnable","mem_used","sockets"],"full_checks":true},
	"guarantees":{"tip_multiple":8,"drain_grace":2000},"limits":{"retry_after":true,"max_retry_after":1000}}`, effect, s.cores, 2*s.cores)
	for k := range s.nodes {
		n := &station{site: s, index: k, name: fmt.Sprint("n", k), address: fmt.Sprintf("10.0.0.%d:9", k+1), seed: s.Chance.Int63()}
		s.stations = append(s.stations, n)
	}
	return s
}

// drawn is a duration between two bounds, in microseconds.
func (s *site) drawn(least, most int64) int64 {
	return (least + s.Chance.Int63n(most-least+1)) * 1_000
}

// odds says true once in so many times.
func (s *site) odds(times int) bool { return s.Chance.Intn(times) == 0 }

// each has something done again and again, after drawn times of about so many milliseconds.
func (s *site) each(about int64, do func()) {
	s.After(s.drawn(500*about, 1_500*about), func() {
		do()
		s.each(about, do)
	})
}

// play plays the whole run.
func (s *site) play() {
	for _, n := range s.stations {
		s.After(s.drawn(1, 200_000), n.start)
		n.surround()
	}
	if s.configures {
		s.each(1_500, s.order)
	}
	length := int64(s.seconds) * 1_000 * millisecond
	if s.drains {
		n := s.stations[len(s.stations)-1]
		s.At(length-9_000*millisecond, n.drain)
		if s.aborts {
			s.At(length-7_500*millisecond, func() { n.put(node.Input{Kind: node.AbortRequested}) })
		}
	}
	s.Run(length)
}

// hollowOne says whether a node has no callers and no executor.
func (n *station) hollowOne() bool { return n.index >= n.nodes-n.hollow }

// newBrain is the state of a node that starts.
func (n *station) newBrain() *node.StateMachine {
	p, err := nodeconfig.FromJSON(n.seed, []byte(n.settings))
	require.NoError(n.t, err)
	r := node.NewStateMachine(p, node.Addresses{Executor: "executor:1", Catalogue: "catalogue:1", Control: "control:1"}, 5_000*millisecond, 8, n.links)
	r.SpareConnections = 2
	if n.hollowOne() {
		r.MakeHollow(new(node.HollowCounters), false)
	}
	if n.nodes > 1 || n.seats > 0 {
		c := membership.Config{Name: n.name, Address: n.address, ProbeInterval: 500 * millisecond, LinkTimeout: 3_500 * millisecond,
			SuspicionTimeout: 400 * millisecond, ForgetTimeout: 60_000 * millisecond, MaxMembers: 50, Zone: fmt.Sprint("z", n.index%2)}
		for _, other := range n.stations[:min(2, n.nodes)] {
			c.Seeds = append(c.Seeds, other.address)
		}
		r.JoinFleet(fleetName, membership.New(c, n.Now, epoch+n.Now, 0, n.seed+int64(n.life)))
	}
	if n.keep && !n.hollowOne() {
		r.EnableResultCache(resultcache.Config{Durability: n.durability, MaxBytes: 200_000, MaxResultBytes: 1_000, Window: 8_000 * millisecond}, "dedupe",
			n.life > 1 && n.durability == resultcache.OnDisk)
	}
	if n.seats > 0 {
		var seats []string
		for k := range n.seats {
			seats = append(seats, n.stations[k].name)
		}
		r.EnableConsensus(seats, 4<<20, n.Now, n.seed+int64(n.life))
		if r.HasReplica() {
			require.NoError(n.t, r.RecoverReplica(n.Now, n.disk))
		}
	}
	if n.lease {
		r.EnableQuota(quota.HolderConfig{Name: "calls", Units: 9, Term: 4_000 * millisecond, Hold: 1_000 * millisecond}, 1)
	}
	if n.configures {
		file, err := new(configsync.Content).Apply(itemsOf(p))
		require.NoError(n.t, err)
		require.NoError(n.t, r.EnableConfigSync(n.Now, n.seed+int64(n.life), configsync.InitialState{Mark: configsync.Revision{Digest: file.Digest()},
			Content: file, Source: "file", Journal: -1}, file))
	}
	return r
}

// start starts the node's process.
func (n *station) start() {
	n.life++
	n.brain = n.newBrain()
	n.inbox, n.woken, n.conns, n.link = nil, false, nil, 0
	n.supplies, n.exchanges, n.streams = map[int]string{}, map[int]question{}, map[int]stream{}
	if n.runs == nil {
		n.runs, n.seen, n.booted = map[string]*run{}, map[string]bool{}, n.Now
	}
	var in []node.Input
	if n.keep && n.life > 1 && n.durability == resultcache.OnDisk && !n.hollowOne() {
		stored := n.stored
		n.later(30*millisecond, func() {
			n.put(node.Input{Kind: node.RecordsRecovered, Records: slices.Clone(stored)}, node.Input{Kind: node.RecoveryCompleted})
		})
	}
	if n.levels && !n.hollowOne() {
		in = append(in, node.Input{Kind: node.PlanChanged, Plan: n.plan(0.6, true)})
	}
	n.put(in...)
}

// kill ends it, and starts it again later.
func (n *station) kill() {
	if n.brain == nil || n.Now > int64(n.seconds-10)*1_000*millisecond { // the last seconds are for drains
		return
	}
	n.end()
	n.After(n.drawn(100_000, 8_000_000), n.start)
}

// drain tells it to drain, once it is up.
func (n *station) drain() {
	if n.brain == nil {
		n.After(200*millisecond, n.drain)
		return
	}
	n.put(node.Input{Kind: node.DrainRequested})
}

// end notes which invariants did not hold in the life that ends.
func (n *station) end() {
	n.broken = append(n.broken, n.invariants()...)
	n.brain = nil
	n.life++
}

func (n *station) invariants() (list []string) {
	for what := range n.brain.Invariants.All() {
		list = append(list, fmt.Sprint(what))
	}
	slices.Sort(list)
	return list
}

// put hands inputs to the node; those of one moment go in one step.
func (n *station) put(in ...node.Input) {
	if n.brain == nil {
		return
	}
	n.inbox = append(n.inbox, in...)
	if !n.woken {
		n.woken = true
		n.later(0, n.step)
	}
}

// later has something done unless the node's process ends before.
func (n *station) later(ns int64, do func()) {
	life := n.life
	n.After(ns, func() {
		if life == n.life {
			do()
		}
	})
}

// step steps the node, takes down what it returns and does it.
func (n *station) step() {
	in := n.inbox
	n.inbox, n.woken = nil, false
	if n.record != nil && n.index == 0 {
		n.record(n.Now, epoch+n.Now, in)
	}
	effects := n.brain.Step(n.Now, epoch+n.Now, in)
	n.steps++
	n.effects += len(effects)
	n.digest.whole(int64(n.index), int64(n.life), n.Now, int64(len(effects)))
	for k := range effects {
		n.kinds[effects[k].Kind]++
		n.digest.effect(&effects[k])
	}
	for _, c := range n.conns {
		n.site.inFlight += len(c.open)
	}
	life := n.life
	for k := range effects {
		if n.carry(&effects[k]); life != n.life {
			return
		}
	}
	if wake := n.wake; wake < 1<<62 {
		n.later(max(1, wake-n.Now), func() {
			if n.wake == wake && !n.woken {
				n.step()
			}
		})
	}
}

// carry does what the node asks for.
func (n *station) carry(e *node.Effect) {
	link := e.Link
	switch e.Kind {
	case node.SetWakeup:
		n.wake = e.At
	case node.Exit:
		n.end()
		n.After(1_000*millisecond, n.start)
	case node.SendToConnection:
		n.sent(e)
	case node.CloseAfterFlush, node.EvictConnection:
		n.closing(link)
	case node.ResumeConnection:
		if c := n.conn(link); c != nil {
			c.closing++
		}
	case node.StopAccepting:
		n.later(n.drawn(100, 400), func() { n.put(node.Input{Kind: node.ListenerClosed}) })
	case node.SendReport:
		var err error
		if n.odds(5) {
			err = errDrawn
		}
		n.later(n.drawn(200, 900), func() { n.put(node.Input{Kind: node.ReportFinished, Link: link, Err: err}) })
	case node.DialExecutor, node.CloseExecutor, node.SendToExecutor:
		n.executor(e)
	case node.DialCatalogue, node.SendToCatalogue, node.CloseCatalogue:
		n.catalogue(e)
	case node.WriteRecord:
		n.keepRecord(*e.Record)
	case node.PersistReplicaWrite:
		n.persist(e.Write)
	case node.PersistVersion:
		var err error
		if n.failing && n.odds(4) {
			err = errDrawn
		}
		n.later(n.drawn(500, 4_000), func() { n.put(node.Input{Kind: node.VersionPersisted, Err: err}) })
	case node.SendDatagram, node.OpenExchange, node.ReplyToExchange, node.SendOnStream, node.CloseStream:
		n.peer(e)
	}
}

// Callers.

func (n *station) conn(link int) *conn {
	k := slices.IndexFunc(n.conns, func(c *conn) bool { return c.link == link })
	if k < 0 {
		return nil
	}
	return n.conns[k]
}

// closed ends a connection.
func (n *station) closed(link int) {
	n.conns = slices.DeleteFunc(n.conns, func(c *conn) bool { return c.link == link })
	n.put(node.Input{Kind: node.ConnectionClosed, Link: link})
}

// closing ends a connection soon; now and then something crosses that.
func (n *station) closing(link int) {
	c := n.conn(link)
	if c == nil {
		return
	}
	c.closing++
	at := c.closing
	if n.odds(4) {
		n.later(n.drawn(50, 200), func() {
			if c.closing == at && n.conn(link) == c {
				n.ask(c)
			}
		})
	}
	n.later(n.drawn(250, 900), func() {
		if c.closing == at {
			n.closed(link)
		}
	})
}

// sent takes what the node writes to a caller.
func (n *station) sent(e *node.Effect) {
	c := n.conn(e.Link)
	if c == nil {
		return
	}
	var p frame.Parser
	p.Wrote(copy(p.Space(), e.Bytes))
	f, ok, err := p.Next()
	require.True(n.t, ok && err == nil, "what is written to callers can be read")
	switch f.Type {
	case frame.NoMore:
		c.noMore = true
	case frame.Answer:
		delete(c.open, f.Stream)
	}
}

// open opens a connection; some bring nothing.
func (n *station) open() *conn {
	n.lastConn++
	c := &conn{link: n.lastConn, open: map[uint32]string{}}
	n.conns = append(n.conns, c)
	n.put(node.Input{Kind: node.ConnectionOpened, Link: c.link})
	return c
}

// arrive brings an invocation on some connection.
func (n *station) arrive() {
	if n.brain == nil || n.hollowOne() {
		return
	}
	var usable []*conn
	for _, c := range n.conns {
		if !c.noMore && c.closing == 0 && len(c.open) < 32 {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 || len(n.conns) < n.callers && n.odds(15) {
		c := n.open()
		if !n.wild || !n.odds(3) { // nothing is read from a connection before the node has taken it on
			n.later(n.drawn(10, 300), func() { n.ask(c) })
		}
		return
	}
	n.ask(usable[n.Chance.Intn(len(usable))])
}

// ask writes an invocation on a connection.
func (n *station) ask(c *conn) {
	if n.conn(c.link) != c {
		return
	}
	n.ids++
	c.last++
	id, stream := fmt.Sprintf("%016x", n.ids), c.last
	fields := []frame.Field{{Name: "op", Value: []string{"catalogue", "hold", "pay"}[n.Chance.Intn(3)]}, {Name: "call", Value: id},
		{Name: "recv", Value: strconv.FormatInt((epoch+n.Now)/millisecond-n.Chance.Int63n(20), 10)}, {Name: "src", Value: strconv.Itoa(n.Chance.Intn(9))},
		{Name: "heap", Value: strconv.Itoa(5 + n.Chance.Intn(40))}, {Name: "org", Value: []string{"x", "x", "x", "y"}[n.Chance.Intn(4)]}}
	if n.odds(2) {
		fields = append(fields, frame.Field{Name: "work", Value: fmt.Sprintf("%.2f", 5+60*n.Chance.Float64())})
	}
	if n.odds(3) {
		fields = append(fields, frame.Field{Name: "ttl", Value: strconv.Itoa(100 + n.Chance.Intn(2_000))})
	}
	if n.odds(4) {
		fields = append(fields, frame.Field{Name: "rep", Value: "1"})
	}
	if n.odds(3) {
		fields = append(fields, frame.Field{Name: "row", Value: fmt.Sprintf("%016x", n.Chance.Intn(50))})
	}
	body := "body of " + id
	if n.keep {
		token := fmt.Sprint("t", n.Chance.Intn(20)+n.ids/20*10) // many come again
		fields, body = append(fields, frame.Field{Name: "dedupe", Value: token}), "body of "+token
	}
	if n.wild && n.odds(25) {
		k := n.Chance.Intn(len(fields))
		fields[k].Value = []string{"", "x", "-1", "99999999999999999999", "0x1"}[n.Chance.Intn(5)]
	}
	if n.wild && n.odds(40) {
		k := n.Chance.Intn(len(fields))
		fields = slices.Delete(fields, k, k+1)
	}
	if n.wild && n.odds(40) {
		fields = append(fields, frame.Field{Name: "crit", Value: fmt.Sprintf("%.2f", 1.2*n.Chance.Float64())})
	}
	if n.wild && n.odds(60) && len(c.open) > 0 {
		fields[min(1, len(fields)-1)] = frame.Field{Name: "call", Value: c.open[slices.Sorted(maps.Keys(c.open))[0]]} // it is in use
	}
	if n.keep && n.odds(60) {
		body = "another body"
	}
	if n.wild && n.odds(60) {
		body = strings.Repeat("b", 3_000)
	}
	if n.wild && n.odds(80) && stream > 1 {
		stream--
	}
	b := frame.AppendInvocation(nil, stream, fields, []byte(body))
	c.open[stream] = id
	n.put(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: frame.Frame{Type: frame.Invocation, Stream: stream, Payload: b[headBytes:],
		Past: n.wild && n.odds(90)}})
}

// disturb does what callers do beside asking.
func (n *station) disturb() {
	if len(n.conns) == 0 || n.brain == nil {
		return
	}
	c := n.conns[n.Chance.Intn(len(n.conns))]
	read := func(f frame.Frame) { n.put(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: f}) }
	switch kind := n.Chance.Intn(12); {
	case kind < 3:
		open := slices.Sorted(maps.Keys(c.open))
		if len(open) > 0 {
			stream := open[n.Chance.Intn(len(open))]
			delete(c.open, stream)
			read(frame.Frame{Type: frame.Gone, Stream: stream})
		}
	case kind < 6:
		n.check(c, n.odds(2))
	case kind == 6:
		n.closed(c.link)
	case !n.wild:
	case kind == 7:
		n.put(node.Input{Kind: node.FrameMalformed, Link: c.link, Err: frame.ErrLength})
	case kind == 8:
		read(frame.Frame{Type: 99, Stream: 1})
	case kind == 9:
		for range 40 {
			n.ask(c)
		}
	case kind == 10:
		read(frame.Frame{Type: frame.Check, Stream: 1, Payload: []byte{255, 1}})
	default:
		for range 3 {
			n.open()
		}
	}
}

// check asks how the node is; a deep check has the executor work.
func (n *station) check(c *conn, deep bool) {
	var fields []frame.Field
	if deep {
		fields = []frame.Field{{Name: "e2e", Value: "1"}}
	}
	c.last++
	b := frame.AppendInvocation(nil, c.last, fields, nil)
	n.put(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: frame.Frame{Type: frame.Check, Stream: c.last, Payload: b[headBytes:],
		Past: n.odds(20)}})
}

// The executor.

// hear brings a line of the executor on the link that is up.
func (n *station) hear(line lineprotocol.Line) {
	if link := n.link; link != 0 && !n.silent {
		n.later(150_000, func() { // all take the same time, so that they keep their order
			if link == n.link {
				n.put(node.Input{Kind: node.ExecutorLineReceived, Link: link, Line: line})
			}
		})
	}
}

func (n *station) say(text string, body string) {
	n.hear(lineprotocol.Line{Words: strings.Fields(text), Body: []byte(body)})
}

// notice is a line that later links bring again.
func (n *station) notice(kind, rest, body string) {
	line := lineprotocol.Line{Words: strings.Fields(fmt.Sprintf("%s %d %s", kind, len(n.notices)+1, rest)), Body: []byte(body)}
	n.notices = append(n.notices, line)
	n.hear(line)
}

// executor is what owns the cores.
func (n *station) executor(e *node.Effect) {
	link := e.Link
	switch e.Kind {
	case node.DialExecutor:
		missed := n.fails(4)
		n.later(n.drawn(100, 500), func() {
			if missed {
				n.put(node.Input{Kind: node.ExecutorDisconnected, Link: link, Err: errDrawn})
				return
			}
			n.link, n.silent = link, false
			n.put(node.Input{Kind: node.ExecutorConnected, Link: link})
		})
		return
	case node.CloseExecutor:
		if n.link == link {
			n.link = 0
		}
		n.later(n.drawn(50, 200), func() { n.put(node.Input{Kind: node.ExecutorDisconnected, Link: link}) })
		return
	}
	if link != n.link {
		return
	}
	words, body := split(e.Bytes)
	switch words[0] {
	case "JOIN":
		from, err := strconv.Atoi(words[1])
		require.NoError(n.t, err)
		wait := int64(0)
		if n.odds(2) {
			wait = 300 * millisecond
		}
		n.later(wait, func() { n.welcome(link, from) })
	case "METER":
		on := 0
		for _, r := range n.runs {
			if !r.waits {
				on++
			}
		}
		at := n.drawn(800, 1_500) // behind the notices that a new link brings
		text := fmt.Sprintf("METERS %s %.3f %d 0.1 %d", words[1], min(1, float64(on)/float64(n.cores)), on, len(n.conns))
		n.later(at, func() { n.say(text, "") })
	case "DIAG":
		text := "DIAGNOSED " + words[1] + " " + []string{"good", "bad"}[n.Chance.Intn(2)]
		if !n.odds(4) {
			n.later(n.drawn(1_000, 60_000), func() { n.say(text, "") })
		}
	case "EXEC":
		if n.seen[words[1]] {
			return // a new link brings again what may not have been read
		}
		n.seen[words[1]] = true
		if n.fails(20) {
			n.say("BAD EXEC "+words[1], "")
			return
		}
		r := &run{id: words[1], body: string(body), calls: n.Chance.Intn(3)}
		if words[2] == "pay" {
			r.calls = 0
		}
		n.runs[r.id] = r
		n.segment(r)
	case "RETURN":
		if r := n.runs[words[1]]; r != nil && r.waits {
			r.waits = false
			n.segment(r)
		} else if n.fails(2) {
			n.say("BAD RETURN "+words[1], "")
		}
	}
}

// welcome is how a link begins: with the notices that the node has not taken.
func (n *station) welcome(link, from int) {
	if link != n.link {
		return
	}
	words := strings.Fields(fmt.Sprintf("WELCOME %s %d", []string{"new", "old"}[n.seed&1], (n.Now-n.booted)/millisecond))
	n.put(node.Input{Kind: node.ExecutorLineReceived, Link: link, Line: lineprotocol.Line{Words: words}})
	for _, c := range n.conns { // a check in the step of the first welcome is a deep one
		if c.closing == 0 && n.odds(2) {
			n.check(c, true)
		}
	}
	n.later(400_000, func() {
		if n.link == link {
			for _, line := range n.notices[min(from, len(n.notices)):] {
				n.hear(lineprotocol.Line{Words: slices.Clone(line.Words), Body: slices.Clone(line.Body)})
			}
		}
	})
}

// segment is a run up to its next call or its end. It goes on when the node's process ends.
func (n *station) segment(r *run) {
	n.After(n.drawn(3_000, 90_000), func() {
		if r.calls > 0 {
			r.calls--
			r.waits = true
			n.notice("CALLOUT", fmt.Sprintf("%s %d", r.id, len(r.id)), r.id)
			n.After(3_000*millisecond, func() {
				if r.waits { // nobody brings it its answer
					r.waits, r.calls = false, 0
					n.over(r, "cut")
				}
			})
			return
		}
		end := "good"
		if n.odds(10) {
			end = []string{"bad", "cut", "gone"}[n.Chance.Intn(3)]
		}
		n.over(r, end)
	})
}

func (n *station) over(r *run, end string) {
	if n.runs[r.id] != r {
		return
	}
	delete(n.runs, r.id)
	result := "result of " + r.body
	if n.odds(12) {
		result = strings.Repeat("r", 1_500)
	}
	n.notice("EXIT", fmt.Sprintf("%s %s %d %d", r.id, end, 12, len(result)), result)
	if n.odds(20) {
		n.notice("LOG", "said", "")
	}
}

// fails says true once in so many times where links and peers fail at all.
func (n *station) fails(times int) bool { return n.siteOptions.broken && n.odds(times) }

// split takes a line of words and the body behind it apart.
func split(b []byte) (words []string, body []byte) {
	end := bytes.Index(b, []byte("\r\n"))
	words = strings.Fields(string(b[:end]))
	if rest := b[end+2:]; len(rest) >= 2 {
		body = bytes.Clone(rest[:len(rest)-2])
	}
	return words, body
}

// The catalogue.

func (n *station) catalogue(e *node.Effect) {
	link := e.Link
	switch e.Kind {
	case node.DialCatalogue:
		kind, err := node.CatalogueConnected, error(nil)
		if n.fails(6) {
			kind, err = node.CatalogueDialFailed, errDrawn
		}
		n.later(n.drawn(100, 2_000), func() {
			if kind == node.CatalogueConnected {
				n.supplies[link] = ""
			}
			n.put(node.Input{Kind: kind, Link: link, Err: err})
		})
	case node.CloseCatalogue:
		delete(n.supplies, link)
		n.later(n.drawn(50, 200), func() { n.put(node.Input{Kind: node.CatalogueDisconnected, Link: link}) })
	case node.SendToCatalogue:
		words, body := split(e.Bytes)
		n.supplies[link] = words[1]
		reply := lineprotocol.Line{Words: []string{words[1], "DATA", strconv.Itoa(len(body))}, Body: body}
		if n.odds(8) {
			reply = lineprotocol.Line{Words: []string{words[1], []string{"LATER", "NOUSE", "FAULT", "TOOSLOW"}[n.Chance.Intn(4)]}}
		}
		if n.fails(15) {
			reply = lineprotocol.Line{Words: [][]string{{"what"}, {words[1], "WHAT"}, {"ffffffffffffffff", "LATER"}}[n.Chance.Intn(3)]}
		}
		takes, twice, breaks := n.drawn(2_000, 80_000), n.fails(10), n.fails(15)
		if n.fails(12) {
			takes = 4_000 * millisecond
		}
		n.later(takes, func() {
			if n.supplies[link] != words[1] {
				return
			}
			if breaks {
				delete(n.supplies, link)
				n.put(node.Input{Kind: node.CatalogueDisconnected, Link: link, Err: errDrawn})
				return
			}
			n.put(node.Input{Kind: node.CatalogueLineReceived, Link: link, Line: reply})
			if twice {
				n.put(node.Input{Kind: node.CatalogueLineReceived, Link: link, Line: lineprotocol.Line{Words: slices.Clone(reply.Words), Body: slices.Clone(reply.Body)}})
			}
		})
	}
}

// Disks.

func (n *station) keepRecord(kept resultcache.Record) {
	if n.failing && n.odds(6) {
		n.later(n.drawn(200, 9_000), func() {
			n.put(node.Input{Kind: node.RecordWriteFailed, Err: errDrawn, Records: []resultcache.Record{kept}})
		})
		return
	}
	n.later(n.drawn(200, 9_000), func() {
		n.stored = append(n.stored, kept)
		n.put(node.Input{Kind: node.RecordWritten, Records: []resultcache.Record{kept}})
	})
}

// persist writes what a seat must not forget, in order.
func (n *station) persist(w *consensus.Write) {
	number, base, records, forget := w.Number, bytes.Clone(w.Base), slices.Clone(w.Records), w.DiscardEarlier
	parts := maps.Clone(w.Parts)
	n.later(2*millisecond, func() {
		if forget {
			n.disk = consensus.DiskContents{}
		}
		if base != nil {
			have := n.disk.Parts
			n.disk = consensus.DiskContents{Base: base, Parts: map[string][]byte{}}
			maps.Copy(n.disk.Parts, have)
			maps.Copy(n.disk.Parts, parts)
		}
		n.disk.Records = append(n.disk.Records, records...)
		n.put(node.Input{Kind: node.ReplicaWritePersisted, Number: number})
	})
}

// Peers.

// reaches finds a peer by its address; none where what is sent is lost.
func (n *station) reaches(address string, lost bool) *station {
	for _, to := range n.stations {
		if to.address == address && to.brain != nil && !lost {
			return to
		}
	}
	return nil
}

func (n *station) peer(e *node.Effect) {
	text, link, life := bytes.Clone(e.Bytes), e.Link, n.life
	lost := n.loss > 0 && n.Chance.Float64() < n.loss
	switch e.Kind {
	case node.SendDatagram:
		if to := n.reaches(e.Address, lost); to != nil {
			to.later(n.drawn(300, 1_500), func() { to.put(node.Input{Kind: node.PeerDatagramReceived, From: n.address, Bytes: text}) })
		}
	case node.OpenExchange:
		to := n.reaches(e.Address, lost)
		missed := func() { n.put(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: errDrawn}) }
		if to == nil {
			n.later(500*millisecond, missed)
			return
		}
		n.exchange++
		number := n.exchange
		to.later(n.drawn(900, 2_000), func() {
			to.exchanges[number] = question{n, life, link}
			to.put(node.Input{Kind: node.PeerRequestReceived, Link: number, From: n.address, Bytes: text})
		})
		n.later(2_000*millisecond, func() {
			if q, open := to.exchanges[number]; open && q.from == n {
				delete(to.exchanges, number)
				missed()
			}
		})
	case node.ReplyToExchange:
		q, known := n.exchanges[link]
		delete(n.exchanges, link)
		if !known || q.from == nil || q.from.life != q.life {
			return
		}
		in := node.Input{Kind: node.PeerResponseReceived, Link: q.link, From: n.address, Bytes: text}
		if len(text) == 0 {
			in = node.Input{Kind: node.PeerExchangeFailed, Link: q.link, Err: errDrawn}
		}
		q.from.later(n.drawn(300, 1_500), func() { q.from.put(in) })
	case node.SendOnStream:
		n.letter(e.Address, link, text)
	case node.CloseStream:
		n.hangUp(link)
	}
}

// letter writes to a stream, or to a new one where that is gone.
func (n *station) letter(address string, link int, text []byte) {
	there, known := n.streams[link]
	if !known || there.to.life != there.life {
		for _, number := range slices.Sorted(maps.Keys(n.streams)) { // the one that is open to that address
			if s := n.streams[number]; s.to.address == address && s.to.life == s.life {
				there, known, link = s, true, number
			}
		}
	}
	if !known || there.to.life != there.life {
		to := n.reaches(address, false)
		if to == nil || to == n {
			return
		}
		n.lastLink++
		to.lastLink++
		there = stream{to, to.life, to.lastLink}
		n.streams[n.lastLink], to.streams[to.lastLink] = there, stream{n, n.life, n.lastLink}
		link = n.lastLink
	}
	if n.loss > 0 && n.Chance.Float64() < n.loss {
		n.hangUp(link)
		return
	}
	to, at := there.to, there.link
	to.later(800_000, func() { // all take the same time, so that they keep their order
		if _, open := to.streams[at]; open {
			to.put(node.Input{Kind: node.PeerMessageReceived, Link: at, From: n.address, Bytes: text})
		}
	})
}

// hangUp ends a stream at both ends.
func (n *station) hangUp(link int) {
	there, known := n.streams[link]
	delete(n.streams, link)
	if known && there.to.life == there.life {
		delete(there.to.streams, there.link)
		there.to.later(800_000, func() { there.to.put(node.Input{Kind: node.PeerStreamClosed, Link: there.link}) })
	}
	n.later(0, func() { n.put(node.Input{Kind: node.PeerStreamClosed, Link: link}) })
}

// What befalls a station.

// surround begins all that happens at a station by itself.
func (n *station) surround() {
	if n.hollowOne() {
		// Seldom: the runs of tokens that end in one step are told of in the order of a map, which has none.
		n.each(1_200, func() {
			n.ids++
			n.put(node.Input{Kind: node.HollowClaimRequested, Bytes: fmt.Append(nil, "h", n.ids)})
		})
		n.each(1_000, func() { n.put(node.Input{Kind: node.HollowCallsRequested, Link: n.Chance.Intn(8)}) })
	} else {
		n.each(max(1, 1_000/int64(n.rate)), func() {
			for range max(1, n.rate/1_000) {
				n.arrive()
			}
		})
		n.each(120, n.disturb)
		if n.wild {
			n.each(20_000, n.forget)
		}
	}
	if n.siteOptions.broken {
		n.each(2_500, n.breakLink)
	}
	if n.kills {
		n.each(9_000, n.kill)
	}
	if n.levels && !n.hollowOne() {
		n.each(4_000, func() {
			plan := n.plan(0.2+n.Chance.Float64(), n.odds(2))
			if n.odds(5) {
				plan = nil
			}
			n.put(node.Input{Kind: node.PlanChanged, Plan: plan})
		})
	}
	if n.reloads {
		n.each(4_000, func() {
			at := func(name string) string { return fmt.Sprintf("%s:%d", name, 1+n.Chance.Intn(2)) }
			n.put(node.Input{Kind: node.ReloadRequested, Plan: n.plan(0.5, false),
				Addresses: node.Addresses{Executor: at("executor"), Catalogue: at("catalogue"), Control: at("control")}})
		})
	}
	if n.amends {
		n.each(1_200, n.amend)
	}
	if n.nodes > 1 {
		n.each(900, n.stray)
	}
}

// stray brings letters from outside the fleet's nodes: of operators, and such as can't be used.
func (n *station) stray() {
	if n.brain == nil {
		return
	}
	of := fleetName
	if n.odds(8) {
		of = "another"
	}
	kind := []node.InputKind{node.PeerDatagramReceived, node.PeerRequestReceived, node.PeerRequestReceived, node.PeerRequestReceived}[n.Chance.Intn(4)]
	var body any
	switch n.Chance.Intn(6) {
	case 0:
		body = &membership.Message{Kind: membership.MessageViewRequest}
	case 1:
		body = &membership.Message{Kind: membership.MessageViewRequest, Why: membership.LookClaims}
	case 2:
		body = &membership.Message{Kind: []membership.MessageKind{membership.MessageSyncRequest, membership.MessageGossip, 0}[n.Chance.Intn(3)]}
	case 3:
		body = node.EncodeConfigQuery(&configsync.Query{Kind: configsync.ShowStanding})
	case 4:
		body = node.EncodeConfigQuery(&configsync.Query{Kind: configsync.ReadBlocks,
			Which: n.Chance.Intn(3)})
	default:
		body = node.EncodeConfigQuery(&configsync.Query{Kind: 77})
	}
	text, err := envelope.Seal(nil, envelope.FleetOf(of), body)
	require.NoError(n.t, err)
	if n.odds(8) {
		text[n.Chance.Intn(len(text))]++
	}
	n.exchange++
	n.put(node.Input{Kind: kind, Link: n.exchange, From: "10.0.9.9:9", Bytes: text})
	if n.odds(20) {
		n.put(node.Input{Kind: node.PeerMessageReceived, Link: 1_000_000 + n.exchange, From: "10.0.9.9:9", Bytes: text})
	}
}

// forget has callers use none of their connections any more, so that those stand idle until they are told of their end.
func (n *station) forget() {
	for _, c := range n.conns {
		c.noMore = true
	}
}

// breakLink disturbs the link to the executor.
func (n *station) breakLink() {
	if n.brain == nil || n.link == 0 {
		return
	}
	switch n.Chance.Intn(5) {
	case 0:
		n.silent = true
	case 1:
		n.say([]string{"WHAT is this", "EXIT 999999 x good 1 0", "METERS m1 x x x x", "BAD", "EXIT -1 a good 1 0", "DIAGNOSED d999 good"}[n.Chance.Intn(6)], "")
	default:
		link := n.link
		n.link = 0
		n.put(node.Input{Kind: node.ExecutorDisconnected, Link: link, Err: errDrawn})
	}
}

// plan is one of two levels that begins at a load.
func (n *station) plan(load float64, spare bool) *node.DegradationPlan {
	p := &node.DegradationPlan{Forms: [][]string{{"catalogue-plain", "", ""}, {"catalogue-plain", "", "pay-plain"}}, Operations: []string{"catalogue", "hold", "pay"},
		Text: fmt.Sprint(load, spare)}
	p.Name, p.MinHold, p.MaxHold, p.UseSpareCapacity = "test", 300*millisecond, 5_000*millisecond, spare
	p.IdleCondition = degradation.Condition{Limits: degradation.NoLimits()}
	p.IdleCondition.Limits[degradation.Load] = load / 4
	for k, services := range [][]admission.Service{{{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, {}, {}},
		{{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, {Form: admission.Shed}, {Form: admission.Reduced, WorkShare: 0.3, WeightShare: 0.5}}} {
		enter, exit := degradation.Condition{Limits: degradation.NoLimits(), Duration: 100 * millisecond}, degradation.Condition{Limits: degradation.NoLimits(), Duration: 200 * millisecond}
		enter.Limits[degradation.Load], exit.Limits[degradation.Load] = load*float64(k+1), load*float64(k+1)*0.7
		p.Levels = append(p.Levels, degradation.Level{Name: []string{"plain", "little"}[k], Services: services, Enter: []degradation.Condition{enter}, Exit: exit})
	}
	return p
}

// items are drawn changes of the configuration.
func (s *site) items() (list []nodeconfig.Item) {
	if s.odds(2) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Operations, Name: "catalogue", Value: fmt.Appendf(nil,
			`{"aim":%d,"class_calls":true,"effect":"idempotent","give_up":1500,"importance":%d}`, 500+s.Chance.Intn(200), 1+s.Chance.Intn(4))})
	}
	if s.odds(3) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Tenants, Name: []string{"x", "x", "y"}[s.Chance.Intn(3)],
			Value: fmt.Appendf(nil, `{"quota_rps":%d}`, 1+s.Chance.Intn(30))})
	} else if s.odds(20) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Tenants, Name: []string{"x", "y"}[s.Chance.Intn(2)]})
	}
	if s.odds(3) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Limits, Name: "limits.max_retry_after", Value: fmt.Appendf(nil, "%d", 50+s.Chance.Intn(900))})
	}
	if s.odds(3) {
		i := nodeconfig.Item{Part: nodeconfig.Operations, Name: "extra"}
		if s.odds(2) {
			i.Value = []byte(`{"aim":1000,"effect":"idempotent","give_up":3000}`)
		}
		list = append(list, i)
	}
	if len(list) == 0 || s.odds(8) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Operations, Name: "pay"}) // one that comes never again
	}
	return list
}

// amend brings a version into force at one node.
func (n *station) amend() {
	if n.brain == nil {
		return
	}
	change, err := nodeconfig.Parse(n.items())
	require.NoError(n.t, err)
	number := n.brain.ActiveVersion() + 1
	if n.odds(6) {
		number--
	}
	n.put(node.Input{Kind: node.VersionReceived, Version: number, Change: change})
	if n.odds(4) { // the next one before this one is taken
		next, err := nodeconfig.Parse(n.items())
		require.NoError(n.t, err)
		n.put(node.Input{Kind: node.VersionReceived, Version: number + 1, Change: next})
	}
}

// order has changes of the configuration ordered at some node.
func (s *site) order() {
	n := s.stations[s.Chance.Intn(len(s.stations))]
	if n.brain == nil {
		return
	}
	s.orders++
	c := &configsync.Command{Kind: configsync.Put, From: "operator", Seq: s.orders, Base: n.brain.ConfigSyncState().Version}
	for _, i := range s.items() {
		if len(i.Value) > 0 {
			var err error
			i.Value, err = configsync.Canonical(i.Value)
			require.NoError(s.t, err)
		}
		c.Changes = append(c.Changes, configsync.Item(i))
	}
	text, err := envelope.Seal(nil, envelope.FleetOf(fleetName), node.EncodeConfigQuery(&configsync.Query{Kind: configsync.Propose, Command: c}))
	require.NoError(s.t, err)
	s.exchange++
	n.put(node.Input{Kind: node.PeerRequestReceived, Link: s.exchange, From: "10.0.9.9:9", Bytes: text})
}
