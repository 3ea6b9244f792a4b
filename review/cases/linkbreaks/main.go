// Command linkbreaks plays a node as `run` of the deploy file starts it, with nothing else turned on. Now and then the link to
// its executor breaks, and the commands of the last 50 ms are lost with it. Some requests have very little time left. The usual
// dispatcher goes on throughout, within what the executor can do.
package main

import (
	"time"

	"topazpost/internal/protocol/frame"
	"topazpost/review/standin"
)

const (
	runTime      = 50 * time.Millisecond
	shortRunTime = 10 * time.Millisecond
	usualGap     = 100 * time.Millisecond // half a core of two

	hurryGap   = 16 * time.Millisecond // six tenths of a core
	hurryLeft  = 80 * time.Millisecond // time that callers in a hurry still wait
	hurryUntil = 55 * time.Second

	troubleAfter = 5 * time.Second
	breaks       = 10
	breakGap     = 5 * time.Second
	lost         = 50 * time.Millisecond // the most that the page allows

	judgedAfter = 65 * time.Second // ten seconds after the last break and the last request in a hurry
	judgedUntil = 95 * time.Second
)

func main() { standin.Main(run) }

var (
	graded = standin.Operation{Name: "graded-submit", Effect: "deduplicated", Aim: 1_800, GiveUp: 4_300, Window: 13_023, Worth: 5}
	sample = standin.Operation{Name: "sample-run", Effect: "idempotent", Aim: 1_400, GiveUp: 3_600, Worth: 1}
)

const shortBody = "short"

func run(c *standin.Case) (int, error) {
	s := standin.Settings{MemoryMB: 192, Cores: 2, ExecutorKB: 24_000, Operations: []standin.Operation{graded, sample}}
	x, n, err := c.Start(&s, false, func(r standin.Run) standin.Result {
		if r.Body == shortBody {
			return standin.Result{Takes: shortRunTime, Body: []byte("result")}
		}
		return standin.Result{Takes: runTime, Body: []byte("result of " + r.Body)}
	})
	if err != nil {
		return 0, err
	}
	x.Quiet = true
	before := &standin.Phase{Name: "before the first break", Until: troubleAfter}
	during := &standin.Phase{Name: "from the first break to ten seconds after the last", Until: judgedAfter}
	after := &standin.Phase{Name: "in the thirty seconds after that", Until: judgedUntil}
	usual := standin.Usual{Operations: s.Operations, Gap: usualGap, Phases: []*standin.Phase{before, during, after}}
	time.AfterFunc(troubleAfter, func() {
		for range breaks {
			if c.Trouble {
				x.BreakLink(lost)
			}
			time.Sleep(breakGap - lost)
		}
	})
	go hurry(c, s.Address, time.Now().Add(hurryUntil))
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

// hurry sends requests with very little time left.
func hurry(c *standin.Case, address string, until time.Time) {
	d, err := standin.Dial(address)
	if err != nil {
		c.Note("dispatcher in a hurry: %v", err)
		return
	}
	codes := map[byte]int{}
	var answers []<-chan *standin.Answer
	for time.Now().Before(until) {
		t := standin.Try{Op: sample.Name, Body: shortBody, More: []frame.Field{standin.TTL(hurryLeft), {Name: "work", Value: "10"}}}
		_, answer, err := d.Send(t)
		if err != nil {
			c.Note("dispatcher in a hurry: %v", err)
			return
		}
		answers = append(answers, answer)
		time.Sleep(hurryGap)
	}
	time.Sleep(time.Second)
	for _, answer := range answers {
		select {
		case a := <-answer:
			if a != nil {
				codes[a.Code]++
			}
		default:
			codes[0]++
		}
	}
	c.Note("dispatcher in a hurry: served %d, refused %d, failed %d, no answer %d", codes[20], codes[50], codes[51], codes[0])
}
