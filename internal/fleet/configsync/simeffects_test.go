package configsync

import (
	"fmt"
	"slices"
)

// execute carries out one effect of a node.
func (s *simulation) execute(i int, e *Effect) {
	switch e.Kind {
	case Send:
		s.sendDatagram(i, e)
	case Exchange:
		s.openExchange(i, e)
	case Reply:
		s.replyToExchange(i, e)
	case ApplyVersion, CheckVersion:
		s.applyVersion(i, e)
	case PersistVersion:
		s.persist(i, e)
	case ProposeCommand:
		s.propose(i, e.Command, nil)
	}
}

func (s *simulation) sendDatagram(i int, e *Effect) {
	n := s.nodes[i]
	to := s.byName[e.To]
	m := s.outgoing(n, e.Message)
	s.transmit(n, to, func() {
		if to.up {
			to.countBytes(s.now, &m)
			received := m
			s.deliver(to.index, Input{Kind: DatagramReceived, From: n.name, Message: &received})
		}
	})
}

// outgoing returns a message as its sender sends it, corrupted if the sender is faulty, and counts its bytes.
func (s *simulation) outgoing(n *simNode, message *Message) Message {
	m := *message
	if n.faulty && m.Kind != MessageFetch {
		s.corrupt(&m)
	}
	n.countBytes(s.now, &m)
	return m
}

func (s *simulation) openExchange(i int, e *Effect) {
	n := s.nodes[i]
	incarnation := n.incarnation
	to := s.byName[e.To]
	link := e.Link
	m := s.outgoing(n, e.Message)
	opened := false
	s.transmit(n, to, func() {
		if !to.up || opened {
			return
		}
		opened = true
		to.countBytes(s.now, &m)
		s.deliver(to.index, Input{Kind: ExchangeOpened, From: n.name, Link: s.linkOf(i, incarnation, link), Message: &m})
	})
	s.at(s.now+4_000*ms, func() {
		if n.incarnation == incarnation {
			s.deliver(i, Input{Kind: ExchangeFailed, Link: link})
		}
	})
}

// linkOf encodes the requester, its incarnation and its link, so that an answer can be routed to it.
func (s *simulation) linkOf(i, incarnation, link int) int {
	return i<<32 | (incarnation&0xffff)<<16 | link&0xffff
}

func (s *simulation) replyToExchange(i int, e *Effect) {
	n := s.nodes[i]
	requester := e.Link >> 32
	incarnation := e.Link >> 16 & 0xffff
	link := e.Link & 0xffff
	to := s.nodes[requester]
	m := s.outgoing(n, e.Message)
	if slices.ContainsFunc(m.Blocks, func(b Block) bool { return len(b.Changes) > 0 }) {
		s.deltaAnswers++
	}
	s.transmit(n, to, func() {
		if to.incarnation&0xffff == incarnation && to.up {
			to.countBytes(s.now, &m)
			s.deliver(requester, Input{Kind: ExchangeAnswered, Link: link, Message: &m})
		}
	})
}

// persist writes to a node's disk, and checks that the stored content has the revision's digest.
func (s *simulation) persist(i int, e *Effect) {
	n := s.nodes[i]
	n.olderDisk = n.disk
	n.disk = simDisk{e.Revision, e.New}
	if !e.Full {
		content := n.olderDisk.content
		for _, record := range e.Records {
			var err error
			content, err = content.Apply(record.Changes)
			if err != nil {
				s.fail("%s: record %d on disk: %v", n.name, record.Version, err)
				return
			}
		}
		n.disk.content = content
	}
	if got := n.disk.content.Digest(); got != e.Revision.Digest {
		s.fail("%s stores digest %s as version %d, expected %s", n.name, got, e.Revision.Version, e.Revision.Digest)
	}
}

// applyVersion checks the invariants of an ApplyVersion or CheckVersion effect, and delivers its result some time later.
func (s *simulation) applyVersion(i int, e *Effect) {
	n := s.nodes[i]
	incarnation := n.incarnation
	revision := e.Revision
	why := n.refusal(e.New)
	s.checkStages(n, e)
	s.checkChanges(n, e)
	s.at(s.now+s.random.Int63n(20*ms), func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		if e.Kind == CheckVersion {
			s.deliver(i, Input{Kind: VersionChecked, Revision: revision, Why: why})
			return
		}
		if why == "" {
			n.maxVersion = revision.Version
			n.appliedAt[revision.Version] = s.now
		}
		s.deliver(i, Input{Kind: VersionApplied, Revision: revision, Why: why})
	})
}

