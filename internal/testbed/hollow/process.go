package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
	"topazpost/server"
)

const (
	anyNode         = "{name}"               // stands for a node's name in the fleet's file
	maxLineBytes    = 8 << 20                // bytes of a command or of a line of figures
	eventInterval   = 100 * time.Millisecond // between lines of events
	loadInterval    = 10 * time.Millisecond  // between tokens that are asked for
	bindBackoff     = 50 * time.Millisecond  // between tries at an address that the last life still has
	maxBindAttempts = 40
)

// spec is the first line that a process reads: what it is to run.
type spec struct {
	Block, All int
	Nodes      []int // those of this process
	Whole      []int // those that are whole daemons elsewhere, behind relays
	Contacts   []int // the seeds
	Layout     Layout
	Fleet      json.RawMessage // fields of the fleet's file
	Config     json.RawMessage // configuration of a node, its name left out
	Seed       int64
}

// command is a line that a process reads later; only the fields that are set count.
type command struct {
	Start   []int       `json:"start,omitempty"`
	Over    float64     `json:"over,omitempty"` // seconds over which the starts are spread
	Kill    []int       `json:"kill,omitempty"`
	Leave   []int       `json:"leave,omitempty"`
	Restart []int       `json:"restart,omitempty"` // leave, and start once that is over
	Cut     *cutCommand `json:"cut,omitempty"`
	Heal    bool        `json:"heal,omitempty"`
	Loss    *float64    `json:"loss,omitempty"`
	Delay   *float64    `json:"delay_ms,omitempty"`
	Tokens  *float64    `json:"tokens,omitempty"` // a second, of all nodes of this process
	Calls   *int        `json:"calls,omitempty"`  // wanted at a time, of all nodes of this process
	Events  *bool       `json:"events,omitempty"` // tell each change of a view, else only the last of each node
}

type cutCommand struct {
	From []int `json:"from"`
	To   []int `json:"to"`
}

// Event is a change of one node's view. Fields are in the order in which they are told: times are Unix milliseconds.
type Event [6]uint64

// The fields of an event: who is a number of a node.
const (
	EventAt = iota
	EventNode
	EventCause
	EventWho
	EventSize
	EventHash
)

// report is what a process tells: its figures of a second, or events.
type report struct {
	Second *Second `json:"second,omitempty"`
	Events []Event `json:"events,omitempty"`
	Failed string  `json:"failed,omitempty"`
}

// Traffic is bytes and messages.
type Traffic struct {
	Bytes    int64 `json:"bytes"`
	Messages int64 `json:"messages"`
}

// Second is what a process, or all of a fleet, came to in one second. Bytes are those of letters, without headers of IP.
type Second struct {
	Unix        int64              `json:"unix"`
	Span        int64              `json:"span"`  // seconds that it covers up to this one: more than one where the process lacked time
	Nodes       int                `json:"nodes"` // that are up
	Sent        map[string]Traffic `json:"sent"`  // by kind: datagrams, exchanges, streams
	Received    map[string]Traffic `json:"received"`
	FromWhole   int64              `json:"from_whole"` // bytes received of whole daemons without a relay
	Cut         int64              `json:"cut"`        // datagrams and pieces that the filter dropped
	Dropped     int64              `json:"dropped"`    // that nobody had time for
	Flooded     int64              `json:"flooded"`    // of senders past their pace
	Refused     int64              `json:"refused"`    // exchanges past those served at once
	WorstNode   int                `json:"worst_node"`
	WorstSent   int64              `json:"worst_sent"` // bytes, of that node
	WorstMost   int64              `json:"worst_received"`
	CPU         float64            `json:"cpu_s"`       // processor seconds, all nodes together, with the process around them
	RSS         int64              `json:"rss"`         // bytes resident now, all processes together
	Peak        int64              `json:"peak"`        // at the most so far
	Changes     int64              `json:"changes"`     // of views
	LastChange  int64              `json:"last_change"` // Unix ms of the last change of any view
	Views       map[string]int     `json:"views"`       // nodes by their view: size and hash
	Tokens      Tokens             `json:"tokens"`      // in this second
	Calls       Calls              `json:"calls"`       // now
	Late        float64            `json:"late_s"`      // by which this line is late: the process lacked time
	PerNode     float64            `json:"-"`           // bytes sent, by a node in the mean
	CPUPerNode  float64            `json:"-"`           // processor seconds of a node in the mean
	RSSPerNode  float64            `json:"-"`           // bytes resident of a node in the mean, with its part of the process
	MessagesOut float64            `json:"-"`           // by a node in the mean
}

