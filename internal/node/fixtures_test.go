package node

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fixture"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

// sealFixture encodes a message of the fleet whose name the fixtures were recorded with.
func sealFixture(body any) ([]byte, error) {
	return envelope.Seal(nil, envelope.FleetIDOf("mobilier"), body)
}

// openFixture decodes a message of that fleet.
func openFixture(text []byte, body any) error {
	return envelope.Open(text, envelope.FleetIDOf("mobilier"), body)
}

// Guards the encoding of membership messages, one of each kind, and of the view that commands receive: nodes of different builds
// exchange them.
func TestFixturesOfMembershipMessages(t *testing.T) {
	for k, kind := range []membership.MessageKind{membership.MessagePing, membership.MessageAck, membership.MessageGossip, membership.MessageSyncRequest, membership.MessageSyncAnswer,
		membership.MessageSyncPush, membership.MessageReject, membership.MessageViewRequest} {
		t.Run(fmt.Sprintf("message %d", k+1), func(t *testing.T) {
			want := fixture.Filled[membership.Message](uint32(k))
			want.Kind = kind
			text, err := sealFixture(&want)
			require.NoError(t, err)
			var got peerMessage
			require.NoError(t, openFixture(fixture.Equal(t, fmt.Sprintf("member-message-%d-v1.bin", k+1), text), &got))
			assert.Equal(t, peerMessage{Message: want}, got)
		})
	}
	t.Run("request for the summary of claims", func(t *testing.T) {
		fixture.RoundTrip(t, "look-claims-v1.bin", membership.Message{Kind: membership.MessageViewRequest, Detail: membership.ViewRequestClaims}, sealFixture, openFixture)
	})
	t.Run("view", func(t *testing.T) {
		want := fixture.Filled[membership.View](1)
		fixture.RoundTrip(t, "view-v1.bin", want, sealFixture, openFixture)
		seen := want.Members[0]
		seen.Status, seen.Reach = 0, 0 // not part of the JSON encoding
		fixture.RoundTrip(t, "seen-v1.json", seen, json.Marshal, json.Unmarshal)
		fixture.RoundTrip(t, "member-counters-v1.json", fixture.Filled[membership.Counters](2), json.Marshal, json.Unmarshal)
	})
	t.Run("hashes of names", func(t *testing.T) {
		text := fmt.Sprintf("%016x %016x %08x\n", uint64(membership.IDOf("node-1")), uint64(membership.IDOf("")), uint32(envelope.FleetIDOf("mobilier")))
		fixture.Equal(t, "names-v1.txt", []byte(text))
	})
	t.Run("status and reach", func(t *testing.T) {
		var list []membership.MemberStatus
		for _, s := range []membership.Status{membership.Alive, membership.Suspect, membership.Dead, membership.Left} {
			for _, r := range []membership.Reach{membership.Direct, membership.Indirect, membership.Unreachable} {
				list = append(list, membership.MemberStatus{Status: s, Reach: r})
			}
		}
		fixture.RoundTrip(t, "seen-v1.cbor", list, cbor.Marshal, cbor.Unmarshal)
	})
}

// Guards the encoding of configuration messages between replicators, and of the queries of commands and their answers.
func TestFixturesOfConfigurationMessages(t *testing.T) {
	for k, kind := range []configsync.MessageKind{configsync.MessageAnnounce, configsync.MessageReport, configsync.MessageConfirm, configsync.MessageFetch, configsync.MessageContent} {
		t.Run(fmt.Sprintf("message %d", k+1), func(t *testing.T) {
			want := fixture.Filled[configMessage](uint32(k))
			want.Message.Kind, want.OperatorQuery, want.Answer = kind, nil, nil
			text, err := sealFixture(configMessageBody{&want})
			require.NoError(t, err)
			var got peerMessage
			require.NoError(t, openFixture(fixture.Equal(t, fmt.Sprintf("configuration-message-%d-v1.bin", k+1), text), &got))
			assert.Equal(t, peerMessage{Configuration: &want}, got)
		})
	}
	for k, kind := range []configsync.QueryKind{configsync.QueryStatus, configsync.QueryBlocks, configsync.QueryPropose} {
		t.Run(fmt.Sprintf("query %d", k+1), func(t *testing.T) {
			want := fixture.Filled[configsync.Query](uint32(k))
			want.Kind = kind
			text, err := sealFixture(ConfigQueryBody(&want))
			require.NoError(t, err)
			var got peerMessage
			require.NoError(t, openFixture(fixture.Equal(t, fmt.Sprintf("question-%d-v1.bin", k+1), text), &got))
			assert.Equal(t, peerMessage{Configuration: &configMessage{OperatorQuery: &want}}, got)
		})
	}
	t.Run("answer", func(t *testing.T) {
		want := fixture.Filled[configsync.Answer](1)
		text, err := sealFixture(configMessageBody{&configMessage{From: "node-1", Answer: &want}})
		require.NoError(t, err)
		got, err := DecodeConfigAnswer(fixture.Equal(t, "answer-v1.bin", text), envelope.FleetIDOf("mobilier"))
		require.NoError(t, err)
		assert.Equal(t, &want, got)
	})
	t.Run("message body", func(t *testing.T) {
		fixture.RoundTrip(t, "letter-v1.bin", fixture.Filled[peerMessage](1), sealFixture, openFixture)
		fixture.RoundTrip(t, "body-v1.bin", fixture.Filled[configMessageBody](1), sealFixture, openFixture)
	})
}

// Guards the encoding of the consensus group's messages, one of each kind and with claims, leases and versions, of the summary for
// operators, and of the invocation that a claim carries for a takeover.
func TestFixturesOfConsensusMessages(t *testing.T) {
	for k, kind := range []consensus.MessageKind{consensus.MessageRaft, consensus.MessageDiscovery, consensus.MessagePropose, consensus.MessageVerdicts, consensus.MessageClaimsEnded, consensus.MessageReassignment, consensus.MessageRejoin,
		consensus.MessageRejoinAnswer, consensus.MessagePartRequest, consensus.MessagePart} {
		t.Run(fmt.Sprintf("message %d", k+1), func(t *testing.T) {
			want := fixture.Filled[consensus.Message](uint32(k))
			want.Kind = kind
			fixture.RoundTrip(t, fmt.Sprintf("council-message-%d-v1.bin", k+1), want, sealFixture, openFixture)
		})
	}
	t.Run("summary for operators", func(t *testing.T) {
		fixture.RoundTrip(t, "picture-v1.bin", fixture.Filled[consensus.Summary](1), sealFixture, openFixture)
	})
	t.Run("invocation for a takeover", func(t *testing.T) {
		fixture.RoundTrip(t, "work-v1.cbor", fixture.Filled[takeoverData](1), cbor.Marshal, cbor.Unmarshal)
	})
}
