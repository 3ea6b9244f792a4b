// Command withdraw plays a node that keeps results on disk. One client sends tokened requests and withdraws them at once, one
// millisecond later, five times. The usual dispatcher goes on as before, well within what the executor can do.
package main

import (
	"time"

	"topazpost/review/standin"
)

const (
	runTime       = 50 * time.Millisecond
	usualGap      = 100 * time.Millisecond // a quarter of what two cores can do
	troubleAfter  = 5 * time.Second
	judgedAfter   = 20 * time.Second // longer after the last withdrawal than any client timeout
	judgedUntil   = 50 * time.Second
	times         = 5
	pause         = time.Second
	perConnection = 30
	connections   = 4 // 120 requests each time; the page says hundreds at once
	withdrawAfter = time.Millisecond
)

func main() { standin.Main(run) }

var (
	graded = standin.Operation{Name: "graded-submit", Effect: "deduplicated", Aim: 1_800, GiveUp: 4_300, Window: 13_023, Worth: 5}
	sample = standin.Operation{Name: "sample-run", Effect: "idempotent", Aim: 1_400, GiveUp: 3_600, Worth: 1}
)

func run(c *standin.Case) (int, error) {
	s := standin.Settings{MemoryMB: 192, Cores: 2, ExecutorKB: 24_000, Operations: []standin.Operation{graded, sample}}
	x, n, err := c.Start(&s, true, func(r standin.Run) standin.Result {
		return standin.Result{Takes: runTime, Body: []byte("result of " + r.Body)}
	})
	if err != nil {
		return 0, err
	}
	before := &standin.Phase{Name: "before the withdrawals", Until: troubleAfter}
	during := &standin.Phase{Name: "during them and ten seconds after them", Until: judgedAfter}
	after := &standin.Phase{Name: "in the thirty seconds after that", Until: judgedUntil}
	usual := standin.Usual{Operations: s.Operations, Gap: usualGap, Phases: []*standin.Phase{before, during, after}}
	time.AfterFunc(troubleAfter, func() {
		for range times {
			if err := withdraw(c, s.Address); err != nil {
				c.Note("client: %v", err)
			}
			time.Sleep(pause)
		}
	})
	if err := usual.Run(c, s.Address); err != nil {
		return 0, err
	}
	_, ended := n.AwaitExit(0)
	c.Note("executor: %d runs in all, %d in progress now; the node's process has ended: %v", len(x.Runs()), x.InProgress(), ended)
	switch {
	case !before.ServesAgain():
		return standin.CannotRun, nil
	case !after.ServesAgain():
		c.Note("BROKEN: the node serves nothing any more, and its executor is idle")
		return standin.Broken, nil
	}
	return standin.Held, nil
}

// withdraw sends requests on some connections and withdraws them at once. Without trouble their answers are waited for.
func withdraw(c *standin.Case, address string) error {
	var dispatchers []*standin.Dispatcher
	for range connections {
		d, err := standin.Dial(address)
		if err != nil {
			return err
		}
		dispatchers = append(dispatchers, d)
	}
	streams := make([][]uint32, connections)
	for k, d := range dispatchers {
		for range perConnection {
			stream, _, err := d.Send(standin.Try{Op: graded.Name, Token: standin.NewID(), Body: "withdrawn"})
			if err != nil {
				return err
			}
			streams[k] = append(streams[k], stream)
		}
	}
	c.Note("client: %d requests sent", connections*perConnection)
	if !c.Trouble {
		return nil
	}
	time.Sleep(withdrawAfter)
	for k, d := range dispatchers {
		for _, stream := range streams[k] {
			d.Cancel(stream)
		}
	}
	c.Note("client: they are withdrawn")
	return nil
}
