package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// CI passes over just the tests that KNOWN-RED.txt names, and over none where the file is not as it must be.
func TestKnownRedNamesAtMostThreeTestsThatExist(t *testing.T) {
	red := func(text string) (skip, told string, err error) {
		folder := t.TempDir()
		for file, content := range map[string]string{"a_test.go": "func TestOne(t *testing.T) {\nfunc TestTwo(t *testing.T) {\n",
			"b_test.go": "func TestTwo(t *testing.T) {\nfunc TestOneMore(t *testing.T) {\n", "c.go": "func TestNone(t *testing.T) {\n", "KNOWN-RED.txt": text} {
			require.NoError(t, os.WriteFile(filepath.Join(folder, file), []byte(content), 0o600))
		}
		command, stderr := exec.Command("bash", "../.ci/known-red", folder), new(strings.Builder)
		command.Stderr = stderr
		out, err := command.Output()
		return strings.TrimSpace(string(out)), stderr.String(), err
	}
	skip, told, err := red("")
	require.NoError(t, err)
	assert.Empty(t, skip+told)
	skip, told, err = red("TestOne | go test -run One, seed 7 | it hung | issue 38\nTestOneMore | go test ./b | a wrong sum | issue 7\n")
	require.NoError(t, err)
	assert.Equal(t, "^(TestOne|TestOneMore)$", skip)
	assert.Contains(t, told, "passed over: TestOne | go test -run One, seed 7 | it hung | issue 38")
	const rest = " | go test ./a, seed 7 | it hung | issue 38"
	for text, why := range map[string]string{
		strings.Repeat("TestOne"+rest+"\n", 4):              "line 4: three lines at most",
		"TestOne, go test ./a, it hung, issue 38":           "line 1: malformed",
		"TestOne |  | it hung | issue 38":                   "line 1: malformed",
		"TestOne | go test ./a |  | issue 38":               "line 1: malformed",
		"TestOne | it hung | issue 38":                      "line 1: malformed",
		"TestOne | go test ./a | it hung | issue":           "line 1: malformed",
		"TestOne | go test ./a | it hung | more | issue 38": "line 1: malformed",
		"\n":              "line 1: malformed",
		"Test.*" + rest:   "line 1: malformed",
		"TestNone" + rest: "0 tests are named TestNone",
		"TestTwo" + rest:  "2 tests are named TestTwo",
	} {
		_, told, err = red(text)
		assert.Error(t, err, text)
		assert.Contains(t, told, why, text)
	}
	out, err := exec.Command("bash", "../.ci/known-red").CombinedOutput()
	assert.NoError(t, err, string(out))
}
