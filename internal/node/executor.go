package node

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/protocol/lineprotocol"
)

// joined starts on a new link. It is told of nothing more before its welcome: an executor that is not up yet
// carries out no command, that for the gauges included.
func (r *StateMachine) joined(link int) {
	if link != r.dialing { // to an address of before
		r.do(Effect{Kind: CloseExecutor, Link: link})
		return
	}
	r.Counters.ExecutorLinks++
	r.link, r.dialing, r.synced, r.redialAt, r.heardAt = link, 0, false, never, r.now
	r.tell("JOIN", strconv.Itoa(r.notice))
}

func (r *StateMachine) syncTag() string { return "j" + strconv.Itoa(r.link) }

// tell writes a command that is worth nothing on a later link.
func (r *StateMachine) tell(words ...string) {
	r.do(Effect{Kind: SendToExecutor, Link: r.link, Bytes: lineprotocol.Append(nil, words...)})
}

// order writes a command that must be read; it is kept until the executor is known to have read it.
func (r *StateMachine) order(i int32, bytes []byte) {
	r.seq++
	r.unread = append(r.unread, command{r.seq, i, r.invs[i].call, bytes})
	r.Invariants.Check(len(r.unread) <= commandMost, "commands not known to be read are bounded")
	if r.synced {
		r.do(Effect{Kind: SendToExecutor, Link: r.link, Bytes: bytes})
	}
}

// readBy drops the commands that are known to have been read.
func (r *StateMachine) readBy(read func(c *command) bool) {
	kept := r.unread[:0]
	for i := range r.unread {
		if !read(&r.unread[i]) {
			kept = append(kept, r.unread[i])
		}
	}
	clear(r.unread[len(kept):])
	r.unread = kept
}

// askGauges asks for the gauges with the number of the last command: the answer proves that it was read. Until
// the missed notices are known to be in it asks for that, again and again: one that is refused would else keep
// every command back.
func (r *StateMachine) askGauges() {
	tag := r.syncTag()
	if r.synced {
		tag, r.proving = "m"+strconv.Itoa(r.seq), r.seq
	}
	r.tell("METER", tag)
}

// prove asks for the gauges behind new commands, so that at a break only those of the last round trip are in
// doubt. Guards against a reply to a call told twice, which a run at its next call would take for that one's.
func (r *StateMachine) prove() {
	if r.synced && r.seq > r.proving {
		r.askGauges()
	}
}

func (r *StateMachine) run(i int32, form admission.Form) {
	v := &r.invs[i]
	if r.Invariants.Check(v.live && !v.answered, "no run after an answer") {
		if v.key.Token != "" && !v.asked {
			v.runForm = form
			r.runToken(i)
			return
		}
		class, level := r.form(v.op, form)
		v.form = level
		r.order(i, lineprotocol.AppendBody(nil, v.body, "EXEC", v.call, class))
		v.body = nil
	}
}

func (r *StateMachine) fromExecutor(in *Input) {
	if in.Kind == ExecutorDisconnected {
		r.remark(Info, "executor link ended", "", in.Err)
		r.partExecutor()
		r.redialAt = r.now + r.wait
		r.wait = min(2*r.wait, redialMost)
		return
	}
	r.heardAt = r.now
	if err := r.told(in.Line.Words, in.Line.Body); err != nil {
		r.remark(Warn, "executor can't be understood", "", err)
		r.do(Effect{Kind: CloseExecutor, Link: r.link})
	}
}

// partExecutor forgets the link of now, open or being opened.
func (r *StateMachine) partExecutor() {
	r.link, r.dialing, r.synced = 0, 0, false
	for _, tag := range slices.Sorted(maps.Keys(r.diags)) {
		r.diagnosed(tag, false)
	}
}

func (r *StateMachine) told(words []string, body []byte) error {
	number := func(k int) int {
		if k < len(words) {
			if n, err := strconv.Atoi(words[k]); err == nil {
				return n
			}
		}
		return -1
	}
	switch word := words[0]; {
	case word == "WELCOME" && len(words) == 3 && (words[1] == "new" || words[1] == "old"):
		r.welcome(words)
		return nil
	case word == "METERS" && len(words) == 2+len(r.config.Gauges):
		return r.meters(words)
	case word == "DIAGNOSED" && len(words) == 3:
		r.diagnosed(words[1], words[2] == "good")
		return nil
	case word == "BAD" && len(words) >= 2:
		r.refusedCommand(words)
		return nil
	case word == "EXIT" && len(words) == 6 || word == "CALLOUT" && len(words) == 4 || word == "LOG":
		n := number(1)
		if n <= 0 || n > r.notice+1 && r.synced { // the next link brings those between
			return fmt.Errorf("notice %d after %d", n, r.notice)
		}
		if n <= r.notice {
			return nil // taken before
		}
		r.notice = n
		switch word {
		case "EXIT":
			return r.exit(words, body)
		case "CALLOUT":
			r.callout(words[2], body)
		}
		return nil
	}
	return fmt.Errorf("line %q", words)
}

