package node

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

var update = flag.Bool("update", false, "write the fixtures of testdata anew from what this build encodes")

// sameAsFixture asserts that the bytes are those of a file of testdata, and returns the file's.
func sameAsFixture(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o777))
		require.NoError(t, os.WriteFile(path, encoded, 0o666))
	}
	fixture, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, fixture, encoded, "%s: the encoding isn't what it was", name)
	return fixture
}

// sameBothWays asserts that a value is encoded to the bytes of a fixture, and that those are decoded to the value.
func sameBothWays[T any](t *testing.T, name string, value T, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	encoded, err := encode(value)
	require.NoError(t, err)
	var again T
	require.NoError(t, decode(sameAsFixture(t, name, encoded), &again))
	assert.Equal(t, value, again, name)
}

// fullValue is a value with every encoded field set, to what follows from its key in the encoding and not from its name in Go: a
// field that is renamed keeps its value as long as it keeps its key.
func fullValue[T any](seed uint32) (value T) {
	setFull(reflect.ValueOf(&value).Elem(), seed)
	return value
}

func setFull(v reflect.Value, seed uint32) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(seed%(1<<min(v.Type().Bits()-1, 31)-1)) + 1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(seed)%(1<<min(v.Type().Bits(), 32)-1) + 1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(seed) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("t%010d", seed))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setFull(v.Elem(), seed)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for k := range 2 {
			setFull(v.Index(k), 31*seed+1_000+uint32(k))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for k := range uint32(2) {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			setFull(key, 31*seed+2_000+k)
			setFull(value, 31*seed+3_000+k)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		for k := range v.NumField() {
			if key, encoded := encodedKey(v.Type().Field(k)); encoded {
				setFull(v.Field(k), 31*seed+key)
			}
		}
	default:
		panic("no value for " + v.Type().String())
	}
}

// encodedKey is what a field is known by in the encoding: a number or a name.
func encodedKey(f reflect.StructField) (key uint32, encoded bool) {
	tag := f.Tag.Get("cbor")
	if tag == "" {
		tag = f.Tag.Get("json")
	}
	name, rest, _ := strings.Cut(tag, ",")
	switch {
	case !f.IsExported() && !f.Anonymous || tag == "-":
		return 0, false
	case f.Anonymous && name == "":
		return 0, true
	case strings.Contains(rest, "keyasint"):
		number, err := strconv.ParseUint(name, 10, 32)
		return uint32(number), err == nil
	case name == "":
		name = f.Name
	}
	return crc32.ChecksumIEEE([]byte(name)), true
}

// sealMessage seals a message of the fleet of the fixtures.
func sealMessage(body any) ([]byte, error) {
	return envelope.Seal(nil, envelope.FleetOf("mobilier"), body)
}

// openMessage opens a message of that fleet.
func openMessage(text []byte, body any) error {
	return envelope.Open(text, envelope.FleetOf("mobilier"), body)
}

// Membership messages, one of each kind, as they are sealed when sent and opened when received, and what a command is shown.
func TestFixturesOfMembershipMessages(t *testing.T) {
	for k, kind := range []membership.MessageKind{membership.MessagePing, membership.MessageAck, membership.MessageGossip, membership.MessageSyncRequest, membership.MessageSyncAnswer,
		membership.MessageSyncPush, membership.MessageReject, membership.MessageViewRequest} {
		t.Run(fmt.Sprintf("message %d", k+1), func(t *testing.T) {
			want := fullValue[membership.Message](uint32(k))
			want.Kind = kind
			text, err := sealMessage(&want)
			require.NoError(t, err)
			var got peerMessage
			require.NoError(t, openMessage(sameAsFixture(t, fmt.Sprintf("member-message-%d-v1.bin", k+1), text), &got))
			assert.Equal(t, peerMessage{Message: want}, got)
		})
	}
	t.Run("the ask for claims", func(t *testing.T) {
		sameBothWays(t, "look-claims-v1.bin", membership.Message{Kind: membership.MessageViewRequest, Why: membership.LookClaims}, sealMessage, openMessage)
	})
	t.Run("view", func(t *testing.T) {
		want := fullValue[membership.View](1)
		sameBothWays(t, "view-v1.bin", want, sealMessage, openMessage)
		seen := want.Members[0]
		seen.Status, seen.Reach = 0, 0 // a command shows their names
		sameBothWays(t, "seen-v1.json", seen, json.Marshal, json.Unmarshal)
		sameBothWays(t, "member-counters-v1.json", fullValue[membership.Counters](2), json.Marshal, json.Unmarshal)
	})
	t.Run("names in short", func(t *testing.T) {
		text := fmt.Sprintf("%016x %016x %08x\n", uint64(membership.IDOf("node-1")), uint64(membership.IDOf("")), uint32(envelope.FleetOf("mobilier")))
		sameAsFixture(t, "names-v1.txt", []byte(text))
	})
	t.Run("statuses and ways", func(t *testing.T) {
		var list []membership.MemberStatus
		for _, s := range []membership.Status{membership.Alive, membership.Suspect, membership.Dead, membership.Left} {
			for _, r := range []membership.Reach{membership.Direct, membership.Indirect, membership.Unreachable} {
				list = append(list, membership.MemberStatus{Status: s, Reach: r})
			}
		}
		sameBothWays(t, "seen-v1.cbor", list, cbor.Marshal, cbor.Unmarshal)
	})
}