// Tokens are what became of tokens that nodes were to claim. Times are milliseconds.
type Tokens struct {
	Wanted     int64   `json:"wanted"`
	TurnedAway int64   `json:"turned_away"`
	Begun      int64   `json:"begun"`
	Kept       int64   `json:"kept"`
	Late       int64   `json:"late"`
	Taken      int64   `json:"taken"`
	BeginMS    float64 `json:"begin_ms"` // to the agreed start, in the mean
	BeginMost  float64 `json:"begin_most_ms"`
}

// Calls are units of the fleet's limit.
type Calls struct {
	Wanted  int64 `json:"wanted"`
	Allowed int64 `json:"allowed"`
	InHand  int64 `json:"in_hand"`
}

// hollowNode is a node of this process, with its life now.
type hollowNode struct {
	index  int
	counts trafficCounters
	claims node.HollowCounters

	mu           sync.Mutex
	up           bool
	incarnation  int
	server       *server.Server
	filter       *filter
	cancel       context.CancelFunc
	ended        chan struct{}
	size         int
	hash         uint64
	changes      int64
	last         Event
	lastReported bool     // last was told
	earlierDrops [3]int64 // dropped, flooded and refused in earlier lives
}

type process struct {
	spec    spec
	fleet   *fleetconfig.Fleet
	filters *filters
	nodes   []*hollowNode
	byIndex map[int]*hollowNode
	log     zerolog.Logger

	mu        sync.Mutex
	events    []Event
	allEvents bool
	out       *json.Encoder
	tokens    float64
	calls     int
	lastToken int64 // number of the next token
	nextNode  int
}

// Serve runs nodes as the first line of in says, obeys those that follow, and tells figures on out, until in ends.
func Serve(ctx context.Context, in io.Reader, out io.Writer, log zerolog.Logger) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 64<<10), maxLineBytes)
	if !lines.Scan() {
		return errors.New("hollow: no first line that says what to run")
	}
	p := &process{log: log, out: json.NewEncoder(out), byIndex: map[int]*hollowNode{}}
	if err := json.Unmarshal(lines.Bytes(), &p.spec); err != nil {
		return fmt.Errorf("hollow: first line: %w", err)
	}
	if err := p.prepare(); err != nil {
		p.report(&report{Failed: err.Error()})
		return err
	}
	var group sync.WaitGroup
	group.Go(func() { p.reportSeconds(ctx) })
	group.Go(func() { p.reportEvents(ctx) })
	group.Go(func() { p.generateLoad(ctx) })
	for lines.Scan() {
		var c command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return fmt.Errorf("hollow: command: %w", err)
		}
		p.execute(ctx, &c)
	}
	for _, n := range p.nodes {
		p.kill(n)
	}
	end()
	group.Wait()
	return lines.Err()
}

func (p *process) report(l *report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out.Encode(l)
}

func (p *process) prepare() error {
	s := &p.spec
	p.filters = &filters{block: s.Block, all: s.All, whole: nodeSet(s.All, s.Whole)}
	p.filters.rules.Store(&rules{})
	fields := map[string]any{}
	if len(s.Fleet) > 0 {
		if err := json.Unmarshal(s.Fleet, &fields); err != nil {
			return err
		}
	}
	fields["bind"] = At(Bind(s.Block, 0))
	text, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	file, err := configfile.Rendered("fleet", text)
	if err != nil {
		return err
	}
	if p.fleet, err = fleetconfig.From(file, anyNode); err != nil {
		return err
	}
	p.fleet.Terms.Seeds = nil
	for _, i := range s.Contacts {
		p.fleet.Terms.Seeds = append(p.fleet.Terms.Seeds, p.peerAddress(i))
	}
	for _, i := range s.Nodes {
		n := &hollowNode{index: i}
		p.nodes = append(p.nodes, n)
		p.byIndex[i] = n
	}
	_, err = p.nodeConfig(0) // so that a mistake in it is told at once
	return err
}

func nodeSet(all int, list []int) []bool {
	in := make([]bool, all)
	for _, i := range list {
		if i >= 0 && i < all {
			in[i] = true
		}
	}
	return in
}

// peerAddress is the address that peers are told of a node.
func (p *process) peerAddress(i int) string {
	if p.filters.whole[i] {
		return At(Relayed(p.spec.Block, i))
	}
	return At(Bind(p.spec.Block, i))
}

