package configfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func readText(t *testing.T, text string) *File {
	path := filepath.Join(t.TempDir(), "a.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	f, err := Read(path)
	require.NoError(t, err)
	return f
}

func TestReadRejectsOversizedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte(strings.Repeat(" ", maxFileBytes+1)), 0o600))
	_, err := Read(path)
	assert.ErrorContains(t, err, "has more than 262144 bytes")
}

func TestReadRejectsSymlinkOutsideDirectory(t *testing.T) {
	outside := filepath.Join(t.TempDir(), "secret.libsonnet")
	require.NoError(t, os.WriteFile(outside, []byte("1"), 0o600))
	folder := t.TempDir()
	require.NoError(t, os.Symlink(outside, filepath.Join(folder, "b.libsonnet")))
	path := filepath.Join(folder, "a.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte("import 'b.libsonnet'"), 0o600))
	_, err := Read(path)
	assert.ErrorContains(t, err, "lies outside the folder")
}

func TestReadReportsImportCycle(t *testing.T) {
	folder := t.TempDir()
	for name, text := range map[string]string{"a.jsonnet": "import 'b.libsonnet'", "b.libsonnet": "import 'a.jsonnet'"} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	_, err := Read(filepath.Join(folder, "a.jsonnet"))
	assert.ErrorContains(t, err, "calls itself")
}

func TestRenderedRejectsOversizedResult(t *testing.T) {
	_, err := Rendered("a.jsonnet", make([]byte, maxResultBytes+1))
	assert.ErrorContains(t, err, "build less in templates")
}

func TestSetReplacesOneValue(t *testing.T) {
	f := readText(t, `{ day: { nodes: 4, load: [{ high: '1 %' }] } }`)
	require.NoError(t, f.Set("day.load.0.high", "30 %"))
	require.NoError(t, f.Set("day.nodes", "8"))
	assert.JSONEq(t, `{"day": {"nodes": 8, "load": [{"high": "30 %"}]}}`, string(f.JSON))
	assert.ErrorContains(t, f.Set("day.load.3.high", "1"), "items are 0 to 0")
}
