package claims

const maxResolutions = 1_024 // runs of earlier incarnations: as many as one incarnation may have running

// requestClaim claims the token of an invocation that the node received. If the claim is tracked already, the invocation joins it.
func (c *Client) requestClaim(input *Input, claim *trackedClaim) {
	switch {
	case claim == nil:
		claim = c.add(c.newClaim(input))
		c.Counters.Claimed++
		c.sendCommand(claim, CommandClaim)
	case claim.phase == phaseReleasing || claim.settling: // a release in flight may remove the claim, so nothing may start under its fence
		claim.successor = c.newClaim(input)
	case claim.phase == phaseAbandoned: // the CommandClaim in flight counts for this invocation; a retry carries its data
		claim.phase = phaseClaiming
		claim.dueAt = c.now + input.Remaining
		claim.bodyHash = input.BodyHash
		claim.work = input.Work
		claim.invocationID = input.InvocationID
	}
}

// requestStart starts the run of a claim once its grant and its start are committed.
func (c *Client) requestStart(input *Input, claim *trackedClaim) {
	if claim == nil {
		claim = c.add(c.newClaim(input))
		c.sendCommand(claim, CommandClaim)
	}
	if claim.successor != nil {
		claim.successor.startRequested = true
		return
	}
	if !claim.startRequested {
		claim.startRequested = true
		c.proceed(claim)
	}
}

// proceed advances a claim whose start was requested: it starts a granted claim, and reports a final verdict.
func (c *Client) proceed(claim *trackedClaim) {
	if !claim.startRequested {
		return
	}
	switch claim.phase {
	case phaseGranted:
		claim.phase = phaseStarting
		c.sendCommand(claim, CommandStart)
	case phaseFinalVerdict:
		c.remove(claim)
		c.emit(c.finalVerdictAction(claim))
	}
}

// finalVerdictAction returns the action for a verdict that excludes a run at this node.
func (c *Client) finalVerdictAction(claim *trackedClaim) Action {
	verdict := &claim.verdict
	switch verdict.Answer {
	case AnswerCompleted:
		c.Counters.ServedFromElsewhere++
		return Action{Kind: CompletedElsewhere, Key: claim.key, Outcome: verdict.Outcome, Result: verdict.Result}
	case AnswerOutcomeUnknown:
		c.Counters.Unknown++
		return Action{Kind: UnknownElsewhere, Key: claim.key}
	case AnswerBodyMismatch:
		return Action{Kind: BodyMismatch, Key: claim.key}
	}
	return Action{Kind: RejectClaim, Key: claim.key, Duration: verdict.RetryAfter}
}

// reportEnd sends the end of a run to be committed.
func (c *Client) reportEnd(input *Input, claim *trackedClaim) {
	if claim == nil || claim.phase != phaseStarted {
		return
	}
	claim.phase = phaseEnding
	claim.outcome = input.Outcome
	claim.result = input.Result
	c.sendCommand(claim, CommandEnd)
}

// abandon gives up a claim that the executor did not receive, also after a committed start. If a CommandClaim is in flight the group may still grant it, so the claim is
// tracked until the verdict comes, and released if granted.
func (c *Client) abandon(claim *trackedClaim) {
	if claim == nil {
		return
	}
	switch claim.phase {
	case phaseGranted, phaseStarting, phaseStarted:
		claim.phase = phaseReleasing
		c.sendCommand(claim, CommandRelease)
	case phaseReleasing, phaseAbandoned:
		claim.successor = nil
	case phaseClaiming, phaseOwnedElsewhere, phaseFinalVerdict:
		if claim.pendingSeq == 0 {
			c.remove(claim)
			return
		}
		claim.phase = phaseAbandoned
		claim.startRequested = false
	}
}

// queueResolution queues the report on a run of an earlier incarnation, and drops it if too many are queued.
func (c *Client) queueResolution(input *Input) {
	c.lastSeq++
	if len(c.resolutions) >= maxResolutions {
		return
	}
	c.resolutions = append(c.resolutions, Command{
		Kind:         CommandResolve,
		Sender:       c.self,
		Seq:          c.lastSeq,
		InvocationID: input.InvocationID,
		Outcome:      input.Outcome,
		Result:       input.Result,
	})
	c.nextResolutionAt = c.now
}