// nodeConfig is that of a life of a node.
func (p *process) nodeConfig(i int) (*server.Config, error) {
	fields := map[string]any{}
	if err := json.Unmarshal(p.spec.Config, &fields); err != nil {
		return nil, fmt.Errorf("hollow: configuration: %w", err)
	}
	fields["name"] = NodeName(i)
	text, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	n, err := server.ReadConfig(text)
	if err != nil {
		return nil, err
	}
	own := *p.fleet
	own.Bind, own.Terms.Name, own.Terms.Address, own.Terms.Zone = At(Bind(p.spec.Block, i)), n.Name, p.peerAddress(i), p.spec.Layout.Name(i)
	if c := own.Configuration; c != nil { // each has a folder of its own
		own.Configuration = &fleetconfig.Configuration{Folder: strings.ReplaceAll(c.Folder, anyNode, n.Name)}
	}
	n.Fleet = &own
	return n, nil
}

func (p *process) execute(ctx context.Context, c *command) {
	r := *p.filters.rules.Load()
	if c.Cut != nil {
		r.cuts = append(r.cuts[:len(r.cuts):len(r.cuts)], cut{nodeSet(p.spec.All, c.Cut.From), nodeSet(p.spec.All, c.Cut.To)})
	}
	if c.Heal {
		r.cuts = nil
	}
	if c.Loss != nil {
		r.loss = *c.Loss
	}
	if c.Delay != nil {
		r.delay = time.Duration(*c.Delay * 1e6)
	}
	p.filters.rules.Store(&r)
	p.mu.Lock()
	if c.Events != nil {
		p.allEvents = *c.Events
	}
	if c.Tokens != nil {
		p.tokens = *c.Tokens
	}
	if c.Calls != nil {
		p.calls = *c.Calls
	}
	p.mu.Unlock()
	each := func(list []int, do func(n *hollowNode)) {
		for _, i := range list {
			if n := p.byIndex[i]; n != nil {
				do(n)
			}
		}
	}
	together := func(list []int, do func(n *hollowNode)) {
		var group sync.WaitGroup
		each(list, func(n *hollowNode) { group.Go(func() { do(n) }) })
		group.Wait()
	}
	together(c.Kill, p.kill)
	together(c.Leave, p.leave)
	each(c.Restart, func(n *hollowNode) {
		go func() {
			p.leave(n)
			p.start(ctx, n)
		}()
	})
	if c.Over > 0 && len(c.Start) > 0 {
		pause := time.Duration(c.Over / float64(len(c.Start)) * 1e9)
		go func() { // each process has its own part of the list, at the same moments
			for _, i := range c.Start {
				if n := p.byIndex[i]; n != nil {
					p.start(ctx, n)
				}
				time.Sleep(pause)
			}
		}()
		return
	}
	each(c.Start, func(n *hollowNode) { p.start(ctx, n) })
}

