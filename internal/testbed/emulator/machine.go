package emulator

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"topazpost/internal/node"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
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
	drainRequestedAt int64 // when it was told to drain, 0 before
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
	brain, err := m.fleet.newStateMachine(m.Rand.Int63())
	if err != nil {
		return err
	}
	m.incarnation++
	m.stateMachine, m.startedAt, m.cold, m.closed, m.drainRequestedAt, m.lastNotice = brain, m.Now, state == "new", false, 0, 0
	m.backlog, m.reading, m.runningAttempts, m.ledgerCalls = nil, 0, map[string]*attempt{}, map[int]*attempt{}
	m.openAttempts = map[string]*attempt{}
	m.conns, m.inbox, m.stepScheduled, m.runsPerLook, m.level = map[int]*conn{}, nil, false, nil, ""
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
	m.stateMachine, m.listed = nil, false
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

func (m *machine) apply(e *node.Effect) {
	switch e.Kind {
	case node.SendToConnection:
		m.receiveFrame(e)
	case node.CloseAfterFlush, node.EvictConnection:
		link := e.Link
		if c := m.conns[link]; c != nil {
			c.noMore = true
			delete(m.conns, link)
		}
		m.afterInIncarnation(networkDelay, func() { m.deliver(node.Input{Kind: node.ConnectionClosed, Link: link}) })
	case node.DialExecutor:
		link := e.Link
		m.afterInIncarnation(networkDelay, func() {
			m.executorLink = link
			m.deliver(node.Input{Kind: node.ExecutorConnected, Link: link})
		})
	case node.SendToExecutor:
		words, body := splitLine(e.Bytes)
		m.executorReceived(words, body)
	case node.DialCatalogue:
		link := e.Link
		m.afterInIncarnation(networkDelay, func() { m.deliver(node.Input{Kind: node.CatalogueConnected, Link: link}) })
	case node.SendToCatalogue:
		words, body := splitLine(e.Bytes)
		m.ledgerReceived(e.Link, words, body)
	case node.CloseCatalogue:
		if a := m.ledgerCalls[e.Link]; a != nil {
			delete(m.ledgerCalls, e.Link)
			m.abandonCall(a)
		}
	case node.SendReport:
		link := e.Link
		m.afterInIncarnation(networkDelay, func() { m.deliver(node.Input{Kind: node.ReportFinished, Link: link}) })
	case node.StopAccepting:
		m.closed = true
		m.afterInIncarnation(networkDelay, func() { m.deliver(node.Input{Kind: node.ListenerClosed}) })
	case node.LevelChanged:
		m.level = e.LevelChange.ToName
		m.total.levelChanged(m, e.LevelChange)
	}
}

// splitLine takes a line of words and the body behind it apart.
func splitLine(b []byte) (words []string, body []byte) {
	end := bytes.Index(b, []byte("\r\n"))
	words = strings.Fields(string(b[:end]))
	if rest := b[end+2:]; len(rest) >= 2 {
		body = append([]byte(nil), rest[:len(rest)-2]...)
	}
	return words, body
}

func (m *machine) sendFromExecutor(text string, body []byte) {
	link := m.executorLink
	line := lineprotocol.Line{Words: strings.Fields(text), Body: body}
	m.afterInIncarnation(gaugeDelay, func() { m.deliver(node.Input{Kind: node.ExecutorLineReceived, Link: link, Line: line}) })
}

// executorReceived is the executor.
func (m *machine) executorReceived(words []string, body []byte) {
	switch words[0] {
	case "JOIN":
		state := "old"
		if m.cold {
			state = "new"
		}
		m.sendFromExecutor("WELCOME "+state+" "+strconv.FormatInt((m.Now-m.startedAt)/ms, 10), nil)
	case "METER":
		wants := m.reading + m.runsOnCores()
		busy := min(1, float64(wants)/float64(m.model.Cores))
		m.sendFromExecutor(fmt.Sprintf("METERS %s %.3f %d 0.1 %d", words[1], busy, wants, len(m.conns)), nil)
	case "EXEC":
		m.startRun(words[1], words[2], body)
	case "RETURN":
		if a := m.runningAttempts[words[1]]; a != nil && a.waitingForLedger {
			a.waitingForLedger = false
			m.runSegment(a)
		}
	}
}

func (m *machine) runsOnCores() int { return m.cores.Jobs() - m.reading }

