package nodeconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPairsAndJSONDecodeToSameConfig(t *testing.T) {
	pairs, err := FromPairs(7, []string{"grades.count=2", "grades.0.name=catalogue", "grades.0.aim=1700.0",
		"grades.0.give_up=4300", "grades.0.effect=at_most_once", "grades.1.effect=idempotent", "grades.1.name=hold", "grades.1.aim=1000", "grades.1.give_up=2600",
		"family_info.gauges=cpu_busy,runnable", "family_info.class_calls=true,false", "family_info.memory_kb=900",
		"guarantees.tip_multiple=8", "limits.retry_after=true", "limits.max_retry_after=500", "tenants="})
	require.NoError(t, err)
	nested, err := FromJSON(7, []byte(`{"grades":[{"name":"catalogue","aim":1700.0,"give_up":4300,"effect":"at_most_once"},
		{"name":"hold","aim":1000,"give_up":2600,"effect":"idempotent"}],"family_info":{"gauges":["cpu_busy","runnable"],
		"class_calls":[true,false],"memory_kb":900},"guarantees":{"tip_multiple":8},
		"limits":{"retry_after":true,"max_retry_after":500},"tenants":[],"unknown":null}`))
	require.NoError(t, err)
	assert.Equal(t, pairs, nested)
	assert.True(t, nested.Node.Operations[0].CallsDependency)
	assert.NoError(t, nested.Validate())
}

func TestMalformedSettingsAreReported(t *testing.T) {
	for text, field := range map[string]string{`{"family_info":{"memory_kb":"x"}}`: "family_info.memory_kb",
		`{"grades":{"count":99}}`: "grades.count", `[`: "nodeconfig",
		`{"grades":[{"name":"a","effect":"idempotent"},{"name":"b","effect":"twice"}]}`: `grades.1.effect: "twice" is not known; it may be at_most_once, deduplicated, idempotent`,
		`{"grades":[{"name":"a"}]}`:         `grades.0.effect: "" is not known`,
		`{"family_info":{"halt":"stop"}}`:   "family_info.halt",
		`{"family_info":{"advert":"rank"}}`: "family_info.advert",
		`{"family_info":{"below":"tier"}}`:  "family_info.below"} {
		_, err := FromJSON(1, []byte(text))
		assert.ErrorContains(t, err, field)
	}
	config, err := FromJSON(1, []byte(`{}`))
	require.NoError(t, err)
	assert.ErrorContains(t, config.Validate(), "grades")
	config, err = FromJSON(1, []byte(`{"grades":[{"name":"a","aim":1,"give_up":2,"effect":"deduplicated"}]}`))
	require.NoError(t, err)
	assert.ErrorContains(t, config.Validate(), "grades.0: window")
}
