package emulator

import (
	"fmt"
	"strconv"
	"strings"

	"topazpost/internal/node"
	"topazpost/internal/protocol/lineprotocol"
)

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
	a.started = m.Now
	a.segmentWork = a.invocation.work
	if class != a.invocation.operation.Name {
		if class != a.invocation.operation.Reduced {
			m.total.breach("a form that the executor does not know: " + class)
		}
		a.reduced = true
		a.segmentWork = a.segmentWork * a.invocation.operation.ReducedWork
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
