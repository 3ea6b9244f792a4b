package main

import (
	"fmt"
	"math"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	standin "topazpost/review/standin-2"
)

// The play of a hang. The pages name 6.3 to 25 s for it.
const (
	runsBeforeHang  = 2 // of graded-submit: the second is on the cores when the hang begins
	hangDelay       = 100 * time.Millisecond
	latestHang      = 30 * time.Second // after the start of the traffic
	hangLength      = 24 * time.Second
	settleTime      = 15 * time.Second // from the end of the hang to the part that is judged
	judgedTime      = 40 * time.Second
	requestInterval = 250 * time.Millisecond // at a mean work of some 285 ms, 57 % of two cores
	trafficSeed     = 1
	workSpread      = 0.41 // coefficient of variation of the work, the least that the site file has
	leastShare      = 0.25 // served of a class; the pages ask for half of what a good policy serves
)

// class is one operation of the traffic.
type class struct {
	operation string
	share     float64
	meanWork  float64 // ms
}

// classes are those of the Tsakiris runners.
var classes = []class{{"sample-run", 0.37, 300}, {"full-check", 0.36, 300}, {"quick-check", 0.15, 195}, {"graded-submit", 0.12, 300}}

// hangTraffic sends requests at a steady rate, and counts what is served of those sent in the part that is judged.
type hangTraffic struct {
	w     *world
	node  *standin.Node
	rng   *rand.Rand
	mu    sync.Mutex
	works map[string]time.Duration // by body
	asked map[string]int
	ok    map[string]int
}

// work is what a run takes.
func (t *hangTraffic) work(_, body string) standin.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return standin.Work{Time: t.works[body]}
}

// next draws a request: its operation by share, its work from a lognormal distribution, and tells its work as its hint, as the site's requests do.
func (t *hangTraffic) next(number int) standin.Invocation {
	t.mu.Lock()
	defer t.mu.Unlock()
	pick := t.rng.Float64()
	c := classes[len(classes)-1]
	for _, candidate := range classes {
		if pick < candidate.share {
			c = candidate
			break
		}
		pick -= candidate.share
	}
	sigma := math.Sqrt(math.Log(1 + workSpread*workSpread))
	ms := c.meanWork * math.Exp(sigma*t.rng.NormFloat64()-sigma*sigma/2)
	v := standin.Invocation{Operation: c.operation, Body: fmt.Sprintf("request %d", number), Work: ms}
	if c.operation == "graded-submit" {
		v.Token = fmt.Sprintf("submission-%d", number)
	}
	t.works[v.Body] = time.Duration(ms * float64(time.Millisecond))
	return v
}

// run sends requests until stop is closed. Those that are sent while judged holds are counted.
func (t *hangTraffic) run(stop chan struct{}, judged *atomic.Bool, done *sync.WaitGroup) {
	tick := time.NewTicker(requestInterval)
	defer tick.Stop()
	var d *standin.Dispatcher
	for number := 1; ; number++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if d == nil || d.GoneAway() {
			var err error
			if d, err = standin.Dial(t.w.record, "dispatcher", t.node.Address); err != nil {
				continue
			}
		}
		v := t.next(number)
		s, err := d.Send(v)
		if err != nil {
			continue
		}
		counts := judged.Load()
		done.Add(1)
		go func() {
			defer done.Done()
			a := s.Wait(answerTimeout)
			t.w.executor.Over(s.ID)
			t.mu.Lock()
			defer t.mu.Unlock()
			if counts {
				t.asked[v.Operation]++
				if a.Code == 20 {
					t.ok[v.Operation]++
				}
			}
		}()
	}
}

// playHang: the work of a node that was started a few seconds ago hangs for a while. After it each class has to be served again.
func playHang(w *world) error {
	st := settings(tokenOperations(), nil)
	st["family_info"].(map[string]any)["n_cores"] = 2
	n, err := w.node("n1", "", st)
	if err != nil {
		return err
	}
	t := &hangTraffic{w: w, node: n, rng: rand.New(rand.NewSource(trafficSeed)), works: map[string]time.Duration{}, asked: map[string]int{}, ok: map[string]int{}}
	w.executor.WorkOf = t.work
	begin := make(chan struct{}, 1)
	submits := 0
	w.executor.OnRun = func(r *standin.Run) {
		if r.Class == "graded-submit" {
			if submits++; submits == runsBeforeHang {
				begin <- struct{}{}
			}
		}
	}
	if err := n.Start(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var judged atomic.Bool
	var done sync.WaitGroup
	go t.run(stop, &judged, &done)
	select {
	case <-begin:
	case <-time.After(latestHang):
		return errNoAnswer
	}
	time.Sleep(hangDelay)
	w.executor.Hang(w.trouble)
	time.Sleep(hangLength)
	w.executor.Hang(false)
	time.Sleep(settleTime)
	judged.Store(true)
	time.Sleep(judgedTime)
	close(stop)
	done.Wait()
	t.judge()
	return nil
}

// judge looks at the share that was served of each class.
func (t *hangTraffic) judge() {
	for _, c := range classes {
		asked, ok := t.asked[c.operation], t.ok[c.operation]
		t.w.record.Line("%s: %d of %d served", c.operation, ok, asked)
		if float64(ok) < leastShare*float64(asked) {
			t.w.breaks("%s: %d of %d requests served in the %v that begin %v after the end of the hang", c.operation, ok, asked, judgedTime, settleTime)
		}
	}
}
