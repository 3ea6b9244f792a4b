// Command restartmemory plays a node that keeps results on disk, under steady traffic of tokened requests. The platform kills it
// outright, once, and starts it again; as always, it also kills a node that needs more memory than its limit.
package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"topazpost/internal/protocol/frame"
	"topazpost/review/standin"
)

const (
	memoryMB    = 32 // the least that the page names
	runTime     = 2 * time.Millisecond
	rate        = 1_140 // requests a second: six times 190, as on the page's fast day
	fill        = 62 * time.Second
	starts      = 4 // after the kill
	startLimit  = 8 * time.Second
	settle      = time.Second // after the store was read
	dispatchers = 8
	watchGap    = time.Millisecond
	kibibytes   = 1 << 10
	resultBody  = "passed 12 of 12 tests, 0 warnings, run in 184 ms"
)

func main() { standin.Main(run) }

var graded = standin.Operation{Name: "graded-submit", Effect: "deduplicated", Aim: 1_800, GiveUp: 4_300, Window: 13_023, Worth: 5}

// platform watches the memory of the node, and kills it over the limit.
type platform struct {
	c      *standin.Case
	peak   atomic.Int64 // KiB of anonymous memory, of the process that is watched
	killed atomic.Bool  // for memory
}

// watch watches one process until it ends. Only memory that belongs to the process alone counts, no file that is mapped or read.
func (p *platform) watch(n *standin.Node) {
	p.peak.Store(0)
	p.killed.Store(false)
	for {
		used, ok := privateMemory(n.PID())
		if !ok {
			return
		}
		p.peak.Store(max(p.peak.Load(), used))
		if used > memoryMB*kibibytes && !p.killed.Load() {
			p.killed.Store(true)
			p.c.Note("platform: the node needs %d KiB, its limit is %d KiB", used, memoryMB*kibibytes)
			n.Signal(syscall.SIGKILL)
		}
		time.Sleep(watchGap)
	}
}

// privateMemory is the anonymous resident memory of a process in KiB; false once it has ended.
func privateMemory(pid int) (int64, bool) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "RssAnon:"); found {
			used, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return used, err == nil
		}
	}
	return 0, false
}

func run(c *standin.Case) (int, error) {
	s := standin.Settings{MemoryMB: memoryMB, Cores: 6, ExecutorKB: 400_000, Operations: []standin.Operation{graded}}
	x, n, err := c.Start(&s, true, func(standin.Run) standin.Result {
		return standin.Result{Takes: runTime, Body: []byte(resultBody)}
	})
	if err != nil {
		return 0, err
	}
	x.Quiet = true
	p := &platform{c: c}
	go p.watch(n)
	if err := load(c, s.Address); err != nil {
		return 0, err
	}
	c.Note("platform: the node needed %d KiB at the most", p.peak.Load())
	if p.killed.Load() {
		return 0, fmt.Errorf("the node needed more than its memory without a restart")
	}
	if !c.Trouble {
		return standin.Held, nil
	}
	n.Kill()
	for i := range starts {
		x.NodeStarts()
		again, err := n.StartAgain()
		if err != nil {
			return 0, err
		}
		go p.watch(again)
		for end := time.Now().Add(startLimit); !p.killed.Load() && again.Logged("result store read") == 0; time.Sleep(watchGap) {
			if time.Now().After(end) {
				return 0, fmt.Errorf("the node did not read its store within %v", startLimit)
			}
		}
		_, _ = again.AwaitExit(settle)
		c.Note("platform: start %d needed %d KiB; killed for memory: %v", i+1, p.peak.Load(), p.killed.Load())
		if !p.killed.Load() {
			return standin.Held, nil
		}
	}
	c.Note("BROKEN: the node can't be started any more within its memory")
	return standin.Broken, nil
}

// load sends tokened requests at a steady rate on some connections.
func load(c *standin.Case, address string) error {
	var sent, served, refused, other atomic.Int64
	var open sync.WaitGroup
	for range dispatchers {
		d, err := standin.Dial(address)
		if err != nil {
			return err
		}
		open.Go(func() {
			begun := time.Now()
			var asks sync.WaitGroup
			for i := 0; time.Since(begun) < fill; i++ {
				time.Sleep(time.Until(begun.Add(time.Duration(i) * dispatchers * time.Second / rate)))
				sent.Add(1)
				t := standin.Try{Op: graded.Name, Token: standin.NewID(), Body: "source"}
				_, answer, err := d.Send(t)
				if err != nil {
					other.Add(1)
					continue
				}
				asks.Go(func() {
					switch a := <-answer; {
					case a == nil:
						other.Add(1)
					case a.Code == frame.Succeeded:
						served.Add(1)
					case a.Code == frame.Throttled:
						refused.Add(1)
					default:
						other.Add(1)
					}
				})
			}
			d.CloseAfter(time.Second)
			asks.Wait()
		})
	}
	open.Wait()
	c.Note("dispatchers: sent %d, served %d, refused %d, other %d", sent.Load(), served.Load(), refused.Load(), other.Load())
	return nil
}
