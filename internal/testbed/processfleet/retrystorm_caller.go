package processfleet

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"time"

	"topazpost/internal/protocol/frame"
)

// draw is the next invocation's token: an older one, most of the time.
func (s *retryStorm) draw() (token, call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if len(s.tokens) < tokensOpen || s.chance.Intn(s.fresh) == 0 {
		s.next++
		s.tokens = append(s.tokens, fmt.Sprint("t", s.next))
		if len(s.tokens) > tokensOpen {
			s.tokens = s.tokens[1:]
		}
	}
	return s.tokens[s.chance.Intn(len(s.tokens))], fmt.Sprintf("%016x", s.asked)
}

func (s *retryStorm) count(what string, wrong string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
	if wrong != "" && len(s.wrong) < shownLines {
		s.wrong = append(s.wrong, wrong)
	}
}

func (s *retryStorm) isEnding() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// nextTurn counts the spans in which callers go to the same nodes.
func (s *retryStorm) nextTurn() int64 {
	if s.turns == 0 {
		return 0
	}
	return int64(time.Since(s.began)) / s.turns
}

// call is one caller: some invocations open at a time on a connection to a node, then on one to another.
func (s *retryStorm) call(p *processes, caller int, chance *rand.Rand) {
	for !s.isEnding() {
		turn := s.nextTurn()
		_, addresses := p.serving()
		if n := int64(len(addresses)); s.turns > 0 && n > 0 { // in one turn alike to all nodes, in the next to some
			to := turn + int64(caller)
			if turn%2 == 1 {
				to = turnNodes*turn + int64(caller%turnNodes)
			}
			addresses = addresses[to%n:][:1]
		}
		if len(addresses) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", addresses[chance.Intn(len(addresses))], time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.serveConnection(conn, caller, chance, turn)
		conn.Close()
	}
}

func (s *retryStorm) serveConnection(conn net.Conn, caller int, chance *rand.Rand, turn int64) {
	open := map[uint32]sent{}
	defer func() { s.connectionBroken(open, caller) }()
	var parser frame.Parser
	for stream := uint32(1); ; {
		ending := s.isEnding() || stream > nodeChangeInterval || s.nextTurn() != turn
		for !ending && len(open) < openPerCaller {
			token, call := s.draw()
			open[stream] = sent{token, call, time.Now()}
			if _, err := conn.Write(invocation("hold", stream, call, token)); err != nil {
				return
			}
			stream++
		}
		if len(open) == 0 {
			return
		}
		conn.SetReadDeadline(time.Now().Add(answerTimeout))
		n, err := conn.Read(parser.Space())
		if err != nil {
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				for range open {
					s.count("lost", fmt.Sprintf("no answer within %s", answerTimeout))
				}
				return
			}
			return
		}
		parser.Wrote(n)
		var back time.Duration
		for {
			f, ok, err := parser.Next()
			if err != nil {
				s.count("errored", "an answer can't be read: "+err.Error())
				return
			}
			if !ok {
				break
			}
			if f.Type == frame.Answer {
				back = max(back, s.answered(open, &f, caller))
			}
		}
		time.Sleep(min(back, s.back) + time.Duration(chance.Intn(pace*1_000))*time.Microsecond)
	}
}

func invocation(op string, stream uint32, call, token string) []byte {
	return frame.AppendInvocation(nil, stream, []frame.Field{{Name: "op", Value: op}, {Name: "call", Value: call},
		{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "src", Value: "1"},
		{Name: "heap", Value: "1"}, {Name: "dedupe", Value: token}}, []byte(token))
}

func (s *retryStorm) connectionBroken(open map[uint32]sent, caller int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range open {
		s.counts["broken"]++
		s.broke[o.token] = true
		s.record(o, "", caller)
	}
}

func (s *retryStorm) record(o sent, outcome string, caller int) {
	if len(s.history) < maxHistory {
		s.history = append(s.history, Told{o.token, outcome, o.at.UnixNano(), time.Now().UnixNano(), caller})
	}
}

// answered takes an answer, and says when the caller may ask again.
func (s *retryStorm) answered(open map[uint32]sent, f *frame.Frame, caller int) (back time.Duration) {
	o, asked := open[f.Stream]
	token := o.token
	if !asked {
		s.count("wrong", fmt.Sprintf("stream %d has more than one answer", f.Stream))
		return
	}
	delete(open, f.Stream)
	s.callEnded(o.call)
	fields, body, err := frame.Fields(f.Payload[1:])
	if err != nil {
		s.count("wrong", err.Error())
		return
	}
	noted := map[string]string{}
	for _, x := range fields {
		noted[x.Name] = x.Value
	}
	answer, wrong := "errored", ""
	outcome := "unknown"
	switch f.Payload[0] {
	case frame.Succeeded:
		answer, outcome = "succeeded", string(body)
		if noted["kept"] != "" {
			answer = "kept"
		}
		if outcome != token+" run 1" {
			wrong = fmt.Sprintf("token %s was answered %q", token, body)
		}
	case frame.Throttled:
		answer = "throttled"
		outcome = "throttled"
		ms, _ := strconv.Atoi(noted["pushback"])
		back = time.Duration(ms) * time.Millisecond
	default:
		if noted["outcome"] == "unknown" {
			answer = "unknown"
		}
	}
	s.count(answer, wrong)
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer == "succeeded" || answer == "kept" {
		if s.broke[token] {
			s.after[token] = true
		}
	}
	s.record(o, outcome, caller)
	return back
}