func (m *machine) startRun(id, class string, body []byte) {
	a := m.openAttempts[id]
	if a == nil {
		m.sendFromExecutor("BAD EXEC "+id, nil)
		return
	}
	a.timesRun++
	if a.timesRun > 1 {
		m.total.breach("one try was run twice")
	}
	if m.drainRequestedAt > 0 && a.arrived > m.drainRequestedAt+drainGrace {
		m.total.breach("run though it arrived after the grace")
	}
	if string(body) != a.id {
		m.total.breach("a body was changed on its way")
	}
	m.runningAttempts[id] = a
	a.started, a.segmentWork = m.Now, a.invocation.work
	if class != a.invocation.operation.Name {
		if class != a.invocation.operation.Reduced {
			m.total.breach("a form that the executor does not know: " + class)
		}
		a.reduced, a.segmentWork = true, a.segmentWork*a.invocation.operation.ReducedWork
	}
	a.segments = a.invocation.calls + 1
	a.segmentWork /= float64(a.segments)
	m.runSegment(a)
}

// runSegment is the work up to the next call or the end.
func (m *machine) runSegment(a *attempt) {
	life := m.incarnation
	m.cores.Add(a.segmentWork, func() {
		if life != m.incarnation {
			return
		}
		m.lastNotice++
		if a.segments--; a.segments > 0 && !a.cancelled && !a.answered {
			a.waitingForLedger = true
			m.sendFromExecutor(fmt.Sprintf("CALLOUT %d %s %d", m.lastNotice, a.id, len(a.id)), []byte(a.id))
			return
		}
		delete(m.runningAttempts, a.id)
		end := "good"
		if a.segments > 0 {
			end = "cut"
		}
		m.sendFromExecutor(fmt.Sprintf("EXIT %d %s %s %d %d", m.lastNotice, a.id, end, (m.Now-a.started)/ms, len(a.id)), []byte(a.id))
	})
}

// endWaitingRun ends a run that waits at a call for an invocation that nobody waits for any more.
func (m *machine) endWaitingRun(a *attempt) {
	if !a.waitingForLedger {
		return
	}
	a.waitingForLedger = false
	delete(m.runningAttempts, a.id)
	m.lastNotice++
	m.sendFromExecutor(fmt.Sprintf("EXIT %d %s cut %d 0", m.lastNotice, a.id, (m.Now-a.started)/ms), nil)
}

// ledgerReceived is the ledger.
func (m *machine) ledgerReceived(link int, words []string, body []byte) {
	if words[0] != "FETCH" {
		return
	}
	a := m.runningAttempts[words[1]]
	if a == nil {
		return
	}
	m.ledgerCalls[link] = a
	m.total.Calls++
	m.calls.count(m.Now, 1)
	a.ledgerCall = m.ledger.Add(a.invocation.operation.Call*lognormalFactor(m.Rand), func() {
		m.calls.count(m.Now, -1)
		if m.ledgerCalls[link] != a {
			return
		}
		delete(m.ledgerCalls, link)
		m.deliver(node.Input{Kind: node.CatalogueLineReceived, Link: link,
			Line: lineprotocol.Line{Words: []string{a.id, "DATA", strconv.Itoa(len(body))}, Body: body}})
	})
	m.total.MostCalls = max(m.total.MostCalls, float64(m.ledger.Jobs())/m.slots)
}

// receive takes an invocation that came to the machine: it lies unread until a core has read it.
func (m *machine) receive(a *attempt) {
	if len(m.backlog) >= maxBacklog {
		a.connectionRefused()
		return
	}
	a.arrived = m.Now
	m.recordColdArrival(a)
	m.backlog = append(m.backlog, a)
	m.readBacklog()
}

func (m *machine) readBacklog() {
	for m.reading < m.model.Cores && len(m.backlog) > 0 {
		a := m.backlog[0]
		m.backlog = m.backlog[1:]
		m.reading++
		life := m.incarnation
		m.cores.Add(m.day.Reading*m.meanWork, func() {
			if life == m.incarnation {
				m.reading--
				a.deliver()
				m.readBacklog()
			}
		})
	}
}

// receiveFrame brings what the node writes to its dispatcher.
func (m *machine) receiveFrame(e *node.Effect) {
	c := m.conns[e.Link]
	if c == nil {
		return
	}
	var p frame.Parser
	p.Wrote(copy(p.Space(), e.Bytes))
	f, ok, err := p.Next()
	if !ok || err != nil {
		m.total.breach("a frame that can't be read")
		return
	}
	if f.Type == frame.NoMore {
		c.noMore = true
		return
	}
	a := c.open[f.Stream]
	if f.Type != frame.Answer || f.Stream == 0 {
		return
	}
	if a == nil {
		m.total.breach("an answer to nothing that is open")
		return
	}
	code := f.Payload[0]
	fields, body, _ := frame.Fields(f.Payload[1:])
	fields = append([]frame.Field(nil), fields...)
	if code == frame.Succeeded && string(body) != a.id {
		m.total.breach("a result that no run made")
	}
	a.answer(code, fields)
}
