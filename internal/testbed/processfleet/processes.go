package processfleet

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/testbed/hollow"
)

const (
	port              = hollow.Port
	maxListenAttempts = 8       // blocks of loopback addresses on which something else may stand
	maxLineBytes      = 1 << 20 // bytes of one line of a log
	minSockets        = 256     // of a daemon
	socketsPerNode    = 5       // of it for each node of the fleet: a quarter is for streams of a seat, and all may ask one
)

// processes is a fleet of built daemons on loopback addresses.
type processes struct {
	program, folder     string
	scenario            *Scenario
	links               *links
	relays              []*relay
	bind, peerAddresses []string
	executors           []*executorStandIn // executors, one a node
	control             net.Listener
	dependency          *dependency
	seed                int64
	block               int
	reservation         io.Closer     // of the block
	fleet               *hollow.Fleet // of the hollow nodes, nil without any
	hollowLog           *os.File
	joined              int64 // Unix s
	retryStorm          *retryStorm
	stalls              *stallRecorder
	began               time.Time

	mu         sync.Mutex
	daemons    []*daemon
	events     []Event
	lastOfNode []Event
}

// newProcesses takes a block of addresses that nobody uses, and stands the relays on it.
func newProcesses(n *Scenario, seed int64, program, folder string) (*processes, error) {
	p := &processes{program: program, folder: folder, scenario: n, seed: seed, began: time.Now(), daemons: make([]*daemon, n.Nodes),
		lastOfNode: make([]Event, n.Nodes), stalls: &stallRecorder{from: map[int]int64{}, over: make(chan struct{})}}
	chance := rand.New(rand.NewSource(seed))
	var err error
	p.retryStorm = newRetryStorm(seed, n)
	if p.dependency, err = newDependency(seed, n.Calls); err != nil {
		return nil, err
	}
	for range n.Nodes - n.Hollow {
		var calls *dependency
		if n.Calls > 0 {
			calls = p.dependency
		}
		b, err := newExecutorStandIn(p.retryStorm, calls)
		if err != nil {
			return nil, err
		}
		b.name = name(len(p.executors))
		p.executors = append(p.executors, b)
	}
	if p.control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	answer := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	go func() { _ = http.Serve(p.control, http.HandlerFunc(answer)) }() // until the listener is closed
	for range maxListenAttempts {
		var block int
		if block, p.reservation, err = hollow.Reserve(); err != nil {
			return nil, err
		}
		if err = p.listen(block, chance); err == nil {
			return p, nil
		}
		p.closeRelays()
		p.reservation.Close()
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", err)
}

func (p *processes) listen(block int, chance *rand.Rand) error {
	sender := map[netip.Addr]int{}
	p.links = &links{chance: chance, cut: map[pair]bool{}, bytes: make([]int64, p.scenario.Nodes), flight: make(chan struct{}, maxDelayed)}
	p.bind = nil
	p.peerAddresses = nil
	p.relays = nil
	p.block = block
	for i := range p.scenario.Nodes {
		bind, announced := hollow.Bind(block, i), hollow.Relayed(block, i)
		if p.scenario.isHollow(i) {
			announced = bind
		}
		sender[bind] = i
		p.bind, p.peerAddresses = append(p.bind, hollow.At(bind)), append(p.peerAddresses, hollow.At(announced))
	}
	for i := range p.scenario.Nodes - p.scenario.Hollow {
		r, err := newRelay(p.links, i, p.peerAddresses[i], p.bind[i], sender)
		if err != nil {
			return err
		}
		p.relays = append(p.relays, r)
	}
	return nil
}

func (p *processes) closeRelays() {
	for _, r := range p.relays {
		r.close()
	}
}

func (p *processes) now() int64 { return int64(time.Since(p.began)) }

func (p *processes) run(until int64) { time.Sleep(time.Duration(until - p.now())) }

func name(i int) string { return "n" + strconv.Itoa(i) }

var causes = func() map[string]membership.Cause {
	all := map[string]membership.Cause{}
	for k, name := range membership.CauseNames {
		all[name] = membership.Cause(k)
	}
	return all
}()

// serving are the nodes that take invocations, with where.
func (p *processes) serving() (nodes []int, addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, d := range p.daemons {
		if d != nil && d.up && d.serving {
			nodes = append(nodes, i)
			addresses = append(addresses, d.listens)
		}
	}
	return nodes, addresses
}

func (p *processes) cut(from, to int) {
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	p.links.cut[pair{from, to}] = true
	if p.fleet != nil {
		p.fleet.Cut([]int{from}, []int{to})
	}
}

func (p *processes) heal() {
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	clear(p.links.cut)
	p.links.sides = nil
	if p.fleet != nil {
		p.fleet.Heal()
	}
}

func (p *processes) lose(part float64) {
	if p.fleet != nil {
		p.fleet.Lose(part)
	}
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	p.links.loss = part
}

func (p *processes) sent() (sum int64) {
	p.links.mu.Lock()
	defer p.links.mu.Unlock()
	for i, b := range p.links.bytes { // what hollow nodes sent through relays they count themselves
		if !p.scenario.isHollow(i) {
			sum += b
		}
	}
	if p.fleet != nil {
		sum += p.fleet.Sent()
	}
	return sum
}

func (p *processes) viewEvents() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Event(nil), p.events...)
}

func (p *processes) lastEvents() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Event(nil), p.lastOfNode...)
}

func (p *processes) close() {
	close(p.stalls.over)
	if p.fleet != nil {
		p.fleet.Close()
	}
	if p.hollowLog != nil {
		p.hollowLog.Close()
	}
	for i := range p.daemons {
		p.pause(i, false)
		p.signal(i, syscall.SIGKILL)
		p.ended(i)
	}
	p.closeRelays()
	p.reservation.Close()
	for _, b := range p.executors {
		b.listener.Close()
	}
	p.control.Close()
	p.dependency.close()
}
