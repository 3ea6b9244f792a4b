package quota

const (
	renewalInterval = 250 * ms // ns between requests of one lease: several in the shortest lease
	retryBackoff    = 200 * ms // ns after which a request that is not answered is sent again
	demandWindow    = 500 * ms // ns of each of the two windows whose peak demand is requested
	spareDivisor    = 4        // part of the demand that is requested beside it, and one unit
	never           = 1<<63 - 1
)

// Counters are what operators see of a holder.
type Counters struct {
	Requests    int   `json:"asked"`
	Lapsed      int   `json:"lapsed"`     // times that a lease ended before it was renewed
	ShortGrants int   `json:"short"`      // verdicts that gave less than was wanted
	MaxOveruse  int64 `json:"worst_over"` // most units in use over those allowed that this node saw of itself
	Units       int64 `json:"units"`
	Wanted      int64 `json:"wanted"`
	Used        int64 `json:"used"`
	FairShare   int64 `json:"target"`
	AgeMS       int64 `json:"age_ms"` // since the lease was requested
}

// LeaseHolder says how much of one limit its node may use. A lease counts from when it was requested, by the node's own monotonic
// clock, and ends early by the drift of clocks and by the longest use of a unit: what is in use of a lease that can't be renewed
// has ended before another node can have it.
type LeaseHolder struct {
	Counters Counters

	config        HolderConfig
	self          Owner
	lastSeq       uint64
	units         int64 // that may be used
	usableUntil   int64 // until when the use of a unit may begin
	fairShare     int64
	requestedAt   int64 // when the request in flight was first sent, 0 for none
	lastSentAt    int64
	request       Command // in flight
	nextRequestAt int64
	peakDemand    [2]int64 // in this window and the one before
	leasedAt      int64    // when the lease was requested
	windowStart   int64
}

// NewLeaseHolder returns a holder without a lease.
func NewLeaseHolder(config HolderConfig, self Owner) *LeaseHolder {
	return &LeaseHolder{config: config, self: self}
}

// Allowed is how many units may be in use now, those in use included; 0 without a lease.
func (h *LeaseHolder) Allowed(now int64) int64 {
	if now >= h.usableUntil {
		return 0
	}
	return h.units
}

// UsableUntil returns when the units of the lease cease to be usable unless the lease is renewed.
func (h *LeaseHolder) UsableUntil() int64 { return h.usableUntil }

// Step takes how many units are in use and how many are wanted beside them, and the verdicts that came. It returns what to send,
// and when to step again at the latest. What is allowed after it must be obeyed before the commands are sent.
func (h *LeaseHolder) Step(now, used, wanted int64, verdicts []Verdict) (send []Command, wake int64) {
	for i := range verdicts {
		h.handleVerdict(now, &verdicts[i])
	}
	h.recordDemand(now, used, wanted)
	if h.units > 0 && now >= h.usableUntil {
		h.units = 0
		h.Counters.Lapsed++
	}
	want := h.wantedUnits()
	switch {
	case h.requestedAt != 0 && now >= h.lastSentAt+retryBackoff:
		h.lastSentAt = now
		send = append(send, h.request)
	case h.requestedAt == 0 && now >= h.nextRequestAt && (want > 0 || h.units > 0 || h.nextRequestAt == 0):
		h.newRequest(now, used, want)
		send = append(send, h.request)
	}
	h.updateCounters(now, used, want)
	return send, h.nextWake(now)
}

// wantedUnits is the recent peak demand with some to spare.
func (h *LeaseHolder) wantedUnits() int64 {
	want := max(h.peakDemand[0], h.peakDemand[1])
	if want > 0 {
		want += want/spareDivisor + 1
	}
	return want
}

// newRequest gives up what is over the fair share and not in use, and requests a lease.
func (h *LeaseHolder) newRequest(now, used, want int64) {
	h.units = min(h.units, max(used, min(want, h.fairShare)))
	h.lastSeq++
	h.request = Command{
		Kind:          CommandRequestLease,
		Sender:        h.self,
		Seq:           h.lastSeq,
		Limit:         h.config.Name,
		RetainedUnits: max(h.units, used), // of a lease that lapsed, units may still be in use
		WantedUnits:   want,
		LeaseDuration: h.config.LeaseTerm,
	}
	h.requestedAt = now
	h.lastSentAt = now
	h.nextRequestAt = now + renewalInterval
	h.Counters.Requests++
}

func (h *LeaseHolder) updateCounters(now, used, want int64) {
	allowed := h.Allowed(now)
	h.Counters.Units = allowed
	h.Counters.Wanted = want
	h.Counters.Used = used
	h.Counters.FairShare = h.fairShare
	h.Counters.AgeMS = (now - h.leasedAt) / ms
	h.Counters.MaxOveruse = max(h.Counters.MaxOveruse, used-allowed-h.lingeringUnits(now, used))
}

// lingeringUnits are those in use of a lease that lapsed, whose use began before its end.
func (h *LeaseHolder) lingeringUnits(now, used int64) int64 {
	if now >= h.usableUntil && now < h.usableUntil+h.config.MaxUseTime {
		return used
	}
	return 0
}

func (h *LeaseHolder) handleVerdict(now int64, verdict *Verdict) {
	if verdict.Seq != h.lastSeq || h.requestedAt == 0 || verdict.Limit != h.config.Name {
		return
	}
	if verdict.LimitDefined {
		h.units = verdict.Units
		h.usableUntil = h.requestedAt + h.config.LeaseTerm - h.config.driftMargin() - h.config.MaxUseTime
		h.fairShare = verdict.FairShare
		h.leasedAt = h.requestedAt
		if verdict.Units < h.request.WantedUnits {
			h.Counters.ShortGrants++
		}
	}
	h.requestedAt = 0
	// Soon again, where units are to be given back, or are to come as others give back.
	if verdict.Units > verdict.FairShare || verdict.Units < min(verdict.FairShare, h.request.WantedUnits) {
		h.nextRequestAt = min(h.nextRequestAt, now+renewalInterval/4)
	}
}

// recordDemand keeps the peaks of this window and the one before. Demand over what the lease gives is requested at once.
func (h *LeaseHolder) recordDemand(now, used, wanted int64) {
	if now-h.windowStart >= demandWindow {
		h.peakDemand[1] = h.peakDemand[0]
		h.peakDemand[0] = 0
		if now-h.windowStart >= 2*demandWindow {
			h.peakDemand[1] = 0
		}
		h.windowStart = now
	}
	demand := used + wanted
	if demand <= h.peakDemand[0] {
		return
	}
	h.peakDemand[0] = demand
	if demand > h.units && h.requestedAt == 0 {
		h.nextRequestAt = min(h.nextRequestAt, now)
	}
}

// nextWake is when to step again at the latest.
func (h *LeaseHolder) nextWake(now int64) int64 {
	wake := int64(never)
	if h.requestedAt != 0 {
		wake = h.lastSentAt + retryBackoff
	} else if h.units > 0 || h.peakDemand[0] > 0 || h.peakDemand[1] > 0 || h.nextRequestAt == 0 {
		wake = max(h.nextRequestAt, now+1)
	}
	if h.units > 0 {
		wake = min(wake, h.usableUntil)
	}
	return max(wake, now+1)
}
