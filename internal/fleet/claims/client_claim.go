package claims

// phase is the state of a claim at its client. Client.NotRunning depends on the order of the phases.
type phase uint8

const (
	phaseClaiming       phase = iota // CommandClaim is in flight
	phaseGranted                     // this node owns the claim and has not started it
	phaseOwnedElsewhere              // another owner has the claim, or had it; it is claimed again from time to time
	phaseFinalVerdict                // the claim is not granted; the verdict is reported when RequestStart comes
	phaseStarting                    // CommandStart is in flight
	phaseStarted                     // the start is committed
	phaseEnding                      // CommandEnd is in flight
	phaseReleasing                   // CommandRelease is in flight
	phaseAbandoned                   // CommandClaim is in flight, and the claim is released if it is granted
)

// trackedClaim is the client's record of a claim.
type trackedClaim struct {
	key            Key
	phase          phase
	startRequested bool // RequestStart came: proceed as soon as the phase allows
	bodyHash       uint64
	dueAt          int64
	retention      int64
	work           []byte
	invocationID   string
	fence          uint64
	verdict        Verdict // in phaseFinalVerdict: the verdict to report
	outcome        uint8
	result         []byte

	pendingSeq  uint64 // sequence number of the command in flight, 0 for none
	lastSentAt  int64
	firstSentAt int64
	backoff     int64         // from lastSentAt to the next retry
	recheckAt   int64         // in phaseOwnedElsewhere: when to claim again
	successor   *trackedClaim // while the claim is being released: the claim of a new invocation of the token, sent after the release
	settling    bool          // SettleInvocation came: report what the group says of the release
	assigned    bool          // reassigned from a lost owner while no caller of this node waited for it
	removed     bool          // no longer in Client.claims; the next scan drops it from Client.order
}

func (c *Client) newClaim(input *Input) *trackedClaim {
	return &trackedClaim{
		key:          input.Key,
		bodyHash:     input.BodyHash,
		dueAt:        c.now + input.Remaining,
		retention:    input.Retention,
		work:         input.Work,
		invocationID: input.InvocationID,
	}
}

// pendingCommand returns the kind of the command in flight.
func (claim *trackedClaim) pendingCommand() CommandKind {
	switch claim.phase {
	case phaseStarting:
		return CommandStart
	case phaseEnding:
		return CommandEnd
	case phaseReleasing:
		return CommandRelease
	}
	return CommandClaim
}
