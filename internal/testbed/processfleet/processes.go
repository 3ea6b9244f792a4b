package processfleet

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
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

type daemon struct {
	command *exec.Cmd
	life    int
	up      bool
	ended   chan struct{}
	log     *os.File
	listens string // for dispatchers, once it serves
	serving bool
	leaving bool
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
		bind, told := hollow.Bind(block, i), hollow.Relayed(block, i)
		if p.scenario.isHollow(i) {
			told = bind
		}
		sender[bind] = i
		p.bind, p.peerAddresses = append(p.bind, hollow.At(bind)), append(p.peerAddresses, hollow.At(told))
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

// write gives a node its files, and says with which flags it serves.
func (p *processes) write(i int) (flags []string, err error) {
	file := func(suffix string, content any) string {
		text, e := json.Marshal(content)
		path := filepath.Join(p.folder, name(i)+suffix)
		if e == nil {
			e = os.WriteFile(path, text, 0o600)
		}
		if e != nil {
			err = e
		}
		return path
	}
	config := file(".json", p.config(i))
	flags = []string{"serve"}
	if p.scenario.Keep != nil {
		kept := map[string]string{"durability": "batched", "folder": filepath.Join(p.folder, name(i)+".kept"), "segment": "1 MiB", "size": "64 MiB"}
		maps.Copy(kept, p.scenario.Keep)
		flags = append(flags, "--keep", file(".kept.jsonnet", kept))
	}
	if p.scenario.Nodes > 1 || p.scenario.Council > 0 {
		var seeds []string
		for s := range min(p.scenario.Contacts, p.scenario.Nodes) {
			seeds = append(seeds, p.peerAddresses[s])
		}
		layout := p.scenario.layout()
		config := map[string]any{"bind": p.bind[i], "advertise": p.peerAddresses[i], "seeds": seeds, "zone": layout.Name(i)}
		maps.Copy(config, p.fleetFile())
		if v := p.scenario.Versions; v != nil && i < v.Seats {
			return p.seatFlags(i, file(".fleet.jsonnet", config)), err
		}
		flags = append(flags, "--fleet", file(".fleet.jsonnet", config))
	}
	return append(flags, config), err
}

// fleetFile are the fields of the fleet's file that all nodes share.
func (p *processes) fleetFile() map[string]any {
	n := p.scenario
	o := hollow.Options{Seats: n.Council, Fleet: map[string]any{}}
	if n.Calls > 0 && !n.Share {
		o.Limit = n.Calls
	}
	for k, v := range n.Fleet {
		if o.Fleet[k] = v; k == "members" {
			o.Fleet[k] = json.Number(v)
		}
	}
	fields := hollow.FleetFields(&o, n.Nodes)
	p.versionsFiles(nil, fields, 0)
	return fields
}

// config is the configuration of a node, that of all hollow ones without a name for -1.
func (p *processes) config(i int) map[string]any {
	operation := map[string]any{"name": "hold", "aim": 1_000, "give_up": 2_500, "importance": 1, "effect": "idempotent"}
	if p.scenario.Storm || p.scenario.Tokens > 0 {
		operation = map[string]any{"name": "hold", "aim": 2_000, "give_up": int64(p.retryStorm.timeout) / ms,
			"importance": 1, "effect": "deduplicated", "window": stormWindow}
	}
	below, share := "off", 0.0
	if p.scenario.Calls > 0 {
		below = "common"
		share = float64(p.scenario.Calls) / float64(p.scenario.Nodes)
	}
	executor := "127.0.0.1:1" // a hollow node opens no link to one
	if i >= 0 {
		executor = p.executors[i].listener.Addr().String()
	}
	config := map[string]any{"name": name(i), "listen": "127.0.0.1:0",
		"executor": executor, "control": p.control.Addr().String(), "catalog": p.dependency.listener.Addr().String(),
		"seed": "8c1f30d27a5be964", "stop_ms": 3_000, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": max(minSockets, socketsPerNode*p.scenario.Nodes)},
		"settings": map[string]any{"grades": []any{operation, map[string]any{"name": "look", "aim": 1_000, "give_up": 2_500, "importance": 1, "effect": "idempotent"}},
			"family_info": map[string]any{"n_cores": cmp.Or(p.scenario.Cores, 8), "memory_kb": 400_000, "blowup": 4, "entry_kb": 1, "class_calls": []bool{p.scenario.Calls > 0, false},
				"below": below, "calls_out": share, "calls_over": 1_000, "linger": 0, "advert": "off", "gauges": []string{"cpu_busy", "runnable"}},
			"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 500},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}}
	p.versionsFiles(config, nil, i)
	return config
}

func (p *processes) start(i int) error {
	if p.scenario.isHollow(i) {
		p.fleet.Start(i)
		return nil
	}
	flags, err := p.write(i)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if d := p.daemons[i]; d != nil && d.leaving { // its drain may take longer than the gap that it was given
		p.mu.Unlock()
		p.ended(i)
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	life := 1
	if d := p.daemons[i]; d != nil {
		if d.up {
			return nil
		}
		life = d.life + 1
	}
	d := &daemon{command: exec.Command(p.program, flags...), life: life, up: true, ended: make(chan struct{})}
	out, err := d.command.StderrPipe()
	if err != nil {
		return err
	}
	if d.log, err = os.OpenFile(filepath.Join(p.folder, name(i)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	if err := d.command.Start(); err != nil {
		return err
	}
	p.daemons[i] = d
	go func() {
		in := bufio.NewScanner(out)
		in.Buffer(nil, maxLineBytes)
		for in.Scan() {
			fmt.Fprintln(d.log, in.Text())
			p.logLineReceived(i, d, in.Bytes())
		}
		_ = d.command.Wait() // daemons are killed by faults and in the end
		d.log.Close()
		close(d.ended)
	}()
	return nil
}

var causes = func() map[string]membership.Cause {
	all := map[string]membership.Cause{}
	for k, name := range membership.CauseNames {
		all[name] = membership.Cause(k)
	}
	return all
}()

// logLineReceived takes a line of a node's log.
func (p *processes) logLineReceived(i int, d *daemon, line []byte) {
	var l struct {
		Message, Cause, Who, View, Listen string
		Size                              int
	}
	if json.Unmarshal(line, &l) != nil {
		return
	}
	switch {
	case l.Message == "listening":
		p.mu.Lock()
		d.listens = l.Listen
		p.mu.Unlock()
	case strings.HasPrefix(l.Message, "executor is up"):
		p.mu.Lock()
		d.serving = true
		p.mu.Unlock()
	}
	if l.Message != "view changed" {
		return
	}
	hash, _ := strconv.ParseUint(l.View, 16, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	e := Event{At: p.now(), Node: i, Cause: causes[l.Cause], Who: l.Who, Hash: hash, Size: l.Size}
	p.events = append(p.events, e)
	p.lastOfNode[i] = e
}

func (p *processes) signal(i int, s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.daemons[i]; d != nil && d.up {
		d.command.Process.Signal(s)
	}
}

func (p *processes) kill(i int) {
	if p.scenario.isHollow(i) {
		p.fleet.Kill(i)
		return
	}
	p.signal(i, syscall.SIGKILL)
	p.ended(i)
}

func (p *processes) ended(i int) {
	p.mu.Lock()
	d := p.daemons[i]
	p.mu.Unlock()
	if d == nil {
		return
	}
	<-d.ended
	p.mu.Lock()
	d.up = false
	d.serving = false
	p.mu.Unlock()
}

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

func (p *processes) leave(i int) {
	if p.scenario.isHollow(i) {
		p.fleet.Leave(i)
		return
	}
	p.mu.Lock()
	if d := p.daemons[i]; d != nil && d.up {
		d.leaving = true
	}
	p.mu.Unlock()
	p.signal(i, syscall.SIGTERM)
	go p.ended(i)
}

func (p *processes) pause(i int, stop bool) {
	p.signal(i, map[bool]os.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[stop])
	p.stalls.stopped(i, p.now(), stop)
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
