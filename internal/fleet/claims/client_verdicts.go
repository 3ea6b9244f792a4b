package claims

import "slices"

// handleVerdict handles the group's answer to a command.
func (c *Client) handleVerdict(verdict *Verdict) {
	c.lastAnswerAt = c.now
	c.connected = true
	c.probeSeq = 0
	if c.removeResolution(verdict.Seq) {
		return
	}
	claim := c.bySeq[verdict.Seq]
	if claim == nil || verdict.Seq == 0 {
		return
	}
	delete(c.bySeq, verdict.Seq)
	claim.pendingSeq = 0
	switch claim.phase {
	case phaseClaiming, phaseOwnedElsewhere:
		c.handleClaimVerdict(claim, verdict)
	case phaseStarting:
		c.handleStartVerdict(claim, verdict)
	case phaseEnding:
		c.remove(claim)
		c.emit(Action{Kind: EndRecorded, Key: claim.key})
	case phaseReleasing:
		c.handleReleaseVerdict(claim, verdict)
	case phaseAbandoned:
		c.handleAbandonedVerdict(claim, verdict)
	}
}

// removeResolution removes the report on an earlier incarnation that has the sequence number, and reports whether there was one.
func (c *Client) removeResolution(seq uint64) bool {
	before := len(c.resolutions)
	if before == 0 {
		return false
	}
	c.resolutions = slices.DeleteFunc(c.resolutions, func(command Command) bool { return command.Seq == seq })
	return len(c.resolutions) < before
}

func (c *Client) handleClaimVerdict(claim *trackedClaim, verdict *Verdict) {
	switch {
	case verdict.Answer == AnswerGranted:
		claim.phase = phaseGranted
		claim.fence = verdict.Fence
		c.proceed(claim)
	case verdict.Answer == AnswerOwned && verdict.Owner == c.self:
		// A start of this incarnation was committed that the client no longer tracks: it was abandoned, and the tracked
		// claim is a newer one. Nothing ran under the old fence, or the old claim would still be tracked.
		c.Counters.UntrackedReleased++
		c.commands = append(c.commands, Command{Kind: CommandRelease, Sender: c.self, Key: claim.key, Fence: verdict.Fence})
		c.sendCommand(claim, CommandClaim)
	case verdict.Answer == AnswerOwned:
		if claim.phase != phaseOwnedElsewhere {
			c.Counters.Joined++
		}
		claim.phase = phaseOwnedElsewhere
		claim.recheckAt = c.now + recheckInterval
		c.nextScanAt = min(c.nextScanAt, claim.recheckAt)
	default:
		claim.phase = phaseFinalVerdict
		claim.verdict = *verdict
		c.proceed(claim)
	}
}

func (c *Client) handleStartVerdict(claim *trackedClaim, verdict *Verdict) {
	if verdict.Answer == AnswerGranted {
		claim.phase = phaseStarted
		c.emit(Action{Kind: StartRun, Key: claim.key})
		return
	}
	c.Counters.Fenced++
	if claim.assigned { // its caller is at another node, which may have been told that it never runs
		c.remove(claim)
		c.emit(Action{Kind: TakeOverRevoked, Key: claim.key, InvocationID: claim.invocationID})
		return
	}
	claim.phase = phaseOwnedElsewhere
	claim.fence = 0
	c.sendCommand(claim, CommandClaim) // the verdict on this command will name the owner, if there is one
}

// handleAbandonedVerdict releases an abandoned claim that was granted after all.
func (c *Client) handleAbandonedVerdict(claim *trackedClaim, verdict *Verdict) {
	if claim.settling {
		c.settleClaimVerdict(claim, verdict)
		return
	}
	if verdict.Answer != AnswerGranted {
		c.remove(claim)
		return
	}
	claim.phase = phaseReleasing
	claim.fence = verdict.Fence
	c.sendCommand(claim, CommandRelease)
}

// handleEndNotification claims the token again, to learn the outcome of another owner's claim or to become the owner.
func (c *Client) handleEndNotification(claim *trackedClaim) {
	if claim != nil && claim.phase == phaseOwnedElsewhere && claim.pendingSeq == 0 {
		c.sendCommand(claim, CommandClaim)
	}
}

// handleAssignment takes over the claim of a lost owner. The group repeats the notification, possibly after this node's run has
// ended; the group then refuses the start of a claim that is tracked anew.
func (c *Client) handleAssignment(input *Input, claim *trackedClaim) {
	if claim == nil {
		c.Counters.Assigned++
		claim = c.add(c.newClaim(input))
		claim.phase = phaseGranted
		claim.assigned = true
		claim.fence = input.Fence
		c.emit(Action{Kind: TakeOver, Key: input.Key, BodyHash: input.BodyHash, Duration: input.Remaining, Work: input.Work})
		return
	}
	switch {
	case claim.phase == phaseClaiming || claim.phase == phaseOwnedElsewhere:
		c.Counters.Assigned++
	case claim.phase == phaseGranted && claim.fence < input.Fence:
	default:
		return
	}
	delete(c.bySeq, claim.pendingSeq)
	claim.pendingSeq = 0
	claim.phase = phaseGranted
	claim.fence = input.Fence
	c.proceed(claim)
}
