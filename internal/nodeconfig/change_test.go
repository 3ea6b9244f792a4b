package nodeconfig

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpost/internal/admission"
)

const exampleConfig = `{"grades":[{"name":"a","aim":100,"give_up":200,"effect":"idempotent","importance":1},
	{"name":"b","aim":300.5,"give_up":900,"window":5000,"effect":"deduplicated","late_share":0.25}],
	"tenants":[{"name":"x","quota_rps":3},{"name":"y","quota_rps":0.5}],
	"family_info":{"class_calls":[true,false],"class_skip_worth":[0.5],"memory_kb":900},"guarantees":{"tip_multiple":4},
	"group_size":"30","limits":{"retry_after":true,"max_retry_after":500}}`

func decodeConfig(t require.TestingT, settings string) *Config {
	config, err := FromJSON(1, []byte(settings))
	require.NoError(t, err)
	return config
}

// applyItems applies items to a config as a node does.
func applyItems(config *Config, items ...Item) ([]ApplyResult, error) {
	amendment, err := Parse(items)
	if err == nil {
		err = config.ValidateAmendment(amendment)
	}
	if err != nil {
		return nil, err
	}
	var results []ApplyResult
	for i := range amendment.Changes {
		results = append(results, config.Apply(&amendment.Changes[i]))
	}
	return results, nil
}

func TestInvalidItemsAreRejectedWithoutChanges(t *testing.T) {
	for _, c := range []struct {
		it   Item
		says string
	}{
		{Item{Operations, "a", []byte(`{"aim":1,"give_up":2,"effect":"twice"}`)}, `operations.a.effect: "twice" is not known; it may be at_most_once, deduplicated, idempotent`},
		{Item{Operations, "a", []byte(`{"aim":1,"effect":"idempotent"}`)}, "operations.a: name, aim and give_up must be set"},
		{Item{Operations, "a", []byte(`{"aim":1,"give_up":2,"effect":"deduplicated"}`)}, "operations.a: window must be set"},
		{Item{Operations, "a", []byte(`{"aim":"x","give_up":2,"effect":"idempotent"}`)}, `operations.a.aim: malformed value "x"`},
		{Item{Operations, "a", []byte(`{"aim":1`)}, "operations.a: unexpected EOF"},
		{Item{Operations, "a", []byte(`{} {}`)}, "operations.a: more than one value"},
		{Item{Operations, "a", []byte(`[]`)}, "operations.a: an object"},
		{Item{Tenants, "x", []byte(`{"name":"x"}`)}, "tenants.x: name"},
		{Item{Tenants, "x", []byte(`{"quota_rps":[{}]}`)}, ""},
		{Item{Tenants, "x", []byte(`{"quota_rps":true}`)}, "tenants.x.quota_rps"},
		{Item{Tenants, "", []byte(`{}`)}, "tenants.: a name"},
		{Item{"routes", "x", nil}, "routes.x: no such part"},
		{Item{Limits, "family_info.memory_kb", []byte(`1`)}, "limits.family_info.memory_kb: takes a new start"},
		{Item{Limits, "listen", []byte(`"x"`)}, "in service may change family_info.calls_out"},
		{Item{Limits, "limits.retry_after", []byte(`1`)}, "true or false"},
		{Item{Limits, "group_size", []byte(`-1`)}, "from 0 on"},
		{Item{Limits, "group_size", []byte(`{"a":1}`)}, "from 0 on"},
	} {
		config := decodeConfig(t, exampleConfig)
		_, err := applyItems(config, Item{Tenants, "z", []byte(`{"quota_rps":1}`)}, c.it)
		if c.says == "" {
			assert.NoError(t, err)
			continue
		}
		assert.ErrorContains(t, err, c.says)
		assert.Equal(t, decodeConfig(t, exampleConfig), config)
	}
	config := decodeConfig(t, exampleConfig)
	_, err := applyItems(config, Item{Part: Operations, Name: "a"}, Item{Part: Operations, Name: "b"})
	assert.ErrorContains(t, err, "none would be left")
	_, err = applyItems(config, Item{Part: Tenants, Name: "x"}, Item{Tenants, "x", []byte(`{}`)})
	assert.ErrorContains(t, err, "tenants.x: named twice")
}

