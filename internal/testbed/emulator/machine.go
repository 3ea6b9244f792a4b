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
	index  int
	model  Model
	brain  *node.StateMachine
	cores  *virtualtime.Resource
	life   int // counts starts; what was planned in an earlier one is void
	born   int64
	cold   bool
	known  bool // to dispatchers
	shut   bool
	noted  int64 // when it was told to drain, 0 before
	wake   int64 // when the node asked to be stepped
	inbox  []node.Input
	woken  bool
	notice int
	link   int

	unread  []*attempt
	reading int
	open    map[string]*attempt // delivered, their answer not seen yet
	runs    map[string]*attempt
	ledgers map[int]*attempt
	crowd   []int
	sent    []sending // to it while it is cold
	conns   map[int]*conn
	lastID  int
	level   string
}

// boot starts the node with its executor, which is new or has been up for long.
func (m *machine) boot(state string) error {
	brain, err := m.fleet.brain(m.Rand.Int63())
	if err != nil {
		return err
	}
	m.life++
	m.brain, m.born, m.cold, m.shut, m.noted, m.notice = brain, m.Now, state == "new", false, 0, 0
	m.unread, m.reading, m.runs, m.ledgers = nil, 0, map[string]*attempt{}, map[int]*attempt{}
	m.open = map[string]*attempt{}
	m.conns, m.inbox, m.woken, m.crowd, m.level = map[int]*conn{}, nil, false, nil, ""
	m.sent = nil
	m.cores = virtualtime.NewResource(m.Simulator, m.pace)
	if m.day.Plan != nil {
		m.put(node.Input{Kind: node.PlanChanged, Plan: m.day.Plan})
	} else {
		m.put()
	}
	if m.cold {
		m.warm()
	}
	return nil
}

func (m *machine) warm() {
	life := m.life
	m.After(250*ms, func() {
		if life == m.life && m.Now-m.born < m.model.WarmAfter+second {
			m.cores.Update()
			m.warm()
		}
	})
}

// pace is what each of so many jobs gets of the cores.
func (m *machine) pace(jobs int) float64 {
	if jobs == 0 {
		return 0
	}
	speed := m.model.Speed * m.warmth()
	each := float64(jobs) / float64(m.model.Cores)
	return speed * min(1, 1/each) / (1 + m.model.Crowding*max(0, each-m.model.CrowdFrom))
}

func (m *machine) kill() {
	if m.brain == nil {
		return
	}
	m.brain, m.known = nil, false
	m.life++
	m.cores.Clear()
	for _, link := range slices.Sorted(maps.Keys(m.ledgers)) {
		m.giveUpCall(m.ledgers[link])
	}
	for _, link := range slices.Sorted(maps.Keys(m.conns)) {
		m.conns[link].reset()
	}
	for _, a := range m.unread {
		a.lostWith()
	}
}

func (m *machine) reboot() {
	if m.brain != nil {
		return
	}
	if err := m.boot("new"); err != nil {
		m.total.breach("a node could not start: " + err.Error())
	}
	life := m.life
	m.After(listed, func() {
		if life == m.life {
			m.known = true
		}
	})
}

// restart kills the machine and has it back at once, cold.
func (m *machine) restart() {
	if known := m.known; m.brain != nil {
		m.kill()
		m.reboot()
		m.known = known
	}
}

// release drains the node, kills it when its time is over and starts the next one cold.
func (m *machine) release() {
	if m.brain == nil {
		return
	}
	m.noted = m.Now
	life := m.life
	m.put(node.Input{Kind: node.DrainRequested})
	m.After(listed, func() { m.known = m.known && life != m.life })
	m.After(stopAt, func() {
		if life == m.life {
			for _, c := range m.conns {
				for _, a := range c.open {
					if !a.answered && !a.told {
						m.total.breach("unanswered at the kill of a drain")
					}
				}
			}
			m.kill()
			m.After(second, m.reboot)
		}
	})
}

