package claims

var (
	nodeA = Owner{"a", 1}
	nodeB = Owner{"b", 1}
)

func testKey(token string) Key { return Key{Operation: "hold", Token: token} }

func claimCommand(sender Owner, token string) *Command {
	return &Command{
		Kind:         CommandClaim,
		Sender:       sender,
		Key:          testKey(token),
		BodyHash:     7,
		Duration:     5_000 * ms,
		Retention:    60_000 * ms,
		Work:         []byte("work"),
		InvocationID: "c-" + token,
	}
}

// startedTable returns a table in which node a has started token t, and the fence of that claim.
func startedTable() (*Table, uint64) {
	table := NewTable()
	fence := table.Apply(claimCommand(nodeA, "t")).Fence
	table.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: testKey("t"), Fence: fence})
	return table, fence
}

func advanceTime(table *Table, duration int64) {
	for ; duration > 0; duration -= MaxTimeStep {
		table.Apply(&Command{Kind: CommandAdvanceTime, MeasuredFrom: table.Time(), Duration: min(duration, MaxTimeStep)})
	}
}

// connectedClient returns a client whose group answered its first probe.
func connectedClient() *Client {
	const now = 1
	client := NewClient(nodeA)
	client.Step(now, nil)
	client.Step(now, []Input{{Kind: VerdictReceived, Verdict: Verdict{Seq: client.probeSeq}}})
	return client
}

// sentCommands returns the commands that the actions send.
func sentCommands(actions []Action) (commands []Command) {
	for _, action := range actions {
		commands = append(commands, action.Commands...)
	}
	return commands
}

// actionKinds returns the kinds of the actions other than SendCommands.
func actionKinds(actions []Action) (kinds []ActionKind) {
	for _, action := range actions {
		if action.Kind != SendCommands {
			kinds = append(kinds, action.Kind)
		}
	}
	return kinds
}

func claimRequest(token string) Input {
	return Input{Kind: RequestClaim, Key: testKey(token), BodyHash: 7, Remaining: 5_000 * ms, Retention: 60_000 * ms, Work: []byte("work")}
}

// stepAfter steps a client duration ns after its previous step.
func stepAfter(client *Client, duration int64, inputs ...Input) []Action {
	actions, _ := client.Step(client.now+duration, inputs)
	return actions
}

func verdictInput(seq uint64, answer Answer, fence uint64) Input {
	return Input{Kind: VerdictReceived, Verdict: Verdict{Seq: seq, Answer: answer, Fence: fence}}
}
