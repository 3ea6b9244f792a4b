package quota

import "fmt"

const (
	renewalInterval  = 250 * ms // ns between asks while the lease goes on: several in the shortest lease
	retryBackoff     = 200 * ms // ns to the next send of an ask that is not answered
	demandWindow     = 500 * ms // ns of one half of what is looked back on for the need
	spareDivisor     = 4        // part of the need that is asked for beside it, and one unit
	driftDivisor     = 50       // part of a lease that is left unused: clocks run 1 % apart at the most, twice
	never            = 1<<63 - 1
	minLeaseDuration = 1_000 * ms  // ns of a lease: shorter ones end in an election
	maxLeaseDuration = 60_000 * ms // ns; longer ones leave what the dead held unused for long
	minLeaseUses     = 2           // a hold takes this part of a lease at the most, or nothing could be used
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
	case t.Term < minLeaseDuration || t.Term > maxLeaseDuration:
		return "leases are of 1 s to 60 s"
	case t.Hold < 0 || minLeaseUses*t.Hold > t.Term-t.Term/driftDivisor:
		return "a use of one unit must end within half a lease"
	}
	return ""
}

// DescribeBound says in words what holds of a limit, computed from its terms.
func (t *HolderConfig) DescribeBound() string {
	return fmt.Sprintf("at most %d %s in use fleet-wide at any cut, pause or restart, 0 over; a node uses none later than %g s after it asked for its "+
		"last lease; units of a node that is lost are free again within %g s; a lower limit holds once all have asked again, within %g s at the most",
		t.Units, t.Name, seconds(t.Term-t.Term/driftDivisor), seconds(t.Term+t.Term/driftDivisor+MaxTimeStep), seconds(t.Term+t.Term/driftDivisor+MaxTimeStep))
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }

// LeaseHolder says how much of one limit its node may use. A lease counts from when it was asked for, by the node's own
// clock that only advances, and ends early by the drift that clocks may have and by the longest use of a unit: what is in
// use when it can't be renewed has ended before anybody else can have it.
type LeaseHolder struct {
	Counters Counters

	config        HolderConfig
	self          Owner
	lastSeq       uint64
	units         int64 // that may be used
	usableUntil   int64 // ns until which units may be taken up
	fairShare     int64
	requestedAt   int64 // when the last ask was first sent, 0 while none is open
	lastSentAt    int64
	request       Command
	nextRequestAt int64
	peakDemand    [2]int64 // of the need, in this half and the one before
	leasedAt      int64    // when the lease was asked for
	windowStart   int64
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
	return &LeaseHolder{config: terms, self: self}
}

// Allowed is how many units may be in use now, those in use included; 0 while no lease goes on.
func (h *LeaseHolder) Allowed(now int64) int64 {
	if now >= h.usableUntil {
		return 0
	}
	return h.units
}

// Until is when what is allowed ends unless it is renewed.
func (h *LeaseHolder) Until() int64 { return h.usableUntil }

// Step takes how many units are in use and how many are wanted beside them, and the verdicts that came. It says what to
// send, and when to step again at the latest. What is allowed afterwards is to be obeyed before the command is sent.
func (h *LeaseHolder) Step(now, used, wanted int64, verdicts []Verdict) (send []Command, wake int64) {
	for i := range verdicts {
		h.handleVerdict(now, &verdicts[i])
	}
	h.recordDemand(now, used, wanted)
	if h.units > 0 && now >= h.usableUntil {
		h.units = 0
		h.Counters.Lapsed++
	}
	want := max(h.peakDemand[0], h.peakDemand[1])
	if want > 0 {
		want += want/spareDivisor + 1
	}
	switch {
	case h.requestedAt != 0 && now >= h.lastSentAt+retryBackoff:
		h.lastSentAt = now
		send = append(send, h.request)
	case h.requestedAt == 0 && now >= h.nextRequestAt && (want > 0 || h.units > 0 || h.nextRequestAt == 0):
		h.units = min(h.units, max(used, min(want, h.fairShare))) // what is in use of a lease that lapsed is kept too
		h.lastSeq++
		h.request = Command{Kind: CommandRequestLease, Sender: h.self, Seq: h.lastSeq, Limit: h.config.Name, UnitsInUse: max(h.units, used), WantedUnits: want, LeaseDuration: h.config.Term}
		h.requestedAt, h.lastSentAt, h.nextRequestAt = now, now, now+renewalInterval
		h.Counters.Asked++
		send = append(send, h.request)
	}
	c := &h.Counters
	c.Units, c.Wanted, c.Used, c.Target, c.AgeMS = h.Allowed(now), want, used, h.fairShare, (now-h.leasedAt)/ms
	c.Worst = max(c.Worst, used-h.Allowed(now)-h.lingeringUnits(now, used))
	return send, h.nextWake(now)
}

// lingeringUnits is what may still be in use of a lease that lapsed: taken up before its end.
func (h *LeaseHolder) lingeringUnits(now, used int64) int64 {
	if now >= h.usableUntil && now < h.usableUntil+h.config.Hold {
		return used
	}
	return 0
}

func (h *LeaseHolder) handleVerdict(now int64, v *Verdict) {
	if v.Seq != h.lastSeq || h.requestedAt == 0 || v.Limit != h.config.Name {
		return
	}
	lease := h.config.Term - h.config.Term/driftDivisor - h.config.Hold
	if v.LimitDefined {
		h.units, h.usableUntil, h.fairShare = v.Units, h.requestedAt+lease, v.FairShare
		h.leasedAt = h.requestedAt
		if v.Units < h.request.WantedUnits {
			h.Counters.Short++
		}
	}
	h.requestedAt = 0
	if v.Units > v.FairShare || v.Units < min(v.FairShare, h.request.WantedUnits) { // to be given back, or to come as others give back
		h.nextRequestAt = min(h.nextRequestAt, now+renewalInterval/4)
	}
}

func (h *LeaseHolder) recordDemand(now, used, wanted int64) {
	if now-h.windowStart >= demandWindow {
		h.peakDemand[1], h.peakDemand[0] = h.peakDemand[0], 0
		if now-h.windowStart >= 2*demandWindow {
			h.peakDemand[1] = 0
		}
		h.windowStart = now
	}
	if need := used + wanted; need > h.peakDemand[0] {
		if h.peakDemand[0] = need; need > h.units && h.requestedAt == 0 {
			h.nextRequestAt = min(h.nextRequestAt, now)
		}
	}
}

func (h *LeaseHolder) nextWake(now int64) int64 {
	at := int64(never)
	if h.requestedAt != 0 {
		at = h.lastSentAt + retryBackoff
	} else if h.units > 0 || h.peakDemand[0] > 0 || h.peakDemand[1] > 0 || h.nextRequestAt == 0 {
		at = max(h.nextRequestAt, now+1)
	}
	if h.units > 0 {
		at = min(at, h.usableUntil)
	}
	return max(at, now+1)
}
