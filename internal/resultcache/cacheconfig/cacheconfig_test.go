package cacheconfig

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/resultcache"
)

var operations = []admission.Operation{{Idempotency: admission.IdempotentWithKey, DeduplicationWindow: 5_000_000_000}, {}}

func TestDefaultIsInMemory(t *testing.T) {
	assert.False(t, TakesTokens([]admission.Operation{{}}))
	assert.Zero(t, Default([]admission.Operation{{}}, 192).Cache.Window)
	assert.True(t, TakesTokens(operations))
	config := Default(operations, 48)
	assert.Equal(t, resultcache.Config{MaxBytes: 12 << 20, MaxResultBytes: defaultResultBytes, Window: 5_000_000_000}, config.Cache)
	assert.Equal(t, "in memory only, a crash forgets them", config.Location())
}

func TestDeployedFileIsValidAndProblemsAreNamed(t *testing.T) {
	config, err := Read("../../../deploy/kept.jsonnet", Node{Operations: operations, MemoryMB: 192})
	require.NoError(t, err)
	assert.Equal(t, resultcache.OnDisk, config.Cache.Durability)
	_, err = Read("../../../deploy/kept.jsonnet", Node{Operations: operations[1:], MemoryMB: 192})
	assert.ErrorContains(t, err, "no operation is tokened")
	_, err = Read("../../../deploy/kept.jsonnet", Node{Operations: operations[1:], MemoryMB: 192, TakesVersions: true})
	assert.NoError(t, err, "a version may bring operations that take a token")
	path := filepath.Join(t.TempDir(), "kept.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte("{\n token: 'call',\n durability: 'each',\n result: '20 KiB',\n memory: '150 MiB',\n size: '1 MiB',\n gather: '1 s' }"), 0o600))
	_, err = Read(path, Node{Operations: operations, MemoryMB: 192})
	for _, want := range []string{":2: token: ", ":3: durability: needs a folder", ":4: result: ", ":5: memory: ", ":6: size: ", ":7: gather: "} {
		assert.ErrorContains(t, err, want)
	}
}