func TestIndicesAreStableUntilForgotten(t *testing.T) {
	config := decodeConfig(t, exampleConfig)
	results, err := applyItems(config, Item{Part: Operations, Name: "a"}, Item{Operations, "c", []byte(`{"aim":1,"give_up":2,"effect":"idempotent","class_calls":true}`)},
		Item{Tenants, "x", []byte(`{"quota_rps":7}`)}, Item{Part: Tenants, Name: "none"}, Item{Limits, "limits.retry_after", []byte(`false`)})
	require.NoError(t, err)
	assert.Equal(t, []ApplyResult{{Removed: true, Changed: true}, {Index: 2, Added: true, Changed: true}, {Changed: true}, {}, {Changed: true}}, results)
	assert.Equal(t, admission.Operation{LatencyObjective: 1e6, ClientTimeout: 2e6, CallsDependency: true}, config.Node.Operations[2])
	assert.Equal(t, int64(200e6), config.Node.Operations[0].ClientTimeout, "a queued or running invocation still uses it")
	assert.Equal(t, []float64{7, 0.5}, config.Node.TenantRates)
	assert.Zero(t, config.Node.MaxRetryAfter)
	_, known := config.Operations.Find("a")
	assert.False(t, known)
	i, known := config.Operations.Lookup("a")
	assert.True(t, known)
	assert.Zero(t, i)
	results, err = applyItems(config, Item{Operations, "a", []byte(`{"aim":1,"give_up":2,"effect":"idempotent"}`)}, Item{Limits, "limits.retry_after", []byte(`true`)})
	require.NoError(t, err)
	assert.Equal(t, ApplyResult{Added: true, Changed: true}, results[0], "it has the same index")
	assert.Equal(t, int64(500e6), config.Node.MaxRetryAfter)
	_, err = applyItems(config, Item{Part: Operations, Name: "b"})
	require.NoError(t, err)
	config.Forget(Operations, 1)
	assert.True(t, config.Node.Operations[1].Removed)
	results, err = applyItems(config, Item{Operations, "d", []byte(`{"aim":1,"give_up":2,"effect":"idempotent"}`)})
	require.NoError(t, err)
	assert.Equal(t, int32(1), results[0].Index)
	assert.Equal(t, []string{"a", "d", "c"}, config.Operations.All())
}

// From any config to any other: applying the difference leaves no difference, and equal configs have none.
func TestDiffTransformsOneConfigIntoTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(which string) *Config {
			text, sep := `{"grades":[`, ""
			for _, name := range rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, which)[:rapid.IntRange(1, 4).Draw(t, "operations")] {
				text += fmt.Sprintf(`%s{"name":%q,"aim":%d.%03d,"give_up":%g,"effect":%q,"window":%d,"importance":%g}`, sep, name, rapid.IntRange(1, 3).Draw(t, "aim"),
					rapid.IntRange(0, 999).Draw(t, "micro"), rapid.Float64Range(0.1, 1e5).Draw(t, "timeout"),
					rapid.SampledFrom([]string{"idempotent", "deduplicated", "at_most_once"}).Draw(t, "effect"), 1+rapid.IntRange(0, 2).Draw(t, "window"),
					rapid.Float64().Draw(t, "value"))
				sep = ","
			}
			text, sep = text+`],"tenants":[`, ""
			for _, name := range rapid.Permutation([]string{"x", "y", "ü", "<z>"}).Draw(t, which)[:rapid.IntRange(0, 4).Draw(t, "tenants")] {
				text += fmt.Sprintf(`%s{"name":%q,"quota_rps":%d}`, sep, name, rapid.IntRange(0, 2).Draw(t, "rate"))
				sep = ","
			}
			return decodeConfig(t, fmt.Sprintf(`%s],"group_size":"%d","limits":{"retry_after":%t,"max_retry_after":5},"family_info":{"class_calls":[%t]}}`, text,
				rapid.IntRange(0, 2).Draw(t, "peers"), rapid.Bool().Draw(t, "back"), rapid.Bool().Draw(t, "calls")))
		}
		from, to := draw("from"), draw("to")
		original := from.Clone()
		items, needRestart := Diff(from, to)
		assert.Empty(t, needRestart)
		_, err := applyItems(from, items...)
		require.NoError(t, err)
		for _, pair := range [][2]*Config{{from, to}, {to, from}, {to, to}} {
			rest, needRestart := Diff(pair[0], pair[1])
			assert.Empty(t, rest)
			assert.Empty(t, needRestart)
		}
		back, _ := Diff(from, original)
		_, err = applyItems(from, back...)
		require.NoError(t, err)
		rest, _ := Diff(original, from)
		assert.Empty(t, rest)
		all, _ := Diff(nil, to)
		for i := range all[1:] {
			assert.NotNil(t, all[i].Value)
		}
	})
}

func TestDiffListsSettingsThatNeedRestart(t *testing.T) {
	to := decodeConfig(t, `{"grades":[{"name":"a","aim":100,"give_up":200,"effect":"idempotent","importance":1}],"family_info":{"memory_kb":901},"group_size":31}`)
	items, needRestart := Diff(decodeConfig(t, exampleConfig), to)
	assert.Equal(t, []string{"family_info.memory_kb", "guarantees.tip_multiple"}, needRestart)
	assert.Equal(t, []Item{{Part: Operations, Name: "b"}, {Operations, "a", []byte(`{"aim":100,"effect":"idempotent","give_up":200,"importance":1}`)},
		{Part: Tenants, Name: "x"}, {Part: Tenants, Name: "y"}, {Limits, "group_size", []byte("31")}, {Part: Limits, Name: "limits.max_retry_after"},
		{Part: Limits, Name: "limits.retry_after"}}, items)
}
