package emulator

import (
	"maps"
	"slices"

	"topazpost/internal/node"
	"topazpost/internal/testbed/virtualtime"
)

// machine is one node with the executor that owns its cores.
type machine struct {
	*fleet
	index            int
	model            Model
	stateMachine     *node.StateMachine
	cores            *virtualtime.Resource
	incarnation      int // counts starts; what was planned in an earlier one is void
	startedAt        int64
	cold             bool
	listed           bool // to dispatchers
	closed           bool
	drainRequestedAt int64 // when its drain was requested, 0 before
	wakeAt           int64 // when the node asked to be stepped
	inbox            []node.Input
	stepScheduled    bool
	lastNotice       int
	executorLink     int

	backlog         []*attempt
	reading         int
	openAttempts    map[string]*attempt // delivered, their answer not seen yet
	runningAttempts map[string]*attempt
	ledgerCalls     map[int]*attempt
	runsPerLook     []int
	coldArrivals    []coldArrival // to it while it is cold
	conns           map[int]*conn
	lastLink        int
	level           string
}

// boot starts the node with its executor, which is new or has been up for long.
func (m *machine) boot(state string) error {
	stateMachine, err := m.newStateMachine(m.Rand.Int63())
	if err != nil {
		return err
	}
	m.incarnation++
	m.stateMachine = stateMachine
	m.startedAt = m.Now
	m.cold = state == "new"
	m.closed = false
	m.drainRequestedAt = 0
	m.lastNotice = 0
	m.backlog = nil
	m.reading = 0
	m.runningAttempts = map[string]*attempt{}
	m.ledgerCalls = map[int]*attempt{}
	m.openAttempts = map[string]*attempt{}
	m.conns = map[int]*conn{}
	m.inbox = nil
	m.stepScheduled = false
	m.runsPerLook = nil
	m.level = ""
	m.coldArrivals = nil
	m.cores = virtualtime.NewResource(m.Simulator, m.rate)
	if m.day.Plan != nil {
		m.deliver(node.Input{Kind: node.PlanChanged, Plan: m.day.Plan})
	} else {
		m.deliver()
	}
	if m.cold {
		m.updateRateWhileWarming()
	}
	return nil
}

func (m *machine) updateRateWhileWarming() {
	life := m.incarnation
	m.After(250*ms, func() {
		if life == m.incarnation && m.Now-m.startedAt < m.model.WarmAfter+second {
			m.cores.Update()
			m.updateRateWhileWarming()
		}
	})
}

// rate is what each of so many jobs gets of the cores.
func (m *machine) rate(jobs int) float64 {
	if jobs == 0 {
		return 0
	}
	speed := m.model.Speed * m.warmupFraction()
	each := float64(jobs) / float64(m.model.Cores)
	return speed * min(1, 1/each) / (1 + m.model.Crowding*max(0, each-m.model.CrowdFrom))
}

func (m *machine) kill() {
	if m.stateMachine == nil {
		return
	}
	m.stateMachine = nil
	m.listed = false
	m.incarnation++
	m.cores.Clear()
	for _, link := range slices.Sorted(maps.Keys(m.ledgerCalls)) {
		m.abandonCall(m.ledgerCalls[link])
	}
	for _, link := range slices.Sorted(maps.Keys(m.conns)) {
		m.conns[link].breakOff()
	}
	for _, a := range m.backlog {
		a.lose()
	}
}

func (m *machine) reboot() {
	if m.stateMachine != nil {
		return
	}
	if err := m.boot("new"); err != nil {
		m.total.breach("a node could not start: " + err.Error())
	}
	life := m.incarnation
	m.After(listingDelay, func() {
		if life == m.incarnation {
			m.listed = true
		}
	})
}

// restart kills the machine and has it back at once, cold.
func (m *machine) restart() {
	if known := m.listed; m.stateMachine != nil {
		m.kill()
		m.reboot()
		m.listed = known
	}
}

// release drains the node, kills it when its time is over and starts the next one cold.
func (m *machine) release() {
	if m.stateMachine == nil {
		return
	}
	m.drainRequestedAt = m.Now
	life := m.incarnation
	m.deliver(node.Input{Kind: node.DrainRequested})
	m.After(listingDelay, func() { m.listed = m.listed && life != m.incarnation })
	m.After(drainTimeout, func() {
		if life == m.incarnation {
			for _, c := range m.conns {
				for _, a := range c.open {
					if !a.answered && !a.cancelled {
						m.total.breach("unanswered at the kill of a drain")
					}
				}
			}
			m.kill()
			m.After(second, m.reboot)
		}
	})
}

// deliver hands inputs to the node; those of one moment go in one step.
func (m *machine) deliver(in ...node.Input) {
	if m.stateMachine == nil {
		return
	}
	m.inbox = append(m.inbox, in...)
	if !m.stepScheduled {
		m.stepScheduled = true
		m.scheduleStep(m.Now)
	}
}

func (m *machine) scheduleStep(at int64) {
	life := m.incarnation
	m.At(at, func() {
		if life == m.incarnation {
			m.step()
		}
	})
}

func (m *machine) step() {
	m.stepScheduled = false
	in := m.inbox
	m.inbox = nil
	wake := int64(0)
	effects := m.stateMachine.Step(m.Now, m.Now, in)
	left := false
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case node.SetWakeup:
			wake = e.At
		case node.Exit:
			left = true
		default:
			m.apply(e)
		}
	}
	if left {
		m.kill()
		m.After(second, m.reboot)
		return
	}
	if m.wakeAt = wake; wake < 1<<62 {
		life := m.incarnation
		m.At(wake, func() {
			if life == m.incarnation && m.wakeAt == wake && !m.stepScheduled {
				m.step()
			}
		})
	}
}

// afterInIncarnation has something done unless the machine is killed before.
func (m *machine) afterInIncarnation(ns int64, do func()) {
	life := m.incarnation
	m.After(ns, func() {
		if life == m.incarnation {
			do()
		}
	})
}
