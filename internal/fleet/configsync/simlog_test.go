package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// logEntry is a committed command.
type logEntry struct {
	at      int64
	command *Command
}

// caller sends commands one after another, each to a random replica on its side of a partition.
type caller struct {
	name         string
	partition    int
	seq          uint64
	base         uint64
	command      *Command // not acknowledged yet
	sentAt       int64
	verdicts     []Verdict
	acknowledged []*Command // the commands of verdicts
	refusals     int
}

// inMajority reports whether a replica is up and on the same side as a majority of the replicas.
func (s *simulation) inMajority(i int) bool {
	together := 0
	for _, n := range s.nodes[:s.replicas] {
		if n.up && n.partition == s.nodes[i].partition {
			together++
		}
	}
	return s.nodes[i].up && together > s.replicas/2
}

// propose commits a command if the replica is in a majority, and calls answer with the verdict of the replica's table.
func (s *simulation) propose(i int, c *Command, answer func(Verdict)) {
	n := s.nodes[i]
	incarnation := n.incarnation
	if s.acknowledgeEarly && answer != nil && n.up {
		answer(Verdict{Caller: c.Caller, Seq: c.Seq, Done: true, Version: n.table.head.Newest + 1})
	}
	s.at(s.now+s.random.Int63n(s.maxDelay)+ms, func() {
		if n.incarnation != incarnation || !s.inMajority(i) {
			return
		}
		s.appendLog(c)
		index := len(s.log)
		s.at(s.now+s.random.Int63n(s.maxDelay)+ms, func() {
			if n.incarnation != incarnation || !n.up || !s.inMajority(i) {
				return
			}
			verdict := s.applyLog(i, index)
			if answer != nil {
				answer(verdict)
			}
		})
	})
}

// appendLog commits a command at the table's time, which lags randomly behind virtual time.
func (s *simulation) appendLog(c *Command) {
	s.tableLag = min(s.tableLag+s.random.Int63n(20*ms), 500*ms)
	if s.random.Intn(4) == 0 {
		s.tableLag = 0
	}
	entry := logEntry{s.now - s.tableLag, c}
	if k := len(s.log); k > 0 {
		entry.at = max(entry.at, s.log[k-1].at)
	}
	s.commit(entry)
}

// commit appends an entry to the log, applies it to the reference table, and checks the resulting head.
func (s *simulation) commit(e logEntry) {
	s.log = append(s.log, e)
	before := s.agreed.Head()
	v := s.agreed.Apply(e.at, e.command)
	head := s.agreed.Head()
	monotonic := head.Newest >= before.Newest && head.All.Version >= before.All.Version
	ordered := head.Canary.Version >= head.All.Version && head.Newest >= head.Canary.Version
	if !monotonic || !ordered {
		s.fail("the head goes from %+v to %+v", before, head)
	}
	if head.Newest != before.Newest {
		s.digests[head.Newest] = s.agreed.newest.Digest()
		s.agreedAt[head.Newest] = s.now
	}
	if head.Stopped && !before.Stopped {
		s.stopped[head.Canary.Version] = true
	}
	if head.All != before.All {
		s.allAt[head.All.Version] = s.now
		if s.stopped[head.All.Version] {
			s.fail("version %d was stopped and is in force for all", head.All.Version)
		}
		if s.canaryAt[head.All.Version] == 0 {
			s.canaryAt[head.All.Version] = s.now
		}
	}
	if head.Canary != before.Canary && s.canaryAt[head.Canary.Version] == 0 {
		s.canaryAt[head.Canary.Version] = s.now
	}
	if v.Done && e.command.Caller != "" && !e.command.MorePieces {
		s.versionOf[fmt.Sprint(e.command.Caller, e.command.Seq)] = v.Version
	}
}