// welcome starts the module when the executor is first heard of: its state and age are those of the cores.
// The notices after the last one taken follow it; the gauges asked for now tell when all of them are in.
func (r *StateMachine) welcome(words []string) {
	r.welcomed = r.link
	r.tell("METER", r.syncTag())
	if r.post != nil || r.left { // the latter: it came too late for a node that is leaving
		return
	}
	age, err := strconv.ParseFloat(words[2], 64)
	if err != nil || age < 0 {
		age = 0
	}
	r.config.Node.ColdStart, r.config.Node.ProcessStart = words[1] == "new", r.began
	r.post = r.Decisions(&r.config.Node, r.now-int64(age*float64(ms)))
	r.good, r.beatAt = true, r.now
	if r.levels.plan != nil {
		r.events = append(r.events, r.levels.event())
	}
	r.remark(Info, "executor is up, serving", words[1], nil)
}

func (r *StateMachine) meters(words []string) error {
	tag := words[1]
	for k, name := range r.config.Gauges {
		v, err := strconv.ParseFloat(words[2+k], 64)
		if err != nil {
			return fmt.Errorf("gauge %s: %w", name, err)
		}
		switch name {
		case "cpu_busy":
			r.busy = v
		case "runnable":
			r.runnable = v
		}
	}
	if r.metered = r.now; r.post != nil && r.synced {
		r.events = append(r.events, admission.Event{Kind: admission.TimerFired, BusyShare: r.busy, RunnableThreads: r.runnable})
	}
	if tag == r.syncTag() && !r.synced {
		r.synced, r.proving = true, 0
		for i := range r.unread {
			if c := &r.unread[i]; r.isLive(c) {
				r.do(Effect{Kind: SendToExecutor, Link: r.link, Bytes: c.bytes})
			}
		}
	} else if seq, err := strconv.Atoi(tag[1:]); tag[0] == 'm' && err == nil {
		r.wait = redialFirst // the link has lived for some beats
		r.readBy(func(c *command) bool { return c.seq <= seq })
	}
	return nil
}

func (r *StateMachine) isLive(c *command) bool {
	v := &r.invs[c.index]
	return v.live && (!v.answered || v.orphan) && v.call == c.call
}

// refusedCommand ends a run that could not start: nothing ran, and the connection that brought it is at fault. A
// refused reply to a call was read twice.
func (r *StateMachine) refusedCommand(words []string) {
	r.remark(Warn, "executor did not carry out a command", words[len(words)-1], nil)
	if i, v := r.lookup(words[len(words)-1]); v != nil && words[1] == "EXEC" {
		if v.asked {
			r.tokenEnded(i, admission.NeverStarted, nil)
			return
		}
		if !v.answered {
			link := v.conn
			r.fail(i)
			if c := r.conns[link]; c != nil {
				r.fault(link, c)
			}
		}
		r.events = append(r.events, admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: admission.NeverStarted})
	}
}

var ends = map[string]admission.Outcome{
	"good": admission.Succeeded, "bad": admission.Errored, "cut": admission.Stopped, "gone": admission.NeverStarted,
}

// exit answers with what the run came to, if that is still owed.
func (r *StateMachine) exit(words []string, body []byte) error {
	outcome, known := ends[words[3]]
	if !known {
		return fmt.Errorf("end %q", words[3])
	}
	i, v := r.lookup(words[2])
	if v == nil { // given up and forgotten before it ended, or begun by an earlier life of this node
		if outcome <= admission.Errored {
			r.want(claims.Input{Kind: claims.EarlierRunEnded, InvocationID: words[2], Outcome: uint8(outcome), Result: body})
		}
		return nil
	}
	r.readBy(func(c *command) bool { return c.call == v.call })
	if v.asked {
		r.tokenEnded(i, outcome, body)
		return nil
	}
	if !v.answered {
		if outcome == admission.Succeeded {
			r.succeed(i, body)
		} else {
			r.fail(i)
		}
	}
	r.events = append(r.events, admission.Event{Kind: admission.RunEnded, Invocation: i, Outcome: outcome})
	return nil
}

func (r *StateMachine) callout(call string, body []byte) {
	if i, v := r.lookup(call); v != nil {
		r.readBy(func(c *command) bool { return c.call == v.call })
		v.wanted = body
		r.leasing.at = r.now // it is a need for one more
		r.events = append(r.events, admission.Event{Kind: admission.CallRequested, Invocation: i})
	}
}
