// Command addtokened plays a node that takes its operations in service, from three seats. An operation whose repeats are to be
// dropped is put into force; a request of it is then sent, and repeated within its window.
package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"topazpost/review/standin"
)

const (
	runTime     = 20 * time.Millisecond
	requests    = 5
	windowMS    = 13_023
	answerLimit = 5 * time.Second
	retryGap    = 100 * time.Millisecond
	fleetName   = "mobilier"
	seats       = 3
)

func main() { standin.Main(run) }

var (
	sample = standin.Operation{Name: "sample-run", Effect: "idempotent", Aim: 1_400, GiveUp: 3_600, Worth: 1}
	graded = standin.Operation{Name: "graded-submit", Effect: "deduplicated", Aim: 1_800, GiveUp: 4_300, Window: windowMS, Worth: 5}
)

// play is one run of the case.
type play struct {
	c     *standin.Case
	x     *standin.Executor
	binds []string // of the seats, then of the node
	node  *standin.Node
}

func run(c *standin.Case) (int, error) {
	p := &play{c: c}
	for range seats + 1 {
		bind, err := standin.FreeAddress()
		if err != nil {
			return 0, err
		}
		p.binds = append(p.binds, bind)
	}
	settings := standin.Settings{MemoryMB: 192, Cores: 2, ExecutorKB: 24_000, Operations: []standin.Operation{sample}}
	if !c.Trouble {
		settings.Operations = append(settings.Operations, graded)
	}
	if err := p.start(&settings); err != nil {
		return 0, err
	}
	if err := p.put("config.json", filepath.Join(c.Temp, "config.json")); err != nil {
		return 0, err
	}
	if c.Trouble {
		change := map[string]any{"operations": map[string]any{graded.Name: standin.Grade(graded)}}
		path, err := c.WriteFile("change.jsonnet", change)
		if err != nil {
			return 0, err
		}
		if err := p.put("the change that adds "+graded.Name, path); err != nil {
			return 0, err
		}
	}
	d, err := standin.Dial(settings.Address)
	if err != nil {
		return 0, err
	}
	return p.repeat(d)
}

// start starts the seats and the node.
func (p *play) start(s *standin.Settings) error {
	for i := range seats {
		name := fmt.Sprintf("s%d", i+1)
		path, err := p.writeFleet(name, p.binds[i])
		if err != nil {
			return err
		}
		if _, err := p.c.StartProcess(name, "exec bin/topazpost seat --name "+name+" "+path); err != nil {
			return err
		}
	}
	path, err := p.writeFleet("n1", p.binds[seats])
	if err != nil {
		return err
	}
	p.x, p.node, err = p.c.Start(s, false, func(r standin.Run) standin.Result {
		return standin.Result{Takes: runTime, Body: []byte("result of " + r.Body)}
	}, "TOPAZPOST_FLEET="+path)
	return err
}

// writeFleet writes deploy/fleet-configuration.jsonnet for one of the processes.
func (p *play) writeFleet(name, bind string) (string, error) {
	return p.c.WriteFile("fleet-"+name+".jsonnet", map[string]any{
		"fleet": fleetName, "bind": bind, "seeds": p.binds[:seats], "zone": "a", "probe": "500 ms", "silence": "3.5 s", "settle": "400 ms",
		"council":       map[string]any{"seats": []string{"s1", "s2", "s3"}, "folder": filepath.Join(p.c.Temp, "seat-{name}")},
		"configuration": map[string]any{"folder": filepath.Join(p.c.Temp, "configuration-{name}")},
	})
}

// put puts a file into force with the operators' command, which waits until it is in force at all nodes.
func (p *play) put(what, path string) (err error) {
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		command := exec.Command("bin/topazpost", "config", "put", "--fleet", fleetName, "--at", p.binds[0], "--wait", "--within", "20s", path)
		command.Dir = p.c.Root
		var out []byte
		out, err = command.CombinedOutput()
		p.c.Note("config put of %s: %s", what, strings.TrimSpace(string(out)))
		if err == nil {
			return nil
		}
	}
	return err
}

func (p *play) ask(d *standin.Dispatcher, t standin.Try) *standin.Answer {
	for end := time.Now().Add(answerLimit); ; {
		a, err := d.Ask(t, answerLimit)
		if err != nil {
			p.c.Note("dispatcher: token %s: %v", t.Token, err)
			return &standin.Answer{}
		}
		p.c.Note("dispatcher: token %s: %v", t.Token, a)
		if a.Code != 50 || time.Now().After(end) {
			return a
		}
		time.Sleep(retryGap)
	}
}

// repeat sends each request twice, and checks that the executor ran it once.
func (p *play) repeat(d *standin.Dispatcher) (int, error) {
	code := standin.Held
	for i := range requests {
		t := standin.Try{Op: graded.Name, Token: fmt.Sprintf("pupil-7-exercise-%d", i), Body: fmt.Sprintf("source %d", i)}
		if a := p.ask(d, t); a.Code != 20 {
			return 0, fmt.Errorf("the first try of request %d was not served: %v", i, a)
		}
		t.Retry = true
		p.ask(d, t)
		runs := 0
		for _, r := range p.x.Runs() {
			if r.Body == t.Body {
				runs++
			}
		}
		if runs != 1 {
			p.c.Note("BROKEN: token %s ran %d times within its window", t.Token, runs)
			code = standin.Broken
		}
	}
	return code, nil
}
