package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
)

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestReadChangeFileReadsChanges(t *testing.T) {
	for name, text := range map[string]string{
		"a.json":    `{"tenants": {"y": null, "x": {"quota_rps": 3}}, "limits": {"group_size": 4}}`,
		"a.jsonnet": `{ limits: { group_size: 2 + 2 }, tenants: { x: { quota_rps: 3 }, y: null } }`,
	} {
		file, err := readChangeFile(writeFile(t, name, text))
		require.NoError(t, err, name)
		assert.False(t, file.isWhole)
		assert.Equal(t, []configsync.Item{
			{Part: configsync.Limits, Name: "group_size", Value: []byte("4")},
			{Part: configsync.Tenants, Name: "x", Value: []byte(`{"quota_rps":3}`)},
			{Part: configsync.Tenants, Name: "y"},
		}, file.items, name)
	}
}

func TestReadChangeFileReadsNodeFile(t *testing.T) {
	file, err := readChangeFile("../../example/config.json")
	require.NoError(t, err)
	assert.True(t, file.isWhole)
	require.NotEmpty(t, file.items)
	assert.Equal(t, "quote", file.items[0].Name)
}

func TestReadChangeFileRejectsInvalidFiles(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:                              "cannot unmarshal array",
		`{}`:                              "names no item",
		`{"routes": {}}`:                  "routes: no such part",
		`{"tenants": []}`:                 "tenants: it is an object of items by name",
		`{"limits": {"group_size": "x"}}`: "limits.group_size: malformed value",
		`{"settings": 3}`:                 "a.json: ",
	} {
		path := writeFile(t, "a.json", text)
		_, err := readChangeFile(path)
		assert.ErrorContains(t, err, want, text)
		assert.ErrorContains(t, err, path+": ", text)
	}
}

func TestSplitCommandsKeepsOrderAndBounds(t *testing.T) {
	changes := make([]configsync.Item, 2*maxCommandItems+1)
	for i := range changes {
		changes[i] = configsync.Item{Part: configsync.Tenants, Name: string(rune('a' + i%26)), Value: []byte(`{}`)}
	}
	changes[0].Value = make([]byte, 2*maxCommandBytes)
	commands := splitCommands(changes)
	require.Len(t, commands, 3)
	assert.Len(t, commands[0].Changes, 1, "a change above the bound is alone")
	var all []configsync.Item
	for i, command := range commands {
		assert.Equal(t, i, command.Piece)
		assert.Equal(t, uint64(i+1), command.Seq)
		assert.Equal(t, i < len(commands)-1, command.MorePieces)
		assert.LessOrEqual(t, len(command.Changes), maxCommandItems)
		all = append(all, command.Changes...)
	}
	assert.Equal(t, changes, all)
	assert.Empty(t, splitCommands(nil))
}
