package nodeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// decodeFromPaths decodes settings without a stream, all of them by their paths.
func decodeFromPaths(seed int64, object []byte) (*Config, error) {
	var tree map[string]any
	d := json.NewDecoder(strings.NewReader(string(object)))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	values := make(map[string]string)
	flatten(values, "", tree)
	return decode(seed, values)
}

// A stream decodes to the config that paths give, in whatever shape the lists are, and rejects what paths reject.
func TestStreamDecodeMatchesPathDecode(t *testing.T) {
	plain := []string{`"x"`, `3`, `true`, `null`, `[]`, `[{"name":"deep"}]`}
	effects := []string{"idempotent", "deduplicated", "at_most_once", "idempotent", "idempotent", "idempotent", "twice"}
	rapid.Check(t, func(t *rapid.T) {
		list := func(kind string) string {
			var items []string
			for i := range rapid.IntRange(0, 6).Draw(t, kind) {
				switch n := rapid.IntRange(0, 9).Draw(t, "shape"); {
				case n == 0:
					items = append(items, rapid.SampledFrom(plain).Draw(t, "plain"))
				case kind == "grades":
					items = append(items, fmt.Sprintf(`{"name":"op%d","aim":%d.5,"give_up":"%d","effect":%q,"deep":{"er":[1,2]}}`, i%4, n, 2*n,
						rapid.SampledFrom(effects).Draw(t, "effect")))
				default:
					items = append(items, fmt.Sprintf(`{"name":"org%d", "quota_rps":%d}`, i%4, n))
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "object") == 0 {
				for i := range items {
					items[i] = fmt.Sprintf(`"%d":%s`, i, items[i])
				}
				return fmt.Sprintf(`{"count":%d%s}`, len(items), strings.Join(append([]string{""}, items...), ","))
			}
			return "[" + strings.Join(items, ",") + "]"
		}
		parts := []string{`"family_info":{"class_calls":[true,false,true],"class_skip_worth":"0.5,0.25","memory_kb":9,"gauges":["a","b"],"halt":"pause"}`,
			`"limits":{"retry_after":true,"max_retry_after":1.5}`, `"group_size":"7"`, `"over_share_worth":null`}
		for _, kind := range []string{"grades", "tenants"} {
			for range rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "times") {
				parts = append(parts, fmt.Sprintf("%q : %s", kind, list(kind)))
			}
		}
		text := []byte("{" + strings.Join(rapid.Permutation(parts).Draw(t, "order"), ",\n") + "}")
		want, wantErr := decodeFromPaths(3, text)
		got, digest, err := Decode(3, newNumberDecoder(text))
		withoutTenants, withoutTenantsDigest, err2 := DecodeWithoutTenants(3, newNumberDecoder(text))
		if wantErr != nil {
			assert.Error(t, err, string(text))
			assert.Equal(t, err, err2, "light or not, a fault is named alike")
			return
		}
		require.NoError(t, err2)
		assert.Equal(t, digest, withoutTenantsDigest)
		assert.Equal(t, want.Operations, withoutTenants.Operations)
		assert.Equal(t, want.Node.Operations, withoutTenants.Node.Operations)
		require.NoError(t, err, string(text))
		if assert.Equal(t, want.Node, got.Node, string(text)) {
			assert.Equal(t, want, got, string(text))
		}
	})
}

func newNumberDecoder(text []byte) *json.Decoder {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	return d
}

func TestStreamDecodeReportsPosition(t *testing.T) {
	for text, want := range map[string]string{`{"tenants":[{"name":"a"},{"name":"b","quota_rps":"x"}]}`: `tenants.1.quota_rps: malformed value "x"`,
		`{"tenants":[{"name":"a"}`: "unexpected EOF", `{"tenants":[{"name":"a"},]}`: "byte 2", `[]`: "an object",
		`{"a":` + strings.Repeat("[", 100): "within one another"} {
		_, err := FromJSON(1, []byte(text))
		assert.ErrorContains(t, err, want)
	}
	p, err := FromJSON(1, []byte("null"))
	require.NoError(t, err)
	assert.Zero(t, p.Operations.Len())
}
