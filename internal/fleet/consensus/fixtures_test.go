package consensus

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"topazpost/internal/fixture"
	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/quota"
	"topazpost/internal/fleet/takeover"
)

// Guards the encodings of messages of each kind, of the summary and counters, and of the disk: other builds must be able to decode them.
// The recorded files keep the names that they were recorded under: picture is a summary, handed are takeover counters, seats are replicas.
func TestEncodingFixtures(t *testing.T) {
	t.Run("messages", func(t *testing.T) {
		var list []Message
		for _, kind := range []MessageKind{MessageRaft, MessageDiscovery, MessagePropose, MessageVerdicts, MessageClaimsEnded, MessageReassignment, MessageRejoin, MessageRejoinAnswer, MessagePartRequest, MessagePart} {
			m := fixture.Filled[Message](uint32(len(list)))
			m.Kind = kind
			list = append(list, m)
		}
		fixture.RoundTrip(t, "messages-v1.cbor", list, cbor.Marshal, cbor.Unmarshal)
	})
	t.Run("summary", func(t *testing.T) {
		want := fixture.Filled[Summary](1)
		fixture.RoundTrip(t, "picture-v1.cbor", want, cbor.Marshal, cbor.Unmarshal)
		want.Claims = nil // left out of JSON: the command line formats claims itself
		fixture.RoundTrip(t, "picture-v1.json", want, json.Marshal, json.Unmarshal)
	})
	t.Run("counters", func(t *testing.T) {
		fixture.RoundTrip(t, "counters-v1.cbor", fixture.Filled[Counters](1), cbor.Marshal, cbor.Unmarshal)
		fixture.RoundTrip(t, "handed-v1.cbor", fixture.Filled[takeover.Counters](2), cbor.Marshal, cbor.Unmarshal)
	})
	t.Run("replicas", func(t *testing.T) {
		fixture.RoundTrip(t, "seats-v1.cbor", fixture.Filled[map[string]replicaIncarnation](1), cborEncoding.Marshal, cbor.Unmarshal)
	})
	t.Run("base", func(t *testing.T) {
		fixture.RoundTrip(t, "base-v1.cbor", fixture.Filled[diskBase](1), cborEncoding.Marshal, cborDecoding.Unmarshal)
	})
	t.Run("record", func(t *testing.T) {
		fixture.RoundTrip(t, "record-v1.cbor", fixture.Filled[diskRecord](1), cborEncoding.Marshal, cborDecoding.Unmarshal)
	})
}

// fixtureCommands returns commands that change each table of a replica.
func fixtureCommands() (claimCommands []claims.Command, leaseCommands []quota.Command, configCommands []configsync.Command) {
	one, other := claims.Owner{Name: "node-1", Incarnation: 11}, claims.Owner{Name: "node-2", Incarnation: 12}
	key := func(token string) claims.Key { return claims.Key{Operation: "resize", Tenant: "green", Token: token} }
	for k, token := range []string{"waits", "runs", "ran", "lost"} {
		claimCommands = append(claimCommands, claims.Command{Kind: claims.CommandClaim, Sender: one, Seq: uint64(k + 1), Key: key(token), BodyHash: uint64(1_000 + k), Duration: 60_000 * ms,
			Retention: 90_000 * ms, Work: []byte("work of " + token), InvocationID: fmt.Sprintf("call-%d", k)})
	}
	claimCommands = append(claimCommands,
		claims.Command{Kind: claims.CommandClaim, Sender: other, Seq: 5, Key: key("runs"), BodyHash: 1_001, Duration: 60_000 * ms, Retention: 90_000 * ms},
		claims.Command{Kind: claims.CommandStart, Sender: one, Seq: 6, Key: key("runs"), Fence: 2},
		claims.Command{Kind: claims.CommandStart, Sender: one, Seq: 7, Key: key("ran"), Fence: 3},
		claims.Command{Kind: claims.CommandEnd, Sender: one, Seq: 8, Key: key("ran"), Fence: 3, Outcome: 2, Result: []byte("a result")},
		claims.Command{Kind: claims.CommandReassign, Key: key("lost"), Fence: 4, NewOwner: other},
		claims.Command{Kind: claims.CommandAdvanceTime, Duration: 250 * ms, MaxTableBytes: 1 << 20})
	leaseCommands = []quota.Command{{Kind: quota.CommandDefineLimit, Limit: "wide", Units: 40, Version: 3, EarlierLeasesEndAt: 500 * ms},
		{Kind: quota.CommandRequestLease, Sender: quota.Owner{Name: "node-1", Incarnation: 11}, Seq: 1, Limit: "wide", WantedUnits: 7, LeaseDuration: 5_000 * ms}}
	configCommands = []configsync.Command{{Kind: configsync.CommandPut, Caller: "caller-1", Seq: 1, WallTime: 101,
		Changes: []configsync.Item{{Part: configsync.Operations, Name: "resize", Value: []byte(`{"quota_rps":1}`)}}}}
	return claimCommands, leaseCommands, configCommands
}

