package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"
)

const (
	nodesPerProcess = 110             // nodes in one process where nothing else is said: a core carries some hundreds that are idle
	maxProcesses    = 200             // a few hundred are allowed beside whole daemons
	defaultContacts = 3               // seeds
	defaultSockets  = 6_144           // of a node: a quarter is for streams of a seat, one to each node of the largest fleet
	stopTimeout     = 5 * time.Second // for a process to end once its commands end; then it is killed
	pollInterval    = 20 * time.Millisecond
	retainedSeconds = 7_200 // figures of so many seconds are kept
	firstBlock      = 64    // 127.64 to 127.191: blocks that a fleet may have
	numBlocks       = 128   // of them
)

// Options are what a fleet is started with. Only Nodes is needed.
type Options struct {
	Nodes           int // hollow ones
	Processes       int // 0: one for each 110 nodes
	Seats           int // of the council: the first nodes of the fleet. 0 for none
	TokensPerSecond float64
	Calls           int            // wanted at a time, of a limit Limit; needs seats
	Limit           int            // of calls in hand fleet-wide, 0 for none
	Fleet           map[string]any // further fields of the fleet's file: probe, silence, settle...
	Config          []byte         // configuration of a node without its name; nil for one operation and no tenant
	Layout          Layout
	JoinOver        time.Duration // over which the starts are spread; 0 for a herd
	Seed            int64
	Events          func(process int, events []Event) // told of changes of views; must not wait
	Log             io.Writer                         // stderr of the processes, nil for this one's

	Whole    []int // nodes that the caller runs itself behind relays; the others of 0 to Nodes+len(Whole)-1 are hollow
	Block    int   // of loopback addresses that the caller has reserved, 0 to have one chosen
	Contacts []int // seeds, nil for the first three
	Idle     bool  // starts no node yet
}

// Fleet is hollow nodes in processes of a program that has the command "hollow": cmd/topazlab.
type Fleet struct {
	Block     int
	options   Options
	total     int
	processes []*childProcess

	mu          sync.Mutex
	up          []bool
	last        []Event // of each node
	seconds     map[int64][]*Second
	err         error
	sent        int64
	reservation io.Closer // of the block, nil where the caller has it
}

// childProcess is one process.
type childProcess struct {
	nodes   []int
	command *exec.Cmd
	mu      sync.Mutex
	stdin   io.WriteCloser
	ended   chan struct{}
}

// Start runs a fleet. Program is the built topazlab; its processes end with ctx or Close.
func Start(ctx context.Context, program string, o Options) (*Fleet, error) {
	if o.Nodes < 1 || o.Nodes+len(o.Whole) > MaxNodes {
		return nil, fmt.Errorf("hollow: %d nodes: choose 1 to %d, whole ones included", o.Nodes, MaxNodes)
	}
	if o.Processes <= 0 {
		o.Processes = (o.Nodes + nodesPerProcess - 1) / nodesPerProcess
	}
	o.Processes = min(o.Processes, o.Nodes, maxProcesses)
	f := &Fleet{Block: o.Block, options: o, total: o.Nodes + len(o.Whole), seconds: map[int64][]*Second{}}
	f.up, f.last = make([]bool, f.total), make([]Event, f.total)
	whole := nodeSet(f.total, o.Whole)
	var hollow []int
	for i := range f.total {
		if !whole[i] {
			hollow = append(hollow, i)
		}
	}
	if f.Block == 0 {
		var err error
		if f.Block, f.reservation, err = Reserve(); err != nil {
			return nil, err
		}
	}
	if o.Contacts == nil {
		for i := range min(defaultContacts, f.total) {
			o.Contacts = append(o.Contacts, i)
		}
	}
	fleet, err := json.Marshal(FleetFields(&o, f.total))
	if err != nil {
		return nil, err
	}
	if o.Config == nil {
		o.Config = DefaultConfig()
	}
	for k := range o.Processes {
		nodes := hollow[k*len(hollow)/o.Processes : (k+1)*len(hollow)/o.Processes]
		m, err := f.startProcess(ctx, program, k, &spec{Block: f.Block, All: f.total, Nodes: nodes, Whole: o.Whole, Contacts: o.Contacts, Layout: o.Layout,
			Fleet: fleet, Config: o.Config, Seed: o.Seed*maxProcesses + int64(k)})
		if err != nil {
			f.Close()
			return nil, err
		}
		f.processes = append(f.processes, m)
	}
	if !o.Idle {
		f.StartOver(o.JoinOver, hollow...)
	}
	f.Tokens(o.TokensPerSecond)
	f.Calls(o.Calls)
	return f, nil
}

