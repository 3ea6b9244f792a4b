package degradationplan

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

func TestShowPrintsTheSavingsOfEachLevel(t *testing.T) {
	p, err := Read("testdata/sound/plain.jsonnet", operations)
	require.NoError(t, err)
	config := &nodeconfig.Config{Operations: operations, Node: admission.Config{Operations: []admission.Operation{
		{PriorityWeight: 1}, {PriorityWeight: 2}, {PriorityWeight: 5}}}}
	var b strings.Builder
	require.NoError(t, Show(&b, p, config, map[string]float64{"catalogue": 50, "delivery-quote": 40, "hold": 10}))
	assert.Regexp(t, `hold-only +refused +refused +whole +90 % +72 % +load > 100 % for 1 s or wait > 80 % for 0.5 s +load < 85 % for 5 s`,
		b.String())
}

func TestShowPrintsReducedForms(t *testing.T) {
	p, err := Parse(parseJSON(t, planWithReducedForm), operations)
	require.NoError(t, err)
	config := &nodeconfig.Config{Operations: operations, Node: admission.Config{Operations: []admission.Operation{
		{PriorityWeight: 1}, {PriorityWeight: 1}, {PriorityWeight: 1}}}}
	var b strings.Builder
	require.NoError(t, Show(&b, p, config, map[string]float64{"catalogue": 1}))
	assert.Regexp(t, `plain +short \(work 50 %, value 80 %\) +whole +whole +50 % +20 % +load > 100 % for 1 s +load < 85 % for 5 s`, b.String())
	assert.Contains(t, b.String(), "a level is held for 10 s to 120 s after it was last needed, before jitter")
	b.Reset()
	require.NoError(t, Show(&b, p, config, nil))
	assert.Regexp(t, `plain .* 0 % +0 % `, b.String(), "an empty mix has no savings")
}
