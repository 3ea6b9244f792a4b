package server

import (
	"github.com/rs/zerolog"

	"topazpost/internal/node"
)

// carry carries out one effect of the state machine.
func (s *Server) carry(e *node.Effect) {
	switch {
	case s.conns.carry(e):
	case s.carryToLink(e):
	case s.peers.carry(e):
	case s.carryToDisk(e):
	default:
		s.carryToLog(e)
	}
}

// carry carries out effects on dispatchers' connections; false means that the effect is another.
func (c *connections) carry(e *node.Effect) bool {
	switch e.Kind {
	case node.ReadConnection:
		c.receive(e.Link)
	case node.SendToConnection:
		c.send(e.Link, e.Bytes)
	case node.CloseAfterFlush:
		c.closeAfterFlush(e.Link, false)
	case node.EvictConnection:
		c.closeAfterFlush(e.Link, true)
	case node.ResumeConnection:
		c.resume(e.Link)
	case node.DiscardInput:
		c.ignore(e.Link)
	case node.StopAccepting:
		c.stopAccepting()
	case node.CallerTimeoutRaised:
		c.slower(e.At)
	default:
		return false
	}
	return true
}

// carryToLink carries out effects on the executor, the catalogue and the control plane.
func (s *Server) carryToLink(e *node.Effect) bool {
	switch e.Kind {
	case node.DialExecutor:
		s.open(e.Link, e.Address, toExecutor)
	case node.DialCatalogue:
		s.open(e.Link, e.Address, toCatalogue)
	case node.SendToExecutor, node.SendToCatalogue:
		s.write(e.Link, e.Bytes, e.At)
	case node.CloseExecutor, node.CloseCatalogue:
		s.disconnect(e.Link)
	case node.SendReport:
		s.report(e)
	default:
		return false
	}
	return true
}

// carry carries out effects on the fleet's sockets.
func (p *peering) carry(e *node.Effect) bool {
	switch e.Kind {
	case node.SendDatagram:
		p.send(e)
	case node.OpenExchange:
		p.open(e)
	case node.ReplyToExchange:
		p.reply(e)
	case node.SendOnStream:
		p.streams.send(e)
	case node.CloseStream:
		p.streams.disconnect(e.Link)
	default:
		return false
	}
	return true
}

// carryToDisk carries out effects on the result store, the replica's storage and that of the configuration.
func (s *Server) carryToDisk(e *node.Effect) bool {
	switch e.Kind {
	case node.WriteRecord:
		s.kept.keep(e)
	case node.PersistReplicaWrite:
		s.seat.keep(e.Write)
	case node.PersistVersion:
		s.keepConfiguration(e.Persisting)
	default:
		return false
	}
	return true
}

// carryToLog carries out effects that only write to the log.
func (s *Server) carryToLog(e *node.Effect) {
	switch e.Kind {
	case node.SampleState:
		s.log.Debug().Interface("state", e.State).Msg("state")
	case node.LevelChanged:
		s.turned(e.LevelChange)
	case node.VersionApplied:
		s.amended(e)
	case node.ReportVersionInForce:
		s.inForce(e.InForce)
	case node.ViewChanged:
		s.viewChanged(e.Change)
	case node.WriteLog:
		s.writeLog(e)
	}
}

// writeLog writes a log entry of the state machine, at a bounded rate.
func (s *Server) writeLog(e *node.Effect) {
	level := [...]zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel}[e.LogLevel]
	line := s.limited.WithLevel(level).Err(e.Err)
	if e.ID != "" {
		line = line.Str("id", e.ID)
	}
	line.Msg(e.Text)
}