// FleetFields are those of the fleet's file that all nodes of a fleet share.
func FleetFields(o *Options, total int) map[string]any {
	fields := map[string]any{"fleet": "rig"}
	if total > 400 { // of 512 that are usual, with lost ones
		fields["members"] = min(total+total/8, 1_500)
	}
	if o.Seats > 0 {
		var seats []string
		for i := range o.Seats {
			seats = append(seats, NodeName(i))
		}
		council := map[string]any{"seats": seats}
		if o.Limit > 0 {
			council["calls"] = map[string]any{"limit": o.Limit, "hold": "500 ms", "lease": "3 s"}
		}
		fields["council"] = council
	}
	maps.Copy(fields, o.Fleet)
	return fields
}

// DefaultConfig is the configuration of a node with one operation and no tenant.
func DefaultConfig() []byte {
	text, err := json.Marshal(map[string]any{"listen": "127.0.0.1:0", "executor": "127.0.0.1:1", "control": "127.0.0.1:1", "catalog": "127.0.0.1:1",
		"seed": "8c1f30d27a5be964", "stop_ms": 3_000, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": defaultSockets},
		"settings": map[string]any{"grades": []any{map[string]any{"name": "hold", "aim": 2_000, "give_up": 5_000, "importance": 1,
			"effect": "deduplicated", "window": 10_000}},
			"family_info": map[string]any{"n_cores": 8, "memory_kb": 400_000, "blowup": 4, "entry_kb": 1, "class_calls": []bool{false},
				"below": "off", "calls_out": 0, "calls_over": 1_000, "linger": 0, "advert": "off", "gauges": []string{"cpu_busy", "runnable"}},
			"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 500},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}})
	if err != nil {
		panic(err) // of constants
	}
	return text
}

// Reserve takes a block of loopback addresses that nobody has, until held is closed. Two fleets at once must not choose alike,
// so the chance is not from a seed.
func Reserve() (block int, held io.Closer, err error) {
	first := rand.Intn(numBlocks)
	for k := range numBlocks {
		block = firstBlock + (first+k)%numBlocks
		if held, err = net.Listen("tcp", At(netip.AddrFrom4([4]byte{127, byte(block), 0, 1}))); err == nil {
			return block, held, nil
		}
	}
	return 0, nil, fmt.Errorf("hollow: no block of loopback addresses is free: %w", err)
}

func (f *Fleet) startProcess(ctx context.Context, program string, k int, s *spec) (*childProcess, error) {
	m := &childProcess{nodes: s.Nodes, command: exec.CommandContext(ctx, program, "hollow"), ended: make(chan struct{})}
	m.command.Stderr = f.options.Log
	if f.options.Log == nil {
		m.command.Stderr = os.Stderr
	}
	out, err := m.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if m.stdin, err = m.command.StdinPipe(); err != nil {
		return nil, err
	}
	if err := m.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(m.ended)
		lines := bufio.NewScanner(out)
		lines.Buffer(make([]byte, 64<<10), maxLineBytes)
		for lines.Scan() {
			var l report
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				f.fail(fmt.Errorf("hollow: process %d said what can't be read: %w", k, err))
				continue
			}
			f.receive(k, &l)
		}
		io.Copy(io.Discard, out)
		m.command.Wait()
	}()
	return m, m.send(s)
}

func (f *Fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = errors.Join(f.err, err)
}

func (f *Fleet) receive(k int, l *report) {
	if l.Failed != "" {
		f.fail(errors.New(l.Failed))
	}
	f.mu.Lock()
	if l.Second != nil {
		for _, s := range l.Second.splitSeconds() {
			f.seconds[s.Unix] = append(f.seconds[s.Unix], s)
		}
		for _, t := range l.Second.Sent {
			f.sent += t.Bytes
		}
		f.sent += l.Second.FromWhole
		delete(f.seconds, l.Second.Unix-retainedSeconds)
	}
	for _, e := range l.Events {
		if i := int(e[EventNode]); i < len(f.last) {
			f.last[i] = e
		}
	}
	f.mu.Unlock()
	if len(l.Events) > 0 && f.options.Events != nil {
		f.options.Events(k, l.Events)
	}
}

func (m *childProcess) send(what any) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err = m.stdin.Write(append(text, '\n'))
	return err
}

