package configsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	minReportInterval         = 100 * ms    // ns between reports, whatever is unconfirmed
	reportInterval            = 20_000 * ms // ns between reports without a change
	unconfirmedReportSpread   = 40 * ms     // ns over which a fleet's reports on one unconfirmed version are drawn
	appliedReportSpread       = 1_000 * ms  // ns over which reports are drawn that only say what is in force
	minAnswerTimeout          = 400 * ms    // ns that a replica's answer is waited for at first: twice a round trip between regions
	maxAnswerTimeout          = 4_000 * ms  // ns, once all replicas were asked: a region that was cut off learns of the end within that
	maxConfirmationsPerSecond = 2_000       // reports that a replica answers: thrice a fleet's share of one change
	stopRetryInterval         = 500 * ms    // ns until a stop is ordered again
)

// reportState is when this node reports to a replica.
type reportState struct {
	dueAt              int64
	sentAt             int64
	seq                uint32 // of the last report
	answerDeadline     int64  // of the last report, 0 while no answer is awaited
	attempts           int
	unconfirmedAnswers int    // answers in a row that did not confirm what peers announced
	deniedSeq          uint32 // the last report whose answer was counted against peers
}

func (s *reportState) deadline() int64 {
	if s.answerDeadline > 0 {
		return s.answerDeadline
	}
	return max(s.dueAt, s.sentAt+minReportInterval)
}

// hastenReport has a replica asked soon about an unconfirmed version.
func (r *Replicator) hastenReport(now int64) {
	if r.reports.answerDeadline == 0 {
		earliest := r.reports.sentAt + minReportInterval<<min(r.reports.unconfirmedAnswers/2, 4)
		r.reports.dueAt = min(r.reports.dueAt, max(now+r.randomUpTo(unconfirmedReportSpread), earliest))
		return
	}
	// Another replica is asked soon, however long this one is waited for.
	r.reports.answerDeadline = min(r.reports.answerDeadline, max(now, r.reports.sentAt+minAnswerTimeout))
}

// sendReport reports to a replica where that is due.
func (r *Replicator) sendReport(now int64, effects []Effect) []Effect {
	if r.reports.answerDeadline > 0 && now >= r.reports.answerDeadline {
		r.reports.answerDeadline = 0
		r.reports.attempts++
		r.reports.dueAt = now + r.randomUpTo(r.answerTimeout()/4)
	}
	if r.reports.answerDeadline > 0 || now < r.reports.dueAt || now < r.reports.sentAt+minReportInterval {
		return effects
	}
	replica := r.reportTarget(r.reports.attempts)
	if replica == "" || r.agreed != nil && !r.hasUnconfirmed(now) { // a replica's own node knows
		r.reports.dueAt = now + r.jitter(reportInterval)
		return effects
	}
	r.reports.seq++
	m := &Message{Kind: MessageReport, Seq: r.reports.seq, Has: r.applied, Refused: r.refused, Why: r.refusedReason, Age: now - r.appliedAt}
	r.reports.sentAt = now
	r.reports.answerDeadline = now + r.answerTimeout()
	r.countSent(m)
	return append(effects, Effect{Kind: Send, To: replica, Message: m})
}

// answerTimeout is how long a replica's answer is waited for: longer once all were asked.
func (r *Replicator) answerTimeout() int64 {
	rounds := r.reports.attempts / max(1, len(r.view.Replicas))
	return min(minAnswerTimeout<<min(rounds, 5), maxAnswerTimeout)
}

// reportTarget is the replica to ask at an attempt, empty where none is known: each node has its own order of them.
func (r *Replicator) reportTarget(attempt int) string {
	if len(r.view.Replicas) == 0 {
		return ""
	}
	replicas := slices.Clone(r.view.Replicas)
	slices.SortFunc(replicas, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(r.config.Name+"\x00"+a), xxhash.Sum64String(r.config.Name+"\x00"+b))
	})
	return replicas[attempt%len(replicas)]
}

// handleReport notes a node's report at a replica, and confirms the head.
func (r *Replicator) handleReport(now int64, from string, m *Message, effects []Effect) []Effect {
	if r.agreed == nil {
		return effects
	}
	if now >= r.confirmationsSince+second {
		r.confirmations = 0
		r.confirmationsSince = now
	}
	r.confirmations++
	if r.confirmations > maxConfirmationsPerSecond {
		r.Counters.Dropped++
		return effects
	}
	r.Statuses.Report(now, from, m.Has, m.Refused, m.Why, m.Age)
	answer := &Message{Kind: MessageConfirm, Seq: m.Seq, Head: r.agreed.Head, Current: r.groupCurrent}
	r.countSent(answer)
	return append(effects, Effect{Kind: Send, To: from, Message: answer})
}

