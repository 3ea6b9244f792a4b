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
	millisecond      = int64(1_000_000)                // ns
	epoch            = 1_764_576_000_000 * millisecond // wall time of a site's start
	fleetName        = "tests"
	frameHeaderBytes = 9 // of a frame before its payload
)

var errSimulated = errors.New("drawn")

// simulationOptions say what a simulated site has and what befalls it.
type simulationOptions struct {
	nodes, hollow, replicas, cores int
	seconds, rate                  int // rate: invocations a second at each whole node
	links                          int // to the catalogue that a node may have
	callers                        int // connections that each node's callers hold at a time
	loss                           float64
	durability                     resultcache.Durability

	caching, leases, configSync                      bool
	levels, versions, reloads, drains, aborts, kills bool
	misbehaving, faultyLinks, faultyDisks            bool // callers; executor and catalogue; stores
}

// simulation is some nodes in virtual time, with all that they speak to: drawn from one seed.
type simulation struct {
	*virtualtime.World
	simulationOptions
	t            testing.TB
	simNodes     []*simNode
	settings     string
	digest       digest
	steps        int
	effects      int
	kinds        [64]int // effects by kind
	inFlight     int     // summed over steps
	lastID       int
	lastExchange int
	lastOrder    uint64
	record       func(now, wall int64, inputs []node.Input) // of the first node; nil for none
}

// simNode is one node with what surrounds it. It outlives the node's process.
type simNode struct {
	*simulation
	index         int
	name          string
	address       string
	seed          int64
	machine       *node.StateMachine
	incarnation   int
	inbox         []node.Input
	stepScheduled bool
	wakeAt        int64
	violations    []string // invariants that did not hold

	conns             []*callerConn // of callers, open ones
	lastConn          int
	executorLink      int // to the executor that is up
	executorSilent    bool
	runs              map[string]*executorRun
	executed          map[string]bool // runs that were begun or refused
	notices           []lineprotocol.Line
	executorStartedAt int64
	catalogueCalls    map[int]string // links to the catalogue, and the call on each
	stored            []resultcache.Record
	disk              consensus.DiskContents
	exchanges         map[int]pendingExchange // asked of this node
	streams           map[int]peerStream
	lastLink          int
	version           uint64 // the next that Amend brings
}

// callerConn is a connection of a caller.
type callerConn struct {
	link           int
	lastStream     uint32
	open           map[uint32]string
	goAwayReceived bool
	closeCount     int // counts ends that were begun or taken back
}

// executorRun is one at the executor.
type executorRun struct {
	id, body     string
	calls        int
	awaitingCall bool
}

// pendingExchange is an exchange that a node is to answer.
type pendingExchange struct {
	from *simNode
	life int
	link int
}

// peerStream is the other end of a peerStream.
type peerStream struct {
	to   *simNode
	life int
	link int
}

// newSite makes a site in which no node is up.
func newSite(t testing.TB, seed int64, options simulationOptions) *simulation {
	t.Helper()
	s := &simulation{World: virtualtime.New(seed, 0), simulationOptions: options, t: t, digest: newDigest()}
	effect := "idempotent"
	if s.caching {
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
		n := &simNode{simulation: s, index: k, name: fmt.Sprint("n", k), address: fmt.Sprintf("10.0.0.%d:9", k+1), seed: s.Chance.Int63()}
		s.simNodes = append(s.simNodes, n)
	}
	return s
}

// randomDuration is a duration between two bounds, in microseconds.
func (s *simulation) randomDuration(least, most int64) int64 {
	return (least + s.Chance.Int63n(most-least+1)) * 1_000
}

// oneIn says true once in so many times.
func (s *simulation) oneIn(times int) bool { return s.Chance.Intn(times) == 0 }

// repeat has something done again and again, after drawn times of about so many milliseconds.
func (s *simulation) repeat(about int64, do func()) {
	s.After(s.randomDuration(500*about, 1_500*about), func() {
		do()
		s.repeat(about, do)
	})
}

// runAll plays the whole run.
func (s *simulation) runAll() {
	for _, n := range s.simNodes {
		s.After(s.randomDuration(1, 200_000), n.start)
		n.scheduleActivity()
	}
	if s.configSync {
		s.repeat(1_500, s.proposeConfig)
	}
	length := int64(s.seconds) * 1_000 * millisecond
	if s.drains {
		n := s.simNodes[len(s.simNodes)-1]
		s.At(length-9_000*millisecond, n.drain)
		if s.aborts {
			s.At(length-7_500*millisecond, func() { n.deliver(node.Input{Kind: node.AbortRequested}) })
		}
	}
	s.Run(length)
}

// isHollow says whether a node has no callers and no executor.
func (n *simNode) isHollow() bool { return n.index >= n.nodes-n.hollow }