// Configuration messages between replicators, and of commands and their answers.
func TestFixturesOfConfigurationMessages(t *testing.T) {
	for k, kind := range []configsync.MessageKind{configsync.Tell, configsync.Report, configsync.Vouch, configsync.Fetch, configsync.Piece} {
		t.Run(fmt.Sprintf("message %d", k+1), func(t *testing.T) {
			want := fullValue[configMessage](uint32(k))
			want.Message.Kind, want.Question, want.Answer = kind, nil, nil
			text, err := sealMessage(configMessageBody{&want})
			require.NoError(t, err)
			var got peerMessage
			require.NoError(t, openMessage(sameAsFixture(t, fmt.Sprintf("configuration-message-%d-v1.bin", k+1), text), &got))
			assert.Equal(t, peerMessage{Configuration: &want}, got)
		})
	}
	for k, kind := range []configsync.QueryKind{configsync.ShowStanding, configsync.ReadBlocks, configsync.Propose} {
		t.Run(fmt.Sprintf("question %d", k+1), func(t *testing.T) {
			want := fullValue[configsync.Query](uint32(k))
			want.Kind = kind
			text, err := sealMessage(EncodeConfigQuery(&want))
			require.NoError(t, err)
			var got peerMessage
			require.NoError(t, openMessage(sameAsFixture(t, fmt.Sprintf("question-%d-v1.bin", k+1), text), &got))
			assert.Equal(t, peerMessage{Configuration: &configMessage{Question: &want}}, got)
		})
	}
	t.Run("answer", func(t *testing.T) {
		want := fullValue[configsync.Answer](1)
		text, err := sealMessage(configMessageBody{&configMessage{From: "node-1", Answer: &want}})
		require.NoError(t, err)
		got, err := DecodeConfigAnswer(sameAsFixture(t, "answer-v1.bin", text), envelope.FleetOf("mobilier"))
		require.NoError(t, err)
		assert.Equal(t, &want, got)
	})
	t.Run("the whole message", func(t *testing.T) {
		sameBothWays(t, "letter-v1.bin", fullValue[peerMessage](1), sealMessage, openMessage)
		sameBothWays(t, "body-v1.bin", fullValue[configMessageBody](1), sealMessage, openMessage)
	})
}

// Messages of the consensus group, one of each kind, with claims, leases and versions in them, and the summary for operators.
func TestFixturesOfConsensusMessages(t *testing.T) {
	for k, kind := range []consensus.MessageKind{consensus.MessageRaft, consensus.MessageDiscovery, consensus.MessagePropose, consensus.MessageVerdicts, consensus.MessageClaimsEnded, consensus.MessageReassignment, consensus.MessageRejoin,
		consensus.MessageRejoinAnswer, consensus.MessagePartRequest, consensus.MessagePart} {
		t.Run(fmt.Sprintf("message %d", k+1), func(t *testing.T) {
			want := fullValue[consensus.Message](uint32(k))
			want.Kind = kind
			sameBothWays(t, fmt.Sprintf("council-message-%d-v1.bin", k+1), want, sealMessage, openMessage)
		})
	}
	t.Run("picture", func(t *testing.T) {
		sameBothWays(t, "picture-v1.bin", fullValue[consensus.Summary](1), sealMessage, openMessage)
	})
	t.Run("the work for a takeover", func(t *testing.T) {
		sameBothWays(t, "work-v1.cbor", fullValue[takeoverWork](1), cbor.Marshal, cbor.Unmarshal)
	})
}
