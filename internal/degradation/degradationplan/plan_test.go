package degradationplan

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/configfile"
	"topazpost/internal/degradation"
	"topazpost/internal/nodeconfig"
)

var operations = nodeconfig.NewNames("catalogue", "delivery-quote", "hold")

// header matches the first line of an invalid plan: line, description and suggestion of the expected problem.
var header = regexp.MustCompile(`^// line (\d+) \| (.*) \| (.*)\n`)

// Operators rely on the reported line, description and suggestion to correct a plan. The first line of each file states what is expected.
func TestInvalidPlanIsReportedWithLineAndSuggestion(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.jsonnet")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 30)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			want := header.FindStringSubmatch(string(text))
			require.NotNil(t, want)
			line, _ := strconv.Atoi(want[1])
			_, err = Read(path, operations)
			require.Error(t, err)
			first := &configfile.ProblemError{}
			if all := (configfile.ProblemErrors{}); errors.As(err, &all) {
				first = all[0]
			} else {
				require.ErrorAs(t, err, &first)
			}
			assert.Equal(t, filepath.Base(path), filepath.Base(first.File))
			assert.Equal(t, line, first.Line, err)
			assert.Contains(t, first.Message, want[2])
			assert.Contains(t, first.Hint, want[3])
		})
	}
}

func TestValidPlansAreRead(t *testing.T) {
	for _, name := range []string{"plain", "template", "imported"} {
		p, err := Read("testdata/sound/"+name+".jsonnet", operations)
		require.NoError(t, err)
		assert.Len(t, p.Levels, 2)
		assert.Equal(t, []admission.Service{{Form: admission.Shed}, {Form: admission.Shed}, {}}, p.Levels[1].Services)
	}
	p, err := Read("testdata/sound/imported.jsonnet", operations)
	require.NoError(t, err)
	assert.Equal(t, int64(20e9), p.MinHold)
	assert.Equal(t, 0.1, p.Jitter)
	assert.Equal(t, 1.0, p.Levels[0].Enter[0].Limits[degradation.Load])
	assert.Equal(t, int64(1e9), p.Levels[0].Enter[0].Duration)
}

const planWithReducedForm = `{"name": "p", "forms_known": true, "spare": true, "levels": [
	{"name": "plain", "reduce": {"catalogue": {"form": "short", "work": "50 %", "value": "80 %"}},
		"enter": [{"load": "100 %", "for": "1 s"}], "exit": {"load": "85 %", "for": "5 s"}},
	{"name": "none", "refuse": ["catalogue"], "enter": [{"load": "120 %", "for": "1 s"}], "exit": {"load": "85 %", "for": "5 s"}}]}`

// parseJSON returns a plan file with the given JSON.
func parseJSON(t *testing.T, text string) *configfile.File {
	file, err := configfile.Rendered("plan.json", []byte(text))
	require.NoError(t, err)
	return file
}

// While there is spare capacity, a shed operation is served in the form that the previous level gives it.
func TestShedOperationKeepsTheFormOfThePreviousLevel(t *testing.T) {
	p, err := Parse(parseJSON(t, planWithReducedForm), operations)
	require.NoError(t, err)
	assert.Equal(t, admission.Service{Form: admission.Reduced, WorkShare: 0.5, WeightShare: 0.8}, p.Levels[0].Services[0])
	assert.Equal(t, admission.Service{Form: admission.Shed, WorkShare: 0.5, WeightShare: 0.8}, p.Levels[1].Services[0])
	assert.Equal(t, [][]string{{"short", "", ""}, {"short", "", ""}}, p.Forms)
	assert.True(t, p.UseSpareCapacity)
}

func TestOmittedSettingsHaveDefaults(t *testing.T) {
	p, err := Parse(parseJSON(t, planWithReducedForm), operations)
	require.NoError(t, err)
	assert.Equal(t, []int64{defaultMinHold, defaultMaxHold, defaultGapHalfLife, defaultTrialPeriod}, []int64{p.MinHold, p.MaxHold, p.GapHalfLife, p.TrialPeriod})
	assert.Equal(t, []float64{defaultHoldGapFactor, defaultJitter}, []float64{p.HoldGapFactor, p.Jitter})
	assert.Equal(t, defaultIdleLoad, p.IdleCondition.Limits[degradation.Load])
	assert.Equal(t, int64(defaultIdleTime), p.IdleCondition.Duration)
}