// applyLog applies the log up to an index to a replica's table, and returns the last verdict.
func (s *simulation) applyLog(i, index int) (v Verdict) {
	n := s.nodes[i]
	moved := false
	for n.appliedEntries < index {
		entry := &s.log[n.appliedEntries]
		v = n.table.Apply(entry.at, entry.command)
		moved = true
		n.appliedEntries++
	}
	if !moved && index > 0 { // applied before: a repeated caller and sequence number yield the same verdict
		if e := s.log[index-1]; e.command.Caller != "" {
			v = n.table.Apply(e.at, e.command)
		}
	}
	if moved {
		s.deliver(i, Input{Kind: AgreementChanged, Agreed: n.table.Agreed()})
	}
	return v
}

// tick lets replicas in a majority apply the log and propose due stage advances, and callers resend commands.
func (s *simulation) tick() {
	for i, n := range s.nodes[:s.replicas] {
		current := s.inMajority(i) && n.appliedEntries == len(s.log)
		if n.up && current != n.replicator.groupCurrent {
			s.deliver(i, Input{Kind: ReplicaContactChanged, ReplicaCurrent: current})
		}
		if !s.inMajority(i) {
			continue
		}
		if n.appliedEntries < len(s.log) && s.random.Intn(3) > 0 {
			s.applyLog(i, len(s.log))
		}
		if c := n.table.DueAdvance(s.now - s.tableLag); c != nil && s.random.Intn(2) == 0 {
			s.propose(i, c, nil)
		}
	}
	for _, c := range s.callers {
		s.sendCommand(c)
	}
	s.at(s.now+100*ms, s.tick)
}

// sendCommand sends a caller's command to a random replica on its side, and again after 1.5 s without an answer.
func (s *simulation) sendCommand(c *caller) {
	if c.command == nil || s.now < c.sentAt+1_500*ms && c.sentAt > 0 {
		return
	}
	c.sentAt = s.now
	i := s.random.Intn(s.replicas)
	command := c.command
	if n := s.nodes[i]; !n.up || n.partition != c.partition {
		return
	}
	s.at(s.now+s.random.Int63n(s.maxDelay), func() {
		s.propose(i, command, func(v Verdict) {
			if s.random.Float64() < s.loss { // the answer is lost
				return
			}
			s.at(s.now+s.random.Int63n(s.maxDelay), func() {
				if c.command == nil || v.Seq != c.command.Seq || s.nodes[i].partition != c.partition {
					return
				}
				c.handleVerdict(v)
			})
		})
	})
}

// handleVerdict ends a caller's command, or repeats it on the newest version if it was stale.
func (c *caller) handleVerdict(v Verdict) {
	switch {
	case v.Done:
		c.verdicts = append(c.verdicts, v)
		c.acknowledged = append(c.acknowledged, c.command)
		c.base = v.Version
		c.command = nil
	case v.Stale:
		c.refusals++
		c.seq++
		next := *c.command
		next.Seq = c.seq
		next.Base = v.Version
		c.command = &next
		c.sentAt = 0
	default:
		c.refusals++
		c.command = nil
	}
}

// put starts a change of a caller, unless it has a pending command.
func (s *simulation) put(c *caller, changes ...Item) {
	if c.command == nil {
		c.start(Command{Kind: CommandPut, Base: c.base, Changes: changes})
	}
}

// start makes a command the caller's pending one.
func (c *caller) start(command Command) {
	c.seq++
	command.Caller = c.name
	command.Seq = c.seq
	c.command = &command
	c.sentAt = 0
}

func (s *simulation) rollback(c *caller, version uint64) {
	c.start(Command{Kind: CommandRollback, Version: version})
}

// putWhole commits a whole content in pieces, and returns its revision.
func (s *simulation) putWhole(t *testing.T, c *Content) Revision {
	var list []Item
	for i := range c.All {
		list = append(list, i)
	}
	seq := uint64(0)
	for len(list) > 0 {
		n := min(len(list), 600)
		s.commit(logEntry{s.now, &Command{Kind: CommandPut, Caller: "file", Seq: seq + 1, Piece: int(seq), MorePieces: n < len(list), Changes: list[:n]}})
		list = list[n:]
		seq++
	}
	revision := s.agreed.Head().Canary
	require.Equal(t, c.Digest(), revision.Digest)
	return revision
}
