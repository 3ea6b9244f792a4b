package hollow

import (
	"context"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// reportSeconds tells one line a second, at its turn.
func (p *process) reportSeconds(ctx context.Context) {
	before, reportedAt := p.totals(), time.Now().Unix()
	for {
		now := time.Now()
		next := now.Truncate(time.Second).Add(time.Second)
		select {
		case <-ctx.Done():
			return
		case <-time.After(next.Sub(now)):
		}
		after := p.totals()
		s := p.second(next, before, after)
		s.Span = max(1, s.Unix-reportedAt)
		p.report(&report{Second: s})
		before, reportedAt = after, s.Unix
	}
}

// totals are all that is counted since the start.
type totals struct {
	traffic                             [numDirections][numKinds]Traffic
	fromWhole, cut                      int64
	dropped, flooded, refused           int64
	changes                             int64
	wanted, rejected, begun, kept       int64
	late, taken, beginSum, beginMost    int64
	sent, received                      []int64 // by node
	nodes                               int
	views                               map[string]int
	lastChange                          int64
	callsWanted, callsAllowed, callsNow int64
	cpu                                 float64
}

func (p *process) totals() *totals {
	s := &totals{views: map[string]int{}}
	for _, n := range p.nodes {
		var of [numDirections]int64
		for way := range numDirections {
			for kind := range numKinds {
				t := Traffic{n.counts.bytes[way][kind].Load(), n.counts.messages[way][kind].Load()}
				s.traffic[way][kind].Bytes += t.Bytes
				s.traffic[way][kind].Messages += t.Messages
				of[way] += t.Bytes
			}
		}
		s.sent = append(s.sent, of[sentToPeer])
		s.received = append(s.received, of[receivedFromPeer])
		s.fromWhole += n.counts.fromWhole.Load()
		s.cut += n.counts.lost.Load()
		l := &n.claims
		s.wanted += l.TokensRequested.Load()
		s.rejected += l.TokensRejected.Load()
		s.begun += l.RunsStarted.Load()
		s.kept += l.EndsRecorded.Load()
		s.late += l.TokensAbandoned.Load()
		s.taken += l.TokensTakenOver.Load()
		s.beginSum += l.StartDelaySum.Load()
		s.beginMost = max(s.beginMost, l.MaxStartDelay.Swap(0))
		n.mu.Lock()
		s.changes += n.changes
		s.lastChange = max(s.lastChange, int64(n.last[EventAt]))
		if n.server != nil {
			c := n.server.Peered()
			own := [3]int64{c.Dropped.Load(), c.Flooded.Load(), c.Refused.Load()}
			s.dropped += n.earlierDrops[0] + own[0]
			s.flooded += n.earlierDrops[1] + own[1]
			s.refused += n.earlierDrops[2] + own[2]
		}
		if n.up {
			s.nodes++
			s.views[ViewName(n.size, n.hash)]++
			s.callsWanted += l.CallsWanted.Load()
			s.callsAllowed += l.CallsAllowed.Load()
			s.callsNow += l.CallsInFlight.Load()
		}
		n.mu.Unlock()
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		s.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
	}
	return s
}

func (p *process) second(at time.Time, a, b *totals) *Second {
	s := &Second{Unix: at.Unix(), Nodes: b.nodes, Sent: map[string]Traffic{}, Received: map[string]Traffic{}, FromWhole: b.fromWhole - a.fromWhole,
		Cut: b.cut - a.cut, Dropped: b.dropped - a.dropped, Flooded: b.flooded - a.flooded, Refused: b.refused - a.refused,
		CPU: b.cpu - a.cpu, Changes: b.changes - a.changes, LastChange: b.lastChange, Views: b.views, Late: time.Since(at).Seconds(),
		Calls: Calls{b.callsWanted, b.callsAllowed, b.callsNow}, WorstNode: -1}
	for way, to := range []map[string]Traffic{s.Sent, s.Received} {
		for kind := range numKinds {
			x, y := a.traffic[way][kind], b.traffic[way][kind]
			to[KindNames[kind]] = Traffic{y.Bytes - x.Bytes, y.Messages - x.Messages}
		}
	}
	for k, n := range p.nodes {
		if sent := b.sent[k] - a.sent[k]; s.WorstNode < 0 || sent > s.WorstSent {
			s.WorstNode = n.index
			s.WorstSent = sent
		}
		s.WorstMost = max(s.WorstMost, b.received[k]-a.received[k])
	}
	t := &s.Tokens
	*t = Tokens{Wanted: b.wanted - a.wanted, TurnedAway: b.rejected - a.rejected, Begun: b.begun - a.begun, Kept: b.kept - a.kept, Late: b.late - a.late,
		Taken: b.taken - a.taken, BeginMost: float64(b.beginMost) / 1e6}
	if t.Begun > 0 {
		t.BeginMS = float64(b.beginSum-a.beginSum) / float64(t.Begun) / 1e6
	}
	s.RSS, s.Peak = residentMemory()
	return s
}

// residentMemory is the memory of this process, now and at the most.
func residentMemory() (now, most int64) {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, 0
	}
	for _, l := range strings.Split(string(text), "\n") {
		f := strings.Fields(l)
		if len(f) < 2 {
			continue
		}
		kB, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			now = kB << 10
		case "VmHWM:":
			most = kB << 10
		}
	}
	return now, most
}
