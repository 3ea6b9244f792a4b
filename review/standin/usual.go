package standin

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"topazpost/internal/protocol/frame"
)

const usualAnswerLimit = 6 * time.Second // longer than any client timeout of the cases

// Phase is a part of a case, and how the usual dispatcher's requests of it ended.
type Phase struct {
	Name  string
	Until time.Duration // from the begin of the case

	mu                                   sync.Mutex
	Asked, Served, Refused, Failed, None int
}

func (p *Phase) count(a *Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Asked++
	switch {
	case a == nil:
		p.None++
	case a.Code == frame.Succeeded:
		p.Served++
	case a.Code == frame.Throttled:
		p.Refused++
	default:
		p.Failed++
	}
}

// Usual is a sound dispatcher that sends requests at a steady pace, of all operations in turn.
type Usual struct {
	Operations []Operation
	Gap        time.Duration // between two requests
	Phases     []*Phase
}

// Run sends until the end of the last phase, waits for all answers and notes them.
func (u *Usual) Run(c *Case, address string) error {
	d, err := Dial(address)
	if err != nil {
		return err
	}
	defer d.Close()
	var open sync.WaitGroup
	begun := time.Now()
	for i, phase := 0, 0; ; i++ {
		for time.Since(begun) >= u.Phases[phase].Until {
			if phase++; phase == len(u.Phases) {
				open.Wait()
				u.note(c)
				return nil
			}
		}
		p := u.Phases[phase]
		t := u.try(i)
		open.Go(func() {
			a, _ := d.Ask(t, usualAnswerLimit)
			p.count(a)
		})
		time.Sleep(u.Gap)
	}
}

// try is the i-th request; one of a deduplicated operation has a token of its own.
func (u *Usual) try(i int) Try {
	o := u.Operations[i%len(u.Operations)]
	t := Try{Op: o.Name, Body: "exercise " + strconv.Itoa(i), More: []frame.Field{TTL(time.Duration(o.GiveUp) * time.Millisecond)}}
	if o.Effect == "deduplicated" {
		t.Token = NewID()
	}
	return t
}

// TTL is the field that tells how long a caller waits.
func TTL(wait time.Duration) frame.Field {
	return frame.Field{Name: "ttl", Value: strconv.FormatInt(wait.Milliseconds(), 10)}
}

func (u *Usual) note(c *Case) {
	for _, p := range u.Phases {
		c.Note("usual dispatcher, %s: asked %d, served %d, refused %d, failed %d, no answer %d", p.Name, p.Asked, p.Served, p.Refused,
			p.Failed, p.None)
	}
}

// ServesAgain reports whether at least half of what was asked for in a phase was served. The cases ask for well below what the
// executor can do, so that a policy that sees the true state serves all of it.
func (p *Phase) ServesAgain() bool { return 2*p.Served >= p.Asked }

// Start starts an executor, a control plane and a node with these settings, and returns the node's address once it admits
// invocations. With keep it keeps results on disk. Further variables may be given.
func (c *Case) Start(s *Settings, keep bool, result func(r Run) Result, env ...string) (x *Executor, n *Node, err error) {
	if s.Control, err = c.StartControlPlane(); err != nil {
		return nil, nil, err
	}
	if x, err = c.StartExecutor(result); err != nil {
		return nil, nil, err
	}
	s.Executor = x.Address()
	if s.Address, err = FreeAddress(); err != nil {
		return nil, nil, err
	}
	config, err := c.WriteFile("config.json", s.NodeConfig())
	if err != nil {
		return nil, nil, err
	}
	if keep {
		path, err := c.WriteKeep(fmt.Sprintf("%d MiB", min(32, s.MemoryMB/4)))
		if err != nil {
			return nil, nil, err
		}
		env = append(env, "TOPAZPOST_KEEP="+path)
	}
	if n, err = c.StartNode("n1", config, env...); err != nil {
		return nil, nil, err
	}
	err = n.AwaitLog("admitting invocations", 10*time.Second)
	if err == nil && keep {
		err = n.AwaitLog("result store read", 10*time.Second)
	}
	return x, n, err
}
