package claims

const maxResolutions = 1_024 // reports on runs of earlier incarnations: as many as one may have had running

// requestClaim claims a token whose first invocation was read.
func (c *Client) requestClaim(input *Input, claim *trackedClaim) {
	switch {
	case claim == nil:
		claim = c.add(c.newClaim(input))
		c.Counters.Claimed++
		c.sendCommand(claim, CommandClaim)
	case claim.phase == phaseAbandoned:
		claim.phase = phaseClaiming
		claim.dueAt = c.now + input.Remaining
		claim.bodyHash = input.BodyHash
		claim.work = input.Work
		claim.invocationID = input.InvocationID
	case claim.phase == phaseReleasing: // nothing may start under a fence whose release is in flight
		claim.successor = c.newClaim(input)
	}
}

// requestStart starts the run of a claim as soon as that is committed.
func (c *Client) requestStart(input *Input, claim *trackedClaim) {
	if claim == nil {
		claim = c.add(c.newClaim(input))
		c.sendCommand(claim, CommandClaim)
	}
	if claim.phase == phaseReleasing && claim.successor != nil {
		claim.successor.startWanted = true
		return
	}
	if !claim.startWanted {
		claim.startWanted = true
		c.proceed(claim)
	}
}

// proceed takes the next step of a claim whose start is wanted.
func (c *Client) proceed(claim *trackedClaim) {
	if !claim.startWanted {
		return
	}
	switch claim.phase {
	case phaseGranted:
		claim.phase = phaseStarting
		c.sendCommand(claim, CommandStart)
	case phaseDecided:
		c.remove(claim)
		c.emit(c.decidedAction(claim))
	}
}

// decidedAction is what the group's verdict means for a claim that doesn't run here.
func (c *Client) decidedAction(claim *trackedClaim) Action {
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

// reportEnd has the end of a run committed.
func (c *Client) reportEnd(input *Input, claim *trackedClaim) {
	if claim == nil || claim.phase != phaseRunning {
		return
	}
	claim.phase = phaseEnding
	claim.outcome = input.Outcome
	claim.result = input.Result
	c.sendCommand(claim, CommandEnd)
}

// abandon ends a claim under which nothing ran. One whose command is in flight may yet be granted, and is released then.
func (c *Client) abandon(claim *trackedClaim) {
	if claim == nil {
		return
	}
	switch claim.phase {
	case phaseGranted, phaseStarting, phaseRunning:
		claim.phase = phaseReleasing
		c.sendCommand(claim, CommandRelease)
	case phaseReleasing:
		claim.successor = nil
	case phaseClaiming, phaseElsewhere, phaseDecided:
		if claim.pendingSeq == 0 {
			c.remove(claim)
			return
		}
		claim.phase = phaseAbandoned
		claim.startWanted = false
	}
}

// reportEarlierRun has the end of a run of an earlier incarnation committed.
func (c *Client) reportEarlierRun(input *Input) {
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
	c.resolveAt = c.now
}