// broadcast says the same to broadcast processes.
func (f *Fleet) broadcast(c *command) {
	for k, m := range f.processes {
		if err := m.send(c); err != nil {
			f.fail(fmt.Errorf("hollow: process %d hears no command: %w", k, err))
		}
	}
}

// Err is what went wrong so far, nil for nothing.
func (f *Fleet) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (f *Fleet) setUp(up bool, nodes []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range nodes {
		f.up[i] = up
		f.last[i] = Event{}
	}
}

// Start begins lives of nodes that are not up.
func (f *Fleet) Start(nodes ...int) { f.StartOver(0, nodes...) }

// StartOver does so one by one over a time.
func (f *Fleet) StartOver(over time.Duration, nodes ...int) {
	f.setUp(true, nodes)
	f.broadcast(&command{Start: nodes, Over: over.Seconds()})
}

// Kill ends lives of nodes at once, without a word to anybody.
func (f *Fleet) Kill(nodes ...int) {
	f.setUp(false, nodes)
	f.broadcast(&command{Kill: nodes})
}

// Leave ends lives of nodes as a drain does.
func (f *Fleet) Leave(nodes ...int) {
	f.setUp(false, nodes)
	f.broadcast(&command{Leave: nodes})
}

// Restart drains nodes and starts each again as soon as it ended.
func (f *Fleet) Restart(nodes ...int) {
	f.setUp(true, nodes)
	f.broadcast(&command{Restart: nodes})
}

// Cut has nothing of some nodes come to others, until Heal.
func (f *Fleet) Cut(from, to []int) { f.broadcast(&command{Cut: &cutCommand{from, to}}) }

// Heal ends all cuts.
func (f *Fleet) Heal() { f.broadcast(&command{Heal: true}) }

// Lose drops a part of the datagrams.
func (f *Fleet) Lose(part float64) { f.broadcast(&command{Loss: &part}) }

// Delay holds each datagram up by a drawn time.
func (f *Fleet) Delay(most time.Duration) {
	ms := float64(most) / 1e6
	f.broadcast(&command{Delay: &ms})
}

// Tokens has nodes claim so many tokens a second, all together.
func (f *Fleet) Tokens(rate float64) {
	for k, m := range f.processes {
		part := rate * float64(len(m.nodes)) / float64(f.options.Nodes)
		if err := m.send(&command{Tokens: &part}); err != nil {
			f.fail(fmt.Errorf("hollow: process %d hears no command: %w", k, err))
		}
	}
}

// Calls has nodes want so many calls at a time, all together.
func (f *Fleet) Calls(n int) {
	done := 0
	for k, m := range f.processes {
		done += len(m.nodes)
		before := n * (done - len(m.nodes)) / f.options.Nodes
		part := n*done/f.options.Nodes - before
		if err := m.send(&command{Calls: &part}); err != nil {
			f.fail(fmt.Errorf("hollow: process %d hears no command: %w", k, err))
		}
	}
}

// ReportAllEvents says whether each change of a view is told to Options.Events, or but the last of each node in a tenth of a second.
func (f *Fleet) ReportAllEvents(each bool) { f.broadcast(&command{Events: &each}) }

// Last is the last change that each node's view is known to have had in its life now.
func (f *Fleet) Last() []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.last)
}

// Agreed waits until all nodes that are up hold one view of just them and of others who are up elsewhere. It says when the last
// of them came to it, and false where that took too long.
func (f *Fleet) Agreed(timeout time.Duration, others int) (at time.Time, agreed bool) {
	for end := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if at, agreed = f.agreed(others); agreed || time.Now().After(end) {
			return at, agreed
		}
	}
}

func (f *Fleet) agreed(others int) (at time.Time, agreed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	up, hash, last := others, uint64(0), uint64(0)
	for _, u := range f.up {
		if u {
			up++
		}
	}
	first := true
	for i, u := range f.up {
		if !u {
			continue
		}
		e := &f.last[i]
		if up > 1 && int(e[EventSize]) != up || !first && e[EventHash] != hash {
			return at, false
		}
		hash, first, last = e[EventHash], false, max(last, e[EventAt])
	}
	return time.UnixMilli(int64(last)), true
}

// Sample are the figures of each second that all processes told, oldest first, of all nodes together.
func (f *Fleet) Sample() (list []Second) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, unix := range slices.Sorted(maps.Keys(f.seconds)) {
		if parts := f.seconds[unix]; len(parts) == len(f.processes) {
			list = append(list, sumSeconds(parts))
		}
	}
	return list
}