// newMachine is the state of a node that starts.
func (n *simNode) newMachine() *node.StateMachine {
	p, err := nodeconfig.FromJSON(n.seed, []byte(n.settings))
	require.NoError(n.t, err)
	r := node.NewStateMachine(p, node.Addresses{Executor: "executor:1", Catalogue: "catalogue:1", Control: "control:1"}, 5_000*millisecond, 8, n.links)
	r.SpareConnections = 2
	if n.isHollow() {
		r.MakeHollow(new(node.HollowCounters), false)
	}
	if n.nodes > 1 || n.replicas > 0 {
		c := membership.Config{Name: n.name, Address: n.address, ProbeInterval: 500 * millisecond, LinkTimeout: 3_500 * millisecond,
			SuspicionTimeout: 400 * millisecond, ForgetTimeout: 60_000 * millisecond, MaxMembers: 50, Zone: fmt.Sprint("z", n.index%2)}
		for _, other := range n.simNodes[:min(2, n.nodes)] {
			c.Seeds = append(c.Seeds, other.address)
		}
		r.JoinFleet(fleetName, membership.New(c, n.Now, epoch+n.Now, 0, n.seed+int64(n.incarnation)))
	}
	if n.caching && !n.isHollow() {
		r.EnableResultCache(resultcache.Config{Durability: n.durability, MaxBytes: 200_000, MaxResultBytes: 1_000, Window: 8_000 * millisecond}, "dedupe",
			n.incarnation > 1 && n.durability == resultcache.OnDisk)
	}
	if n.replicas > 0 {
		var seats []string
		for k := range n.replicas {
			seats = append(seats, n.simNodes[k].name)
		}
		r.EnableConsensus(seats, 4<<20, n.Now, n.seed+int64(n.incarnation))
		if r.HasReplica() {
			require.NoError(n.t, r.RecoverReplica(n.Now, n.disk))
		}
	}
	if n.leases {
		r.EnableQuota(quota.HolderConfig{Name: "calls", Units: 9, Term: 4_000 * millisecond, Hold: 1_000 * millisecond}, 1)
	}
	if n.configSync {
		file, err := new(configsync.Content).Apply(itemsIn(p))
		require.NoError(n.t, err)
		require.NoError(n.t, r.EnableConfigSync(n.Now, n.seed+int64(n.incarnation), configsync.InitialState{Mark: configsync.Revision{Digest: file.Digest()},
			Content: file, Source: "file", Journal: -1}, file))
	}
	return r
}

// start starts the node's process.
func (n *simNode) start() {
	n.incarnation++
	n.machine = n.newMachine()
	n.inbox, n.stepScheduled, n.conns, n.executorLink = nil, false, nil, 0
	n.catalogueCalls, n.exchanges, n.streams = map[int]string{}, map[int]pendingExchange{}, map[int]peerStream{}
	if n.runs == nil {
		n.runs, n.executed, n.executorStartedAt = map[string]*executorRun{}, map[string]bool{}, n.Now
	}
	var in []node.Input
	if n.caching && n.incarnation > 1 && n.durability == resultcache.OnDisk && !n.isHollow() {
		stored := n.stored
		n.schedule(30*millisecond, func() {
			n.deliver(node.Input{Kind: node.RecordsRecovered, Records: slices.Clone(stored)}, node.Input{Kind: node.RecoveryCompleted})
		})
	}
	if n.levels && !n.isHollow() {
		in = append(in, node.Input{Kind: node.PlanChanged, Plan: n.plan(0.6, true)})
	}
	n.deliver(in...)
}

// kill ends it, and starts it again later.
func (n *simNode) kill() {
	if n.machine == nil || n.Now > int64(n.seconds-10)*1_000*millisecond { // the last seconds are for drains
		return
	}
	n.end()
	n.After(n.randomDuration(100_000, 8_000_000), n.start)
}

// drain tells it to drain, once it is up.
func (n *simNode) drain() {
	if n.machine == nil {
		n.After(200*millisecond, n.drain)
		return
	}
	n.deliver(node.Input{Kind: node.DrainRequested})
}

// end notes which invariants did not hold in the life that ends.
func (n *simNode) end() {
	n.violations = append(n.violations, n.invariants()...)
	n.machine = nil
	n.incarnation++
}

func (n *simNode) invariants() (list []string) {
	for what := range n.machine.Invariants.All() {
		list = append(list, fmt.Sprint(what))
	}
	slices.Sort(list)
	return list
}

// deliver hands inputs to the node; those of one moment go in one step.
func (n *simNode) deliver(in ...node.Input) {
	if n.machine == nil {
		return
	}
	n.inbox = append(n.inbox, in...)
	if !n.stepScheduled {
		n.stepScheduled = true
		n.schedule(0, n.step)
	}
}

// schedule has something done unless the node's process ends before.
func (n *simNode) schedule(ns int64, do func()) {
	life := n.incarnation
	n.After(ns, func() {
		if life == n.incarnation {
			do()
		}
	})
}