// fixtureReplica returns a replica of a group of three that has no state yet.
func fixtureReplica() *Replica {
	c := NewReplica([]string{"n1", "n2", "n3"}, "n1", 21, 0, 1)
	c.earlyEffects, c.effects = nil, nil
	return c
}

// fixtureEntry returns an encoded entry with commands on all tables.
func fixtureEntry(t *testing.T) []byte {
	t.Helper()
	c := fixtureReplica()
	c.queuedClaims, c.queuedLeases, c.configs.queued = fixtureCommands()
	parts := map[uint8]cbor.RawMessage{}
	for i, table := range c.tables {
		parts[uint8(i)+1] = table.nextProposal()
		require.NotEmpty(t, parts[uint8(i)+1])
	}
	encoded, err := cborEncoding.Marshal(parts)
	require.NoError(t, err)
	return encoded
}

// assertEqualTables requires that two replicas have equal tables.
func assertEqualTables(t *testing.T, want, got *Replica) {
	t.Helper()
	for i := range want.tables {
		a, err := want.tables[i].Snapshot()
		require.NoError(t, err)
		b, err := got.tables[i].Snapshot()
		require.NoError(t, err)
		assert.Equal(t, a, b, "table %d", i)
	}
}

// Guards the encoding of the log: an entry with commands on all tables is encoded to the recorded bytes, and these are applied to the
// tables as the commands are.
func TestEntryFixture(t *testing.T) {
	fixture := fixture.Equal(t, "entry-v1.cbor", fixtureEntry(t))
	want := fixtureReplica()
	claimCommands, leaseCommands, configCommands := fixtureCommands()
	for i := range claimCommands {
		want.claims.Apply(&claimCommands[i])
	}
	for i := range leaseCommands {
		want.leases.Apply(want.claims.Time(), &leaseCommands[i])
	}
	for i := range configCommands {
		want.configs.table.Apply(want.claims.Time(), &configCommands[i])
	}
	want.configs.inUse = true
	got := fixtureReplica()
	index, term := uint64(2), uint64(1)
	got.applyEntry(&raftpb.Entry{Data: fixture, Index: &index, Term: &term})
	assertEqualTables(t, want, got)
	states := map[claims.State]int{}
	for _, e := range got.claims.List(10) {
		states[e.State]++
	}
	assert.Equal(t, map[claims.State]int{claims.StateClaimed: 2, claims.StateStarted: 1, claims.StateEnded: 1}, states)
	assert.Equal(t, int64(7), got.leases.Find("wide").Leases[0].WantedUnits)
	assert.Equal(t, uint64(1), got.configs.table.Head().Newest)
}

