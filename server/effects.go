package server

import (
	"fmt"

	"github.com/rs/zerolog"

	"topazpost/internal/fleet/membership"
	"topazpost/internal/node"
)

// apply carries out one effect of the state machine.
func (s *Server) apply(e *node.Effect) {
	switch {
	case s.conns.apply(e):
	case s.applyToLink(e):
	case s.fleet.apply(e):
	case s.applyToStorage(e):
	default:
		s.applyToLog(e)
	}
}

// apply carries out effects on dispatchers' connections; false means that the effect is none of them.
func (c *connections) apply(e *node.Effect) bool {
	switch e.Kind {
	case node.ReadConnection:
		c.startReader(e.Link)
	case node.SendToConnection:
		c.send(e.Link, e.Bytes)
	case node.CloseAfterFlush:
		c.closeAfterFlush(e.Link, false)
	case node.CloseWithoutLinger:
		c.closeAfterFlush(e.Link, true)
	case node.ResumeConnection:
		c.resume(e.Link)
	case node.DiscardInput:
		c.discardInput(e.Link)
	case node.StopAccepting:
		c.stopAccepting()
	case node.RaiseCallerTimeout:
		c.raiseClientTimeout(e.At)
	default:
		return false
	}
	return true
}

// applyToLink carries out effects on the executor, the catalogue and the control plane.
func (s *Server) applyToLink(e *node.Effect) bool {
	switch e.Kind {
	case node.DialExecutor:
		s.openLink(e.Link, e.Address, executorLink)
	case node.DialCatalogue:
		s.openLink(e.Link, e.Address, catalogueLink)
	case node.SendToExecutor, node.SendToCatalogue:
		s.writeToLink(e.Link, e.Bytes, e.At)
	case node.CloseExecutor, node.CloseCatalogue:
		s.closeLink(e.Link)
	case node.SendReport:
		s.sendReport(e)
	default:
		return false
	}
	return true
}

// apply carries out effects on the fleet's sockets.
func (f *fleetSockets) apply(e *node.Effect) bool {
	switch e.Kind {
	case node.SendDatagram:
		f.sendDatagram(e)
	case node.OpenExchange:
		f.openExchange(e)
	case node.ReplyToExchange:
		f.reply(e)
	case node.SendOnStream:
		f.streams.send(e)
	case node.CloseStream:
		f.streams.close(e.Link)
	default:
		return false
	}
	return true
}

// applyToStorage carries out effects on the result store, the replica's storage and that of the configuration.
func (s *Server) applyToStorage(e *node.Effect) bool {
	switch e.Kind {
	case node.WriteRecord:
		s.resultStore.enqueue(e)
	case node.PersistReplicaWrite:
		s.replica.enqueue(e.ReplicaWrite)
	case node.PersistVersion:
		s.persistVersion(e.ConfigWrite)
	default:
		return false
	}
	return true
}

// applyToLog carries out effects that only write to the log.
func (s *Server) applyToLog(e *node.Effect) {
	switch e.Kind {
	case node.PublishState:
		s.log.Debug().Interface("state", e.State).Msg("state")
	case node.PublishLevelChange:
		s.logLevelChange(e.LevelChange)
	case node.ReportVersionOutcome:
		s.logVersionResult(e)
	case node.ReportVersionInForce:
		s.logVersionInForce(e.InForce)
	case node.PublishViewChange:
		s.logViewChange(e.ViewChange)
	case node.WriteLog:
		s.writeLog(e)
	}
}

// logLevels are the logger's levels by those of the state machine.
var logLevels = [...]zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel}

// writeLog writes a log entry of the state machine, at a bounded rate.
func (s *Server) writeLog(e *node.Effect) {
	line := s.limitedLog.WithLevel(logLevels[e.LogLevel]).Err(e.Err)
	if e.ID != "" {
		line = line.Str("id", e.ID)
	}
	line.Msg(e.Text)
}

// logViewChange logs a change of the membership view. It is not rate limited, as membership bounds how often the view changes.
func (s *Server) logViewChange(c *membership.Change) {
	if h := s.config.Hollow; h != nil && h.Changed != nil {
		h.Changed(c)
		return
	}
	line := s.log.Info().Uint64("number", c.Number).Str("cause", membership.CauseNames[c.Cause]).Str("who", c.Member).
		Uint64("incarnation", c.Incarnation).Int("size", c.Size).Str("view", fmt.Sprintf("%016x", c.Hash))
	if c.ReportedBy != "" && c.ReportedBy != c.Member {
		line = line.Str("word", c.ReportedBy)
	}
	if c.DetectionDelay > 0 {
		line = line.Float64("after_s", seconds(c.DetectionDelay))
	}
	line.Msg("view changed")
}

// logVersionResult logs whether a version given to Amend was applied.
func (s *Server) logVersionResult(e *node.Effect) {
	if e.Err != nil {
		s.log.Warn().Uint64("version", e.Version).Err(e.Err).Msg("configuration: the version can't be taken, the one of before stays")
		return
	}
	s.log.Info().Uint64("version", e.Version).Msg("configuration: the version is in force, " + e.Text)
}

// logVersionInForce logs a configuration version that came into force.
func (s *Server) logVersionInForce(v *node.VersionInForce) {
	line := s.log.Info().Uint64("version", v.ContentRevision.Version).Stringer("digest", v.ContentRevision.Digest).Str("source", v.Source)
	if v.Source == "fleet" {
		line = line.Uint64("after", v.PreviousVersion).Bool("first_stage", v.Canary).Float64("took_s", seconds(v.TookNS))
	}
	line = line.Float64("longest_step_ms", float64(s.longestStep)/1e6) // since the last version
	s.longestStep = 0
	line.Int("added", v.Added).Int("changed", v.Changed).Int("removed", v.Removed).Msg("configuration in force")
}
