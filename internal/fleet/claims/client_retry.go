package claims

const (
	firstRetryBackoff  = 250 * ms   // ns to the first retry of a command: the member that got it may be lost
	maxRetryBackoff    = 1_000 * ms // ns; longest time between retries
	recheckInterval    = 500 * ms   // ns between claims of a token that another node owns: the notification of its end may be lost
	unreachableTimeout = 700 * ms   // ns without an answer after which the group counts as unreachable: at least the shortest election
	idleProbeInterval  = 2_000 * ms // ns after the last answer when an idle client probes the group
	probeInterval      = 200 * ms   // ns between probes of an unreachable group
	scanInterval       = 20 * ms    // ns; shortest time between scans of all claims
)

// sendCommand sends a new command of a claim. It replaces the claim's command in flight, if any.
func (c *Client) sendCommand(claim *trackedClaim, kind CommandKind) {
	delete(c.bySeq, claim.pendingSeq)
	c.lastSeq++
	claim.pendingSeq = c.lastSeq
	claim.firstSentAt = c.now
	claim.backoff = firstRetryBackoff
	c.bySeq[claim.pendingSeq] = claim
	c.nextScanAt = min(c.nextScanAt, c.now+firstRetryBackoff)
	c.resend(claim, kind)
}

// resend sends the claim's command in flight, for the first time or as a retry, with the time that is left now.
func (c *Client) resend(claim *trackedClaim, kind CommandKind) {
	claim.lastSentAt = c.now
	command := Command{Kind: kind, Sender: c.self, Seq: claim.pendingSeq, Key: claim.key, Fence: claim.fence}
	switch kind {
	case CommandClaim:
		command.Fence = 0
		command.BodyHash = claim.bodyHash
		command.Duration = max(0, claim.dueAt-c.now)
		command.Retention = claim.retention
		command.Work = claim.work
		command.InvocationID = claim.invocationID
	case CommandRelease: // an assigned claim is released only if the node cannot run it
		command.Returned = claim.assigned
		command.InvocationID = claim.invocationID
	case CommandEnd:
		command.Outcome = claim.outcome
		command.Result = claim.result
	}
	c.commands = append(c.commands, command)
}

// runTimers sends the retries, rechecks and probes that are due, and returns when the next one is due.
func (c *Client) runTimers() (wake int64) {
	if c.now >= c.nextScanAt && c.now >= c.lastScanAt+scanInterval {
		c.scan()
	}
	wake = max(c.nextScanAt, c.lastScanAt+scanInterval)
	wake = min(wake, c.resendResolutions())
	wake = min(wake, c.probe())
	return max(wake, c.now+1)
}

// resendResolutions sends all reports on earlier incarnations if they are due, and returns when they are due next.
func (c *Client) resendResolutions() (wake int64) {
	if len(c.resolutions) == 0 {
		return never
	}
	if c.now >= c.nextResolutionAt {
		c.nextResolutionAt = c.now + maxRetryBackoff
		c.Counters.ResolutionsSent += len(c.resolutions)
		c.commands = append(c.commands, c.resolutions...)
	}
	return c.nextResolutionAt
}

// probe sends a CommandNoop if the group has not answered for long, and returns when to call it again. If a probe of a connected client
// was not answered either, the group is unreachable.
func (c *Client) probe() (wake int64) {
	probeAt := c.nextProbeTime()
	if c.now < probeAt {
		return probeAt
	}
	if c.connected && c.probeSeq != 0 {
		c.disconnect()
	}
	c.lastSeq++
	c.lastProbeAt = c.now
	c.probeSeq = c.lastSeq
	c.commands = append(c.commands, Command{Kind: CommandNoop, Sender: c.self, Seq: c.lastSeq})
	return c.now + probeInterval
}

func (c *Client) nextProbeTime() int64 {
	switch {
	case !c.connected:
		return c.lastProbeAt + probeInterval
	case c.probeSeq != 0:
		return c.lastProbeAt + unreachableTimeout
	}
	return max(c.lastAnswerAt, c.lastProbeAt) + idleProbeInterval
}

// scan retries and rechecks the claims that are due, drops removed ones, and detects an unreachable group.
func (c *Client) scan() {
	c.lastScanAt = c.now
	c.nextScanAt = never
	oldestSentAt := int64(never) // when the oldest command in flight was first sent
	remaining := c.order[:0]
	for _, claim := range c.order {
		if claim.removed {
			continue
		}
		remaining = append(remaining, claim)
		if claim.pendingSeq != 0 {
			oldestSentAt = min(oldestSentAt, claim.firstSentAt)
		}
		c.scanClaim(claim)
	}
	clear(c.order[len(remaining):])
	c.order = remaining
	if oldestSentAt == never || !c.connected {
		return
	}
	unreachableAt := max(oldestSentAt, c.lastAnswerAt) + unreachableTimeout
	if c.now >= unreachableAt {
		c.disconnect()
		return
	}
	c.nextScanAt = min(c.nextScanAt, unreachableAt)
}

// scanClaim retries or rechecks one claim if it is due, and brings the next scan forward to when it is due next.
func (c *Client) scanClaim(claim *trackedClaim) {
	switch {
	case claim.pendingSeq != 0:
		if c.now >= claim.lastSentAt+claim.backoff {
			claim.backoff = min(2*claim.backoff, maxRetryBackoff)
			c.resend(claim, claim.pendingCommand())
		}
		c.nextScanAt = min(c.nextScanAt, claim.lastSentAt+claim.backoff)
	case claim.phase != phaseOwnedElsewhere:
	case c.now >= claim.recheckAt:
		c.sendCommand(claim, CommandClaim)
	default:
		c.nextScanAt = min(c.nextScanAt, claim.recheckAt)
	}
}

// disconnect records that the group is unreachable. It rejects claims whose first CommandClaim is unanswered and whose start was
// requested. The others stay until they are abandoned, since the group may answer again after an election of a second or two.
func (c *Client) disconnect() {
	c.connected = false
	c.Counters.Unreachable++
	for _, claim := range c.order {
		if !claim.removed && claim.phase == phaseClaiming && claim.startRequested {
			claim.phase = phaseAbandoned
			claim.startRequested = false
			c.emit(Action{Kind: RejectClaim, Key: claim.key, Duration: unreachableTimeout})
		}
	}
}
