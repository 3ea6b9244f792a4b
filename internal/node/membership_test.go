package node

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/nodeconfig"
)

var membershipConfig = membership.Config{Name: "n1", Address: "10.0.0.1:9", ProbeInterval: 500 * ms, LinkTimeout: 3_500 * ms, SuspicionTimeout: 400 * ms,
	ForgetTimeout: 60_000 * ms, MaxMembers: 100}

// fleetNode returns a node n1 that is alone in its fleet and has not stepped yet.
func fleetNode(t *testing.T) *StateMachine {
	p, err := nodeconfig.FromJSON(1, []byte(testSettings))
	require.NoError(t, err)
	sm := NewStateMachine(p, Addresses{}, 3_000*ms, 10, 10)
	sm.JoinFleet("mobilier", membership.New(membershipConfig, 0, 1, 0, 1))
	return sm
}

// sealedMessage encodes a membership message of a fleet.
func sealedMessage(t *testing.T, fleet string, msg membership.Message) []byte {
	b, err := envelope.Seal(nil, envelope.FleetIDOf(fleet), &msg)
	require.NoError(t, err)
	return b
}

// effectsOfKind returns the effects of one kind.
func effectsOfKind(effects []Effect, kind EffectKind) (list []Effect) {
	for _, e := range effects {
		if e.Kind == kind {
			list = append(list, e)
		}
	}
	return list
}

// peerRecord returns a record of node n2, which has a link to n1.
func peerRecord(ver uint32, left bool) membership.Record {
	return membership.Record{Name: "n2", Address: "10.0.0.2:9", StartedAt: 7, Incarnation: 7, RecordVersion: ver, Left: left, Links: []membership.ID{membership.IDOf("n1")}}
}

func TestPingOfANewPeerIsAcknowledgedAndAnsweredWithAPing(t *testing.T) {
	sm := fleetNode(t)
	ping := sealedMessage(t, "mobilier", membership.Message{Kind: membership.MessagePing, From: membership.IDOf("n2"), Seq: 5, LinkWanted: true,
		Records: []membership.Record{peerRecord(0, false)}})
	effects := sm.Step(ms, 1, []Input{{Kind: PeerDatagramReceived, From: "10.0.0.2:9", Bytes: ping}})
	var kinds []membership.MessageKind
	for _, e := range effectsOfKind(effects, SendDatagram) {
		assert.Equal(t, "10.0.0.2:9", e.Address)
		var msg membership.Message
		require.NoError(t, envelope.Open(e.Bytes, envelope.FleetIDOf("mobilier"), &msg))
		kinds = append(kinds, msg.Kind)
	}
	assert.Subset(t, kinds, []membership.MessageKind{membership.MessageAck, membership.MessagePing})
}

// A message of another fleet, one of another version, and four malformed ones: a corrupted and a truncated datagram, a request sent as
// a datagram, and a corrupted request. Outside a fleet, even a valid message is ignored.
func TestRejectedPeerMessagesAreCountedAndChangeNothing(t *testing.T) {
	sm := fleetNode(t)
	good := sealedMessage(t, "mobilier", membership.Message{Kind: membership.MessageGossip, Records: []membership.Record{peerRecord(0, false)}})
	version, corrupted := append([]byte(nil), good...), append([]byte(nil), good...)
	version[0]++
	corrupted[len(corrupted)-1]++
	request := sealedMessage(t, "mobilier", membership.Message{Kind: membership.MessageSyncRequest})
	effects := sm.Step(ms, 1, []Input{
		{Kind: PeerDatagramReceived, Bytes: sealedMessage(t, "another", membership.Message{Kind: membership.MessageGossip})},
		{Kind: PeerDatagramReceived, Bytes: version}, {Kind: PeerDatagramReceived, Bytes: corrupted}, {Kind: PeerDatagramReceived, Bytes: good[:5]},
		{Kind: PeerDatagramReceived, Bytes: request}, {Kind: PeerRequestReceived, Link: 3, Bytes: corrupted}})
	assert.Equal(t, PeerMessageCounters{Malformed: 4, OtherVersion: 1, OtherFleet: 1}, sm.PeerMessageCounters())
	assert.Len(t, effectsOfKind(effects, ReplyToExchange), 1, "the exchange whose request was rejected is closed")
	assert.Len(t, sm.Members().View().Members, 1)
	sm = fleetNode(t)
	sm.fleet = fleetState{} // outside a fleet, peer messages are ignored
	effects = sm.Step(ms, 1, []Input{{Kind: PeerDatagramReceived, Bytes: good}})
	assert.Empty(t, effectsOfKind(effects, SendDatagram))
	assert.Equal(t, int64(never), sm.membershipDue())
}