// Guards the format of the disk: a replica writes a base with a snapshot, a separately stored part and records of the log as the recorded
// bytes, and a replica that recovers from these has the same state.
func TestDiskFixtures(t *testing.T) {
	writer := fixtureReplica()
	index, term, commit, vote := uint64(2), uint64(3), uint64(2), uint64(0x21)
	writer.raft.id, writer.replicas = 0x21, map[string]replicaIncarnation{"n1": {0x21, 21}, "n2": {0x22, 22}, "n3": {0x23, 23}}
	writer.applyEntry(&raftpb.Entry{Data: fixtureEntry(t), Index: &index, Term: &term})
	writer.snapshots.writer = writer.newSnapshotWriter()
	for !writer.snapshots.writer.complete() {
		writer.continueSnapshot()
	}
	encoded := writer.encodeSnapshot(writer.snapshots.writer)
	fixture.Equal(t, "snapshot-v1.cbor", encoded)
	conf := &raftpb.ConfState{Voters: []uint64{0x21, 0x22, 0x23}}
	writer.disk.lastWrite, writer.disk.peerWrites = 6, map[uint64]uint64{0x22: 4, 0x23: 5}
	write := writer.baseWrite(&raftpb.Snapshot{Data: encoded, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &index, Term: &term}},
		&raftpb.HardState{Term: &term, Vote: &vote, Commit: &commit})
	writer.effects = nil
	writer.emitWrite(write, nil)
	require.Len(t, writer.effects, 1)
	write = *writer.effects[0].Write
	contents := DiskContents{Base: fixture.Equal(t, "disk-base-v1.cbor", write.Base), Parts: map[string][]byte{}}
	require.Len(t, write.Parts, 1, "the configuration is stored separately")
	for name, part := range write.Parts {
		fixture := fixture.Equal(t, "disk-part-v1.cbor", part)
		contents.Parts[name] = fixture
		assert.Equal(t, name, partDigest(fixture))
	}

	context, err := cbor.Marshal(map[string]replicaIncarnation{"n3": {0x33, 33}})
	require.NoError(t, err)
	remove, add, auto := raftpb.ConfChangeRemoveNode, raftpb.ConfChangeAddNode, raftpb.ConfChangeTransitionAuto
	before, now := uint64(0x23), uint64(0x33)
	change, err := proto.Marshal(&raftpb.ConfChangeV2{Transition: &auto, Context: context, Changes: []*raftpb.ConfChangeSingle{
		{Type: &remove, NodeId: &before}, {Type: &add, NodeId: &now}}})
	require.NoError(t, err)
	advance, err := cbor.Marshal([]claims.Command{{Kind: claims.CommandAdvanceTime, MeasuredFrom: 250 * ms, Duration: 100 * ms}})
	require.NoError(t, err)
	parts, err := cborEncoding.Marshal(map[uint8]cbor.RawMessage{1: advance})
	require.NoError(t, err)
	normal, changes, third, fourth, later := raftpb.EntryNormal, raftpb.EntryConfChangeV2, uint64(3), uint64(4), uint64(4)
	writer.disk.peerWrites, writer.disk.peerWritesChanged, writer.effects = map[uint64]uint64{0x22: 8}, true, nil
	writer.emitWrite(Write{}, &diskRecord{HardState: marshalProto(&raftpb.HardState{Term: &later, Vote: &vote, Commit: &index}), Entries: marshalEntries([]*raftpb.Entry{
		{Data: parts, Index: &third, Term: &term, Type: &normal}, {Data: change, Index: &fourth, Term: &later, Type: &changes}})})
	require.Len(t, writer.effects, 1)
	require.Equal(t, Persist, writer.effects[0].Kind)
	contents.Records = [][]byte{fixture.Equal(t, "disk-record-v1.cbor", writer.effects[0].Write.Records[0])}

	reader := fixtureReplica()
	require.NoError(t, reader.Recover(0, contents))
	assert.True(t, reader.Resumed())
	assert.Equal(t, uint64(0x21), reader.raft.id)
	assert.Equal(t, uint64(21), reader.incarnation)
	assert.Equal(t, writer.replicas, reader.replicas)
	assert.Equal(t, uint64(8), reader.disk.lastWrite)
	assert.Equal(t, map[uint64]uint64{0x22: 8, 0x23: 5}, reader.disk.peerWrites)
	assert.Equal(t, conf.GetVoters(), reader.raft.confState.GetVoters())
	assertEqualTables(t, writer, reader)
	hard, _, err := reader.raft.storage.InitialState()
	require.NoError(t, err)
	assert.True(t, proto.Equal(&raftpb.HardState{Term: &later, Vote: &vote, Commit: &index}, hard))
	entries, err := reader.raft.storage.Entries(3, 5, maxInt64)
	require.NoError(t, err)
	require.Len(t, entries, 2)
	reader.applyEntry(entries[0])
	assert.Equal(t, 350*ms, reader.claims.Time())
	reader.applyEntry(entries[1])
	assert.Equal(t, map[string]replicaIncarnation{"n1": {0x21, 21}, "n2": {0x22, 22}, "n3": {0x33, 33}}, reader.replicas)
}

// Guards the raft library's encoding, in which messages carry raft messages. This message has each field that is in use.
func TestRaftMessageFixture(t *testing.T) {
	number := func(n uint64) *uint64 { return &n }
	kind, normal, reject := raftpb.MsgApp, raftpb.EntryNormal, true
	m := &raftpb.Message{Type: &kind, To: number(1), From: number(2), Term: number(3), LogTerm: number(4), Index: number(5), Commit: number(6),
		Entries: []*raftpb.Entry{{Term: number(7), Index: number(8), Type: &normal, Data: []byte("entry")}}, Reject: &reject, RejectHint: number(9),
		Snapshot: &raftpb.Snapshot{Data: []byte("snapshot"), Metadata: &raftpb.SnapshotMetadata{Index: number(10), Term: number(11),
			ConfState: &raftpb.ConfState{Voters: []uint64{12, 13}}}}, Context: []byte("context")}
	encoded, err := proto.Marshal(m)
	require.NoError(t, err)
	again := new(raftpb.Message)
	require.NoError(t, proto.Unmarshal(fixture.Equal(t, "raft-v1.bin", encoded), again))
	assert.True(t, proto.Equal(m, again))
}
