package claims

// MayBeHeld reports whether another node may run an invocation of this node, now or later: the group may hold its claim, and no start of it
// is committed. Where it does not, the invocation never left this node, or the group has confirmed that no claim holds it. SettleInvocation
// finds out. What this client holds for its own may have another owner by now, so the phase alone never excludes that.
func (c *Client) MayBeHeld(key Key, invocationID string) bool {
	claim := c.claims[key]
	if claim == nil || claim.invocationID != invocationID {
		return false
	}
	switch claim.phase {
	case phaseStarted, phaseEnding: // the table reassigns no claim that is started
		return false
	case phaseFinalVerdict:
		return !claim.verdict.excludesClaim()
	}
	return true
}

// IsSettling reports whether the claim of a token is being released for SettleInvocation, with no other invocation waiting for that.
func (c *Client) IsSettling(key Key) bool {
	claim := c.claims[key]
	return claim != nil && claim.settling && claim.successor == nil
}

// settle releases the claim of an invocation that won't run here. The release goes out after the verdict on a claim in flight, which might
// else be granted after it.
func (c *Client) settle(input *Input, claim *trackedClaim) {
	if !c.MayBeHeld(input.Key, input.InvocationID) {
		c.emit(Action{Kind: InvocationSettled, Key: input.Key, InvocationID: input.InvocationID, Held: HeldByNobody})
		return
	}
	claim.settling = true
	claim.startRequested = false
	switch {
	case claim.phase == phaseReleasing || claim.phase == phaseAbandoned:
	case claim.pendingSeq != 0 && claim.pendingCommand() == CommandClaim:
		claim.phase = phaseAbandoned
	default:
		c.sendRelease(claim)
	}
}

func (c *Client) sendRelease(claim *trackedClaim) {
	claim.phase = phaseReleasing
	c.sendCommand(claim, CommandRelease)
}

// excludesClaim reports whether a verdict on a CommandClaim shows that the group holds no claim of the sender's invocation.
func (v *Verdict) excludesClaim() bool {
	return v.Answer == AnswerTableFull || v.Answer == AnswerBodyMismatch
}

// settleClaimVerdict goes on with the settlement of a claim whose verdict has come. A claim that is not this node's may still be that of the
// invocation, which the verdict on the release tells.
func (c *Client) settleClaimVerdict(claim *trackedClaim, verdict *Verdict) {
	if verdict.excludesClaim() {
		c.endRelease(claim, &Verdict{Answer: AnswerDone})
		return
	}
	claim.fence = verdict.Fence
	c.sendRelease(claim)
}

// handleReleaseVerdict ends a release. A claim that was granted again, by a copy of the command that came late, is released too.
func (c *Client) handleReleaseVerdict(claim *trackedClaim, verdict *Verdict) {
	if verdict.Answer == AnswerOwned && verdict.Owner == c.self && verdict.Fence != claim.fence {
		claim.fence = verdict.Fence
		c.sendRelease(claim)
		return
	}
	c.endRelease(claim, verdict)
}

// endRelease removes a claim that was released, reports what became of its invocation if the node asked for it, and claims the token for the
// next invocation.
func (c *Client) endRelease(claim *trackedClaim, verdict *Verdict) {
	c.remove(claim)
	if claim.settling {
		c.emit(settledAction(claim, verdict))
	}
	if claim.successor != nil {
		c.sendCommand(c.add(claim.successor), CommandClaim)
	}
}

// settledAction returns the report on an invocation whose claim was released with a verdict.
func settledAction(claim *trackedClaim, verdict *Verdict) Action {
	action := Action{Kind: InvocationSettled, Key: claim.key, InvocationID: claim.invocationID}
	switch verdict.Answer {
	case AnswerDone:
		action.Held = HeldByNobody
	case AnswerCompleted:
		action.Held = HeldCompleted
		action.Outcome = verdict.Outcome
		action.Result = verdict.Result
	default:
		action.Held = HeldElsewhere
	}
	return action
}