// put hands inputs to the node; those of one moment go in one step.
func (m *machine) put(in ...node.Input) {
	if m.brain == nil {
		return
	}
	m.inbox = append(m.inbox, in...)
	if !m.woken {
		m.woken = true
		m.stepAt(m.Now)
	}
}

func (m *machine) stepAt(at int64) {
	life := m.life
	m.At(at, func() {
		if life == m.life {
			m.step()
		}
	})
}

func (m *machine) step() {
	m.woken = false
	in := m.inbox
	m.inbox = nil
	wake := int64(0)
	effects := m.brain.Step(m.Now, m.Now, in)
	left := false
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case node.SetWakeup:
			wake = e.At
		case node.Exit:
			left = true
		default:
			m.carry(e)
		}
	}
	if left {
		m.kill()
		m.After(second, m.reboot)
		return
	}
	if m.wake = wake; wake < 1<<62 {
		life := m.life
		m.At(wake, func() {
			if life == m.life && m.wake == wake && !m.woken {
				m.step()
			}
		})
	}
}

// later has something done unless the machine is killed before.
func (m *machine) later(ns int64, do func()) {
	life := m.life
	m.After(ns, func() {
		if life == m.life {
			do()
		}
	})
}

func (m *machine) carry(e *node.Effect) {
	switch e.Kind {
	case node.SendToConnection:
		m.send(e)
	case node.CloseAfterFlush, node.EvictConnection:
		link := e.Link
		if c := m.conns[link]; c != nil {
			c.noMore = true
			delete(m.conns, link)
		}
		m.later(hop, func() { m.put(node.Input{Kind: node.ConnectionClosed, Link: link}) })
	case node.DialExecutor:
		link := e.Link
		m.later(hop, func() {
			m.link = link
			m.put(node.Input{Kind: node.ExecutorConnected, Link: link})
		})
	case node.SendToExecutor:
		words, body := split(e.Bytes)
		m.told(words, body)
	case node.DialCatalogue:
		link := e.Link
		m.later(hop, func() { m.put(node.Input{Kind: node.CatalogueConnected, Link: link}) })
	case node.SendToCatalogue:
		words, body := split(e.Bytes)
		m.ask(e.Link, words, body)
	case node.CloseCatalogue:
		if a := m.ledgers[e.Link]; a != nil {
			delete(m.ledgers, e.Link)
			m.giveUpCall(a)
		}
	case node.SendReport:
		link := e.Link
		m.later(hop, func() { m.put(node.Input{Kind: node.ReportFinished, Link: link}) })
	case node.StopAccepting:
		m.shut = true
		m.later(hop, func() { m.put(node.Input{Kind: node.ListenerClosed}) })
	case node.LevelChanged:
		m.level = e.LevelChange.ToName
		m.total.turned(m, e.LevelChange)
	}
}

// split takes a line of words and the body behind it apart.
func split(b []byte) (words []string, body []byte) {
	end := bytes.Index(b, []byte("\r\n"))
	words = strings.Fields(string(b[:end]))
	if rest := b[end+2:]; len(rest) >= 2 {
		body = append([]byte(nil), rest[:len(rest)-2]...)
	}
	return words, body
}

func (m *machine) tell(text string, body []byte) {
	link := m.link
	line := lineprotocol.Line{Words: strings.Fields(text), Body: body}
	m.later(meter, func() { m.put(node.Input{Kind: node.ExecutorLineReceived, Link: link, Line: line}) })
}

// told is the executor.
func (m *machine) told(words []string, body []byte) {
	switch words[0] {
	case "JOIN":
		state := "old"
		if m.cold {
			state = "new"
		}
		m.tell("WELCOME "+state+" "+strconv.FormatInt((m.Now-m.born)/ms, 10), nil)
	case "METER":
		wants := m.reading + m.onCores()
		busy := min(1, float64(wants)/float64(m.model.Cores))
		m.tell(fmt.Sprintf("METERS %s %.3f %d 0.1 %d", words[1], busy, wants, len(m.conns)), nil)
	case "EXEC":
		m.exec(words[1], words[2], body)
	case "RETURN":
		if a := m.runs[words[1]]; a != nil && a.waiting {
			a.waiting = false
			m.segment(a)
		}
	}
}