// step steps the node, takes down what it returns and does it.
func (n *simNode) step() {
	in := n.inbox
	n.inbox, n.stepScheduled = nil, false
	if n.record != nil && n.index == 0 {
		n.record(n.Now, epoch+n.Now, in)
	}
	effects := n.machine.Step(n.Now, epoch+n.Now, in)
	n.steps++
	n.effects += len(effects)
	n.digest.integers(int64(n.index), int64(n.incarnation), n.Now, int64(len(effects)))
	for k := range effects {
		n.kinds[effects[k].Kind]++
		n.digest.effect(&effects[k])
	}
	for _, c := range n.conns {
		n.simulation.inFlight += len(c.open)
	}
	life := n.incarnation
	for k := range effects {
		if n.execute(&effects[k]); life != n.incarnation {
			return
		}
	}
	if wake := n.wakeAt; wake < 1<<62 {
		n.schedule(max(1, wake-n.Now), func() {
			if n.wakeAt == wake && !n.stepScheduled {
				n.step()
			}
		})
	}
}

// execute does what the node asks for.
func (n *simNode) execute(e *node.Effect) {
	link := e.Link
	switch e.Kind {
	case node.SetWakeup:
		n.wakeAt = e.At
	case node.Exit:
		n.end()
		n.After(1_000*millisecond, n.start)
	case node.SendToConnection:
		n.writtenToCaller(e)
	case node.CloseAfterFlush, node.EvictConnection:
		n.closeConnSoon(link)
	case node.ResumeConnection:
		if c := n.conn(link); c != nil {
			c.closeCount++
		}
	case node.StopAccepting:
		n.schedule(n.randomDuration(100, 400), func() { n.deliver(node.Input{Kind: node.ListenerClosed}) })
	case node.SendReport:
		var err error
		if n.oneIn(5) {
			err = errSimulated
		}
		n.schedule(n.randomDuration(200, 900), func() { n.deliver(node.Input{Kind: node.ReportFinished, Link: link, Err: err}) })
	case node.DialExecutor, node.CloseExecutor, node.SendToExecutor:
		n.executorEffect(e)
	case node.DialCatalogue, node.SendToCatalogue, node.CloseCatalogue:
		n.catalogueEffect(e)
	case node.WriteRecord:
		n.storeRecord(*e.Record)
	case node.PersistReplicaWrite:
		n.persistReplica(e.Write)
	case node.PersistVersion:
		var err error
		if n.faultyDisks && n.oneIn(4) {
			err = errSimulated
		}
		n.schedule(n.randomDuration(500, 4_000), func() { n.deliver(node.Input{Kind: node.VersionPersisted, Err: err}) })
	case node.SendDatagram, node.OpenExchange, node.ReplyToExchange, node.SendOnStream, node.CloseStream:
		n.peerEffect(e)
	}
}

// Callers.

func (n *simNode) conn(link int) *callerConn {
	k := slices.IndexFunc(n.conns, func(c *callerConn) bool { return c.link == link })
	if k < 0 {
		return nil
	}
	return n.conns[k]
}

// closeConn ends a connection.
func (n *simNode) closeConn(link int) {
	n.conns = slices.DeleteFunc(n.conns, func(c *callerConn) bool { return c.link == link })
	n.deliver(node.Input{Kind: node.ConnectionClosed, Link: link})
}

// closeConnSoon ends a connection soon; now and then something crosses that.
func (n *simNode) closeConnSoon(link int) {
	c := n.conn(link)
	if c == nil {
		return
	}
	c.closeCount++
	at := c.closeCount
	if n.oneIn(4) {
		n.schedule(n.randomDuration(50, 200), func() {
			if c.closeCount == at && n.conn(link) == c {
				n.invoke(c)
			}
		})
	}
	n.schedule(n.randomDuration(250, 900), func() {
		if c.closeCount == at {
			n.closeConn(link)
		}
	})
}

// writtenToCaller takes what the node writes to a caller.
func (n *simNode) writtenToCaller(e *node.Effect) {
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
		c.goAwayReceived = true
	case frame.Answer:
		delete(c.open, f.Stream)
	}
}

// openConn opens a connection; some bring nothing.
func (n *simNode) openConn() *callerConn {
	n.lastConn++
	c := &callerConn{link: n.lastConn, open: map[uint32]string{}}
	n.conns = append(n.conns, c)
	n.deliver(node.Input{Kind: node.ConnectionOpened, Link: c.link})
	return c
}

