package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	standin "topazpost/review/standin-2"
)

const (
	cutLength = 8 * time.Second // the page: 6 to 20 s
	cutTokens = 6
)

// council is a fleet of three nodes that each have a seat, as in deploy/fleet-council.jsonnet, with an executor each.
type council struct {
	nodes     []*standin.Node
	executors []*standin.Executor
}

// newCouncil starts it.
func newCouncil(w *world, network *standin.Network, settings func() map[string]any) (*council, error) {
	names := []string{"n1", "n2", "n3"}
	zones := []string{"athens", "larissa", "thessaloniki"}
	var binds, told []string
	for _, name := range names {
		bind, advertise, err := network.Join(name)
		if err != nil {
			return nil, err
		}
		binds = append(binds, bind)
		told = append(told, advertise)
	}
	c := &council{}
	for k, name := range names {
		text, err := json.Marshal(map[string]any{
			"fleet": fleetName, "bind": binds[k], "advertise": told[k], "zone": zones[k], "seeds": told, "probe": "100 ms", "silence": "1 s", "settle": "200 ms",
			"council": map[string]any{"seats": names, "table": "4 MiB"},
		})
		if err != nil {
			return nil, err
		}
		path := filepath.Join(w.folder, name+"-fleet.jsonnet")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
		x := w.executor
		if k > 0 {
			if x, err = standin.NewExecutor(w.record); err != nil {
				return nil, err
			}
			x.WorkOf = w.executor.WorkOf
		}
		c.executors = append(c.executors, x)
		n, err := w.node(name, "--fleet "+path, settings())
		if err != nil {
			return nil, err
		}
		n.Config["executor"] = x.Addr()
		c.nodes = append(c.nodes, n)
		if err := n.Launch(); err != nil {
			return nil, err
		}
	}
	for _, n := range c.nodes {
		if err := n.AwaitReady(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// playCutOff: a node of three is cut off from the others while it holds tokened requests. What it refuses must not have been run, and must not be run.
func playCutOff(w *world) error {
	w.executor.WorkOf = func(class, _ string) standin.Work {
		if class == "full-check" {
			return standin.Work{Time: 800 * time.Millisecond}
		}
		return standin.Work{Time: 250 * time.Millisecond}
	}
	network := standin.NewNetwork()
	defer network.Close()
	c, err := newCouncil(w, network, func() map[string]any {
		return settings(tokenOperations(), tenants("aigaio-academy", "kastro-school", "elia-tutors"))
	})
	if err != nil {
		return err
	}
	submit := func(k int) standin.Invocation {
		return standin.Invocation{Operation: "graded-submit", Tenant: "kastro-school", Token: fmt.Sprintf("submission-%d", k), Body: fmt.Sprintf("sheet %d", k)}
	}
	for k, n := range c.nodes { // the council answers at each node
		if a, err := callUntilTaken(w, n, submit(100+k)); err != nil || a.Code != 20 {
			return errNoAnswer
		}
	}
	d, err := standin.Dial(w.record, "dispatcher", c.nodes[0].Address)
	if err != nil {
		return err
	}
	defer d.Close()
	for k := range 4 { // the cores are busy
		if _, err := d.Send(standin.Invocation{Operation: "full-check", Tenant: "kastro-school", Body: fmt.Sprintf("check %d", k)}); err != nil {
			return err
		}
	}
	time.Sleep(50 * time.Millisecond)
	var sent []*standin.Sent
	for k := range cutTokens {
		s, err := d.Send(submit(k))
		if err != nil {
			return err
		}
		sent = append(sent, s)
	}
	time.Sleep(100 * time.Millisecond)
	if w.trouble {
		w.record.Line("athens is cut off from the others")
		network.Cut("n1", true)
	}
	cutAt := time.Now()
	answers := make([]standin.Answer, len(sent))
	for k, s := range sent {
		answers[k] = s.Wait(6 * time.Second)
	}
	time.Sleep(time.Until(cutAt.Add(cutLength)))
	if w.trouble {
		w.record.Line("the links are whole again")
		network.Cut("n1", false)
	}
	time.Sleep(2 * time.Second)
	for _, a := range answers {
		if a.Code == 50 {
			w.checkRefused(c, &a)
		}
	}
	return nil
}

// checkRefused checks that a try that was refused was run nowhere.
func (w *world) checkRefused(c *council, a *standin.Answer) {
	for k, x := range c.executors {
		for _, r := range x.Runs() {
			if r.ID == a.ID {
				w.breaks("try %s (token %s) was refused by n1 %d ms after it was sent, and was run at n%d %d ms after it was sent", a.ID, a.Invocation.Token,
					a.At.Sub(a.SentAt).Milliseconds(), k+1, r.At.Sub(a.SentAt).Milliseconds())
			}
		}
	}
}