func TestViewRequestIsAnsweredWithTheView(t *testing.T) {
	sm := fleetNode(t)
	effects := sm.Step(ms, 1, []Input{{Kind: PeerRequestReceived, Link: 3, Bytes: sealedMessage(t, "mobilier", membership.Message{Kind: membership.MessageViewRequest})}})
	replies := effectsOfKind(effects, ReplyToExchange)
	require.Len(t, replies, 1)
	var v membership.View
	require.NoError(t, envelope.Open(replies[0].Bytes, envelope.FleetIDOf("mobilier"), &v))
	assert.Equal(t, "n1", v.Members[0].Name)
}

func TestNodeAnnouncesExecutorLossAndLeaving(t *testing.T) {
	sm := fleetNode(t)
	sm.Step(ms, 1, []Input{{Kind: PeerDatagramReceived, Bytes: sealedMessage(t, "mobilier", membership.Message{Kind: membership.MessagePing,
		From: membership.IDOf("n2"), LinkWanted: true, Records: []membership.Record{peerRecord(0, false)}})}})
	assert.False(t, sm.Members().Self().Facts.NoExecutor)
	sm.Step(executorLossTimeout+ms, 1, nil)
	assert.True(t, sm.Members().Self().Facts.NoExecutor)
	effects := sm.Step(executorLossTimeout+2*ms, 1, []Input{{Kind: DrainRequested}, {Kind: ListenerClosed}}) // without an executor there is no run to wait for, and the node leaves at once
	announcements := 0
	for _, e := range effectsOfKind(effects, SendDatagram) {
		var msg membership.Message
		require.NoError(t, envelope.Open(e.Bytes, envelope.FleetIDOf("mobilier"), &msg))
		for _, rec := range msg.Records {
			if rec.Name == "n1" && rec.Left {
				announcements++
			}
		}
	}
	assert.Equal(t, leaveAnnouncements, announcements)
}

// FuzzPeers delivers arbitrary bodies under a valid header, each as a datagram, a request or a response: no body may make the node
// panic.
func FuzzPeers(f *testing.F) {
	b, _ := envelope.Seal(nil, envelope.FleetIDOf("mobilier"), &membership.Message{Kind: membership.MessagePing, From: 7, Records: []membership.Record{peerRecord(0, false)},
		Summaries: []membership.RecordSummary{{ID: 1, Incarnation: 2}}, Wanted: []membership.ID{3}})
	f.Add(b[envelope.HeaderBytes:], uint8(0))
	f.Fuzz(func(t *testing.T, body []byte, kind uint8) {
		sm := fleetNode(t)
		text := append([]byte(nil), b[:5]...) // version and fleet of the valid message, so that the body is decoded
		text = append(binary.LittleEndian.AppendUint64(text, xxhash.Sum64(body)), body...)
		in := Input{Kind: PeerDatagramReceived + InputKind(kind%3), Link: 1, From: "x", Bytes: text}
		for now := ms; now < 6_000*ms; now += 700 * ms {
			sm.Step(now, now, []Input{in})
		}
	})
}

func TestRejectedPeerMessagesAreCountedByReason(t *testing.T) {
	var counters PeerMessageCounters
	for _, err := range []error{envelope.ErrFleet, envelope.ErrVersion, envelope.ErrShort, envelope.ErrChecksum, fmt.Errorf("wrapped: %w", envelope.ErrFleet)} {
		counters.add(err)
	}
	assert.Equal(t, PeerMessageCounters{Malformed: 2, OtherVersion: 1, OtherFleet: 2}, counters)
}
