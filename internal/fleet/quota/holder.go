package quota

import "fmt"

const (
	askEvery  = 250 * ms // ns between asks while the lease goes on: several in the shortest lease
	askAgain  = 200 * ms // ns to the next send of an ask that is not answered
	peakFor   = 500 * ms // ns of one half of what is looked back on for the need
	sparePart = 4        // part of the need that is asked for beside it, and one unit
	driftPart = 50       // part of a lease that is left unused: clocks run 1 % apart at the most, twice
	never     = 1<<63 - 1
	termLeast = 1_000 * ms  // ns of a lease: shorter ones end in an election
	termMost  = 60_000 * ms // ns; longer ones leave what the dead held unused for long
	holdMost  = 2           // a hold takes this part of a lease at the most, or nothing could be used
)

// HolderConfig are what a holder goes by. Times are nanoseconds.
type HolderConfig struct {
	Name  string
	Term  int64 // of a lease
	Hold  int64 // longest use of one unit, with what lingers after it
	Units int64 // of the limit, for checks
}

// Problem says what is wrong with terms, or nothing.
func (t *HolderConfig) Problem() string {
	switch {
	case t.Units < 1:
		return "a limit of less than one unit"
	case t.Term < termLeast || t.Term > termMost:
		return "leases are of 1 s to 60 s"
	case t.Hold < 0 || holdMost*t.Hold > t.Term-t.Term/driftPart:
		return "a use of one unit must end within half a lease"
	}
	return ""
}

// DescribeBound says in words what holds of a limit, computed from its terms.
func (t *HolderConfig) DescribeBound() string {
	return fmt.Sprintf("at most %d %s in use fleet-wide at any cut, pause or restart, 0 over; a node uses none later than %g s after it asked for its "+
		"last lease; units of a node that is lost are free again within %g s; a lower limit holds once all have asked again, within %g s at the most",
		t.Units, t.Name, seconds(t.Term-t.Term/driftPart), seconds(t.Term+t.Term/driftPart+MaxTimeStep), seconds(t.Term+t.Term/driftPart+MaxTimeStep))
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }

// LeaseHolder says how much of one limit its node may use. A lease counts from when it was asked for, by the node's own
// clock that only advances, and ends early by the drift that clocks may have and by the longest use of a unit: what is in
// use when it can't be renewed has ended before anybody else can have it.
type LeaseHolder struct {
	Counters Counters

	terms   HolderConfig
	self    Owner
	seq     uint64
	units   int64 // that may be used
	until   int64 // ns until which units may be taken up
	target  int64
	asked   int64 // when the last ask was first sent, 0 while none is open
	sent    int64
	open    Command
	next    int64
	peaks   [2]int64 // of the need, in this half and the one before
	granted int64    // when the lease was asked for
	turned  int64
}

// Counters are what operators see.
type Counters struct {
	Asked  int   `json:"asked"`
	Lapsed int   `json:"lapsed"`     // times that a lease ended before another came
	Short  int   `json:"short"`      // answers that gave less than was wanted
	Worst  int64 `json:"worst_over"` // units in use over those allowed, at the worst that this node saw of itself
	Units  int64 `json:"units"`
	Wanted int64 `json:"wanted"`
	Used   int64 `json:"used"`
	Target int64 `json:"target"`
	AgeMS  int64 `json:"age_ms"` // since the lease was asked for
}

// NewLeaseHolder holds nothing yet.
func NewLeaseHolder(terms HolderConfig, self Owner) *LeaseHolder {
	return &LeaseHolder{terms: terms, self: self}
}

// Allowed is how many units may be in use now, those in use included; 0 while no lease goes on.
func (h *LeaseHolder) Allowed(now int64) int64 {
	if now >= h.until {
		return 0
	}
	return h.units
}

// Until is when what is allowed ends unless it is renewed.
func (h *LeaseHolder) Until() int64 { return h.until }

// Step takes how many units are in use and how many are wanted beside them, and the verdicts that came. It says what to
// send, and when to step again at the latest. What is allowed afterwards is to be obeyed before the command is sent.
func (h *LeaseHolder) Step(now, used, wanted int64, verdicts []Verdict) (send []Command, wake int64) {
	for i := range verdicts {
		h.answered(now, &verdicts[i])
	}
	h.look(now, used, wanted)
	if h.units > 0 && now >= h.until {
		h.units = 0
		h.Counters.Lapsed++
	}
	want := max(h.peaks[0], h.peaks[1])
	if want > 0 {
		want += want/sparePart + 1
	}
	switch {
	case h.asked != 0 && now >= h.sent+askAgain:
		h.sent = now
		send = append(send, h.open)
	case h.asked == 0 && now >= h.next && (want > 0 || h.units > 0 || h.next == 0):
		h.units = min(h.units, max(used, min(want, h.target))) // what is in use of a lease that lapsed is kept too
		h.seq++
		h.open = Command{Kind: CommandRequestLease, Sender: h.self, Seq: h.seq, Limit: h.terms.Name, UnitsInUse: max(h.units, used), WantedUnits: want, LeaseDuration: h.terms.Term}
		h.asked, h.sent, h.next = now, now, now+askEvery
		h.Counters.Asked++
		send = append(send, h.open)
	}
	c := &h.Counters
	c.Units, c.Wanted, c.Used, c.Target, c.AgeMS = h.Allowed(now), want, used, h.target, (now-h.granted)/ms
	c.Worst = max(c.Worst, used-h.Allowed(now)-h.ending(now, used))
	return send, h.due(now)
}

// ending is what may still be in use of a lease that lapsed: taken up before its end.
func (h *LeaseHolder) ending(now, used int64) int64 {
	if now >= h.until && now < h.until+h.terms.Hold {
		return used
	}
	return 0
}

func (h *LeaseHolder) answered(now int64, v *Verdict) {
	if v.Seq != h.seq || h.asked == 0 || v.Limit != h.terms.Name {
		return
	}
	lease := h.terms.Term - h.terms.Term/driftPart - h.terms.Hold
	if v.LimitDefined {
		h.units, h.until, h.target = v.Units, h.asked+lease, v.FairShare
		h.granted = h.asked
		if v.Units < h.open.WantedUnits {
			h.Counters.Short++
		}
	}
	h.asked = 0
	if v.Units > v.FairShare || v.Units < min(v.FairShare, h.open.WantedUnits) { // to be given back, or to come as others give back
		h.next = min(h.next, now+askEvery/4)
	}
}

func (h *LeaseHolder) look(now, used, wanted int64) {
	if now-h.turned >= peakFor {
		h.peaks[1], h.peaks[0] = h.peaks[0], 0
		if now-h.turned >= 2*peakFor {
			h.peaks[1] = 0
		}
		h.turned = now
	}
	if need := used + wanted; need > h.peaks[0] {
		if h.peaks[0] = need; need > h.units && h.asked == 0 {
			h.next = min(h.next, now)
		}
	}
}

func (h *LeaseHolder) due(now int64) int64 {
	at := int64(never)
	if h.asked != 0 {
		at = h.sent + askAgain
	} else if h.units > 0 || h.peaks[0] > 0 || h.peaks[1] > 0 || h.next == 0 {
		at = max(h.next, now+1)
	}
	if h.units > 0 {
		at = min(at, h.until)
	}
	return max(at, now+1)
}