// start begins a life of a node, if none goes on.
func (p *process) start(ctx context.Context, n *hollowNode) {
	config, err := p.nodeConfig(n.index)
	if err != nil {
		p.report(&report{Failed: err.Error()})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up || ctx.Err() != nil {
		return
	}
	n.incarnation++
	if n.server != nil {
		c := n.server.Peered()
		n.earlierDrops[0], n.earlierDrops[1], n.earlierDrops[2] = n.earlierDrops[0]+c.Dropped.Load(), n.earlierDrops[1]+c.Flooded.Load(), n.earlierDrops[2]+c.Refused.Load()
	}
	seed := p.spec.Seed<<24 ^ int64(n.index)<<8 ^ int64(n.incarnation)
	config.Settings.Node.Seed = seed
	f := newFilter(p.filters, n.index, &n.counts, seed)
	config.Hollow = &server.Hollow{Wire: f, Counters: &n.claims, Changed: func(c *membership.Change) { p.viewChanged(n, c) }}
	ctx, end := context.WithCancel(ctx)
	n.up, n.size, n.hash, n.filter, n.cancel, n.ended = true, 1, 0, f, end, make(chan struct{})
	n.server = server.New(config, p.log.With().Str("node", config.Name).Logger(), server.SystemClock())
	s, ended, life := n.server, n.ended, n.incarnation
	go func() {
		defer close(ended)
		err := s.Run(ctx)
		for try := 0; err != nil && errors.Is(err, syscall.EADDRINUSE) && try < maxBindAttempts && ctx.Err() == nil; try++ {
			time.Sleep(bindBackoff)
			err = s.Run(ctx)
		}
		if err != nil && ctx.Err() == nil {
			p.report(&report{Failed: fmt.Sprintf("%s: %s", NodeName(n.index), err)})
		}
		f.close()
		n.mu.Lock()
		if n.incarnation == life {
			n.up = false
		}
		n.mu.Unlock()
	}()
	p.mu.Lock()
	calls := p.calls
	p.mu.Unlock()
	if calls > 0 {
		s.WantCalls(p.callsOf(n, calls))
	}
}

// kill ends a life at once, without a word to anybody.
func (p *process) kill(n *hollowNode) {
	n.mu.Lock()
	up, end, ended, f := n.up, n.cancel, n.ended, n.filter
	n.mu.Unlock()
	if !up {
		return
	}
	end()
	f.close()
	<-ended
}

// leave ends a life as a drain does, and waits for that.
func (p *process) leave(n *hollowNode) {
	n.mu.Lock()
	up, s, ended := n.up, n.server, n.ended
	n.mu.Unlock()
	if !up {
		return
	}
	s.Drain()
	<-ended
}

// viewChanged takes a change of a node's view.
func (p *process) viewChanged(n *hollowNode, c *membership.Change) {
	who, _ := strconv.Atoi(strings.TrimPrefix(c.Who, "n"))
	e := Event{uint64(time.Now().UnixMilli()), uint64(n.index), uint64(c.Cause), uint64(who), uint64(c.Size), c.Hash}
	n.mu.Lock()
	n.size, n.hash, n.last, n.lastReported = c.Size, c.Hash, e, false
	n.changes++
	n.mu.Unlock()
	p.mu.Lock()
	if p.allEvents {
		p.events = append(p.events, e)
	}
	p.mu.Unlock()
}

// reportEvents tells changes of views in bundles.
func (p *process) reportEvents(ctx context.Context) {
	for beat := time.NewTicker(eventInterval); ; {
		select {
		case <-ctx.Done():
			beat.Stop()
			return
		case <-beat.C:
		}
		p.mu.Lock()
		events, all := p.events, p.allEvents
		p.events = nil
		p.mu.Unlock()
		for _, n := range p.nodes {
			n.mu.Lock()
			if !all && !n.lastReported && n.last[EventAt] > 0 {
				events = append(events, n.last)
			}
			n.lastReported = true
			n.mu.Unlock()
		}
		if len(events) > 0 {
			p.report(&report{Events: events})
		}
	}
}

// generateLoad has nodes claim tokens, in turn.
func (p *process) generateLoad(ctx context.Context) {
	beat := time.NewTicker(loadInterval)
	defer beat.Stop()
	owed, last, wanted := 0.0, time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		p.mu.Lock()
		rate, calls := p.tokens, p.calls
		p.mu.Unlock()
		now := time.Now()
		owed += rate * now.Sub(last).Seconds()
		last = now
		for ; owed >= 1; owed-- {
			p.wantToken()
		}
		if calls != wanted {
			wanted = calls
			for _, n := range p.nodes {
				p.setCalls(n, calls)
			}
		}
	}
}

func (p *process) wantToken() {
	for range p.nodes {
		n := p.nodes[p.nextNode%len(p.nodes)]
		p.nextNode++
		n.mu.Lock()
		up, s := n.up, n.server
		n.mu.Unlock()
		if up {
			p.lastToken++
			if !s.WantToken(fmt.Sprintf("%x-%x-%x", p.spec.Seed, p.spec.Nodes[0], p.lastToken)) {
				n.claims.TurnedAway.Add(1)
			}
			return
		}
	}
}

// setCalls parts the calls that are wanted of this process among its nodes.
func (p *process) setCalls(n *hollowNode, calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up {
		n.server.WantCalls(p.callsOf(n, calls))
	}
}

// callsOf is a node's part of the calls of this process.
func (p *process) callsOf(n *hollowNode, calls int) int {
	k := slices.Index(p.nodes, n)
	return calls*(k+1)/len(p.nodes) - calls*k/len(p.nodes)
}

// reportSeconds tells one line a second, at its turn.
func (p *process) reportSeconds(ctx context.Context) {
	before, told := p.totals(), time.Now().Unix()
	for {
		now := time.Now()
		next := now.Truncate(time.Second).Add(time.Second)
		select {
		case <-ctx.Done():
			return
		case <-time.After(next.Sub(now)):
		}
		after := p.totals()
		s := p.second(next, before, after)
		s.Span = max(1, s.Unix-told)
		p.report(&report{Second: s})
		before, told = after, s.Unix
	}
}

// totals are all that is counted since the start.
type totals struct {
	traffic                             [numDirections][numKinds]Traffic
	fromWhole, cut                      int64
	dropped, flooded, refused           int64
	changes                             int64
	wanted, rejected, begun, kept       int64
	late, taken, beginSum, beginMost    int64
	sent, received                      []int64 // by node
	nodes                               int
	views                               map[string]int
	lastChange                          int64
	callsWanted, callsAllowed, callsNow int64
	cpu                                 float64
}

