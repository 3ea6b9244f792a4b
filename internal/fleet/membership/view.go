package membership

import (
	"topazpost/internal/invariant"
)

// updateView updates the view from reachability. Members enter at once, unless they are damped for flapping. Lost ones leave
// after the suspicion timeout, or after a longer grace period if they just restarted; drained ones leave at once. A node
// without any link keeps its view, since a fault of this node is more likely than one of all others.
func (m *Members) updateView() {
	isolated := m.viewSize > 1 && m.linksUp() == 0 && !m.members[0].record.Left
	traversed := m.viewDirty && m.unpausedTime >= m.nextTraversalAt
	if !traversed && isolated == m.isolated && m.unpausedTime < m.nextViewAt {
		return
	}
	if traversed {
		m.viewDirty, m.nextTraversalAt = false, m.unpausedTime+traversalInterval
		m.traverse()
	}
	if isolated != m.isolated {
		m.isolated = isolated
		cause := Reconnected
		if isolated {
			cause = Isolated
		}
		m.emitChange(cause, &m.members[0], m.members[0].record.Incarnation, m.config.Name, 0)
	}
	m.nextViewAt = m.unpausedTime + viewInterval
	for i := 1; i < len(m.members); i++ {
		if m.settled[i] {
			continue
		}
		peer := &m.members[i]
		switch {
		case peer.record.Name == "":
			m.settled[i] = true
		case peer.inView:
			m.updateViewMember(int32(i))
		default:
			m.updateOutsider(int32(i))
		}
	}
}

// updateViewMember sets the status of a member of the view, or removes it from the view.
func (m *Members) updateViewMember(i int32) {
	peer := &m.members[i]
	suspicionEndsAt := max(peer.unreachableSince+m.config.SuspicionTimeout, peer.reachGraceUntil)
	switch {
	case peer.record.Left:
		m.leaveView(peer, Departed)
	case peer.reachable:
		if peer.flaps > 0 && m.unpausedTime-peer.lastFlapAt > flapDecayTime {
			peer.flaps = 0
		}
		m.setStatus(peer, Alive)
		m.settled[i] = peer.flaps == 0
	case m.isolated:
		peer.unreachableSince = m.unpausedTime // the suspicion timeout starts once this node has links again
		m.setStatus(peer, Suspect)
	case peer.record.Facts.DrainPhase > 0:
		m.leaveView(peer, Departed)
	case m.unpausedTime >= suspicionEndsAt:
		peer.flaps = min(peer.flaps+1, maxFlaps)
		peer.lastFlapAt = m.unpausedTime
		m.leaveView(peer, Lost)
	default:
		m.setStatus(peer, Suspect)
		m.nextViewAt = min(m.nextViewAt, suspicionEndsAt)
	}
}

// updateOutsider adds a reachable member to the view once its flap damping ends, and forgets a member that has been outside
// the view for the forget timeout.
func (m *Members) updateOutsider(i int32) {
	peer := &m.members[i]
	timeOutside := m.unpausedTime - peer.outOfViewSince
	switch {
	case peer.reachable && !peer.record.Left && m.unpausedTime >= m.flapDampedUntil(peer):
		m.enterView(peer)
	case peer.reachable && !peer.record.Left:
		m.nextViewAt = min(m.nextViewAt, m.flapDampedUntil(peer))
	case peer.inDigest && timeOutside > digestRetention:
		m.digest ^= peer.recordHash()
		peer.inDigest = false
	case timeOutside > m.config.ForgetTimeout:
		m.forgetMember(i)
	}
}

// flapDampedUntil returns the time from which a reachable member can return to the view. It damps members that come and go
// repeatedly: the first loss causes no delay, the second one of reconnectInterval, and each later one doubles it.
func (m *Members) flapDampedUntil(peer *member) int64 {
	if peer.flaps <= 1 {
		return 0
	}
	return peer.lastFlapAt + reconnectInterval<<(peer.flaps-2)
}

// setStatus sets the status of a member, and since when it has it.
func (m *Members) setStatus(peer *member, s Status) {
	if peer.status != s {
		peer.status, peer.statusSince = s, m.unpausedTime
	}
}

// enterView adds a member to the view.
func (m *Members) enterView(peer *member) {
	cause := Joined
	if peer.everInView {
		cause = Returned
	}
	peer.inView, peer.everInView = true, true
	m.viewSize++
	m.viewHash ^= peer.startHash()
	if !peer.inDigest {
		peer.inDigest = true
		m.digest ^= peer.recordHash()
	}
	peer.status, peer.statusSince = Alive, m.unpausedTime
	m.ringsDirty = true
	m.emitChange(cause, peer, peer.record.Incarnation, "", 0)
}

// leaveView removes a member from the view.
func (m *Members) leaveView(peer *member, cause Cause) {
	peer.inView, peer.outOfViewSince, peer.onRingsUntil = false, m.unpausedTime, 0
	m.viewSize--
	m.viewHash ^= peer.startHash()
	status := Dead
	if cause == Departed {
		status = Left
	}
	m.setStatus(peer, status)
	detectionDelay := int64(0)
	if peer.unreachableSince > 0 {
		// The link timeout passed before the last link to the member counted as down.
		detectionDelay = m.unpausedTime - peer.unreachableSince + m.config.LinkTimeout
	}
	reportedBy := peer.record.Name
	if cause == Lost {
		reportedBy = ""
		if i, known := m.byID[peer.lossReportedBy]; known {
			reportedBy = m.members[i].record.Name
		}
	}
	m.ringsDirty = true
	m.emitChange(cause, peer, peer.record.Incarnation, reportedBy, detectionDelay)
}

// emitChange reports a change of the view. ReportedBy and detectionDelay are fields of the Change.
func (m *Members) emitChange(cause Cause, peer *member, incarnation uint64, reportedBy string, detectionDelay int64) {
	m.viewNumber++
	m.Counters.ViewChanges++
	if invariant.Debug {
		m.Invariants.Check(m.viewHash == m.View().Hash, "the incremental hash equals the hash of the view")
	}
	m.emit(Effect{Kind: ViewChanged, Change: Change{Number: m.viewNumber, Cause: cause, Member: peer.record.Name, Incarnation: incarnation, ReportedBy: reportedBy,
		DetectionDelay: detectionDelay, Size: m.viewSize, Hash: m.viewHash}})
}
