package server

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
)

// versionEffects are the effects that persist n versions, each of which adds an item.
func versionEffects(t *testing.T, n int) (list []*configsync.Effect) {
	content, mark := new(configsync.Content), configsync.Revision{}
	for k := range n {
		changes := []configsync.Item{{Part: configsync.Tenants, Name: fmt.Sprint("t", k), Value: []byte(`{"quota_rps":1}`)}}
		next, err := content.Apply(changes)
		require.NoError(t, err)
		r := &configsync.Record{Version: mark.Version + 1, Base: content.Digest(), Digest: next.Digest(), Changes: changes}
		content, mark = next, configsync.Revision{Version: r.Version, Digest: r.Digest}
		list = append(list, &configsync.Effect{Revision: mark, New: next, Records: []*configsync.Record{r}})
	}
	return list
}

func newTestConfigStorage(folder string) (*configStorage, *bytes.Buffer) {
	log := new(bytes.Buffer)
	return &configStorage{server: &Server{log: zerolog.New(log)}, folder: folder, unlock: func() {}}, log
}

func TestConfigStorageReadsUpToFirstCorruption(t *testing.T) {
	folder := t.TempDir()
	d, _ := newTestConfigStorage(folder)
	_, found := d.read()
	assert.False(t, found)
	list := versionEffects(t, 4)
	require.Error(t, d.writeVersion(list[0]), "records need a content before them")
	list[0].Full = true
	for _, e := range list[:3] {
		require.NoError(t, d.writeVersion(e))
	}
	d.close()

	d, _ = newTestConfigStorage(folder)
	start, found := d.read()
	require.True(t, found)
	assert.Equal(t, []any{list[2].Revision, "disk"}, []any{start.ContentRevision, start.Source})
	assert.Positive(t, start.Journal)
	require.NoError(t, d.writeVersion(list[3]), "records are appended to those that were read")
	d.close()

	path := filepath.Join(folder, lastGoodFileName)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text[:len(text)-3], 0o600)) // a torn record
	d, log := newTestConfigStorage(folder)
	start, found = d.read()
	require.True(t, found)
	assert.Equal(t, list[2].Revision, start.ContentRevision)
	assert.Equal(t, -1, start.Journal, "the next version is written in full")
	assert.Contains(t, log.String(), "spoilt the end of what was kept")
	d.close()

	text[20] ^= 1
	require.NoError(t, os.WriteFile(path, text, 0o600))
	d, log = newTestConfigStorage(folder)
	_, found = d.read()
	assert.False(t, found)
	assert.Contains(t, log.String(), "put aside; the node starts from its own file")
	aside, err := os.ReadFile(filepath.Join(folder, corruptFileName))
	require.NoError(t, err)
	assert.Equal(t, text, aside, "the corrupt file is preserved")
}

func TestConfigStorageKeepsFileWhenReplacementFails(t *testing.T) {
	folder := t.TempDir()
	d, _ := newTestConfigStorage(folder)
	list := versionEffects(t, 2)
	list[0].Full, list[1].Full = true, true
	require.NoError(t, d.writeVersion(list[0]))
	require.NoError(t, os.Mkdir(filepath.Join(folder, lastGoodFileName+".new"), 0o700))
	require.Error(t, d.writeVersion(list[1]))
	d.close()
	d, _ = newTestConfigStorage(folder)
	start, found := d.read()
	require.True(t, found)
	assert.Equal(t, list[0].Revision, start.ContentRevision)
}
