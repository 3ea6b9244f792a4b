package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	f.up = make([]bool, f.total)
	f.last = make([]Event, f.total)
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
		_, _ = io.Copy(io.Discard, out) // past a line that was too long
		_ = m.command.Wait()            // how it ended is seen by its reports
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
