package integration

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/protocol/frame"
)

// startNodeWithStore starts a node whose one operation is tokened, with a store in a folder.
func startNodeWithStore(t *testing.T, folder string) *testNode {
	text, err := json.Marshal(map[string]string{"durability": "batched", "folder": folder, "segment": "64 KiB", "size": "1 MiB"})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "kept.jsonnet")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return startNodeWithFlags(t, false, func(config nodeConfig) {
		grade := config.operation()
		grade["effect"], grade["window"] = "deduplicated", 60_000
	}, "--keep", path)
}

func TestResultsBeforeAKillAreAnsweredFromTheStoreOrReportedUnknown(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "kept")
	node := startNodeWithStore(t, folder)
	d := node.dial()
	d.invokeWithToken(1, "done", "result")
	assert.Equal(t, "20 on 1 result", d.answer())
	d.invokeWithToken(2, "open", "hold") // runs on
	for await(t, node.executor.commands)[0] != "EXEC" {
	}
	if w := await(t, node.executor.commands); w[0] != "EXEC" {
		t.Fatal(w)
	}
	out, err := runProgram("results", "list", folder)
	assert.Error(t, err)
	assert.Contains(t, out, "is in use")
	node.signal(syscall.SIGKILL)
	_ = await(t, node.exited) // the error of the kill
	out, err = runProgram("results", "list", "--unknown", folder)
	require.NoError(t, err)
	assert.Contains(t, out, "open")
	assert.NotContains(t, out, "done")
	node = startNodeWithStore(t, folder)
	d = node.dial()
	stream := uint32(0)
	ask := func(token, body string) string { // until the store is read tokened work is throttled
		for {
			stream++
			d.invokeWithToken(stream, token, body)
			if a := d.answer(); !strings.HasPrefix(a, "50") {
				return strings.Replace(a, fmt.Sprintf(" on %d ", stream), " ", 1)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	assert.Equal(t, "20 result", ask("done", "result"))
	assert.Equal(t, "51 ", ask("open", "hold"))
	assert.Equal(t, "51 ", ask("done", "another body"))
	assert.Empty(t, node.executor.commands, "nothing ran again")
	node.signal(syscall.SIGKILL)
	_ = await(t, node.exited) // the error of the kill
	out, err = runProgram("results", "settle", folder, "open", "--ending", "errored")
	require.NoError(t, err, out)
	out, err = runProgram("results", "show", folder, "open")
	require.NoError(t, err)
	assert.Contains(t, out, "state errored")
	out, err = runProgram("results", "forget", folder, "done")
	require.NoError(t, err, out)
	out, err = runProgram("store", "export", folder)
	require.NoError(t, err)
	assert.NotContains(t, out, "done")
	out, err = runProgram("store", "verify", folder)
	require.NoError(t, err)
	assert.Contains(t, out, "sound, 1 records")
}

func TestCorruptStoreIsReportedAndLeftUnchanged(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "kept")
	node := startNodeWithStore(t, folder)
	d := node.dial()
	for stream := range uint32(20) {
		d.invokeWithToken(stream+1, fmt.Sprint("t", stream), "result")
		d.answer()
	}
	node.signal(syscall.SIGKILL)
	_ = await(t, node.exited) // the error of the kill
	path := filepath.Join(folder, "0000000000000000.seg")
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[100] ^= 1
	require.NoError(t, os.WriteFile(path, data, 0o600))
	out, err := runProgram("store", "verify", folder)
	assert.Error(t, err)
	assert.Contains(t, out, path+": store: broken at offset")
	out, err = runProgram(append([]string{"serve"}, append(node.flags, node.configPath)...)...)
	assert.Error(t, err)
	assert.Contains(t, out, "0000000000000000.seg: store: broken at offset")
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, data, after)
}

// BenchmarkTokenedInvocations measures what keeping costs: an idempotent invocation without and with a store beside it,
// a tokened one in each mode, in turns: go test -bench Tokened -benchtime 1x ./integration.
func BenchmarkTokenedInvocations(b *testing.B) {
	modes := []string{"idempotent", "idempotent beside a store", "none", "batched", "each"}
	for b.Loop() {
		all := map[string]*hdrhistogram.Histogram{}
		for _, mode := range modes {
			all[mode] = hdrhistogram.New(1, 10_000_000, 3)
		}
		for range 3 {
			for _, mode := range modes {
				measureWithStore(b, mode, all[mode])
			}
		}
		for _, mode := range modes {
			name := strings.ReplaceAll(mode, " ", "_")
			b.ReportMetric(float64(all[mode].ValueAtQuantile(50)), name+"_p50_us")
			b.ReportMetric(float64(all[mode].ValueAtQuantile(99)), name+"_p99_us")
		}
	}
}

func measureWithStore(b *testing.B, mode string, latencies *hdrhistogram.Histogram) {
	durability := map[string]string{"none": "none", "each": "each"}[mode]
	if durability == "" {
		durability = "batched"
	}
	text, err := json.Marshal(map[string]string{"durability": durability, "folder": filepath.Join(b.TempDir(), "kept"), "segment": "1 MiB", "size": "64 MiB"})
	require.NoError(b, err)
	path := filepath.Join(b.TempDir(), "kept.jsonnet")
	require.NoError(b, os.WriteFile(path, text, 0o600))
	var flags []string
	change := func(config nodeConfig) {
		settings := config.settings()
		first := settings["grades"].([]any)[0]
		tokened := map[string]any{"name": "hold", "aim": 5_000, "give_up": 9_000, "importance": 1, "effect": "deduplicated", "window": 600_000}
		settings["grades"] = []any{first, tokened}
		info := config.familyInfo()
		info["memory_kb"], info["entry_kb"], info["class_calls"] = 900_000, 1, []bool{true, false}
	}
	if mode != "idempotent" {
		flags = []string{"--keep", path}
	}
	node := startNodeWithFlags(b, false, change, flags...)
	defer node.command.Process.Kill()
	d := node.dial()
	for stream := range uint32(600) {
		fields := []frame.Field{{Name: "op", Value: "catalogue"}, {Name: "call", Value: fmt.Sprintf("%016x", stream+1)},
			{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "src", Value: "4"}, {Name: "heap", Value: "1"}}
		if !strings.HasPrefix(mode, "idempotent") {
			fields[0].Value = "hold"
			fields = append(fields, frame.Field{Name: "dedupe", Value: fmt.Sprint("t", stream)})
		}
		at := time.Now()
		d.conn.SetDeadline(at.Add(testTimeout))
		d.write(frame.AppendInvocation(nil, stream+1, fields, []byte("x")))
		d.answer()
		require.NoError(b, latencies.RecordValue(time.Since(at).Microseconds()))
	}
}