// invokeOnAnyConn brings an invocation on some connection.
func (n *simNode) invokeOnAnyConn() {
	if n.machine == nil || n.isHollow() {
		return
	}
	var usable []*callerConn
	for _, c := range n.conns {
		if !c.goAwayReceived && c.closeCount == 0 && len(c.open) < 32 {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 || len(n.conns) < n.callers && n.oneIn(15) {
		c := n.openConn()
		if !n.misbehaving || !n.oneIn(3) { // nothing is read from a connection before the node has taken it on
			n.schedule(n.randomDuration(10, 300), func() { n.invoke(c) })
		}
		return
	}
	n.invoke(usable[n.Chance.Intn(len(usable))])
}

// invoke writes an invocation on a connection.
func (n *simNode) invoke(c *callerConn) {
	if n.conn(c.link) != c {
		return
	}
	n.lastID++
	c.lastStream++
	id, stream := fmt.Sprintf("%016x", n.lastID), c.lastStream
	fields := []frame.Field{{Name: "op", Value: []string{"catalogue", "hold", "pay"}[n.Chance.Intn(3)]}, {Name: "call", Value: id},
		{Name: "recv", Value: strconv.FormatInt((epoch+n.Now)/millisecond-n.Chance.Int63n(20), 10)}, {Name: "src", Value: strconv.Itoa(n.Chance.Intn(9))},
		{Name: "heap", Value: strconv.Itoa(5 + n.Chance.Intn(40))}, {Name: "org", Value: []string{"x", "x", "x", "y"}[n.Chance.Intn(4)]}}
	if n.oneIn(2) {
		fields = append(fields, frame.Field{Name: "work", Value: fmt.Sprintf("%.2f", 5+60*n.Chance.Float64())})
	}
	if n.oneIn(3) {
		fields = append(fields, frame.Field{Name: "ttl", Value: strconv.Itoa(100 + n.Chance.Intn(2_000))})
	}
	if n.oneIn(4) {
		fields = append(fields, frame.Field{Name: "rep", Value: "1"})
	}
	if n.oneIn(3) {
		fields = append(fields, frame.Field{Name: "row", Value: fmt.Sprintf("%016x", n.Chance.Intn(50))})
	}
	body := "body of " + id
	if n.caching {
		token := fmt.Sprint("t", n.Chance.Intn(20)+n.lastID/20*10) // many come again
		fields, body = append(fields, frame.Field{Name: "dedupe", Value: token}), "body of "+token
	}
	if n.misbehaving && n.oneIn(25) {
		k := n.Chance.Intn(len(fields))
		fields[k].Value = []string{"", "x", "-1", "99999999999999999999", "0x1"}[n.Chance.Intn(5)]
	}
	if n.misbehaving && n.oneIn(40) {
		k := n.Chance.Intn(len(fields))
		fields = slices.Delete(fields, k, k+1)
	}
	if n.misbehaving && n.oneIn(40) {
		fields = append(fields, frame.Field{Name: "crit", Value: fmt.Sprintf("%.2f", 1.2*n.Chance.Float64())})
	}
	if n.misbehaving && n.oneIn(60) && len(c.open) > 0 {
		fields[min(1, len(fields)-1)] = frame.Field{Name: "call", Value: c.open[slices.Sorted(maps.Keys(c.open))[0]]} // it is in use
	}
	if n.caching && n.oneIn(60) {
		body = "another body"
	}
	if n.misbehaving && n.oneIn(60) {
		body = strings.Repeat("b", 3_000)
	}
	if n.misbehaving && n.oneIn(80) && stream > 1 {
		stream--
	}
	b := frame.AppendInvocation(nil, stream, fields, []byte(body))
	c.open[stream] = id
	n.deliver(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: frame.Frame{Type: frame.Invocation, Stream: stream, Payload: b[frameHeaderBytes:],
		Past: n.misbehaving && n.oneIn(90)}})
}

// callerActivity does what callers do beside asking.
func (n *simNode) callerActivity() {
	if len(n.conns) == 0 || n.machine == nil {
		return
	}
	c := n.conns[n.Chance.Intn(len(n.conns))]
	read := func(f frame.Frame) { n.deliver(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: f}) }
	switch kind := n.Chance.Intn(12); {
	case kind < 3:
		open := slices.Sorted(maps.Keys(c.open))
		if len(open) > 0 {
			stream := open[n.Chance.Intn(len(open))]
			delete(c.open, stream)
			read(frame.Frame{Type: frame.Gone, Stream: stream})
		}
	case kind < 6:
		n.checkHealth(c, n.oneIn(2))
	case kind == 6:
		n.closeConn(c.link)
	case !n.misbehaving:
	case kind == 7:
		n.deliver(node.Input{Kind: node.FrameMalformed, Link: c.link, Err: frame.ErrLength})
	case kind == 8:
		read(frame.Frame{Type: 99, Stream: 1})
	case kind == 9:
		for range 40 {
			n.invoke(c)
		}
	case kind == 10:
		read(frame.Frame{Type: frame.Check, Stream: 1, Payload: []byte{255, 1}})
	default:
		for range 3 {
			n.openConn()
		}
	}
}

// checkHealth asks how the node is; a deep checkHealth has the executor work.
func (n *simNode) checkHealth(c *callerConn, deep bool) {
	var fields []frame.Field
	if deep {
		fields = []frame.Field{{Name: "e2e", Value: "1"}}
	}
	c.lastStream++
	b := frame.AppendInvocation(nil, c.lastStream, fields, nil)
	n.deliver(node.Input{Kind: node.FrameReceived, Link: c.link, Frame: frame.Frame{Type: frame.Check, Stream: c.lastStream, Payload: b[frameHeaderBytes:],
		Past: n.oneIn(20)}})
}

// The executor.

// deliverLine brings a line of the executor on the link that is up.
func (n *simNode) deliverLine(line lineprotocol.Line) {
	if link := n.executorLink; link != 0 && !n.executorSilent {
		n.schedule(150_000, func() { // all take the same time, so that they keep their order
			if link == n.executorLink {
				n.deliver(node.Input{Kind: node.ExecutorLineReceived, Link: link, Line: line})
			}
		})
	}
}

