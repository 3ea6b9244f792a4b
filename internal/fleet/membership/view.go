package membership

import (
	"topazpost/internal/invariant"
)

// updateView lets the view follow what is reached: those that come at once, those that are lost once that has lasted.
// A node without any link doubts itself, and not all others.
func (m *Members) updateView() {
	alone := m.viewSize > 1 && m.linksUp() == 0 && !m.members[0].record.Left
	followed := m.viewDirty && m.ownTime >= m.nextTraversalAt
	if !followed && alone == m.isolated && m.ownTime < m.nextViewAt {
		return
	}
	if followed {
		m.viewDirty, m.nextTraversalAt = false, m.ownTime+traversalInterval
		m.traverse()
	}
	if alone != m.isolated {
		m.isolated = alone
		m.emitChange(map[bool]Cause{true: Isolated, false: Reconnected}[alone], &m.members[0], m.members[0].record.Incarnation, m.config.Name, 0)
	}
	m.nextViewAt = m.ownTime + viewInterval
	for i := 1; i < len(m.members); i++ {
		if m.settled[i] {
			continue
		}
		peer := &m.members[i]
		if peer.record.Name == "" {
			m.settled[i] = true
			continue
		}
		switch {
		case peer.inView && peer.record.Left:
			m.leaveView(peer, Departed)
		case peer.inView && !peer.reachable && m.isolated:
			peer.unreachableSince = m.ownTime // counted anew once this node hears again
			m.setStatus(peer, Suspect)
		case peer.inView && !peer.reachable && peer.record.Facts.Beat > 0:
			m.leaveView(peer, Departed)
		case peer.inView && !peer.reachable && m.ownTime >= max(peer.unreachableSince+m.config.SuspicionTimeout, peer.reachGraceUntil):
			peer.flaps = min(peer.flaps+1, maxFlaps)
			peer.lastFlapAt = m.ownTime
			m.leaveView(peer, Lost)
		case peer.inView && !peer.reachable:
			m.setStatus(peer, Suspect)
			m.nextViewAt = min(m.nextViewAt, max(peer.unreachableSince+m.config.SuspicionTimeout, peer.reachGraceUntil))
		case peer.inView:
			if peer.flaps > 0 && m.ownTime-peer.lastFlapAt > flapDecayTime {
				peer.flaps = 0
			}
			m.setStatus(peer, Alive)
			m.settled[i] = peer.flaps == 0
		case peer.reachable && !peer.record.Left && m.ownTime >= m.flapDampedUntil(peer):
			m.enterView(peer)
		case peer.reachable && !peer.record.Left:
			m.nextViewAt = min(m.nextViewAt, m.flapDampedUntil(peer))
		case peer.inDigest && m.ownTime-peer.outOfViewSince > digestRetention:
			m.digest ^= peer.recordHash()
			peer.inDigest = false
		case m.ownTime-peer.outOfViewSince > m.config.ForgetTimeout:
			m.forgetMember(int32(i))
		}
	}
}

// flapDampedUntil is when a member that is reached again may be in the view again. Guards against one that comes and goes
// with its links; does harm to one that is restarted again and again, which is seen later by some seconds.
func (m *Members) flapDampedUntil(peer *member) int64 {
	if peer.flaps <= 1 {
		return 0
	}
	return peer.lastFlapAt + reconnectInterval<<(peer.flaps-2)
}

func (m *Members) setStatus(peer *member, s Status) {
	if peer.status != s {
		peer.status, peer.statusSince = s, m.ownTime
	}
}

func (m *Members) enterView(peer *member) {
	cause := Joined
	if peer.everInView {
		cause = Returned
	}
	peer.inView, peer.everInView = true, true
	m.viewSize++
	m.viewHash ^= peer.incarnationHash()
	if !peer.inDigest {
		peer.inDigest = true
		m.digest ^= peer.recordHash()
	}
	peer.status, peer.statusSince = Alive, m.ownTime
	m.ringsDirty = true
	m.emitChange(cause, peer, peer.record.Incarnation, "", 0)
}

func (m *Members) leaveView(peer *member, cause Cause) {
	peer.inView, peer.outOfViewSince, peer.watchUntil = false, m.ownTime, 0
	m.viewSize--
	m.viewHash ^= peer.incarnationHash()
	m.setStatus(peer, map[bool]Status{true: Left, false: Dead}[cause == Departed])
	after := int64(0)
	if peer.unreachableSince > 0 {
		after = m.ownTime - peer.unreachableSince + m.config.LinkTimeout
	}
	word := peer.record.Name
	if cause == Lost {
		word = ""
		if i, known := m.byID[peer.lossReportedBy]; known {
			word = m.members[i].record.Name
		}
	}
	m.ringsDirty = true
	m.emitChange(cause, peer, peer.record.Incarnation, word, after)
}

func (m *Members) emitChange(cause Cause, peer *member, inc uint64, word string, after int64) {
	m.viewNumber++
	m.Counters.Views++
	if invariant.Debug {
		m.Invariants.Check(m.viewHash == m.View().Hash, "the hash is that of the view")
	}
	m.emit(Effect{Kind: ViewChanged, Change: Change{Number: m.viewNumber, Cause: cause, Who: peer.record.Name, Incarnation: inc, ReportedBy: word,
		After: after, Size: m.viewSize, Hash: m.viewHash}})
}