func (p *process) totals() *totals {
	s := &totals{views: map[string]int{}}
	for _, n := range p.nodes {
		var of [numDirections]int64
		for way := range numDirections {
			for kind := range numKinds {
				t := Traffic{n.counts.bytes[way][kind].Load(), n.counts.messages[way][kind].Load()}
				s.traffic[way][kind].Bytes += t.Bytes
				s.traffic[way][kind].Messages += t.Messages
				of[way] += t.Bytes
			}
		}
		s.sent, s.received = append(s.sent, of[sentToPeer]), append(s.received, of[receivedFromPeer])
		s.fromWhole += n.counts.fromWhole.Load()
		s.cut += n.counts.lost.Load()
		l := &n.claims
		s.wanted, s.rejected, s.begun, s.kept = s.wanted+l.Wanted.Load(), s.rejected+l.TurnedAway.Load(), s.begun+l.Begun.Load(), s.kept+l.Kept.Load()
		s.late, s.taken, s.beginSum = s.late+l.Late.Load(), s.taken+l.Taken.Load(), s.beginSum+l.BeginSum.Load()
		s.beginMost = max(s.beginMost, l.BeginMost.Swap(0))
		n.mu.Lock()
		s.changes += n.changes
		s.lastChange = max(s.lastChange, int64(n.last[EventAt]))
		if n.server != nil {
			c := n.server.Peered()
			own := [3]int64{c.Dropped.Load(), c.Flooded.Load(), c.Refused.Load()}
			s.dropped, s.flooded, s.refused = s.dropped+n.earlierDrops[0]+own[0], s.flooded+n.earlierDrops[1]+own[1], s.refused+n.earlierDrops[2]+own[2]
		}
		if n.up {
			s.nodes++
			s.views[ViewName(n.size, n.hash)]++
			s.callsWanted, s.callsAllowed = s.callsWanted+l.Calls.Load(), s.callsAllowed+l.Allowed.Load()
			s.callsNow += l.InHand.Load()
		}
		n.mu.Unlock()
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		s.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
	}
	return s
}

// ViewName tells views apart.
func ViewName(size int, hash uint64) string { return fmt.Sprintf("%d %016x", size, hash) }

func (p *process) second(at time.Time, a, b *totals) *Second {
	s := &Second{Unix: at.Unix(), Nodes: b.nodes, Sent: map[string]Traffic{}, Received: map[string]Traffic{}, FromWhole: b.fromWhole - a.fromWhole,
		Cut: b.cut - a.cut, Dropped: b.dropped - a.dropped, Flooded: b.flooded - a.flooded, Refused: b.refused - a.refused,
		CPU: b.cpu - a.cpu, Changes: b.changes - a.changes, LastChange: b.lastChange, Views: b.views, Late: time.Since(at).Seconds(),
		Calls: Calls{b.callsWanted, b.callsAllowed, b.callsNow}, WorstNode: -1}
	for way, to := range []map[string]Traffic{s.Sent, s.Received} {
		for kind := range numKinds {
			x, y := a.traffic[way][kind], b.traffic[way][kind]
			to[KindNames[kind]] = Traffic{y.Bytes - x.Bytes, y.Messages - x.Messages}
		}
	}
	for k, n := range p.nodes {
		if sent := b.sent[k] - a.sent[k]; s.WorstNode < 0 || sent > s.WorstSent {
			s.WorstNode, s.WorstSent = n.index, sent
		}
		s.WorstMost = max(s.WorstMost, b.received[k]-a.received[k])
	}
	t := &s.Tokens
	*t = Tokens{Wanted: b.wanted - a.wanted, TurnedAway: b.rejected - a.rejected, Begun: b.begun - a.begun, Kept: b.kept - a.kept, Late: b.late - a.late,
		Taken: b.taken - a.taken, BeginMost: float64(b.beginMost) / 1e6}
	if t.Begun > 0 {
		t.BeginMS = float64(b.beginSum-a.beginSum) / float64(t.Begun) / 1e6
	}
	s.RSS, s.Peak = residentMemory()
	return s
}

// residentMemory is the memory of this process, now and at the most.
func residentMemory() (now, most int64) {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, 0
	}
	for _, l := range strings.Split(string(text), "\n") {
		f := strings.Fields(l)
		if len(f) < 2 {
			continue
		}
		kB, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			now = kB << 10
		case "VmHWM:":
			most = kB << 10
		}
	}
	return now, most
}