// handleConfirmation takes a replica's answer to a report.
func (r *Replicator) handleConfirmation(now int64, m *Message, effects []Effect) []Effect {
	effects = r.confirmAnswer(now, m, effects)
	if m.Seq != r.reports.seq {
		return effects // late, and true all the same
	}
	if !r.hasUnconfirmed(now) {
		r.handleAgreement(now)
		return effects
	}
	r.reports.attempts++ // this replica lags, or what a peer announced is invalid: another replica is asked
	if m.Current {
		r.countDenials(now)
	}
	r.reports.dueAt = now + r.jitter(min(minAnswerTimeout<<min(r.reports.unconfirmedAnswers/maxDenials, 5), maxAnswerTimeout))
	r.reports.unconfirmedAnswers++
	return effects
}

// confirmAnswer confirms the head of an answer, and ends the wait for it.
func (r *Replicator) confirmAnswer(now int64, m *Message, effects []Effect) []Effect {
	if m.Seq == r.reports.seq && r.reports.answerDeadline > 0 {
		r.reports.answerDeadline = 0
		r.reports.dueAt = now + r.jitter(reportInterval)
	}
	return r.confirm(now, m.Head, effects)
}

// handleAgreement ends the attempts, but for a refused version that goes on: the replica that knows of the refusal may be lost before it
// had the stop ordered, so another one gets the refusal too.
func (r *Replicator) handleAgreement(now int64) {
	r.reports.attempts = 0
	r.reports.unconfirmedAnswers = 0
	if r.refused.Version > 0 && r.refused == r.head.Canary && !r.head.Stopped && r.head.Canary != r.head.All {
		r.reports.attempts = 1 + int(r.reports.seq)%max(1, len(r.view.Replicas))
		r.reports.dueAt = now + r.jitter(minAnswerTimeout)
	}
}

// confirm takes a head that a replica confirms. Versions never go back, and one version has one digest.
func (r *Replicator) confirm(now int64, head HeadRevision, effects []Effect) []Effect {
	r.confirmedAt = now
	before, after, conflict := conflictOf(&r.head, &head)
	if conflict {
		if r.conflicting == after {
			return effects
		}
		r.conflicting = after
		return append(effects, warning("seats vouch for two contents of version %d, %s and %s: they forgot; this node keeps what it has",
			after.Version, before.Digest, after.Digest))
	}
	if !head.newer(&r.head) {
		return effects
	}
	if head.announced() != r.head.announced() {
		r.changes++
		r.reports.unconfirmedAnswers = 0
	}
	r.head = head
	r.rememberConfirmed(head.All)
	r.rememberConfirmed(head.Canary)
	r.confirmed = r.confirmed[max(0, len(r.confirmed)-maxConfirmedRevisions):]
	for _, p := range r.peers {
		if p.backoffUntil <= now && r.contradictsConfirmed(p.unconfirmed.All, p.unconfirmed.Canary, p.head.All, p.head.Canary, p.ready) {
			r.penalize(now, p)
		}
	}
	return effects
}

// conflictOf returns two revisions of one version with different digests, where two heads have such.
func conflictOf(a, b *HeadRevision) (before, after Revision, conflict bool) {
	for _, after := range [...]Revision{b.All, b.Canary} {
		for _, before := range [...]Revision{a.All, a.Canary} {
			if after.Version == before.Version && after.Digest != before.Digest {
				return before, after, true
			}
		}
	}
	return Revision{}, Revision{}, false
}

func (r *Replicator) rememberConfirmed(revision Revision) {
	last := len(r.confirmed) - 1
	if last < 0 || r.confirmed[last].Version < revision.Version {
		r.confirmed = append(r.confirmed, revision)
	}
}

// recordOwnStatus notes this node's own status at a replica.
func (r *Replicator) recordOwnStatus(now int64) {
	if r.agreed != nil {
		r.Statuses.Report(now, r.config.Name, r.applied, r.refused, r.refusedReason, now-r.appliedAt)
	}
}

// orderStop has the version at the canary stage stopped that some node refused, at a replica.
func (r *Replicator) orderStop(now int64, effects []Effect) []Effect {
	who, why, refused := r.canaryRefusal()
	if !refused || now < r.stopOrderedAt+stopRetryInterval {
		return effects
	}
	r.stopOrderedAt = now
	return append(effects, Effect{Kind: ProposeCommand, Command: &Command{Kind: CommandStop, Version: r.head.Canary.Version, Node: who, Reason: why}})
}

func (r *Replicator) stopDeadline() int64 {
	if _, _, refused := r.canaryRefusal(); refused {
		return r.stopOrderedAt + stopRetryInterval
	}
	return never
}

// canaryRefusal is a node that refused the version at the canary stage, where that is not stopped yet.
func (r *Replicator) canaryRefusal() (who, why string, refused bool) {
	if r.agreed == nil || r.head.Stopped || r.head.Canary.Version <= r.head.All.Version {
		return "", "", false
	}
	return r.Statuses.refusal(r.head.Canary)
}
