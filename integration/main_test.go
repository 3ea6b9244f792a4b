// Package integration starts the built program and talks to it over sockets. The executor, the catalogue and the control
// plane are stand-ins, one set for each node; the tests are its dispatchers and fleet peers.
package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpost/internal/invariant"
)

// testTimeout ends a test that hangs; no verdict rests on it.
const testTimeout = 30 * time.Second

// program is the path of the built program.
var program string

// TestMain builds the program as it is deployed and runs the tests.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "topazpost")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "topazpost")
	build := exec.Command("sh", "-c", buildCommand(folder))
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder) // a temporary folder that stays does no harm
	os.Exit(code)
}

// buildCommand returns the build command of the deploy file with another output folder, and with assertions if this test
// was built with them.
func buildCommand(folder string) string {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		panic(err)
	}
	build := ""
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, `build = "`); found {
			build, _, _ = strings.Cut(value, `"`)
		}
	}
	build = strings.Replace(build, "-o bin/", "-o "+folder+"/", 1)
	if invariant.Debug {
		build = strings.Replace(build, "go build", "go build -tags debug", 1)
	}
	return build
}

// runProgram runs the program to its end and returns its combined output.
func runProgram(args ...string) (string, error) {
	out, err := exec.Command(program, args...).CombinedOutput()
	return string(out), err
}

// await receives one value; the test fails if none comes in time.
func await[T any](t testing.TB, c <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(testTimeout):
		require.Fail(t, "nothing came")
	}
	return value
}
