package integration

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/frame"
)

// keeps starts a node whose one operation is tokened, with a store in a folder.
func keeps(t *testing.T, folder string) *site {
	text, err := json.Marshal(map[string]string{"durability": "batched", "folder": folder, "segment": "64 KiB", "size": "1 MiB"})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "kept.jsonnet")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return startWith(t, false, func(config map[string]any) {
		grade := config["settings"].(map[string]any)["grades"].([]any)[0].(map[string]any)
		grade["effect"], grade["window"] = "deduplicated", 60_000
	}, "--keep", path)
}

func (d *dispatcher) invokeToken(stream uint32, token, body string) {
	d.write(frame.AppendInvocation(nil, stream, []frame.Field{{Name: "op", Value: "catalogue"},
		{Name: "call", Value: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, stream)},
		{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "src", Value: "4"},
		{Name: "heap", Value: "24.5"}, {Name: "token", Value: token}}, []byte(body)))
}

func topazpost(t *testing.T, args ...string) (string, error) {
	out, err := exec.Command(program, args...).CombinedOutput()
	return string(out), err
}

func TestWhatRanBeforeAKillIsAnsweredFromTheStoreOrToldAsUnknown(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "kept")
	s := keeps(t, folder)
	d := s.dial()
	d.invokeToken(1, "done", "result")
	assert.Equal(t, "20 on 1 result", d.answer())
	d.invokeToken(2, "open", "hold") // runs on
	for await(t, s.told)[0] != "EXEC" {
	}
	if w := await(t, s.told); w[0] != "EXEC" {
		t.Fatal(w)
	}
	out, err := topazpost(t, "results", "list", folder)
	assert.Error(t, err)
	assert.Contains(t, out, "is in use")
	s.signal(syscall.SIGKILL)
	await(t, s.ended)
	out, err = topazpost(t, "results", "list", "--unknown", folder)
	require.NoError(t, err)
	assert.Contains(t, out, "open")
	assert.NotContains(t, out, "done")
	s = keeps(t, folder)
	d = s.dial()
	stream := uint32(0)
	ask := func(token, body string) string { // until the store is read tokened work is throttled
		for {
			stream++
			d.invokeToken(stream, token, body)
			if a := d.answer(); !strings.HasPrefix(a, "50") {
				return strings.Replace(a, fmt.Sprintf(" on %d ", stream), " ", 1)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	assert.Equal(t, "20 result", ask("done", "result"))
	assert.Equal(t, "51 ", ask("open", "hold"))
	assert.Equal(t, "51 ", ask("done", "another body"))
	assert.Empty(t, s.told, "nothing ran again")
	s.signal(syscall.SIGKILL)
	await(t, s.ended)
	out, err = topazpost(t, "results", "settle", folder, "open", "--ending", "errored")
	require.NoError(t, err, out)
	out, err = topazpost(t, "results", "show", folder, "open")
	require.NoError(t, err)
	assert.Contains(t, out, "state errored")
	out, err = topazpost(t, "results", "forget", folder, "done")
	require.NoError(t, err, out)
	out, err = topazpost(t, "store", "export", folder)
	require.NoError(t, err)
	assert.NotContains(t, out, "done")
	out, err = topazpost(t, "store", "verify", folder)
	require.NoError(t, err)
	assert.Contains(t, out, "sound, 1 records")
}

func TestSpoiltStoreIsNamedAndKeptAsItIs(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "kept")
	s := keeps(t, folder)
	d := s.dial()
	for stream := range uint32(20) {
		d.invokeToken(stream+1, fmt.Sprint("t", stream), "result")
		d.answer()
	}
	s.signal(syscall.SIGKILL)
	await(t, s.ended)
	path := filepath.Join(folder, "0000000000000000.seg")
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[100] ^= 1
	require.NoError(t, os.WriteFile(path, data, 0o600))
	out, err := topazpost(t, "store", "verify", folder)
	assert.Error(t, err)
	assert.Contains(t, out, path+": store: broken at offset")
	out, err = topazpost(t, append([]string{"serve"}, append(s.flags, s.path)...)...)
	assert.Error(t, err)
	assert.Contains(t, out, "0000000000000000.seg: store: broken at offset")
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, data, after)
}
