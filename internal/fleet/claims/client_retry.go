package claims

const (
	firstRetryBackoff  = 250 * ms   // ns to the first retry of a command: a member of the group may be lost
	maxRetryBackoff    = 1_000 * ms // ns
	recheckInterval    = 500 * ms   // ns between claims of a token that is elsewhere: the notification of its end may be lost
	unreachableTimeout = 700 * ms   // ns without an answer, past which the group is unreachable: an election takes as long
	idleProbeInterval  = 2_000 * ms // ns without an answer after which an idle client probes the group
	probeInterval      = 200 * ms   // ns between probes of an unreachable group
	scanInterval       = 20 * ms    // ns between scans of all claims
)

// sendCommand sends the one command of a claim that is in flight from now on.
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

// resend sends the command in flight, for the first time or again, with what is left of its time.
func (c *Client) resend(claim *trackedClaim, kind CommandKind) {
	claim.lastSentAt = c.now
	command := Command{Kind: kind, Sender: c.self, Seq: claim.pendingSeq, Key: claim.key, Fence: claim.fence}
	switch kind {
	case CommandClaim:
		command.Fence = 0
		command.BodyHash = claim.bodyHash
		command.Duration = max(0, claim.dueAt-c.now)
		command.Window = claim.window
		command.Work = claim.work
		command.InvocationID = claim.invocationID
	case CommandRelease:
		command.Returned = claim.assigned
	case CommandEnd:
		command.Outcome = claim.outcome
		command.Result = claim.result
	}
	c.commands = append(c.commands, command)
}

// runTimers sends what is due for a retry, a recheck or a probe, and returns when that is the case next.
func (c *Client) runTimers() (wake int64) {
	if c.now >= c.nextScanAt && c.now >= c.lastScanAt+scanInterval {
		c.scan()
	}
	wake = max(c.nextScanAt, c.lastScanAt+scanInterval)
	wake = min(wake, c.resendResolutions())
	wake = min(wake, c.probe())
	return max(wake, c.now+1)
}

// resendResolutions sends the reports on earlier incarnations that are due, and returns when they are due next.
func (c *Client) resendResolutions() (wake int64) {
	if len(c.resolutions) == 0 {
		return never
	}
	if c.now >= c.resolveAt {
		c.resolveAt = c.now + maxRetryBackoff
		c.Counters.Resolved += len(c.resolutions)
		c.commands = append(c.commands, c.resolutions...)
	}
	return c.resolveAt
}

// probe asks the group for an answer after a silence, and returns when that is due next.
func (c *Client) probe() (wake int64) {
	probeAt := c.nextProbeAt()
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

func (c *Client) nextProbeAt() int64 {
	switch {
	case !c.connected:
		return c.lastProbeAt + probeInterval
	case c.probeSeq != 0:
		return c.lastProbeAt + unreachableTimeout
	}
	return max(c.lastAnswerAt, c.lastProbeAt) + idleProbeInterval
}

// scan retries and rechecks claims in the order of their arrival, and finds out whether the group is still reachable.
func (c *Client) scan() {
	c.lastScanAt = c.now
	c.nextScanAt = never
	oldest := int64(never) // when the oldest command in flight was first sent
	remaining := c.order[:0]
	for _, claim := range c.order {
		if claim.removed {
			continue
		}
		remaining = append(remaining, claim)
		if claim.pendingSeq != 0 {
			oldest = min(oldest, claim.firstSentAt)
		}
		c.scanClaim(claim)
	}
	clear(c.order[len(remaining):])
	c.order = remaining
	if oldest == never || !c.connected {
		return
	}
	silentAt := max(oldest, c.lastAnswerAt) + unreachableTimeout
	if c.now >= silentAt {
		c.disconnect()
		return
	}
	c.nextScanAt = min(c.nextScanAt, silentAt)
}

func (c *Client) scanClaim(claim *trackedClaim) {
	switch {
	case claim.pendingSeq != 0:
		if c.now >= claim.lastSentAt+claim.backoff {
			claim.backoff = min(2*claim.backoff, maxRetryBackoff)
			c.resend(claim, claim.pendingCommand())
		}
		c.nextScanAt = min(c.nextScanAt, claim.lastSentAt+claim.backoff)
	case claim.phase != phaseElsewhere:
	case c.now >= claim.recheckAt:
		c.sendCommand(claim, CommandClaim)
	default:
		c.nextScanAt = min(c.nextScanAt, claim.recheckAt)
	}
}

// disconnect records that the group is unreachable. Claims that are not granted and are to start now are rejected at once; granted
// ones wait for their due time, since an election takes a second or two.
func (c *Client) disconnect() {
	c.connected = false
	c.Counters.Unreachable++
	for _, claim := range c.order {
		if !claim.removed && claim.phase == phaseClaiming && claim.startWanted {
			claim.phase = phaseAbandoned
			claim.startWanted = false
			c.emit(Action{Kind: RejectClaim, Key: claim.key, Duration: unreachableTimeout})
		}
	}
}
