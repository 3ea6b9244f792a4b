package processfleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

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

// seatFlags are those of a process that is a seat and serves nothing.
func (p *processes) seatFlags(i int, fleet string) []string {
	return []string{"seat", "--name", name(i), fleet}
}
