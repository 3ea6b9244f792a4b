package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"topazpost/internal/configfile"
	"topazpost/internal/fleet/fleetconfig"
)

const (
	anyNode         = "{name}"               // stands for a node's name in the fleet's file
	maxLineBytes    = 8 << 20                // bytes of a command or of a line of figures
	eventInterval   = 100 * time.Millisecond // between lines of events
	loadInterval    = 10 * time.Millisecond  // between tokens that are asked for
	bindBackoff     = 50 * time.Millisecond  // between attempts at an address that the last incarnation still has
	maxBindAttempts = 40
)

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
	_ = p.out.Encode(l) // the fleet has gone where it fails; then stdin ends, too
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
	p.fleet.Membership.Seeds = nil
	for _, i := range s.Contacts {
		p.fleet.Membership.Seeds = append(p.fleet.Membership.Seeds, p.peerAddress(i))
	}
	for _, i := range s.Nodes {
		n := &hollowNode{index: i}
		p.nodes = append(p.nodes, n)
		p.byIndex[i] = n
	}
	_, err = p.nodeConfig(0) // so that a mistake in it is reported at once
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
