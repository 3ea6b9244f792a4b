package integration

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuick(t *testing.T) {
	folder := t.TempDir()
	names := []string{"n1", "n2", "n3"}
	var binds []string
	for range names {
		_, bind := fleetWith(t, nil)
		binds = append(binds, bind)
	}
	var sites []*site
	for i, name := range names {
		text, err := json.Marshal(map[string]any{"fleet": "tests", "bind": binds[i], "seeds": binds, "council": map[string]any{"seats": names},
			"configuration": map[string]any{"folder": filepath.Join(folder, "c-{name}")}})
		require.NoError(t, err)
		path := filepath.Join(folder, name+".jsonnet")
		require.NoError(t, os.WriteFile(path, text, 0o600))
		sites = append(sites, startWith(t, false, func(c map[string]any) { c["name"] = name }, "--fleet", path))
	}
	run := func(args ...string) {
		began := time.Now()
		out, err := exec.Command(program, args...).CombinedOutput()
		fmt.Println(args, time.Since(began), err)
		fmt.Println(string(out))
	}
	run("config", "put", "--fleet", "tests", "--at", binds[0], "--within", "15s", "--wait", sites[0].path)
	small := filepath.Join(folder, "small.jsonnet")
	require.NoError(t, os.WriteFile(small, []byte(`{tenants: {a: {quota_rps: 5}}, operations: {more: {aim: 100, give_up: 500, effect: 'idempotent', importance: 2}}}`), 0o600))
	run("config", "diff", "--fleet", "tests", "--at", binds[0], small)
	run("config", "put", "--fleet", "tests", "--at", binds[1], "--within", "15s", "--wait", small)
	run("config", "put", "--fleet", "tests", "--at", binds[1], "--base", "1", small)
	run("config", "status", "--fleet", "tests", "--at", binds[1])
	run("config", "status", "--fleet", "tests", "--at", binds[1], "--json")
	run("config", "show", "--fleet", "tests", "--at", binds[1])
	run("config", "rollback", "--fleet", "tests", "--at", binds[2], "1", "--wait")
	run("config", "status", "--fleet", "tests", "--at", binds[1])
	for _, s := range sites {
		for len(s.log) > 0 {
			fmt.Println(<-s.log)
		}
	}
}
