package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/parquet-go/parquet-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEveryExperimentCanBeReadWithItsPlans(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/levels-*.jsonnet") // fault scenarios on fleets are read by package processfleet
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, path := range files {
		x, err := Read(path, nil)
		require.NoError(t, err, path)
		assert.NotEmpty(t, x.Claims, path)
		for name, v := range x.Variants {
			_, err := x.emulatorDay(1, v)
			assert.NoError(t, err, "%s, %s", path, name)
		}
	}
}

func runShortExperiment(t *testing.T, changed map[string]string) *Result {
	changed["day.length"] = "6 s"
	x, err := Read("../../../experiments/levels-constant.jsonnet", changed)
	require.NoError(t, err)
	r, err := x.Run([]int64{1, 2}, nil)
	require.NoError(t, err)
	return r
}

func TestClaimsAreEvaluatedOnEachSeedAndAgainstOtherVariants(t *testing.T) {
	r := runShortExperiment(t, map[string]string{"claims": `[
		{"name": "a", "variant": "module", "measure": "value", "least": 0.2},
		{"name": "b", "variant": "module", "measure": "value", "most": 0.2},
		{"name": "c", "variant": "module", "over": "module", "measure": "value", "least": 0, "most": 0},
		{"name": "d", "variant": "ladder", "over": "pool", "measure": "value", "least": 0.05},
		{"name": "e", "variant": "pool", "measure": "top", "most": 0, "mean": true}]`})
	var held []bool
	for _, v := range r.Verdicts {
		held = append(held, v.Held)
	}
	assert.Equal(t, []bool{true, false, true, true, true}, held)
	assert.False(t, r.Held())
}

func TestReportIsOneObjectOnItsLastLine(t *testing.T) {
	r := runShortExperiment(t, map[string]string{})
	var b bytes.Buffer
	require.NoError(t, r.Print(&b))
	require.NoError(t, r.JSON(&b))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	var got struct {
		Experiment string
		Seeds      []int64
		Claims     []Verdict
		Variants   map[string]struct{ Value float64 }
	}
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &got))
	assert.Equal(t, "levels-constant", got.Experiment)
	assert.Equal(t, []int64{1, 2}, got.Seeds)
	assert.Len(t, got.Claims, len(r.Experiment.Claims))
	assert.Positive(t, got.Variants["module"].Value)
}

func TestSeriesAreSavedAsParquetAndPlots(t *testing.T) {
	r := runShortExperiment(t, map[string]string{})
	folder := t.TempDir()
	require.NoError(t, r.Save(folder))
	rows, err := parquet.ReadFile[row](filepath.Join(folder, "levels-constant.parquet"))
	require.NoError(t, err)
	assert.Len(t, rows, 6*2*len(r.Experiment.Variants))
	assert.Len(t, rows[0].Levels, 4)
	plots, err := filepath.Glob(filepath.Join(folder, "*.svg"))
	require.NoError(t, err)
	assert.Len(t, plots, len(r.Experiment.Variants))
}

func TestUnknownNamesAreReported(t *testing.T) {
	for path, text := range map[string]string{"claims.0.variant": "no variant is named", "claims.0.measure": "no measure is named"} {
		_, err := Read("../../../experiments/levels-constant.jsonnet", map[string]string{path: "zz"})
		assert.ErrorContains(t, err, text)
	}
}

func TestRecordedLoadIsReadAndItsMistakesNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.csv")
	for text, mistake := range map[string]string{"at_s,load\n0,0.5\n10,1.5\n": "", "at_s,load\n0,x\n": "a.csv:2", "at_s,load\n": "has no load",
		"at_s,load\n5,1\n5,1\n": "a.csv:3: 5 s does not come after 5 s", "at_s\n1\n": "write seconds and load"} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		load, err := readRecordedLoad(path)
		if mistake != "" {
			assert.ErrorContains(t, err, mistake)
			continue
		}
		require.NoError(t, err)
		assert.Equal(t, []float64{0.5, 1, 1.5}, []float64{load(0), load(5e9), load(99e9)})
	}
}