// refusal returns the reason why a node can't apply a content, empty if it can.
func (n *simNode) refusal(content *Content) (why string) {
	for item := range content.All {
		if n.olderBuild && string(item.Value) == `"new"` {
			why = fmt.Sprintf("%s %s is of a later build", item.Part, item.Name)
		}
	}
	return why
}

// checkStages checks that a version was agreed on, has reached the stage at which it is applied, and is newer than the last applied one.
func (s *simulation) checkStages(n *simNode, e *Effect) {
	version := e.Revision.Version
	if _, agreed := s.digests[version]; !agreed {
		s.fail("%s applies version %d, which was not agreed on", n.name, version)
	}
	if s.allAt[version] == 0 && !e.Canary {
		s.fail("%s applies version %d, which is not in force for all, as if it were", n.name, version)
	}
	if s.canaryAt[version] == 0 {
		s.fail("%s applies version %d, which was never at the canary stage", n.name, version)
	}
	if version <= n.maxVersion {
		s.fail("%s goes from version %d to %d", n.name, n.maxVersion, version)
	}
}

// checkChanges checks that the content of a version is the agreed one, and that the changes from the old content lead to it.
func (s *simulation) checkChanges(n *simNode, e *Effect) {
	version := e.Revision.Version
	sum := Digest{}
	for item := range e.New.All { // computed from scratch
		sum = sum.plus(hashItem(appendEntry(nil, byte(slices.Index(partNames[:], item.Part)), item.Name, item.Value)))
	}
	if sum != s.digests[version] || sum != e.Revision.Digest {
		s.fail("%s applies digest %s as version %d, expected %s", n.name, sum, version, s.digests[version])
	}
	content := e.Old
	for difference := Diff(e.Old, e.New); ; {
		changes := difference.Next(3)
		if len(changes) == 0 {
			break
		}
		content, _ = content.Apply(changes) // a failed change shows as a different digest below
	}
	if content.Digest() != sum {
		s.fail("%s: the changes to version %d lead to another content", n.name, version)
	}
}

// corrupt randomly makes a message invalid, or leaves it unchanged.
func (s *simulation) corrupt(m *Message) {
	s.corruptHead(m)
	if len(m.Index) > 0 && s.random.Intn(2) == 0 {
		m.Index = slices.Clone(m.Index)
		m.Index[s.random.Intn(len(m.Index))]++
	}
	if len(m.Blocks) > 0 && s.random.Intn(2) == 0 {
		m.Blocks = slices.Clone(m.Blocks)
		s.corruptBlock(&m.Blocks[0])
	}
	if len(m.Records) > 0 {
		m.Records = slices.Clone(m.Records)
		s.corruptRecord(&m.Records[s.random.Intn(len(m.Records))])
	}
}

func (s *simulation) corruptHead(m *Message) {
	digest := Digest{A: s.random.Uint64(), B: s.random.Uint64()}
	switch s.random.Intn(6) {
	case 0:
		m.Head.All = Revision{m.Head.All.Version + uint64(s.random.Intn(5)), digest}
	case 1:
		m.Has = Revision{m.Has.Version + uint64(s.random.Intn(5)), digest}
	case 2:
		m.Head.Canary = Revision{m.Head.Canary.Version + 1, digest}
		m.Has = m.Head.Canary
	case 3:
		if m.Kind == MessageAnnounce {
			m.Kind = MessageConfirm
			m.Head.All = Revision{m.Head.All.Version + 1, digest}
		}
	}
}

func (s *simulation) corruptBlock(b *Block) {
	if len(b.Changes) == 0 {
		b.Text = appendEntry(nil, 1, "false", []byte("1"))
		return
	}
	b.Changes = slices.Clone(b.Changes)
	if s.random.Intn(2) == 0 {
		b.Changes[0].Value = []byte("7")
	} else {
		b.Changes = b.Changes[1:]
	}
}

func (s *simulation) corruptRecord(r *Record) {
	r.Changes = slices.Clone(r.Changes)
	switch s.random.Intn(3) {
	case 0:
		r.Changes = append(r.Changes, Item{Tenants, "false", []byte("1")})
	case 1: // with a digest that matches
		content, _ := (&Content{}).Apply([]Item{{Tenants, "false", []byte("1")}})
		r.Changes = append(r.Changes, Item{Tenants, "false", []byte("1")})
		r.Digest = r.Digest.plus(content.Digest())
	case 2:
		r.Version++
	}
}
