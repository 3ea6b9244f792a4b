package processfleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	starvedLook = 100 * ms // between looks at who got no processor
	maxStalls   = 1 << 16  // standstills that are kept; more excuse nothing

	// What a pause may come to before a member may be lost: as in package membership, without its chance of loss.
	silence = 3_500 * ms
	probe   = 500 * ms
	settle  = 400 * ms
	borne   = silence + settle - probe
)

// processStall is a time in which a node could tell nobody anything.
type processStall struct {
	node   int // -1 for all of them: the relays stood still
	at, ns int64
}

// stallRecorder are the times in which nodes stood still and it was not their own doing: stopped by a fault, as long as that
// really took, or kept waiting for a processor, by the kernel's account. Nothing else counts: a node that has a processor
// and says nothing has a fault.
type stallRecorder struct {
	mu   sync.Mutex
	list []processStall
	from map[int]int64 // when those that are stopped were
	over chan struct{}
}

func (s *stallRecorder) add(node int, at, ns int64) {
	if ns > 0 && len(s.list) < maxStalls {
		s.list = append(s.list, processStall{node, at, ns})
	}
}

// stopped notes that a fault stops a node, or lets it go on.
func (s *stallRecorder) stopped(node int, now int64, stop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from, was := s.from[node]; was && !stop {
		s.add(node, from, now-from)
		delete(s.from, node)
	} else if !was && stop {
		s.from[node] = now
	}
}

// of is for how long a node stood still between two moments.
func (s *stallRecorder) of(node int, from, to int64) (sum int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.list {
		if x.node == node || x.node < 0 {
			sum += max(0, min(to, x.at+x.ns)-max(from, x.at))
		}
	}
	if began, still := s.from[node]; still {
		sum += max(0, to-max(from, began))
	}
	return sum
}

// waited is for how long the threads of a process have waited for a processor, all together.
func waited(pid int) (sum int64) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if f := strings.Fields(string(text)); err == nil && len(f) > 1 {
			ns, _ := strconv.ParseInt(f[1], 10, 64)
			sum += ns
		}
	}
	return sum
}

// watch notes until the end who stands still: all for as long as this process, with the relays, comes late to its looks;
// a node for as long as its threads waited in a look's time in which it sent nothing.
func (s *stallRecorder) watch(p *processes) {
	type seen struct{ pid, waited, sent int64 }
	last, lastAt := make([]seen, len(p.daemons)), p.now()
	for {
		select {
		case <-s.over:
			return
		case <-time.After(time.Duration(starvedLook)):
		}
		now := p.now()
		s.mu.Lock()
		s.add(-1, lastAt+starvedLook, now-lastAt-starvedLook)
		s.mu.Unlock()
		for i := range p.daemons {
			p.mu.Lock()
			d := p.daemons[i]
			up := d != nil && d.up
			p.mu.Unlock()
			if !up {
				last[i] = seen{}
				continue
			}
			p.links.mu.Lock()
			sent := p.links.bytes[i]
			p.links.mu.Unlock()
			x := seen{int64(d.command.Process.Pid), waited(d.command.Process.Pid), sent}
			s.mu.Lock()
			if _, stopped := s.from[i]; !stopped && x.pid == last[i].pid && x.sent == last[i].sent {
				s.add(i, lastAt, min(starvedLook, x.waited-last[i].waited))
			}
			s.mu.Unlock()
			last[i] = x
		}
		lastAt = now
	}
}