// splitSeconds deals figures of several seconds out to each of them, in equal parts: nobody knows when in them it was.
func (s *Second) splitSeconds() (list []*Second) {
	span := max(1, s.Span)
	for k := range span {
		part := func(n int64) int64 { return n*(k+1)/span - n*k/span }
		deal := func(all map[string]Traffic) map[string]Traffic {
			own := map[string]Traffic{}
			for kind, t := range all {
				own[kind] = Traffic{part(t.Bytes), part(t.Messages)}
			}
			return own
		}
		one := *s
		one.Unix, one.Span = s.Unix-span+1+k, 1
		one.Sent, one.Received, one.FromWhole, one.Cut = deal(s.Sent), deal(s.Received), part(s.FromWhole), part(s.Cut)
		one.Dropped, one.Flooded, one.Refused, one.Changes = part(s.Dropped), part(s.Flooded), part(s.Refused), part(s.Changes)
		one.WorstSent, one.WorstMost, one.CPU = part(s.WorstSent), part(s.WorstMost), s.CPU/float64(span)
		t := &one.Tokens
		t.Wanted, t.TurnedAway, t.Begun, t.Kept = part(t.Wanted), part(t.TurnedAway), part(t.Begun), part(t.Kept)
		t.Late, t.Taken = part(t.Late), part(t.Taken)
		list = append(list, &one)
	}
	return list
}

func sumSeconds(parts []*Second) Second {
	s := Second{Unix: parts[0].Unix, Span: 1, Sent: map[string]Traffic{}, Received: map[string]Traffic{}, Views: map[string]int{}, WorstNode: -1}
	begun := 0.0
	add := func(to, from map[string]Traffic) {
		for k, t := range from {
			to[k] = Traffic{to[k].Bytes + t.Bytes, to[k].Messages + t.Messages}
		}
	}
	for _, p := range parts {
		add(s.Sent, p.Sent)
		add(s.Received, p.Received)
		for v, n := range p.Views {
			s.Views[v] += n
		}
		s.Nodes, s.FromWhole, s.Cut, s.Changes = s.Nodes+p.Nodes, s.FromWhole+p.FromWhole, s.Cut+p.Cut, s.Changes+p.Changes
		s.Dropped, s.Flooded, s.Refused = s.Dropped+p.Dropped, s.Flooded+p.Flooded, s.Refused+p.Refused
		if s.WorstNode < 0 || p.WorstSent > s.WorstSent {
			s.WorstNode, s.WorstSent = p.WorstNode, p.WorstSent
		}
		s.WorstMost, s.LastChange, s.Late = max(s.WorstMost, p.WorstMost), max(s.LastChange, p.LastChange), max(s.Late, p.Late)
		s.CPU, s.RSS, s.Peak = s.CPU+p.CPU, s.RSS+p.RSS, s.Peak+p.Peak
		t, u := &s.Tokens, &p.Tokens
		t.Wanted, t.TurnedAway, t.Begun, t.Kept = t.Wanted+u.Wanted, t.TurnedAway+u.TurnedAway, t.Begun+u.Begun, t.Kept+u.Kept
		t.Late, t.Taken, t.BeginMost = t.Late+u.Late, t.Taken+u.Taken, max(t.BeginMost, u.BeginMost)
		begun += u.BeginMS * float64(u.Begun)
		s.Calls = Calls{s.Calls.Wanted + p.Calls.Wanted, s.Calls.Allowed + p.Calls.Allowed, s.Calls.InHand + p.Calls.InHand}
	}
	if s.Tokens.Begun > 0 {
		s.Tokens.BeginMS = begun / float64(s.Tokens.Begun)
	}
	if n := float64(s.Nodes); n > 0 {
		for _, t := range s.Sent {
			s.PerNode += float64(t.Bytes) / n
			s.MessagesOut += float64(t.Messages) / n
		}
		s.CPUPerNode, s.RSSPerNode = s.CPU/n, float64(s.RSS)/n
	}
	return s
}

// Sent is how many bytes were sent since the start by hollow nodes, and to them by whole ones without a relay, up to the last
// second that was told.
func (f *Fleet) Sent() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

// Close ends all processes.
func (f *Fleet) Close() {
	for _, m := range f.processes {
		m.mu.Lock()
		m.stdin.Close()
		m.mu.Unlock()
	}
	if f.reservation != nil {
		defer f.reservation.Close()
	}
	late := time.After(stopTimeout)
	for _, m := range f.processes {
		select {
		case <-m.ended:
		case <-late:
			m.command.Process.Kill()
			<-m.ended
		}
	}
}
