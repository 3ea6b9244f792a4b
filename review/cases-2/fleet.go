package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	standin "topazpost/review/standin-2"
)

const fleetName = "review"

// fleet is a fleet of seats and nodes in processes of their own, on loopback addresses.
type fleet struct {
	w     *world
	seeds []string
	seats []*exec.Cmd
	names []string
}

// freePeerAddress returns a loopback address whose port is free for datagrams and connections.
func freePeerAddress() (string, error) {
	for range 50 {
		address, err := standin.FreeAddress()
		if err != nil {
			return "", err
		}
		packets, err := net.ListenPacket("udp", address)
		if err == nil {
			packets.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free address for peers")
}

// newFleet starts three seats that serve nothing.
func newFleet(w *world) (*fleet, error) {
	f := &fleet{w: w, names: []string{"s1", "s2", "s3"}}
	for range f.names {
		address, err := freePeerAddress()
		if err != nil {
			return nil, err
		}
		f.seeds = append(f.seeds, address)
	}
	for k, name := range f.names {
		path, err := f.file(name, f.seeds[k])
		if err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(w.folder, name+".log"))
		if err != nil {
			return nil, err
		}
		seat := exec.Command("/bin/sh", "-c", "exec bin/topazpost seat --name "+name+" "+path)
		seat.Stdout = log
		seat.Stderr = log
		if err := seat.Start(); err != nil {
			return nil, err
		}
		log.Close()
		w.processes = append(w.processes, seat)
		f.seats = append(f.seats, seat)
	}
	return f, nil
}

// file writes the fleet file of a process and returns its path.
func (f *fleet) file(name, bind string) (string, error) {
	text, err := json.MarshalIndent(map[string]any{
		"fleet": fleetName, "bind": bind, "zone": "z-" + name, "seeds": f.seeds, "probe": "100 ms", "silence": "1 s", "settle": "200 ms",
		"council":       map[string]any{"seats": f.names, "folder": filepath.Join(f.w.folder, "seat-{name}")},
		"configuration": map[string]any{"folder": filepath.Join(f.w.folder, "configuration-{name}")},
	}, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.w.folder, name+"-fleet.jsonnet")
	return path, os.WriteFile(path, text, 0o600)
}

// node prepares a node of the fleet.
func (f *fleet) node(name string, settings map[string]any) (*standin.Node, error) {
	address, err := freePeerAddress()
	if err != nil {
		return nil, err
	}
	path, err := f.file(name, address)
	if err != nil {
		return nil, err
	}
	return f.w.node(name, "--fleet "+path, settings)
}

// put puts a change, or a whole file, and waits until it is in force.
func (f *fleet) put(text string) error {
	path := filepath.Join(f.w.folder, fmt.Sprintf("change-%d.json", time.Now().UnixNano()))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return f.config("put", "--wait", "--within", "30s", path)
}

// config runs a config command.
func (f *fleet) config(words ...string) error {
	args := append([]string{"config"}, words...)
	args = append(args, "--fleet", fleetName)
	for _, seed := range f.seeds {
		args = append(args, "--at", seed)
	}
	out, err := exec.Command("bin/topazpost", args...).CombinedOutput()
	f.w.record.Line("topazpost config %s: %s", strings.Join(words, " "), strings.TrimSpace(string(out)))
	return err
}

// playFirstTenant: a token runs at a node without tenants; the operator puts the first tenants in service; the token comes again.
func playFirstTenant(w *world) error {
	f, err := newFleet(w)
	if err != nil {
		return err
	}
	n, err := f.node("n1", settings(tokenOperations(), nil))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	whole, err := json.Marshal(n.Config)
	if err != nil {
		return err
	}
	if err := f.put(string(whole)); err != nil {
		return err
	}
	v := standin.Invocation{Operation: "graded-submit", Tenant: "kastro-school", Token: "submission-1", Body: "sheet 4"}
	first, err := callUntilTaken(w, n, v)
	if err != nil || first.Code != 20 {
		return errNoAnswer
	}
	if w.trouble {
		if err := f.put(`{"tenants": {"aigaio-academy": {"quota_rps": 40}, "kastro-school": {"quota_rps": 40}}}`); err != nil {
			return err
		}
	}
	v.Again = true
	a, err := callUntilTaken(w, n, v)
	if err != nil {
		return err
	}
	if runs := runsOf(w, "graded-submit", "sheet 4"); ranAgain(runs) {
		w.breaks("token submission-1 ran %d times at one node, the second run %d ms after the first; its window is 13023 ms; the repeat got %v, the first answer was %v",
			len(runs), runs[1].At.Sub(runs[0].At).Milliseconds(), &a, &first)
	}
	return nil
}
