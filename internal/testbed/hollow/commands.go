package hollow

import (
	"fmt"
	"time"
)

// broadcast says the same to broadcast processes.
func (f *Fleet) broadcast(c *command) {
	for k, m := range f.processes {
		if err := m.send(c); err != nil {
			f.fail(fmt.Errorf("hollow: process %d hears no command: %w", k, err))
		}
	}
}

// Start begins lives of nodes that are not up.
func (f *Fleet) Start(nodes ...int) { f.StartOver(0, nodes...) }

// StartOver does so one by one over a time.
func (f *Fleet) StartOver(over time.Duration, nodes ...int) {
	f.setUp(true, nodes)
	f.broadcast(&command{Start: nodes, Over: over.Seconds()})
}

// Kill ends lives of nodes at once, without a word to anybody.
func (f *Fleet) Kill(nodes ...int) {
	f.setUp(false, nodes)
	f.broadcast(&command{Kill: nodes})
}

// Leave ends lives of nodes as a drain does.
func (f *Fleet) Leave(nodes ...int) {
	f.setUp(false, nodes)
	f.broadcast(&command{Leave: nodes})
}

// Restart drains nodes and starts each again as soon as it ended.
func (f *Fleet) Restart(nodes ...int) {
	f.setUp(true, nodes)
	f.broadcast(&command{Restart: nodes})
}

// Cut has nothing of some nodes come to others, until Heal.
func (f *Fleet) Cut(from, to []int) { f.broadcast(&command{Cut: &cutCommand{from, to}}) }

// Heal ends all cuts.
func (f *Fleet) Heal() { f.broadcast(&command{Heal: true}) }

// Lose drops a part of the datagrams.
func (f *Fleet) Lose(part float64) { f.broadcast(&command{Loss: &part}) }

// Delay holds each datagram up by a drawn time.
func (f *Fleet) Delay(most time.Duration) {
	ms := float64(most) / 1e6
	f.broadcast(&command{Delay: &ms})
}

// Tokens has nodes claim so many tokens a second, all together.
func (f *Fleet) Tokens(rate float64) {
	for k, m := range f.processes {
		part := rate * float64(len(m.nodes)) / float64(f.options.Nodes)
		if err := m.send(&command{Tokens: &part}); err != nil {
			f.fail(fmt.Errorf("hollow: process %d hears no command: %w", k, err))
		}
	}
}

// Calls has nodes want so many calls at a time, all together.
func (f *Fleet) Calls(n int) {
	done := 0
	for k, m := range f.processes {
		done += len(m.nodes)
		before := n * (done - len(m.nodes)) / f.options.Nodes
		part := n*done/f.options.Nodes - before
		if err := m.send(&command{Calls: &part}); err != nil {
			f.fail(fmt.Errorf("hollow: process %d hears no command: %w", k, err))
		}
	}
}

// ReportAllEvents says whether each change of a view is passed to Options.Events, or only the last of each node in a tenth of a second.
func (f *Fleet) ReportAllEvents(each bool) { f.broadcast(&command{Events: &each}) }
