package claims

var (
	nodeA = Owner{"a", 1}
	nodeB = Owner{"b", 1}
)

func testKey(token string) Key { return Key{Operation: "hold", Token: token} }

func claimCommand(from Owner, token string) *Command {
	return &Command{Kind: CommandClaim, Sender: from, Key: testKey(token), BodyHash: 7, Duration: 5_000 * ms, Window: 60_000 * ms, Work: []byte("work"), InvocationID: "c-" + token}
}

// startedTable is a table in which a has startedTable a token.
func startedTable(token string) (*Table, uint64) {
	t := NewTable()
	fence := t.Apply(claimCommand(nodeA, token)).Fence
	t.Apply(&Command{Kind: CommandStart, Sender: nodeA, Key: testKey(token), Fence: fence})
	return t, fence
}

func advanceTime(t *Table, by int64) {
	for ; by > 0; by -= MaxTimeStep {
		t.Apply(&Command{Kind: CommandAdvanceTime, At: t.Time(), Duration: min(by, MaxTimeStep)})
	}
}

// connectedClient is a desk whose council answered last connectedClient a moment.
func connectedClient(now int64) *Client {
	d := NewClient(nodeA)
	d.Step(now, nil)
	d.Step(now, []Input{{Kind: VerdictReceived, Verdict: Verdict{Seq: d.probeSeq}}})
	return d
}

// sentCommands are the commands among actions.
func sentCommands(actions []Action) (list []Command) {
	for _, x := range actions {
		list = append(list, x.Commands...)
	}
	return list
}

func actionKinds(actions []Action) (list []ActionKind) {
	for _, x := range actions {
		if x.Kind != SendCommands {
			list = append(list, x.Kind)
		}
	}
	return list
}

func claimRequest(token string) Input {
	return Input{Kind: RequestClaim, Key: testKey(token), BodyHash: 7, Remaining: 5_000 * ms, Window: 60_000 * ms, Work: []byte("work")}
}

// stepAfter steps a desk a moment later.
func stepAfter(d *Client, by int64, inputs ...Input) []Action {
	actions, _ := d.Step(d.now+by, inputs)
	return actions
}

func verdictInput(seq uint64, answer Answer, fence uint64) Input {
	return Input{Kind: VerdictReceived, Verdict: Verdict{Seq: seq, Answer: answer, Fence: fence}}
}
