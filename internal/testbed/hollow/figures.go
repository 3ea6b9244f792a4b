package hollow

import (
	"maps"
	"slices"
)

// Sample are the figures of each second that all processes reported, oldest first, of all nodes together.
func (f *Fleet) Sample() (list []Second) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, unix := range slices.Sorted(maps.Keys(f.seconds)) {
		if parts := f.seconds[unix]; len(parts) == len(f.processes) {
			list = append(list, sumSeconds(parts))
		}
	}
	return list
}

// splitSeconds deals figures of several seconds out to each of them, in equal parts: nobody knows when in them it was.
func (s *Second) splitSeconds() (list []*Second) {
	span := max(1, s.Span)
	for k := range span {
		part := func(n int64) int64 { return n*(k+1)/span - n*k/span }
		deal := func(all map[string]Traffic) map[string]Traffic {
			own := map[string]Traffic{}
			for kind, t := range all {
				own[kind] = Traffic{part(t.Bytes), part(t.Messages)}
			}
			return own
		}
		one := *s
		one.Unix = s.Unix - span + 1 + k
		one.Span = 1
		one.Sent = deal(s.Sent)
		one.Received = deal(s.Received)
		one.FromWhole = part(s.FromWhole)
		one.Cut = part(s.Cut)
		one.Dropped = part(s.Dropped)
		one.Flooded = part(s.Flooded)
		one.Refused = part(s.Refused)
		one.Changes = part(s.Changes)
		one.WorstSent = part(s.WorstSent)
		one.WorstMost = part(s.WorstMost)
		one.CPU = s.CPU / float64(span)
		t := &one.Tokens
		t.Wanted = part(t.Wanted)
		t.TurnedAway = part(t.TurnedAway)
		t.Begun = part(t.Begun)
		t.Kept = part(t.Kept)
		t.Late = part(t.Late)
		t.Taken = part(t.Taken)
		list = append(list, &one)
	}
	return list
}

func sumSeconds(parts []*Second) Second {
	s := Second{Unix: parts[0].Unix, Span: 1, Sent: map[string]Traffic{}, Received: map[string]Traffic{}, Views: map[string]int{}, WorstNode: -1}
	begun := 0.0
	add := func(to, from map[string]Traffic) {
		for k, t := range from {
			to[k] = Traffic{to[k].Bytes + t.Bytes, to[k].Messages + t.Messages}
		}
	}
	for _, p := range parts {
		add(s.Sent, p.Sent)
		add(s.Received, p.Received)
		for v, n := range p.Views {
			s.Views[v] += n
		}
		s.Nodes += p.Nodes
		s.FromWhole += p.FromWhole
		s.Cut += p.Cut
		s.Changes += p.Changes
		s.Dropped += p.Dropped
		s.Flooded += p.Flooded
		s.Refused += p.Refused
		if s.WorstNode < 0 || p.WorstSent > s.WorstSent {
			s.WorstNode = p.WorstNode
			s.WorstSent = p.WorstSent
		}
		s.WorstMost = max(s.WorstMost, p.WorstMost)
		s.LastChange = max(s.LastChange, p.LastChange)
		s.Late = max(s.Late, p.Late)
		s.CPU += p.CPU
		s.RSS += p.RSS
		s.Peak += p.Peak
		t, u := &s.Tokens, &p.Tokens
		t.Wanted += u.Wanted
		t.TurnedAway += u.TurnedAway
		t.Begun += u.Begun
		t.Kept += u.Kept
		t.Late += u.Late
		t.Taken += u.Taken
		t.BeginMost = max(t.BeginMost, u.BeginMost)
		begun += u.BeginMS * float64(u.Begun)
		s.Calls = Calls{s.Calls.Wanted + p.Calls.Wanted, s.Calls.Allowed + p.Calls.Allowed, s.Calls.InHand + p.Calls.InHand}
	}
	if s.Tokens.Begun > 0 {
		s.Tokens.BeginMS = begun / float64(s.Tokens.Begun)
	}
	if n := float64(s.Nodes); n > 0 {
		for _, t := range s.Sent {
			s.PerNode += float64(t.Bytes) / n
			s.MessagesOut += float64(t.Messages) / n
		}
		s.CPUPerNode = s.CPU / n
		s.RSSPerNode = float64(s.RSS) / n
	}
	return s
}

// Sent is how many bytes were sent since the start by hollow nodes, and to them by whole ones without a relay, up to the last
// second that was reported.
func (f *Fleet) Sent() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}
