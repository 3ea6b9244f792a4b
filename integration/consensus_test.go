package integration

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
)

// streamPreamble opens a stream of consensus messages on a connection to a node's address for peers.
const streamPreamble = 0x72747374

// singleReplicaFleetFile writes the fleet file of a node that is its own consensus group.
func singleReplicaFleetFile(t testing.TB) (path, bind string) {
	t.Helper()
	return fleetFileWithReplicas(t, []string{"n1"})
}

// dialPeer opens a stream to a node as its peers do.
func dialPeer(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = conn.Write(binary.LittleEndian.AppendUint32(nil, streamPreamble))
	require.NoError(t, err)
	return conn
}

// sealMessage returns a message with its length, as it is on a stream.
func sealMessage(message *consensus.Message) ([]byte, error) {
	text, err := envelope.Seal(nil, envelope.FleetIDOf("tests"), message)
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(text))), text...), err
}

// sendMessage sends a message on a stream.
func sendMessage(t testing.TB, conn net.Conn, message *consensus.Message) {
	t.Helper()
	text, err := sealMessage(message)
	require.NoError(t, err)
	_, err = conn.Write(text)
	require.NoError(t, err)
}

// receiveMessage returns the next message on a stream, nil if none begins in time.
func receiveMessage(t testing.TB, conn net.Conn, timeout time.Duration) *consensus.Message {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(timeout))
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return nil
	}
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	text := make([]byte, binary.LittleEndian.Uint32(head[:]))
	_, err := io.ReadFull(conn, text)
	require.NoError(t, err)
	message := new(consensus.Message)
	require.NoError(t, envelope.Open(text, envelope.FleetIDOf("tests"), message))
	return message
}

func TestSingleReplicaGroupGrantsAClaimOverAStream(t *testing.T) {
	path, bind := singleReplicaFleetFile(t)
	startNodeWithFlags(t, nil, "--fleet", path)
	conn := dialPeer(t, bind)
	other := claims.Owner{Name: "n2", Incarnation: 7}
	proposal := &consensus.Message{Kind: consensus.MessagePropose, From: "n2", Owner: other, ClaimCommands: []claims.Command{{
		Kind:      claims.CommandClaim,
		Sender:    other,
		Seq:       3,
		Key:       claims.Key{Operation: "x", Token: "t"},
		BodyHash:  1,
		Duration:  60_000_000_000,
		Retention: 60_000_000_000,
	}}}
	var got *consensus.Message
	for got == nil { // a proposal that comes before there is a leader is dropped
		sendMessage(t, conn, proposal)
		got = receiveMessage(t, conn, 200*time.Millisecond)
	}
	require.Len(t, got.ClaimVerdicts, 1)
	assert.Equal(t, claims.AnswerGranted, got.ClaimVerdicts[0].Answer)
	out, err := exec.Command(program, "claims", "--fleet", "tests", bind).CombinedOutput()
	require.NoError(t, err, string(out))
	assert.Contains(t, string(out), "seat in the council, led by n1: 1 claims")
	assert.Contains(t, string(out), "claimed")
	out, err = exec.Command(program, "claims", "show", "--fleet", "tests", bind, "nobody").CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), "shows no claim of the token \"nobody\"")
}

func TestStreamsThatFloodStallOrSendInvalidDataBlockNobody(t *testing.T) {
	path, bind := singleReplicaFleetFile(t)
	node := startNodeWithFlags(t, nil, "--fleet", path)
	oversized := dialPeer(t, bind)
	_, err := oversized.Write([]byte{0xff, 0xff, 0xff, 0x7f})
	require.NoError(t, err)
	n, _ := oversized.Read(make([]byte, 1))
	assert.Zero(t, n, "the connection is closed")
	corrupt := dialPeer(t, bind)
	_, err = corrupt.Write(append(binary.LittleEndian.AppendUint32(nil, 40), make([]byte, 40)...))
	require.NoError(t, err)
	n, _ = corrupt.Read(make([]byte, 1))
	assert.Zero(t, n, "so is one whose messages can't be decoded")
	stalled := dialPeer(t, bind)
	_, err = stalled.Write([]byte{100, 0, 0, 0, 1})
	require.NoError(t, err)
	text, err := sealMessage(&consensus.Message{Kind: consensus.MessageRaft, From: "n9", Raft: make([]byte, 1_000)})
	require.NoError(t, err)
	for range 4 {
		flood := dialPeer(t, bind)
		go func() {
			for range 200_000 {
				if _, err := flood.Write(text); err != nil {
					return
				}
			}
		}()
	}
	d := node.dial()
	for stream := range uint32(100) {
		d.invoke(stream+1, "x")
		assert.Equal(t, fmt.Sprintf("20 on %d x", stream+1), d.answer())
	}
}

func TestStreamsAreClosedWithoutAConsensusGroup(t *testing.T) {
	path, bind := fleetFile(t)
	startNodeWithFlags(t, nil, "--fleet", path)
	conn := dialPeer(t, bind)
	n, err := conn.Read(make([]byte, 1))
	assert.Zero(t, n)
	assert.Error(t, err)
	out, err := exec.Command(program, "claims", "--fleet", "tests", bind).CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), "a node without a council shows no claims")
}

func TestConsensusGroupAndResultStoreExcludeEachOther(t *testing.T) {
	path, _ := singleReplicaFleetFile(t)
	node := startNode(t, nil)
	storeFile := filepath.Join(t.TempDir(), "kept.jsonnet")
	require.NoError(t, os.WriteFile(storeFile, []byte(`{durability: 'batched', folder: 'kept'}`), 0o600))
	out, err := exec.Command(program, "serve", "--fleet", path, "--keep", storeFile, node.configPath).CombinedOutput()
	assert.Error(t, err)
	assert.NotEmpty(t, out)
}

func FuzzConsensusMessages(f *testing.F) {
	for _, m := range []*consensus.Message{
		{Kind: consensus.MessageDiscovery, From: "n2", RaftID: 7, Incarnation: 9, Unassigned: true},
		{Kind: consensus.MessageRaft, From: "n2", Raft: []byte{8, 3}},
		{Kind: consensus.MessagePropose, From: "n2", ClaimCommands: []claims.Command{{Kind: claims.CommandClaim}}},
	} {
		text, err := envelope.Seal(nil, 1, m)
		require.NoError(f, err)
		f.Add(text[envelope.HeaderBytes:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m := new(consensus.Message)
		if envelope.DecodeBody(body, m) != nil {
			return
		}
		c := consensus.NewReplica([]string{"n1", "n2", "n3"}, "n1", 1, 1, 1)
		c.Step(2, []consensus.Input{{Message: m}})
		c.Step(700_000_000, []consensus.Input{{Message: m}})
	})
}
