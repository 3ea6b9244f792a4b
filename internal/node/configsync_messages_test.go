package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

func TestConfigurationMessagesAreDistinctFromMembership(t *testing.T) {
	fleet := envelope.FleetIDOf("mobilier")
	text, err := envelope.Seal(nil, fleet, ConfigQueryBody(&configsync.Query{Kind: configsync.QueryStatus}))
	require.NoError(t, err)
	var older membership.Message
	require.NoError(t, envelope.Open(text, fleet, &older))
	assert.Equal(t, membership.Message{}, older, "a build without configuration replication decodes a message of no kind, which it rejects")
	sm := fleetNode(t)
	effects := sm.Step(ms, 1, []Input{{Kind: PeerRequestReceived, Link: 4, Bytes: text}})
	require.Len(t, effectsOfKind(effects, ReplyToExchange), 1, "without a replicator the exchange is closed")
	assert.Empty(t, effectsOfKind(effects, ReplyToExchange)[0].Bytes)
	assert.Zero(t, sm.fleet.counters.Malformed)
	msg := membership.Message{Kind: membership.MessageSyncPush, From: 9, Seq: 5, Records: []membership.Record{peerRecord(3, true)}, Summaries: []membership.RecordSummary{{ID: 1, Incarnation: 2}},
		Wanted: []membership.ID{4}, Detail: "x", Digest: 8, LinkWanted: true}
	var body peerMessage
	require.NoError(t, envelope.Open(sealedMessage(t, "mobilier", msg), fleet, &body))
	assert.Equal(t, peerMessage{Message: msg}, body)
}