func (n *simNode) sendLine(text string, body string) {
	n.deliverLine(lineprotocol.Line{Words: strings.Fields(text), Body: []byte(body)})
}

// sendNotice is a line that later links bring again.
func (n *simNode) sendNotice(kind, rest, body string) {
	line := lineprotocol.Line{Words: strings.Fields(fmt.Sprintf("%s %d %s", kind, len(n.notices)+1, rest)), Body: []byte(body)}
	n.notices = append(n.notices, line)
	n.deliverLine(line)
}

// executorEffect is what owns the cores.
func (n *simNode) executorEffect(e *node.Effect) {
	link := e.Link
	switch e.Kind {
	case node.DialExecutor:
		missed := n.linkFault(4)
		n.schedule(n.randomDuration(100, 500), func() {
			if missed {
				n.deliver(node.Input{Kind: node.ExecutorDisconnected, Link: link, Err: errSimulated})
				return
			}
			n.executorLink, n.executorSilent = link, false
			n.deliver(node.Input{Kind: node.ExecutorConnected, Link: link})
		})
		return
	case node.CloseExecutor:
		if n.executorLink == link {
			n.executorLink = 0
		}
		n.schedule(n.randomDuration(50, 200), func() { n.deliver(node.Input{Kind: node.ExecutorDisconnected, Link: link}) })
		return
	}
	if link != n.executorLink {
		return
	}
	words, body := splitCommand(e.Bytes)
	switch words[0] {
	case "JOIN":
		from, err := strconv.Atoi(words[1])
		require.NoError(n.t, err)
		wait := int64(0)
		if n.oneIn(2) {
			wait = 300 * millisecond
		}
		n.schedule(wait, func() { n.welcome(link, from) })
	case "METER":
		on := 0
		for _, r := range n.runs {
			if !r.awaitingCall {
				on++
			}
		}
		at := n.randomDuration(800, 1_500) // behind the notices that a new link brings
		text := fmt.Sprintf("METERS %s %.3f %d 0.1 %d", words[1], min(1, float64(on)/float64(n.cores)), on, len(n.conns))
		n.schedule(at, func() { n.sendLine(text, "") })
	case "DIAG":
		text := "DIAGNOSED " + words[1] + " " + []string{"good", "bad"}[n.Chance.Intn(2)]
		if !n.oneIn(4) {
			n.schedule(n.randomDuration(1_000, 60_000), func() { n.sendLine(text, "") })
		}
	case "EXEC":
		if n.executed[words[1]] {
			return // a new link brings again what may not have been read
		}
		n.executed[words[1]] = true
		if n.linkFault(20) {
			n.sendLine("BAD EXEC "+words[1], "")
			return
		}
		r := &executorRun{id: words[1], body: string(body), calls: n.Chance.Intn(3)}
		if words[2] == "pay" {
			r.calls = 0
		}
		n.runs[r.id] = r
		n.runSegment(r)
	case "RETURN":
		if r := n.runs[words[1]]; r != nil && r.awaitingCall {
			r.awaitingCall = false
			n.runSegment(r)
		} else if n.linkFault(2) {
			n.sendLine("BAD RETURN "+words[1], "")
		}
	}
}

// welcome is how a link begins: with the notices that the node has not taken.
func (n *simNode) welcome(link, from int) {
	if link != n.executorLink {
		return
	}
	words := strings.Fields(fmt.Sprintf("WELCOME %s %d", []string{"new", "old"}[n.seed&1], (n.Now-n.executorStartedAt)/millisecond))
	n.deliver(node.Input{Kind: node.ExecutorLineReceived, Link: link, Line: lineprotocol.Line{Words: words}})
	for _, c := range n.conns { // a check in the step of the first welcome is a deep one
		if c.closeCount == 0 && n.oneIn(2) {
			n.checkHealth(c, true)
		}
	}
	n.schedule(400_000, func() {
		if n.executorLink == link {
			for _, line := range n.notices[min(from, len(n.notices)):] {
				n.deliverLine(lineprotocol.Line{Words: slices.Clone(line.Words), Body: slices.Clone(line.Body)})
			}
		}
	})
}

// runSegment is a run up to its next call or its end. It goes on when the node's process ends.
func (n *simNode) runSegment(r *executorRun) {
	n.After(n.randomDuration(3_000, 90_000), func() {
		if r.calls > 0 {
			r.calls--
			r.awaitingCall = true
			n.sendNotice("CALLOUT", fmt.Sprintf("%s %d", r.id, len(r.id)), r.id)
			n.After(3_000*millisecond, func() {
				if r.awaitingCall { // nobody brings it its answer
					r.awaitingCall, r.calls = false, 0
					n.endRun(r, "cut")
				}
			})
			return
		}
		end := "good"
		if n.oneIn(10) {
			end = []string{"bad", "cut", "gone"}[n.Chance.Intn(3)]
		}
		n.endRun(r, end)
	})
}

