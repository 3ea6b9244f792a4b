package configsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	minReportInterval         = 100 * ms    // ns between reports at the least, even while a version is unconfirmed
	reportInterval            = 20_000 * ms // ns between reports without a change
	unconfirmedReportSpread   = 40 * ms     // ns over which the nodes' reports on one unconfirmed version are spread at random
	appliedReportSpread       = 1_000 * ms  // ns over which reports that only state the applied version are spread at random
	minAnswerTimeout          = 400 * ms    // ns of the first wait for a replica's answer: two round trips between regions
	maxAnswerTimeout          = 4_000 * ms  // ns of the wait after several rounds over all replicas: bounds how late a node notices that a partition has healed
	maxConfirmationsPerSecond = 2_000       // reports that a replica answers: three times its share of a fleet's reports on one change
	stopRetryInterval         = 500 * ms    // ns before an unanswered stop command is proposed again
)

// reportState schedules this node's reports to the replicas.
type reportState struct {
	dueAt              int64
	sentAt             int64
	seq                uint32 // of the last report
	answerDeadline     int64  // for the answer to the last report, 0 while no answer is awaited
	attempts           int
	unconfirmedAnswers int    // consecutive answers that did not confirm the versions announced by peers
	deniedSeq          uint32 // the last report whose answer was counted against peers
}

func (s *reportState) deadline() int64 {
	if s.answerDeadline > 0 {
		return s.answerDeadline
	}
	return max(s.dueAt, s.sentAt+minReportInterval)
}

// hastenReport schedules an early report, to have a replica confirm an announced version.
func (r *Replicator) hastenReport(now int64) {
	if r.reports.answerDeadline == 0 {
		earliest := r.reports.sentAt + minReportInterval<<min(r.reports.unconfirmedAnswers/2, 4)
		r.reports.dueAt = min(r.reports.dueAt, max(now+r.randomUpTo(unconfirmedReportSpread), earliest))
		return
	}
	// Shorten the wait, so that another replica is asked soon.
	r.reports.answerDeadline = min(r.reports.answerDeadline, max(now, r.reports.sentAt+minAnswerTimeout))
}

// sendReport sends a report to a replica if one is due.
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
	if replica == "" || r.agreed != nil && !r.hasUnconfirmed(now) { // a node with a replica knows the head already
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

// answerTimeout returns the wait for a replica's answer, doubled with each round over all replicas.
func (r *Replicator) answerTimeout() int64 {
	rounds := r.reports.attempts / max(1, len(r.view.Replicas))
	return min(minAnswerTimeout<<min(rounds, 5), maxAnswerTimeout)
}

// reportTarget returns the replica to ask at an attempt, empty if none is known. Each node has its own order of replicas, so that they
// share the load.
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

// handleReport stores a node's report on a replica, and answers with the head.
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

// handleConfirmation handles a replica's answer to a report.
func (r *Replicator) handleConfirmation(now int64, m *Message, effects []Effect) []Effect {
	effects = r.confirmAnswer(now, m, effects)
	if m.Seq != r.reports.seq {
		return effects // a late answer: its head is valid, but it does not end the current attempt
	}
	if !r.hasUnconfirmed(now) {
		r.endReportAttempts(now)
		return effects
	}
	r.reports.attempts++ // this replica lags, or a peer's announcement is invalid: ask another replica
	if m.Current {
		r.countDenials(now)
	}
	r.reports.dueAt = now + r.jitter(min(minAnswerTimeout<<min(r.reports.unconfirmedAnswers/maxDenials, 5), maxAnswerTimeout))
	r.reports.unconfirmedAnswers++
	return effects
}

// confirmAnswer confirms the head in an answer, and ends the wait if the answer is to the last report.
func (r *Replicator) confirmAnswer(now int64, m *Message, effects []Effect) []Effect {
	if m.Seq == r.reports.seq && r.reports.answerDeadline > 0 {
		r.reports.answerDeadline = 0
		r.reports.dueAt = now + r.jitter(reportInterval)
	}
	return r.confirm(now, m.Head, effects)
}

// endReportAttempts resets the attempts after the replicas confirmed all that peers announced. While the canary version that this node
// refused isn't stopped, it reports to a further replica: one that got the refusal may fail before it proposes the stop.
func (r *Replicator) endReportAttempts(now int64) {
	r.reports.attempts = 0
	r.reports.unconfirmedAnswers = 0
	if r.refused.Version > 0 && r.refused == r.head.Canary && !r.head.Stopped && r.head.Canary != r.head.All {
		r.reports.attempts = 1 + int(r.reports.seq)%max(1, len(r.view.Replicas))
		r.reports.dueAt = now + r.jitter(minAnswerTimeout)
	}
}

// confirm adopts a head that a replica confirmed, if it is newer. A head that has another digest for a known version is logged and ignored.
func (r *Replicator) confirm(now int64, head RolloutState, effects []Effect) []Effect {
	r.confirmedAt = now
	before, after, conflict := conflictOf(&r.head, &head)
	if conflict {
		if r.conflicting == after {
			return effects
		}
		r.conflicting = after
		return append(effects, warning("configuration: replicas confirmed two contents of version %d, %s and then %s: their state was lost; this node ignores the second",
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

// conflictOf returns two revisions of the same version with different digests, one from each head, if there are any.
func conflictOf(a, b *RolloutState) (before, after Revision, conflict bool) {
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

// recordOwnStatus stores this node's own status, on a node with a replica.
func (r *Replicator) recordOwnStatus(now int64) {
	if r.agreed != nil {
		r.Statuses.Report(now, r.config.Name, r.applied, r.refused, r.refusedReason, now-r.appliedAt)
	}
}

// proposeStop proposes, on a replica, to stop the version at the canary stage if a node refused it.
func (r *Replicator) proposeStop(now int64, effects []Effect) []Effect {
	node, reason, refused := r.canaryRefusal()
	if !refused || now < r.stopProposedAt+stopRetryInterval {
		return effects
	}
	r.stopProposedAt = now
	return append(effects, Effect{Kind: ProposeCommand, Command: &Command{Kind: CommandStop, Version: r.head.Canary.Version, StoppedBy: node, StopReason: reason}})
}

func (r *Replicator) stopDeadline() int64 {
	if _, _, refused := r.canaryRefusal(); refused {
		return r.stopProposedAt + stopRetryInterval
	}
	return never
}

// canaryRefusal returns a node that refused the version at the canary stage, unless the version is stopped already.
func (r *Replicator) canaryRefusal() (node, reason string, refused bool) {
	if r.agreed == nil || r.head.Stopped || r.head.Canary.Version <= r.head.All.Version {
		return "", "", false
	}
	return r.Statuses.refusal(r.head.Canary)
}
