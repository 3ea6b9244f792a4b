package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
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

	"topazpost/membership"
)

const (
	port       = 7946 // of peers, on addresses of the rig's own
	blockFirst = 64   // 127.64 to 127.191: blocks that a fleet may have
	blocks     = 128
	linesMost  = 1 << 20 // bytes of one line of a log
)

// processes is a fleet of built daemons on loopback addresses.
type processes struct {
	program, folder string
	night           *Night
	wire            *wire
	relays          []*relay
	bind, told      []string
	executor        net.Listener
	control         net.Listener
	began           time.Time

	mu      sync.Mutex
	daemons []*daemon
	events  []Event
	latest  []Event
}

type daemon struct {
	command *exec.Cmd
	life    int
	up      bool
	ended   chan struct{}
	log     *os.File
}

// newProcesses takes a block of addresses that nobody uses, and stands the relays on it.
func newProcesses(n *Night, seed int64, program, folder string) (*processes, error) {
	p := &processes{program: program, folder: folder, night: n, began: time.Now(), daemons: make([]*daemon, n.Nodes),
		latest: make([]Event, n.Nodes)}
	chance := rand.New(rand.NewSource(seed))
	var err error
	if p.executor, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if p.control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go http.Serve(p.control, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	go p.execute()
	first := rand.Intn(blocks) // two fleets at once must not choose alike, so not from the seed
	for try := range blocks {
		if err = p.stand(blockFirst+(first+try)%blocks, chance); err == nil {
			return p, nil
		}
		p.closeRelays()
	}
	return nil, fmt.Errorf("no block of loopback addresses is free: %w", err)
}

func (p *processes) stand(block int, chance *rand.Rand) error {
	sender := map[netip.Addr]int{}
	p.wire = &wire{chance: chance, cut: map[pair]bool{}, bytes: make([]int64, p.night.Nodes), flight: make(chan struct{}, delayedMost)}
	p.bind, p.told, p.relays = nil, nil, nil
	for i := range p.night.Nodes {
		bind := fmt.Sprintf("127.%d.%d.1", block, i+1)
		sender[netip.MustParseAddr(bind)] = i
		p.bind = append(p.bind, fmt.Sprintf("%s:%d", bind, port))
		p.told = append(p.told, fmt.Sprintf("127.%d.%d.2:%d", block, i+1, port))
	}
	for i := range p.night.Nodes {
		r, err := newRelay(p.wire, i, p.told[i], p.bind[i], sender)
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

// execute stands in for the executors of all: up at once, idle.
func (p *processes) execute() {
	for {
		conn, err := p.executor.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			for in := bufio.NewScanner(conn); in.Scan(); {
				switch w := strings.Fields(in.Text()); {
				case len(w) == 2 && w[0] == "JOIN":
					fmt.Fprint(conn, "WELCOME old 5000\r\n")
				case len(w) == 2 && w[0] == "METER":
					fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", w[1])
				}
			}
		}()
	}
}

func (p *processes) now() int64 { return int64(time.Since(p.began)) }

func (p *processes) run(until int64) { time.Sleep(time.Duration(until - p.now())) }

func name(i int) string { return "n" + strconv.Itoa(i) }

// write gives a node its two files.
func (p *processes) write(i int) (config, fleet string, err error) {
	nameplate, err := json.Marshal(map[string]any{"name": name(i), "listen": "127.0.0.1:0",
		"executor": p.executor.Addr().String(), "control": p.control.Addr().String(), "catalog": p.executor.Addr().String(),
		"seed": "8c1f30d27a5be964", "stop_ms": 3_000, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"settings": map[string]any{
			"grades": []any{map[string]any{"name": "hold", "aim": 1_000, "give_up": 2_500, "importance": 1}},
			"family_info": map[string]any{"n_cores": 2, "memory_kb": 9_000, "blowup": 4, "class_calls": []bool{false},
				"below": "off", "advert": "off", "gauges": []string{"cpu_busy", "runnable"}},
			"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 500},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}})
	if err != nil {
		return "", "", err
	}
	var seeds []string
	for s := range min(p.night.Contacts, p.night.Nodes) {
		seeds = append(seeds, p.told[s])
	}
	charter := map[string]any{"fleet": "rig", "bind": p.bind[i], "advertise": p.told[i], "seeds": seeds, "zone": fmt.Sprint("z", i%3)}
	for k, v := range p.night.Fleet {
		charter[k] = v
	}
	society, err := json.Marshal(charter)
	if err != nil {
		return "", "", err
	}
	config, fleet = filepath.Join(p.folder, name(i)+".json"), filepath.Join(p.folder, name(i)+".fleet.jsonnet")
	if err := os.WriteFile(config, nameplate, 0o600); err != nil {
		return "", "", err
	}
	return config, fleet, os.WriteFile(fleet, society, 0o600)
}

func (p *processes) start(i int) error {
	config, fleet, err := p.write(i)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	life := 1
	if d := p.daemons[i]; d != nil {
		if d.up {
			return nil
		}
		life = d.life + 1
	}
	d := &daemon{command: exec.Command(p.program, "serve", "--fleet", fleet, config), life: life, up: true, ended: make(chan struct{})}
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
		in.Buffer(nil, linesMost)
		for in.Scan() {
			fmt.Fprintln(d.log, in.Text())
			p.heard(i, in.Bytes())
		}
		d.command.Wait()
		d.log.Close()
		close(d.ended)
	}()
	return nil
}

var causes = func() map[string]membership.Cause {
	all := map[string]membership.Cause{}
	for k, name := range membership.Causes {
		all[name] = membership.Cause(k)
	}
	return all
}()

// heard takes a line of a node's log.
func (p *processes) heard(i int, line []byte) {
	var l struct {
		Message, Cause, Who, View string
		Size                      int
	}
	if json.Unmarshal(line, &l) != nil || l.Message != "view changed" {
		return
	}
	hash, _ := strconv.ParseUint(l.View, 16, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	e := Event{At: p.now(), Node: i, Cause: causes[l.Cause], Who: l.Who, Hash: hash, Size: l.Size}
	p.events, p.latest[i] = append(p.events, e), e
}

func (p *processes) signal(i int, s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.daemons[i]; d != nil && d.up {
		d.command.Process.Signal(s)
	}
}

func (p *processes) kill(i int) {
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
	p.mu.Unlock()
}

func (p *processes) leave(i int) {
	p.signal(i, syscall.SIGTERM)
	go p.ended(i)
}

func (p *processes) pause(i int, stop bool) {
	p.signal(i, map[bool]os.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[stop])
}

func (p *processes) cut(from, to int) {
	p.wire.mu.Lock()
	defer p.wire.mu.Unlock()
	p.wire.cut[pair{from, to}] = true
}

func (p *processes) heal() {
	p.wire.mu.Lock()
	defer p.wire.mu.Unlock()
	clear(p.wire.cut)
}

func (p *processes) lose(part float64) {
	p.wire.mu.Lock()
	defer p.wire.mu.Unlock()
	p.wire.loss = part
}

func (p *processes) sent() (sum int64) {
	p.wire.mu.Lock()
	defer p.wire.mu.Unlock()
	for _, b := range p.wire.bytes {
		sum += b
	}
	return sum
}

func (p *processes) seen() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Event(nil), p.events...)
}

func (p *processes) last() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Event(nil), p.latest...)
}

func (p *processes) close() {
	for i := range p.daemons {
		p.pause(i, false)
		p.signal(i, syscall.SIGKILL)
		p.ended(i)
	}
	p.closeRelays()
	p.executor.Close()
	p.control.Close()
}