func (n *simNode) endRun(r *executorRun, end string) {
	if n.runs[r.id] != r {
		return
	}
	delete(n.runs, r.id)
	result := "result of " + r.body
	if n.oneIn(12) {
		result = strings.Repeat("r", 1_500)
	}
	n.sendNotice("EXIT", fmt.Sprintf("%s %s %d %d", r.id, end, 12, len(result)), result)
	if n.oneIn(20) {
		n.sendNotice("LOG", "said", "")
	}
}

// linkFault says true once in so many times where links and peers fail at all.
func (n *simNode) linkFault(times int) bool { return n.simulationOptions.faultyLinks && n.oneIn(times) }

// splitCommand takes a line of words and the body behind it apart.
func splitCommand(b []byte) (words []string, body []byte) {
	end := bytes.Index(b, []byte("\r\n"))
	words = strings.Fields(string(b[:end]))
	if rest := b[end+2:]; len(rest) >= 2 {
		body = bytes.Clone(rest[:len(rest)-2])
	}
	return words, body
}

// The catalogue.

func (n *simNode) catalogueEffect(e *node.Effect) {
	link := e.Link
	switch e.Kind {
	case node.DialCatalogue:
		kind, err := node.CatalogueConnected, error(nil)
		if n.linkFault(6) {
			kind, err = node.CatalogueDialFailed, errSimulated
		}
		n.schedule(n.randomDuration(100, 2_000), func() {
			if kind == node.CatalogueConnected {
				n.catalogueCalls[link] = ""
			}
			n.deliver(node.Input{Kind: kind, Link: link, Err: err})
		})
	case node.CloseCatalogue:
		delete(n.catalogueCalls, link)
		n.schedule(n.randomDuration(50, 200), func() { n.deliver(node.Input{Kind: node.CatalogueDisconnected, Link: link}) })
	case node.SendToCatalogue:
		words, body := splitCommand(e.Bytes)
		n.catalogueCalls[link] = words[1]
		reply := lineprotocol.Line{Words: []string{words[1], "DATA", strconv.Itoa(len(body))}, Body: body}
		if n.oneIn(8) {
			reply = lineprotocol.Line{Words: []string{words[1], []string{"LATER", "NOUSE", "FAULT", "TOOSLOW"}[n.Chance.Intn(4)]}}
		}
		if n.linkFault(15) {
			reply = lineprotocol.Line{Words: [][]string{{"what"}, {words[1], "WHAT"}, {"ffffffffffffffff", "LATER"}}[n.Chance.Intn(3)]}
		}
		takes, twice, breaks := n.randomDuration(2_000, 80_000), n.linkFault(10), n.linkFault(15)
		if n.linkFault(12) {
			takes = 4_000 * millisecond
		}
		n.schedule(takes, func() {
			if n.catalogueCalls[link] != words[1] {
				return
			}
			if breaks {
				delete(n.catalogueCalls, link)
				n.deliver(node.Input{Kind: node.CatalogueDisconnected, Link: link, Err: errSimulated})
				return
			}
			n.deliver(node.Input{Kind: node.CatalogueLineReceived, Link: link, Line: reply})
			if twice {
				n.deliver(node.Input{Kind: node.CatalogueLineReceived, Link: link, Line: lineprotocol.Line{Words: slices.Clone(reply.Words), Body: slices.Clone(reply.Body)}})
			}
		})
	}
}

// Disks.

func (n *simNode) storeRecord(kept resultcache.Record) {
	if n.faultyDisks && n.oneIn(6) {
		n.schedule(n.randomDuration(200, 9_000), func() {
			n.deliver(node.Input{Kind: node.RecordWriteFailed, Err: errSimulated, Records: []resultcache.Record{kept}})
		})
		return
	}
	n.schedule(n.randomDuration(200, 9_000), func() {
		n.stored = append(n.stored, kept)
		n.deliver(node.Input{Kind: node.RecordWritten, Records: []resultcache.Record{kept}})
	})
}

// persistReplica writes what a seat must not forget, in order.
func (n *simNode) persistReplica(w *consensus.Write) {
	number, base, records, forget := w.Number, bytes.Clone(w.Base), slices.Clone(w.Records), w.DiscardEarlier
	parts := maps.Clone(w.Parts)
	n.schedule(2*millisecond, func() {
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
		n.deliver(node.Input{Kind: node.ReplicaWritePersisted, Number: number})
	})
}

// Peers.

// reachable finds a peer by its address; none where what is sent is lost.
func (n *simNode) reachable(address string, lost bool) *simNode {
	for _, to := range n.simNodes {
		if to.address == address && to.machine != nil && !lost {
			return to
		}
	}
	return nil
}

