package emulator

import (
	"bytes"
	"strings"

	"topazpost/internal/node"
	"topazpost/internal/protocol/frame"
)

func (m *machine) apply(e *node.Effect) {
	switch e.Kind {
	case node.SendToConnection:
		m.receiveFrame(e)
	case node.CloseAfterFlush, node.CloseWithoutLinger:
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
	case node.PublishLevelChange:
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

// receive takes an invocation that came to the machine: it waits in the backlog until a core has read it.
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
	if f.Type == frame.GoAway {
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
