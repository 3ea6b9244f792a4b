package configsync

const (
	bytesPerSecond     = 14_000             // rate of all messages of this package in both directions: 21 KB/s less the traffic of membership and a reserve
	burstBytes         = 32 << 10           // burst that may be sent after a time without messages
	peerBytesPerSecond = bytesPerSecond / 2 // rate of content that this node sends to one peer
	maxRefillTime      = 10_000 * ms        // ns since the last refill that count at most

	second = 1_000 * ms // ns
)

// refillTokens refills the token bucket of this node.
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

// refillTokens refills the token bucket of a peer.
func (p *peer) refillTokens(now int64) {
	elapsed := now - p.refilledAt
	if elapsed*peerBytesPerSecond < second {
		return
	}
	p.tokens = min(burstBytes, p.tokens+min(elapsed, maxRefillTime)*peerBytesPerSecond/second)
	p.refilledAt = now
}

// countSent counts a sent message and takes its size from the token bucket. Confirmations and answers without content take no tokens:
// otherwise a thundering herd of fetches would keep this node from sending content to the peers from which others could fetch it.
func (r *Replicator) countSent(m *Message) {
	if m.Kind != MessageConfirm && (m.Kind != MessageContent || m.hasContent()) {
		r.tokens -= int64(m.size())
	}
	r.Counters.BytesSent += int64(m.size())
}

// countReceived counts a received message. Only fetched content takes tokens: unrequested messages of other nodes must not keep this node
// from fetching what it needs.
func (r *Replicator) countReceived(in *Input) {
	if in.Message == nil {
		return
	}
	r.Counters.BytesReceived += int64(in.Message.size())
	if in.Kind == ExchangeAnswered && in.Message.hasContent() {
		r.tokens -= int64(in.Message.size())
	}
}