func (n *simNode) peerEffect(e *node.Effect) {
	text, link, life := bytes.Clone(e.Bytes), e.Link, n.incarnation
	lost := n.loss > 0 && n.Chance.Float64() < n.loss
	switch e.Kind {
	case node.SendDatagram:
		if to := n.reachable(e.Address, lost); to != nil {
			to.schedule(n.randomDuration(300, 1_500), func() { to.deliver(node.Input{Kind: node.PeerDatagramReceived, From: n.address, Bytes: text}) })
		}
	case node.OpenExchange:
		to := n.reachable(e.Address, lost)
		missed := func() { n.deliver(node.Input{Kind: node.PeerExchangeFailed, Link: link, Err: errSimulated}) }
		if to == nil {
			n.schedule(500*millisecond, missed)
			return
		}
		n.lastExchange++
		number := n.lastExchange
		to.schedule(n.randomDuration(900, 2_000), func() {
			to.exchanges[number] = pendingExchange{n, life, link}
			to.deliver(node.Input{Kind: node.PeerRequestReceived, Link: number, From: n.address, Bytes: text})
		})
		n.schedule(2_000*millisecond, func() {
			if q, open := to.exchanges[number]; open && q.from == n {
				delete(to.exchanges, number)
				missed()
			}
		})
	case node.ReplyToExchange:
		q, known := n.exchanges[link]
		delete(n.exchanges, link)
		if !known || q.from == nil || q.from.incarnation != q.life {
			return
		}
		in := node.Input{Kind: node.PeerResponseReceived, Link: q.link, From: n.address, Bytes: text}
		if len(text) == 0 {
			in = node.Input{Kind: node.PeerExchangeFailed, Link: q.link, Err: errSimulated}
		}
		q.from.schedule(n.randomDuration(300, 1_500), func() { q.from.deliver(in) })
	case node.SendOnStream:
		n.sendMessage(e.Address, link, text)
	case node.CloseStream:
		n.closeStream(link)
	}
}

// sendMessage writes to a stream, or to a new one where that is gone.
func (n *simNode) sendMessage(address string, link int, text []byte) {
	there, known := n.streams[link]
	if !known || there.to.incarnation != there.life {
		for _, number := range slices.Sorted(maps.Keys(n.streams)) { // the one that is open to that address
			if s := n.streams[number]; s.to.address == address && s.to.incarnation == s.life {
				there, known, link = s, true, number
			}
		}
	}
	if !known || there.to.incarnation != there.life {
		to := n.reachable(address, false)
		if to == nil || to == n {
			return
		}
		n.lastLink++
		to.lastLink++
		there = peerStream{to, to.incarnation, to.lastLink}
		n.streams[n.lastLink], to.streams[to.lastLink] = there, peerStream{n, n.incarnation, n.lastLink}
		link = n.lastLink
	}
	if n.loss > 0 && n.Chance.Float64() < n.loss {
		n.closeStream(link)
		return
	}
	to, at := there.to, there.link
	to.schedule(800_000, func() { // all take the same time, so that they keep their order
		if _, open := to.streams[at]; open {
			to.deliver(node.Input{Kind: node.PeerMessageReceived, Link: at, From: n.address, Bytes: text})
		}
	})
}

// closeStream ends a stream at both ends.
func (n *simNode) closeStream(link int) {
	there, known := n.streams[link]
	delete(n.streams, link)
	if known && there.to.incarnation == there.life {
		delete(there.to.streams, there.link)
		there.to.schedule(800_000, func() { there.to.deliver(node.Input{Kind: node.PeerStreamClosed, Link: there.link}) })
	}
	n.schedule(0, func() { n.deliver(node.Input{Kind: node.PeerStreamClosed, Link: link}) })
}

// What befalls a station.

// scheduleActivity begins all that happens at a station by itself.
func (n *simNode) scheduleActivity() {
	if n.isHollow() {
		// Seldom: the runs of tokens that end in one step are told of in the order of a map, which has none.
		n.repeat(1_200, func() {
			n.lastID++
			n.deliver(node.Input{Kind: node.HollowClaimRequested, Bytes: fmt.Append(nil, "h", n.lastID)})
		})
		n.repeat(1_000, func() { n.deliver(node.Input{Kind: node.HollowCallsRequested, Link: n.Chance.Intn(8)}) })
	} else {
		n.repeat(max(1, 1_000/int64(n.rate)), func() {
			for range max(1, n.rate/1_000) {
				n.invokeOnAnyConn()
			}
		})
		n.repeat(120, n.callerActivity)
		if n.misbehaving {
			n.repeat(20_000, n.abandonConns)
		}
	}
	if n.simulationOptions.faultyLinks {
		n.repeat(2_500, n.executorFault)
	}
	if n.kills {
		n.repeat(9_000, n.kill)
	}
	if n.levels && !n.isHollow() {
		n.repeat(4_000, func() {
			plan := n.plan(0.2+n.Chance.Float64(), n.oneIn(2))
			if n.oneIn(5) {
				plan = nil
			}
			n.deliver(node.Input{Kind: node.PlanChanged, Plan: plan})
		})
	}
	if n.reloads {
		n.repeat(4_000, func() {
			at := func(name string) string { return fmt.Sprintf("%s:%d", name, 1+n.Chance.Intn(2)) }
			n.deliver(node.Input{Kind: node.ReloadRequested, Plan: n.plan(0.5, false),
				Addresses: node.Addresses{Executor: at("executor"), Catalogue: at("catalogue"), Control: at("control")}})
		})
	}
	if n.versions {
		n.repeat(1_200, n.newVersion)
	}
	if n.nodes > 1 {
		n.repeat(900, n.outsideMessage)
	}
}

