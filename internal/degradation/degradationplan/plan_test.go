package degradationplan

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
	"topazpost/internal/configfile"
	"topazpost/internal/degradation"
	"topazpost/internal/nodeconfig"
)

var operations = nodeconfig.NewNames("catalogue", "delivery-quote", "hold")

var header = regexp.MustCompile(`^// line (\d+) \| (.*) \| (.*)\n`)

// Each file of the corpus says in its first line where it is broken, in which words, and what mends it.
func TestEachBrokenPlanIsCaughtAtItsLineWithItsMend(t *testing.T) {
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

func TestSoundPlansAreRead(t *testing.T) {
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

func TestTableShowsWhatEachRungSaves(t *testing.T) {
	p, err := Read("testdata/sound/plain.jsonnet", operations)
	require.NoError(t, err)
	of := &nodeconfig.Config{Operations: operations, Node: admission.Config{Operations: []admission.Operation{
		{PriorityWeight: 1}, {PriorityWeight: 2}, {PriorityWeight: 5}}}}
	var b strings.Builder
	require.NoError(t, Show(&b, p, of, map[string]float64{"catalogue": 50, "delivery-quote": 40, "hold": 10}))
	assert.Regexp(t, `hold-only +refused +refused +whole +90 % +72 % +load > 100 % for 1 s or wait > 80 % for 0.5 s +load < 85 % for 5 s`,
		b.String())
}
