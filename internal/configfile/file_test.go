package configfile

import (
	"encoding/json"
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

func TestUnmarshalRequiresUnits(t *testing.T) {
	var times struct{ A, B, C Time }
	require.NoError(t, json.Unmarshal([]byte(`{"A": "250 ms", "B": "1.5s", "C": "2 min"}`), &times))
	assert.Equal(t, []Time{250_000_000, 1_500_000_000, 120_000_000_000}, []Time{times.A, times.B, times.C})
	var p Part
	require.NoError(t, json.Unmarshal([]byte(`"12.5 %"`), &p))
	assert.Equal(t, Part(0.125), p)
	var s Size
	require.NoError(t, json.Unmarshal([]byte(`"64 KiB"`), &s))
	assert.Equal(t, Size(65536), s)
	for _, bad := range []string{`250`, `"250"`, `"ms"`, `"1 fortnight"`, `"-1 s"`, `"1e400 s"`, `""`, `"9e30 h"`, `null2`} {
		assert.Error(t, json.Unmarshal([]byte(bad), &times.A), bad)
	}
}

func TestNearestSuggestsSimilarName(t *testing.T) {
	known := []string{"catalogue", "delivery-quote", "hold"}
	assert.Equal(t, "delivery-quote", Nearest("delivery-qoute", known))
	assert.Equal(t, "hold", Nearest("hodl", known))
	assert.Empty(t, Nearest("zzzzzz", known))
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

func FuzzRendered(f *testing.F) {
	f.Add([]byte(`{"a": [1, {"b": null}]}`))
	schema := Compile("fuzz.json", `{"type": "object", "properties": {"a": {"type": "string", "pattern": "`+TimePattern+`"}}}`)
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := Rendered("none.jsonnet", text); err == nil {
			_ = file.Check(schema)
		}
	})
}