func (m *machine) onCores() int { return m.cores.Jobs() - m.reading }

func (m *machine) exec(id, class string, body []byte) {
	a := m.open[id]
	if a == nil {
		m.tell("BAD EXEC "+id, nil)
		return
	}
	a.ran++
	if a.ran > 1 {
		m.total.breach("one try was run twice")
	}
	if m.noted > 0 && a.arrived > m.noted+grace {
		m.total.breach("run though it arrived after the grace")
	}
	if string(body) != a.id {
		m.total.breach("a body was changed on its way")
	}
	m.runs[id] = a
	a.started, a.left = m.Now, a.inv.work
	if class != a.inv.op.Name {
		if class != a.inv.op.Reduced {
			m.total.breach("a form that the executor does not know: " + class)
		}
		a.reduced, a.left = true, a.left*a.inv.op.ReducedWork
	}
	a.segments = a.inv.calls + 1
	a.left /= float64(a.segments)
	m.segment(a)
}

// segment is the work up to the next call or the end.
func (m *machine) segment(a *attempt) {
	life := m.life
	m.cores.Add(a.left, func() {
		if life != m.life {
			return
		}
		m.notice++
		if a.segments--; a.segments > 0 && !a.told && !a.answered {
			a.waiting = true
			m.tell(fmt.Sprintf("CALLOUT %d %s %d", m.notice, a.id, len(a.id)), []byte(a.id))
			return
		}
		delete(m.runs, a.id)
		end := "good"
		if a.segments > 0 {
			end = "cut"
		}
		m.tell(fmt.Sprintf("EXIT %d %s %s %d %d", m.notice, a.id, end, (m.Now-a.started)/ms, len(a.id)), []byte(a.id))
	})
}

// over ends a run that waits at a call for an invocation that nobody waits for any more.
func (m *machine) over(a *attempt) {
	if !a.waiting {
		return
	}
	a.waiting = false
	delete(m.runs, a.id)
	m.notice++
	m.tell(fmt.Sprintf("EXIT %d %s cut %d 0", m.notice, a.id, (m.Now-a.started)/ms), nil)
}

// ask is the ledger.
func (m *machine) ask(link int, words []string, body []byte) {
	if words[0] != "FETCH" {
		return
	}
	a := m.runs[words[1]]
	if a == nil {
		return
	}
	m.ledgers[link] = a
	m.total.Calls++
	m.calls.count(m.Now, 1)
	a.call = m.ledger.Add(a.inv.op.Call*skewed(m.Rand), func() {
		m.calls.count(m.Now, -1)
		if m.ledgers[link] != a {
			return
		}
		delete(m.ledgers, link)
		m.put(node.Input{Kind: node.CatalogueLineReceived, Link: link,
			Line: lineprotocol.Line{Words: []string{a.id, "DATA", strconv.Itoa(len(body))}, Body: body}})
	})
	m.total.MostCalls = max(m.total.MostCalls, float64(m.ledger.Jobs())/m.slots)
}

// arrived takes an invocation that came to the machine: it lies unread until a core has read it.
func (m *machine) arrived(a *attempt) {
	if len(m.unread) >= unread {
		a.refusedBySystem()
		return
	}
	a.arrived = m.Now
	m.notePressure(a)
	m.unread = append(m.unread, a)
	m.read()
}

func (m *machine) read() {
	for m.reading < m.model.Cores && len(m.unread) > 0 {
		a := m.unread[0]
		m.unread = m.unread[1:]
		m.reading++
		life := m.life
		m.cores.Add(m.day.Reading*m.mean, func() {
			if life == m.life {
				m.reading--
				a.deliver()
				m.read()
			}
		})
	}
}

// send brings what the node writes to its dispatcher.
func (m *machine) send(e *node.Effect) {
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
