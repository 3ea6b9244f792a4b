package server

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/resultcache/cacheconfig"
)

const sites = "../deploy/sites"

// site is the part of a site file that a node's configuration is made from; ranges are not needed here.
type site struct {
	Name string
	Load struct {
		OverShare float64 `toml:"over_share_worth"`
	}
	Rules struct {
		Grace float64 `toml:"drain_grace_ms"`
		Fall  float64 `toml:"fall_multiple"`
	}
	Classes []struct {
		Name, Effect string
		Aim          float64 `toml:"aim_ms"`
		Deadline     float64 `toml:"deadline_ms"`
		Worth        float64
		Late         float64 `toml:"late_worth"`
		Window       float64 `toml:"window_ms"`
	} `toml:"class"`
	Tenants []struct {
		Name  string
		Share float64
	} `toml:"tenant"`
	Fam struct {
		Say, Halt string
		Shared    bool
		Passes    bool                  `toml:"passes_deadline"`
		Factor    float64               `toml:"run_factor"`
		Classes   []struct{ Calls any } `toml:"class"`
	}
}

// siteVocabulary maps names in site files to those of the settings.
type siteVocabulary struct {
	Init struct{ Rename, Words map[string]string }
}

func (w *siteVocabulary) name(s string) string {
	if renamed, ok := w.Init.Rename[s]; ok {
		return renamed
	}
	return s
}

func (w *siteVocabulary) word(s string) string {
	if word, ok := w.Init.Words[s]; ok {
		return word
	}
	return s
}

// siteConfig is the configuration of a node of a site, in the site's vocabulary.
func siteConfig(t *testing.T, s *site, w *siteVocabulary) []byte {
	var classes, tenants []any
	var calls []bool
	for k, c := range s.Classes {
		classes = append(classes, map[string]any{"name": c.Name, w.name("aim"): c.Aim, w.name("deadline"): c.Deadline, w.name("worth"): c.Worth,
			w.name("late_worth"): c.Late, w.name("effect"): w.word(c.Effect), w.name("window"): max(c.Window, 5_000)})
		zero, isZero := s.Fam.Classes[k].Calls.(int64)
		calls = append(calls, !isZero || zero > 0)
	}
	for _, c := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": c.Name, w.name("share"): c.Share, w.name("quota_per_s"): 40 * c.Share})
	}
	below := w.word("none")
	if s.Fam.Shared {
		below = w.word("shared")
	}
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "executor": "127.0.0.1:1", "control": "127.0.0.1:1", "catalog": "127.0.0.1:1",
		"seed": "8c1f30d27a5be964", "stop_ms": 3_200, "limits": map[string]any{"cores": 0.2, "memory_mb": 64, "sockets": 512},
		"settings": map[string]any{w.name("classes"): classes, "tenants": tenants, "over_share_worth": s.Load.OverShare,
			w.name("rules"): map[string]any{w.name("fall_multiple"): s.Rules.Fall, "drain_grace": s.Rules.Grace},
			"family_info": map[string]any{w.name("cores"): 4, "memory_kb": 9_000, w.name("run_factor"): s.Fam.Factor, "class_calls": calls,
				"below": below, w.name("say"): w.word(s.Fam.Say), "halt": w.word(s.Fam.Halt), "calls_out": 3, "calls_over": 5_000}}})
	require.NoError(t, err)
	return text
}

// The configurations of other sites decode as well: the program knows nothing of one deployment.
func TestSiteConfigsLoad(t *testing.T) {
	var w siteVocabulary
	text, err := os.ReadFile(filepath.Join(sites, "wire.json"))
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &w))
	files, err := filepath.Glob(filepath.Join(sites, "*.toml"))
	require.NoError(t, err)
	require.Len(t, files, 2)
	effects := map[admission.Idempotency]int{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		var s site
		require.NoError(t, toml.Unmarshal(text, &s), file)
		text = siteConfig(t, &s, &w)
		n, err := ReadConfig(text)
		require.NoError(t, err, file)
		requireSameConfig(t, text, n)
		config := n.Settings
		require.Equal(t, len(s.Classes), config.Operations.Len(), file)
		assert.Equal(t, len(s.Tenants), config.Tenants.Len(), file)
		assert.Equal(t, admission.SharedDependency, config.Node.Dependency, file)
		assert.Equal(t, map[string]admission.BackpressureKind{"level": admission.BackpressureLevel, "credit": admission.BackpressureCredits}[s.Fam.Say], config.Node.Backpressure, file)
		assert.Equal(t, s.Rules.Fall, config.Node.SurvivableRunsPerCore, file)
		for k, c := range s.Classes {
			i, known := config.Operations.Lookup(c.Name)
			require.True(t, known, c.Name)
			op := config.Node.Operations[i]
			assert.Equal(t, map[string]admission.Idempotency{"safe": admission.Idempotent, "keyed": admission.IdempotentWithKey, "unsafe": admission.NonIdempotent}[c.Effect], op.Idempotency, c.Name)
			assert.Equal(t, []int64{int64(c.Aim * 1e6), int64(c.Deadline * 1e6)}, []int64{op.LatencyObjective, op.ClientTimeout}, c.Name)
			assert.Equal(t, int32(k), i, c.Name)
			effects[op.Idempotency]++
		}
		New(n, nopLogger, SystemClock())
	}
	assert.Positive(t, effects[admission.IdempotentWithKey], "a site has operations with an idempotency key")
	assert.Positive(t, effects[admission.NonIdempotent], "a site has operations that are not idempotent")
}

// The names of the fields that dispatchers send are those of the sites.
func TestFieldNamesMatchSites(t *testing.T) {
	var real struct{ Serve struct{ F map[string]string } }
	text, err := os.ReadFile(filepath.Join(sites, "real.json"))
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &real))
	usual := cacheconfig.Default([]admission.Operation{{Idempotency: admission.IdempotentWithKey, DeduplicationWindow: 1}}, 64)
	assert.Equal(t, map[string]string{"id": "call", "class": "op", "tenant": "org", "left": "ttl", "stamp": "recv", "caller": "src", "retry": "rep",
		"hint": "work", "size": "heap", "rank": "crit", "idem": usual.Field, "key": "row", "wait": "pushback", "last": "stop", "say": "load",
		"deep": "e2e", "body": "body"}, real.Serve.F)
}
