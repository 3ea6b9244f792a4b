package capacity

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"topazpost/internal/configfile"
	"topazpost/internal/protocol/frame"
	"topazpost/internal/testbed/processfleet"
)

const (
	seats          = 3
	others         = 3 // nodes without a seat, which take all invocations: what seats use is the council's alone
	quorumTimeout  = 60 * time.Second
	maxTokens      = 8_000 // of one play: below what the table of claims holds, so that none is refused for room
	tokensDuration = 5 * time.Second
	asking         = 48 // callers

	tokenTimeout = 20 * time.Second // client timeout of an invocation
)

// tokens is the ladder of a council of three.
func tokens() *Quantity {
	return &Quantity{Name: "tokens", Title: "Tokens agreed on a second, by a council of three", Unit: "tokens a second", Wanted: WantedTokens,
		Ladder: []float64{0, 100, 200, 400, 800, 1_600}, Short: []float64{0, 50, 100}, Alone: true, Played: "done", Measures: []Measure{
			{"done", "agreed on a second", false},
			{"lost", "refused or not answered", false},
			{"leader_cpu", "busiest seat, ms of processor a second", true},
			{"other_cpu", "a node without a seat, ms of processor a second", true},
			{"leader_mb", "busiest seat, resident MB", false},
			{"leader_bytes", "busiest seat, bytes a second", true},
			{"claim_bytes", "table, bytes a claim", false},
			{"other_bytes", "a node without a seat, bytes a second", true},
		}, climb: func(b *Bench, x float64) (map[string]float64, error) { return b.agreed(x) }}
}

func (b *Bench) agreed(aSecond float64) (m map[string]float64, err error) {
	n := &processfleet.Scenario{Storm: true, Nodes: seats + others, Council: seats, Contacts: seats, Longest: configfile.Time(time.Millisecond),
		Timeout: configfile.Time(tokenTimeout)}
	f, err := processfleet.NewFleet(n, b.Seed, b.Program, b.folder)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Council(quorumTimeout); err != nil {
		return nil, err
	}
	length := tokensDuration
	if b.Brief {
		length = shortLoadDuration
	}
	before := make([]usage, n.Nodes)
	bytes := make([]int64, n.Nodes)
	for i := range n.Nodes {
		if before[i], err = processUsage(f.Pid(i)); err != nil {
			return nil, err
		}
		bytes[i] = f.Sent(i)
	}
	began := time.Now()
	done, lost, err := asks(f, aSecond, length)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(began.Add(length)))
	took := time.Since(began).Seconds()
	m = map[string]float64{"done": float64(done) / took, "lost": float64(lost)}
	if held, bytes, err := f.Claims(0); err != nil {
		return nil, err
	} else if held > 0 {
		m["claim_bytes"] = float64(bytes) / float64(held)
	}
	for i := range n.Nodes {
		after, err := processUsage(f.Pid(i))
		if err != nil {
			return nil, err
		}
		cpu, sent := after.since(&before[i]), float64(f.Sent(i)-bytes[i])/took
		if i < seats {
			if cpu >= m["leader_cpu"] {
				m["leader_cpu"] = cpu
				m["leader_mb"] = after.rssMB
			}
			m["leader_bytes"] = max(m["leader_bytes"], sent)
			continue
		}
		m["other_cpu"] += cpu / others
		m["other_bytes"] += sent / others
	}
	return m, nil
}

// asks has callers bring fresh tokens, each at its part of the pace and one at a time; so where the council is slower than
// asked for, fewer are done.
func asks(f *processfleet.Fleet, aSecond float64, length time.Duration) (done, lost int64, err error) {
	if aSecond == 0 {
		return 0, 0, nil
	}
	var good, bad, asked atomic.Int64
	var group sync.WaitGroup
	failed := make(chan error, asking)
	for k := range asking {
		conn, err := net.Dial("tcp", f.Address(seats+k%others))
		if err != nil {
			return 0, 0, err
		}
		defer conn.Close()
		group.Go(func() {
			began := time.Now()
			each := time.Duration(asking / aSecond * 1e9)
			first := time.Duration(k) * each / asking // spread over one another
			var parser frame.Parser
			for stream := uint32(1); ; stream++ {
				due := first + time.Duration(stream-1)*each
				if due >= length || time.Since(began) >= length || asked.Add(1) > maxTokens {
					return
				}
				time.Sleep(time.Until(began.Add(due)))
				if _, err := conn.Write(processfleet.Invocation(stream, fmt.Sprintf("%08x%08x", k, stream), fmt.Sprintf("c%d-%d", k, stream))); err != nil {
					failed <- err
					return
				}
				code, err := answer(conn, &parser)
				if err != nil {
					bad.Add(1)
					return
				}
				if code == frame.Succeeded {
					good.Add(1)
				} else {
					bad.Add(1)
				}
			}
		})
	}
	group.Wait()
	select {
	case err = <-failed:
	default:
	}
	return good.Load(), bad.Load(), err
}

// answer is the code of the next answer.
func answer(conn net.Conn, parser *frame.Parser) (byte, error) {
	for {
		f, ok, err := parser.Next()
		if err != nil {
			return 0, err
		}
		if ok {
			if f.Type == frame.Answer {
				return f.Payload[0], nil
			}
			continue
		}
		conn.SetReadDeadline(time.Now().Add(tokenTimeout + answerTimeout))
		n, err := conn.Read(parser.Space())
		if err != nil {
			return 0, err
		}
		parser.Wrote(n)
	}
}
