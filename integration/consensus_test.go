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

// singleReplicaFleetFile is the file of a fleet of one, which is its own council.
func singleReplicaFleetFile(t testing.TB) (path, bind string) {
	return fleetFileWithReplicas(t, []string{"n1"})
}

// dialPeer opens one to a node, as a peer does.
func dialPeer(t testing.TB, to string) net.Conn {
	conn, err := net.Dial("tcp", to)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = conn.Write(binary.LittleEndian.AppendUint32(nil, 0x72747374))
	require.NoError(t, err)
	return conn
}

func sendMessage(t testing.TB, conn net.Conn, m *consensus.Message) {
	text, err := envelope.Seal(nil, envelope.FleetOf("tests"), m)
	require.NoError(t, err)
	_, err = conn.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(text))), text...))
	require.NoError(t, err)
}

// receiveMessage is the next message within a time, nil if there is none.
func receiveMessage(t testing.TB, conn net.Conn, timeout time.Duration) *consensus.Message {
	conn.SetReadDeadline(time.Now().Add(timeout))
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return nil
	}
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	text := make([]byte, binary.LittleEndian.Uint32(head[:]))
	_, err := io.ReadFull(conn, text)
	require.NoError(t, err)
	m := new(consensus.Message)
	require.NoError(t, envelope.Open(text, envelope.FleetOf("tests"), m))
	return m
}

func TestSingleReplicaGroupGrantsAClaimOverAStream(t *testing.T) {
	path, bind := singleReplicaFleetFile(t)
	startNodeWithFlags(t, false, nil, "--fleet", path)
	conn := dialPeer(t, bind)
	other := claims.Owner{Name: "n2", Incarnation: 7}
	ask := &consensus.Message{Kind: consensus.MessagePropose, From: "n2", Owner: other, Commands: []claims.Command{{Kind: claims.CommandClaim, Sender: other, Seq: 3,
		Key: claims.Key{Operation: "x", Token: "t"}, BodyHash: 1, Duration: 60_000_000_000, Window: 60_000_000_000}}}
	var got *consensus.Message
	for got == nil { // what comes before there is a leader is dropped, and asked again
		sendMessage(t, conn, ask)
		got = receiveMessage(t, conn, 200*time.Millisecond)
	}
	require.Len(t, got.Verdicts, 1)
	assert.Equal(t, claims.AnswerGranted, got.Verdicts[0].Answer)
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
	node := startNodeWithFlags(t, false, nil, "--fleet", path)
	liar := dialPeer(t, bind)
	_, err := liar.Write([]byte{0xff, 0xff, 0xff, 0x7f})
	require.NoError(t, err)
	n, _ := liar.Read(make([]byte, 1))
	assert.Zero(t, n, "it is hung up on")
	spoilt := dialPeer(t, bind)
	_, err = spoilt.Write(append(binary.LittleEndian.AppendUint32(nil, 40), make([]byte, 40)...))
	require.NoError(t, err)
	n, _ = spoilt.Read(make([]byte, 1))
	assert.Zero(t, n, "so is one whose letters can't be read")
	stalled := dialPeer(t, bind)
	_, err = stalled.Write([]byte{100, 0, 0, 0, 1})
	require.NoError(t, err)
	for range 4 {
		flood := dialPeer(t, bind)
		go func() {
			text, _ := envelope.Seal(nil, envelope.FleetOf("tests"), &consensus.Message{Kind: consensus.MessageRaft, From: "n9", Raft: make([]byte, 1_000)})
			text = append(binary.LittleEndian.AppendUint32(nil, uint32(len(text))), text...)
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
	startNodeWithFlags(t, false, nil, "--fleet", path)
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
	node := startNode(t, false, nil)
	kept := filepath.Join(t.TempDir(), "kept.jsonnet")
	require.NoError(t, os.WriteFile(kept, []byte(`{durability: 'batched', folder: 'kept'}`), 0o600))
	out, err := exec.Command(program, "serve", "--fleet", path, "--keep", kept, node.configPath).CombinedOutput()
	assert.Error(t, err)
	assert.NotEmpty(t, out)
}

func FuzzConsensusMessages(f *testing.F) {
	for _, m := range []*consensus.Message{{Kind: consensus.MessageDiscovery, From: "n2", ID: 7, Incarnation: 9, Unassigned: true}, {Kind: consensus.MessageRaft, From: "n2", Raft: []byte{8, 3}},
		{Kind: consensus.MessagePropose, From: "n2", Commands: []claims.Command{{Kind: claims.CommandClaim}}}} {
		text, err := envelope.Seal(nil, 1, m)
		require.NoError(f, err)
		f.Add(text[envelope.Head:])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m := new(consensus.Message)
		if envelope.Body(body, m) != nil {
			return
		}
		c := consensus.NewGroup([]string{"n1", "n2", "n3"}, "n1", 1, 1, 1)
		c.Step(2, []consensus.Input{{Message: m}})
		c.Step(700_000_000, []consensus.Input{{Message: m}})
	})
}
