package claims

// phase is how far a claim has come at its client.
type phase uint8

const (
	phaseClaiming  phase = iota // Claim is in flight
	phaseGranted                // this node may start it
	phaseElsewhere              // another node has it
	phaseDecided                // the group's verdict waits for RequestStart
	phaseStarting               // Start is in flight
	phaseRunning
	phaseEnding    // End is in flight
	phaseReleasing // Release is in flight
	phaseAbandoned // Claim is in flight, and what it grants is to be released
)

// trackedClaim is a claim that is not over at this node.
type trackedClaim struct {
	key          Key
	phase        phase
	startWanted  bool // RequestStart came
	bodyHash     uint64
	dueAt        int64
	window       int64
	work         []byte
	invocationID string
	fence        uint64
	verdict      Verdict // in phaseDecided
	outcome      uint8
	result       []byte

	pendingSeq  uint64 // of the command in flight, 0 for none
	lastSentAt  int64
	firstSentAt int64
	backoff     int64
	recheckAt   int64         // in phaseElsewhere: when to claim again
	successor   *trackedClaim // in phaseReleasing: the token came again meanwhile
	assigned    bool          // it was a lost node's, and nobody here waits for it
	removed     bool
}

func (c *Client) newClaim(input *Input) *trackedClaim {
	return &trackedClaim{
		key:          input.Key,
		bodyHash:     input.BodyHash,
		dueAt:        c.now + input.Remaining,
		window:       input.Window,
		work:         input.Work,
		invocationID: input.InvocationID,
	}
}

// pendingCommand is the kind of the command in flight.
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
