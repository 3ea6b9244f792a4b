package claims

var (
	a = Owner{"a", 1}
	b = Owner{"b", 1}
)

func key(token string) Key { return Key{Operation: "hold", Token: token} }

func ask(from Owner, token string) *Command {
	return &Command{Kind: CommandClaim, Sender: from, Key: key(token), BodyHash: 7, Duration: 5_000 * ms, Window: 60_000 * ms, Work: []byte("work"), InvocationID: "c-" + token}
}

// started is a table in which a has started a token.
func started(token string) (*Table, uint64) {
	t := NewTable()
	fence := t.Apply(ask(a, token)).Fence
	t.Apply(&Command{Kind: CommandStart, Sender: a, Key: key(token), Fence: fence})
	return t, fence
}

func pass(t *Table, by int64) {
	for ; by > 0; by -= MaxTimeStep {
		t.Apply(&Command{Kind: CommandAdvanceTime, At: t.Time(), Duration: min(by, MaxTimeStep)})
	}
}

// at is a desk whose council answered last at a moment.
func at(now int64) *Client {
	d := NewClient(a)
	d.Step(now, nil)
	d.Step(now, []Input{{Kind: VerdictReceived, Verdict: Verdict{Seq: d.probe}}})
	return d
}

// sent are the commands among actions.
func sent(actions []Action) (list []Command) {
	for _, x := range actions {
		list = append(list, x.Commands...)
	}
	return list
}

func deeds(actions []Action) (list []ActionKind) {
	for _, x := range actions {
		if x.Kind != SendCommands {
			list = append(list, x.Kind)
		}
	}
	return list
}

func arrived(token string) Input {
	return Input{Kind: RequestClaim, Key: key(token), BodyHash: 7, Remaining: 5_000 * ms, Window: 60_000 * ms, Work: []byte("work")}
}

// after steps a desk a moment later.
func after(d *Client, by int64, inputs ...Input) []Action {
	actions, _ := d.Step(d.now+by, inputs)
	return actions
}

func verdict(seq uint64, answer Answer, fence uint64) Input {
	return Input{Kind: VerdictReceived, Verdict: Verdict{Seq: seq, Answer: answer, Fence: fence}}
}