// outsideMessage brings letters from outside the fleet's nodes: of operators, and such as can't be used.
func (n *simNode) outsideMessage() {
	if n.machine == nil {
		return
	}
	of := fleetName
	if n.oneIn(8) {
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
	if n.oneIn(8) {
		text[n.Chance.Intn(len(text))]++
	}
	n.lastExchange++
	n.deliver(node.Input{Kind: kind, Link: n.lastExchange, From: "10.0.9.9:9", Bytes: text})
	if n.oneIn(20) {
		n.deliver(node.Input{Kind: node.PeerMessageReceived, Link: 1_000_000 + n.lastExchange, From: "10.0.9.9:9", Bytes: text})
	}
}

// abandonConns has callers use none of their connections any more, so that those stand idle until they are told of their end.
func (n *simNode) abandonConns() {
	for _, c := range n.conns {
		c.goAwayReceived = true
	}
}

// executorFault disturbs the link to the executor.
func (n *simNode) executorFault() {
	if n.machine == nil || n.executorLink == 0 {
		return
	}
	switch n.Chance.Intn(5) {
	case 0:
		n.executorSilent = true
	case 1:
		n.sendLine([]string{"WHAT is this", "EXIT 999999 x good 1 0", "METERS m1 x x x x", "BAD", "EXIT -1 a good 1 0", "DIAGNOSED d999 good"}[n.Chance.Intn(6)], "")
	default:
		link := n.executorLink
		n.executorLink = 0
		n.deliver(node.Input{Kind: node.ExecutorDisconnected, Link: link, Err: errSimulated})
	}
}

// plan is one of two levels that begins at a load.
func (n *simNode) plan(load float64, spare bool) *node.DegradationPlan {
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

// randomItems are drawn changes of the configuration.
func (s *simulation) randomItems() (list []nodeconfig.Item) {
	if s.oneIn(2) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Operations, Name: "catalogue", Value: fmt.Appendf(nil,
			`{"aim":%d,"class_calls":true,"effect":"idempotent","give_up":1500,"importance":%d}`, 500+s.Chance.Intn(200), 1+s.Chance.Intn(4))})
	}
	if s.oneIn(3) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Tenants, Name: []string{"x", "x", "y"}[s.Chance.Intn(3)],
			Value: fmt.Appendf(nil, `{"quota_rps":%d}`, 1+s.Chance.Intn(30))})
	} else if s.oneIn(20) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Tenants, Name: []string{"x", "y"}[s.Chance.Intn(2)]})
	}
	if s.oneIn(3) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Limits, Name: "limits.max_retry_after", Value: fmt.Appendf(nil, "%d", 50+s.Chance.Intn(900))})
	}
	if s.oneIn(3) {
		i := nodeconfig.Item{Part: nodeconfig.Operations, Name: "extra"}
		if s.oneIn(2) {
			i.Value = []byte(`{"aim":1000,"effect":"idempotent","give_up":3000}`)
		}
		list = append(list, i)
	}
	if len(list) == 0 || s.oneIn(8) {
		list = append(list, nodeconfig.Item{Part: nodeconfig.Operations, Name: "pay"}) // one that comes never again
	}
	return list
}

// newVersion brings a version into force at one node.
func (n *simNode) newVersion() {
	if n.machine == nil {
		return
	}
	change, err := nodeconfig.Parse(n.randomItems())
	require.NoError(n.t, err)
	number := n.machine.ActiveVersion() + 1
	if n.oneIn(6) {
		number--
	}
	n.deliver(node.Input{Kind: node.VersionReceived, Version: number, Change: change})
	if n.oneIn(4) { // the next one before this one is taken
		next, err := nodeconfig.Parse(n.randomItems())
		require.NoError(n.t, err)
		n.deliver(node.Input{Kind: node.VersionReceived, Version: number + 1, Change: next})
	}
}

// proposeConfig has changes of the configuration ordered at some node.
func (s *simulation) proposeConfig() {
	n := s.simNodes[s.Chance.Intn(len(s.simNodes))]
	if n.machine == nil {
		return
	}
	s.lastOrder++
	c := &configsync.Command{Kind: configsync.Put, From: "operator", Seq: s.lastOrder, Base: n.machine.ConfigSyncState().Version}
	for _, i := range s.randomItems() {
		if len(i.Value) > 0 {
			var err error
			i.Value, err = configsync.Canonical(i.Value)
			require.NoError(s.t, err)
		}
		c.Changes = append(c.Changes, configsync.Item(i))
	}
	text, err := envelope.Seal(nil, envelope.FleetOf(fleetName), node.EncodeConfigQuery(&configsync.Query{Kind: configsync.Propose, Command: c}))
	require.NoError(s.t, err)
	s.lastExchange++
	n.deliver(node.Input{Kind: node.PeerRequestReceived, Link: s.lastExchange, From: "10.0.9.9:9", Bytes: text})
}
