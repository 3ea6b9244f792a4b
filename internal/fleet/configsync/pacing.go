package configsync

const (
	bytesPerSecond     = 14_000             // all messages of this package, both ways: 21 KB less membership's and a reserve
	burstBytes         = 32 << 10           // that may be sent at once after a quiet time
	peerBytesPerSecond = bytesPerSecond / 2 // that one peer may have of this node
	maxRefillTime      = 10_000 * ms        // ns that count at once

	second = 1_000 * ms // ns
)

func (r *Replicator) refillTokens(now int64) {
	elapsed := now - r.refilledAt
	if elapsed <= 0 {
		return
	}
	r.tokens = min(burstBytes, r.tokens+min(elapsed, maxRefillTime)*bytesPerSecond/second)
	if elapsed*bytesPerSecond >= second || r.tokens == burstBytes {
		r.refilledAt = now
	}
}

func (p *peer) refillTokens(now int64) {
	elapsed := now - p.refilledAt
	if elapsed*peerBytesPerSecond < second {
		return
	}
	p.tokens = min(burstBytes, p.tokens+min(elapsed, maxRefillTime)*peerBytesPerSecond/second)
	p.refilledAt = now
}

// countSent counts a message. Answers without content aren't paced: a thundering herd must not keep this node from giving to those
// from which others can fetch.
func (r *Replicator) countSent(m *Message) {
	if m.Kind != MessageConfirm && (m.Kind != MessageContent || m.hasContent()) {
		r.tokens -= int64(m.size())
	}
	r.Counters.BytesSent += int64(m.size())
}

// countReceived counts a message. Only content that was fetched is paced: what others send unasked must not keep this node from what
// it needs.
func (r *Replicator) countReceived(in *Input) {
	if in.Message == nil {
		return
	}
	r.Counters.BytesReceived += int64(in.Message.size())
	if in.Kind == ExchangeAnswered && in.Message.hasContent() {
		r.tokens -= int64(in.Message.size())
	}
}
