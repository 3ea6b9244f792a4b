package server

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/consensus"
	"topazpost/internal/node"
)

// newReplicaFolder is a replica's folder and a server whose inputs report the writes.
func newReplicaFolder(t *testing.T) (folder string, s *Server) {
	return t.TempDir(), &Server{log: zerolog.Nop(), inputs: make(chan node.Input, 4_096), ctx: context.Background()}
}

func openTestStorage(t *testing.T, folder string, s *Server) (*replicaStorage, consensus.DiskContents) {
	d, contents, err := openReplicaStorage(s, folder)
	require.NoError(t, err)
	return d, contents
}

func namedPart(text string) (digest string, parts map[string][]byte) {
	digest = fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
	return digest, map[string][]byte{digest: []byte(text)}
}

func TestReplicaStorageRecoversWrites(t *testing.T) {
	folder, s := newReplicaFolder(t)
	d, contents := openTestStorage(t, folder, s)
	assert.Equal(t, consensus.DiskContents{}, contents)
	_, parts := namedPart("large")
	d.queue <- &consensus.Write{Number: 2, Records: [][]byte{[]byte("b")}}
	d.queue <- &consensus.Write{Number: 3, Records: [][]byte{[]byte("c")}}
	d.writeQueued(&consensus.Write{Number: 1, Base: []byte("base"), Parts: parts, Records: [][]byte{[]byte("a")}})
	assert.Equal(t, node.Input{Kind: node.ReplicaWritePersisted, Number: 3}, <-s.inputs, "queued writes share a sync and a report")
	d.close()
	d, contents = openTestStorage(t, folder, s)
	assert.Equal(t, consensus.DiskContents{Base: []byte("base"), Parts: parts, Records: [][]byte{[]byte("a"), []byte("b"), []byte("c")}}, contents)
	_, _, err := openReplicaStorage(s, folder)
	assert.ErrorContains(t, err, "in use by a node")

	d.writeQueued(&consensus.Write{Number: 4, Base: []byte("second"), Records: [][]byte{[]byte("d")}})
	d.close()
	d, contents = openTestStorage(t, folder, s)
	assert.Equal(t, consensus.DiskContents{Base: []byte("second"), Parts: map[string][]byte{}, Records: [][]byte{[]byte("d")}}, contents)
	names, err := d.fileNames()
	require.NoError(t, err)
	assert.Len(t, names, 3, "lock, base and log: unreferenced files are removed")
	d.writeQueued(&consensus.Write{Number: 5, DiscardEarlier: true})
	d.close()
	_, contents = openTestStorage(t, folder, s)
	assert.Equal(t, consensus.DiskContents{}, contents)
}

func TestReplicaStorageWritesPartOnce(t *testing.T) {
	folder, s := newReplicaFolder(t)
	d, _ := openTestStorage(t, folder, s)
	digest, parts := namedPart("large")
	d.writeQueued(&consensus.Write{Number: 1, Base: []byte("one"), Parts: parts})
	before, err := os.Stat(d.path(partFilePrefix + digest))
	require.NoError(t, err)
	d.writeQueued(&consensus.Write{Number: 2, Base: []byte("two"), Parts: parts})
	after, err := os.Stat(d.path(partFilePrefix + digest))
	require.NoError(t, err)
	assert.True(t, os.SameFile(before, after))
}

func TestReplicaStorageTruncatesTornLog(t *testing.T) {
	folder, s := newReplicaFolder(t)
	d, _ := openTestStorage(t, folder, s)
	d.writeQueued(&consensus.Write{Number: 1, Base: []byte("base"), Records: [][]byte{[]byte("first"), []byte("second")}})
	path := d.path(d.logName())
	d.close()
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	first := recordHeaderSize + len("first")
	for cut := range intact {
		want := [][]byte(nil)
		if cut >= first {
			want = [][]byte{[]byte("first")}
		}
		require.NoError(t, os.WriteFile(path, intact[:cut], 0o600))
		d, there := openTestStorage(t, folder, s)
		assert.Equal(t, want, there.Records, "cut at %d", cut)
		d.writeQueued(&consensus.Write{Number: 2, Records: [][]byte{[]byte("next")}})
		d.close()
		d, there = openTestStorage(t, folder, s)
		assert.Equal(t, append(want, []byte("next")), there.Records, "later records follow the intact ones")
		d.close()
	}
	for at := range intact { // a flipped bit
		corrupt := append([]byte(nil), intact...)
		corrupt[at] ^= 4
		records, _ := readRecords(corrupt)
		assert.Less(t, len(records), 2, "byte %d", at)
	}
}

func TestReplicaStorageRejectsCorruptBaseOrPart(t *testing.T) {
	folder, s := newReplicaFolder(t)
	d, _ := openTestStorage(t, folder, s)
	digest, parts := namedPart("large")
	d.writeQueued(&consensus.Write{Number: 1, Base: []byte("base"), Parts: parts, Records: [][]byte{[]byte("a")}})
	d.close()
	for _, name := range []string{baseFileName, partFilePrefix + digest} {
		path := filepath.Join(folder, name)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for at := range text {
			corrupt := append([]byte(nil), text...)
			corrupt[at] ^= 4
			require.NoError(t, os.WriteFile(path, corrupt, 0o600))
			_, _, err = openReplicaStorage(s, folder)
			assert.ErrorContains(t, err, path, "byte %d", at)
		}
		require.NoError(t, os.WriteFile(path, text, 0o600))
	}
	_, contents := openTestStorage(t, folder, s)
	assert.Len(t, contents.Records, 1)
}

func TestReplicaStorageReportsWriteFailure(t *testing.T) {
	folder, s := newReplicaFolder(t)
	d, _ := openTestStorage(t, folder, s)
	d.writeQueued(&consensus.Write{Number: 1, Base: []byte("base")})
	<-s.inputs
	d.log.Close()
	d.writeQueued(&consensus.Write{Number: 2, Records: [][]byte{[]byte("a")}})
	assert.Error(t, (<-s.inputs).Err)
	d.writeQueued(&consensus.Write{Number: 3, Records: [][]byte{[]byte("b")}})
	assert.Error(t, (<-s.inputs).Err, "writes after a failure fail")
}
