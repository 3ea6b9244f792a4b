package quota

const (
	renewalInterval = 250 * ms  // ns between requests for one lease, so that several fit in the shortest lease
	retryBackoff    = 200 * ms  // ns after which an unanswered request is sent again
	demandWindow    = 500 * ms  // ns; requests are for the peak demand of the current and the previous window
	reserveDivisor  = 4         // a request adds 1/4 of the demand, and one unit, as a reserve
	never           = 1<<63 - 1 // ns; wake-up time when nothing is due
)

// Counters are the counters and gauges of a LeaseHolder that operators see.
type Counters struct {
	Requests    int   `json:"asked"`
	Lapsed      int   `json:"lapsed"`     // leases that ended before they were renewed
	ShortGrants int   `json:"short"`      // verdicts that gave less than was requested
	MaxOveruse  int64 `json:"worst_over"` // most units in use above those allowed, without uses that may go on after the lease lapsed
	Units       int64 `json:"units"`      // allowed now
	Wanted      int64 `json:"wanted"`     // total demand to be requested, with the reserve
	Used        int64 `json:"used"`
	FairShare   int64 `json:"target"`
	AgeMS       int64 `json:"age_ms"` // ms since the lease was requested
}

// LeaseHolder tracks how many units of one limit its node may use. It requests leases and renews them. A lease counts from when it was
// requested, by the node's own monotonic clock. New uses must begin early enough, by the clock drift and the longest use of a unit,
// that all uses under a lease that is not renewed have ended before another node can lease the units.
type LeaseHolder struct {
	Counters Counters

	config        HolderConfig
	self          Owner
	lastSeq       uint64
	units         int64 // of the lease
	usableUntil   int64 // no use of a unit may begin from then on
	fairShare     int64
	requestedAt   int64 // when the request in flight was first sent, 0 for none
	lastSentAt    int64
	request       Command  // the last request, repeated until it is answered
	nextRequestAt int64    // 0 before the first request
	peakDemand    [2]int64 // of the current window and the one before
	leasedAt      int64    // when the current lease was requested
	windowStart   int64
}

// NewLeaseHolder returns the holder of one incarnation of a node. It has no lease yet.
func NewLeaseHolder(config HolderConfig, self Owner) *LeaseHolder {
	return &LeaseHolder{config: config, self: self}
}

// Allowed returns the units of the lease, 0 without a lease: a use may begin while fewer units are in use.
func (h *LeaseHolder) Allowed(now int64) int64 {
	if now >= h.usableUntil {
		return 0
	}
	return h.units
}

// UsableUntil returns when Allowed falls to 0 unless the lease is renewed.
func (h *LeaseHolder) UsableUntil() int64 { return h.usableUntil }

// Step takes the number of units in use, the number wanted in addition, and the verdicts that arrived. It returns the commands to send,
// and when to call Step again at the latest. From then on the caller must begin no use above Allowed; the commands may only be sent
// when that is ensured. All times are in ns of the node's monotonic clock.
func (h *LeaseHolder) Step(now, used, additional int64, verdicts []Verdict) (send []Command, wake int64) {
	for i := range verdicts {
		h.handleVerdict(now, &verdicts[i])
	}
	h.recordDemand(now, used, additional)
	if h.units > 0 && now >= h.usableUntil {
		h.units = 0
		h.Counters.Lapsed++
	}
	requested := h.wantedUnits()
	switch {
	case h.requestedAt != 0 && now >= h.lastSentAt+retryBackoff:
		h.lastSentAt = now
		send = append(send, h.request)
	case h.requestedAt == 0 && now >= h.nextRequestAt && (requested > 0 || h.units > 0 || h.nextRequestAt == 0):
		h.newRequest(now, used, requested)
		send = append(send, h.request)
	}
	h.updateCounters(now, used, requested)
	return send, h.nextWake(now)
}

// wantedUnits returns the recent peak demand with a reserve.
func (h *LeaseHolder) wantedUnits() int64 {
	requested := max(h.peakDemand[0], h.peakDemand[1])
	if requested > 0 {
		requested += requested/reserveDivisor + 1
	}
	return requested
}

// newRequest gives up units above the fair share that are not in use, and creates a request for the lease.
func (h *LeaseHolder) newRequest(now, used, requested int64) {
	h.units = min(h.units, max(used, min(requested, h.fairShare)))
	h.lastSeq++
	h.request = Command{
		Kind:          CommandRequestLease,
		Sender:        h.self,
		Seq:           h.lastSeq,
		Limit:         h.config.Name,
		RetainedUnits: max(h.units, used), // units of a lapsed lease may still be in use
		WantedUnits:   requested,
		LeaseDuration: h.config.LeaseTerm,
	}
	h.requestedAt = now
	h.lastSentAt = now
	h.nextRequestAt = now + renewalInterval
	h.Counters.Requests++
}

func (h *LeaseHolder) updateCounters(now, used, requested int64) {
	allowed := h.Allowed(now)
	h.Counters.Units = allowed
	h.Counters.Wanted = requested
	h.Counters.Used = used
	h.Counters.FairShare = h.fairShare
	h.Counters.AgeMS = (now - h.leasedAt) / ms
	h.Counters.MaxOveruse = max(h.Counters.MaxOveruse, used-allowed-h.lingeringUnits(now, used))
}

// lingeringUnits returns the units in use whose use began before the lease lapsed, and may go on for MaxUseTime.
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
	// Request again soon if this holder has units to return, or will get units that others return.
	if verdict.Units > verdict.FairShare || verdict.Units < min(verdict.FairShare, h.request.WantedUnits) {
		h.nextRequestAt = min(h.nextRequestAt, now+renewalInterval/4)
	}
}

// recordDemand updates the peak demand of the current window and the one before. If a new peak exceeds the lease, it brings the next
// request forward to now.
func (h *LeaseHolder) recordDemand(now, used, additional int64) {
	if now-h.windowStart >= demandWindow {
		h.peakDemand[1] = h.peakDemand[0]
		h.peakDemand[0] = 0
		if now-h.windowStart >= 2*demandWindow {
			h.peakDemand[1] = 0
		}
		h.windowStart = now
	}
	demand := used + additional
	if demand <= h.peakDemand[0] {
		return
	}
	h.peakDemand[0] = demand
	if demand > h.units && h.requestedAt == 0 {
		h.nextRequestAt = min(h.nextRequestAt, now)
	}
}

// nextWake returns when to step again at the latest.
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
