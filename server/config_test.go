package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/fleetconfig"
	"topazpost/internal/nodeconfig"
)

// largeConfig is a configuration with the given numbers of operations and tenants.
func largeConfig(operations, tenants int) []byte {
	var b strings.Builder
	b.WriteString(`{"name":"n","listen":"127.0.0.1:0","executor":"127.0.0.1:1","control":"127.0.0.1:1","catalog":"127.0.0.1:1","seed":"1",
"stop_ms":25000,"limits":{"cores":2,"memory_mb":512,"sockets":512},"settings":{"family_info":{"memory_kb":9000,"n_cores":2},
"guarantees":{"tip_multiple":4},"grades":[`)
	for i := range operations {
		fmt.Fprintf(&b, `%s{"name":"route-%04d","aim":%d,"give_up":%d,"window":10000,"importance":%d,"effect":"%s"}`, strings.Repeat(",", min(i, 1)), i,
			200+i%7*100, 1000+i%5*500, 1+i%3, []string{"idempotent", "deduplicated", "at_most_once"}[i%3])
	}
	b.WriteString(`],"tenants":[`)
	for i := range tenants {
		fmt.Fprintf(&b, `%s{"name":"tenant-%06d","quota_rps":%d}`, strings.Repeat(",", min(i, 1)), i, 1+i%9)
	}
	b.WriteString(`]}}`)
	return []byte(b.String())
}

// heapWatcher is a reader that samples the live heap while it is read.
type heapWatcher struct {
	io.Reader
	countdown int
	peak      uint64
}

func (w *heapWatcher) Read(b []byte) (int, error) {
	w.countdown--
	if w.countdown%16 == 0 {
		w.peak = max(w.peak, liveHeap())
	}
	return w.Reader.Read(b)
}

func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A large configuration is never in memory as a whole, neither while it is read nor after: 8 MB for 4,700 operations and
// 130,000 tenants, for whose names alone a map takes more.
func TestDecodeConfigStreamsLargeConfigInBoundedMemory(t *testing.T) {
	text := largeConfig(4_700, 130_000)
	before := liveHeap()
	w := &heapWatcher{Reader: bytes.NewReader(text)}
	config, err := DecodeConfig(w)
	require.NoError(t, err)
	growth := liveHeap() - before
	assert.Less(t, growth, uint64(8<<20))
	assert.Less(t, w.peak-before, uint64(8<<20))
	assert.Less(t, w.countdown, -50, "read in pieces")
	i, known := config.Settings.Tenants.Lookup("tenant-129999")
	assert.True(t, known)
	assert.Equal(t, int32(129_999), i)
	assert.Equal(t, 1+129_999%9, int(config.Settings.Node.TenantRates[i]))
	runtime.KeepAlive(text)
}

// A configuration for Reload is compared by its digest, and takes no memory that grows with its tenants, neither while it is
// read nor after.
func TestDecodeReloadKeepsNoTenantTable(t *testing.T) {
	text := largeConfig(4_700, 130_000)
	config, err := DecodeConfig(bytes.NewReader(text))
	require.NoError(t, err)
	before := liveHeap()
	w := &heapWatcher{Reader: bytes.NewReader(text)}
	next, err := DecodeReload(w)
	require.NoError(t, err)
	const limit = 2 << 20 // bytes: 4,700 operations with their names, and the read buffer; the tenants alone take more
	assert.Less(t, w.peak-before, uint64(limit))
	assert.Less(t, liveHeap()-before, uint64(limit))
	assert.Empty(t, config.changedFields(next))
	assert.Equal(t, 4_700, next.Settings.Operations.Len(), "a degradation plan refers to them by name")
	other := bytes.Replace(text, []byte(`"tenant-129999","quota_rps":`), []byte(`"tenant-129999","quota_rps":1`), 1)
	next, err = DecodeReload(bytes.NewReader(other))
	require.NoError(t, err)
	assert.Equal(t, []string{"settings"}, config.changedFields(next))
	_, err = DecodeReload(bytes.NewReader(bytes.Replace(text, []byte(`"tenant-000077","quota_rps":6`), []byte(`"tenant-000077","quota_rps":"many"`), 1)))
	assert.ErrorContains(t, err, "tenants.77.quota_rps")
	runtime.KeepAlive(text)
	runtime.KeepAlive(config)
}

// A node has the distributed configuration in memory twice, decoded and in canonical form: both together take at most 100
// bytes for a tenant whose name and value have 40.
func TestConfigContentUsesBoundedMemoryPerTenant(t *testing.T) {
	const tenants = 130_000
	text := largeConfig(4_700, tenants)
	before := liveHeap()
	config, err := DecodeConfig(bytes.NewReader(text))
	require.NoError(t, err)
	content, err := configContent(config.Settings)
	require.NoError(t, err)
	assert.Less(t, liveHeap()-before, uint64(100*tenants))
	assert.Equal(t, tenants, content.Len(configsync.Tenants))
	runtime.KeepAlive(text)
	runtime.KeepAlive(config)
}

// The heap may grow less between collections where most of it is long-lived tables.
func TestLimitLowersGCPercentWithConfigSync(t *testing.T) {
	cores, percent, limit := runtime.GOMAXPROCS(0), debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		runtime.GOMAXPROCS(cores)
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	for _, config := range []*Config{{Cores: 1, MemoryMB: 1024}, {Cores: 1, MemoryMB: 1024, Fleet: &fleetconfig.Fleet{}}} {
		config.Limit()
		assert.Equal(t, 100, debug.SetGCPercent(100), "the default of the runtime")
	}
	(&Config{Cores: 1, MemoryMB: 1024, Fleet: &fleetconfig.Fleet{ConfigSync: &fleetconfig.ConfigSync{}}}).Limit()
	assert.Equal(t, inServiceGCPercent, debug.SetGCPercent(100))
}

// Settings that differ only in order and space have the same digest.
func TestChangedFieldsIgnoresOrderAndSpace(t *testing.T) {
	read := func(from, to string) *Config {
		text := strings.Replace(string(largeConfig(3, 3)), from, to, 1)
		config, err := ReadConfig([]byte(text))
		require.NoError(t, err)
		return config
	}
	config := read("", "")
	assert.Empty(t, config.changedFields(read(`"aim":200,"give_up":1000`, `"give_up" : 1000, "aim":200`)))
	for from, to := range map[string]string{`"quota_rps":2`: `"quota_rps":3`, `"aim":200`: `"aim":201`, `"n_cores":2`: `"n_cores":3`,
		`"route-0002"`: `"route-2"`} {
		assert.Equal(t, []string{"settings"}, config.changedFields(read(from, to)), to)
	}
}

// An error in a large file names the place of the invalid field.
func TestReadConfigErrorNamesNestedField(t *testing.T) {
	for _, c := range []struct{ valid, invalid, field string }{
		{`"tenant-000077","quota_rps":6`, `"tenant-000077","quota_rps":"many"`, "tenants.77.quota_rps"},
		{`"route-0031","aim":500`, `"route-0031","aim":-1`, "grades.31"},
	} {
		_, err := ReadConfig(bytes.Replace(largeConfig(40, 100), []byte(c.valid), []byte(c.invalid), 1))
		assert.ErrorContains(t, err, c.field)
	}
	_, err := ReadConfig(largeConfig(40, 100)[:2_000])
	assert.ErrorContains(t, err, "byte")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// toPairs converts settings to the path=value pairs of the line protocol.
func toPairs(path string, tree any) (list []string) {
	switch v := tree.(type) {
	case map[string]any:
		for key, sub := range v {
			list = append(list, toPairs(strings.TrimPrefix(path+"."+key, "."), sub)...)
		}
	case []any:
		var plain []string
		for i, sub := range v {
			if _, object := sub.(map[string]any); object {
				list = append(list, toPairs(fmt.Sprint(path, ".", i), sub)...)
			} else {
				plain = append(plain, fmt.Sprint(sub))
			}
		}
		if len(plain) == len(v) {
			return append(list, path+"="+strings.Join(plain, ","))
		}
		list = append(list, fmt.Sprint(path, ".count=", len(v)))
	case nil:
	default:
		list = append(list, fmt.Sprint(path, "=", v))
	}
	return list
}

// requireSameConfig compares a config decoded from a stream with the one that the same settings give as pairs.
func requireSameConfig(t *testing.T, text []byte, config *Config) {
	var f struct{ Settings any }
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	require.NoError(t, d.Decode(&f))
	pairs, err := nodeconfig.FromPairs(config.Settings.Node.Seed, toPairs("", f.Settings))
	require.NoError(t, err)
	assert.Equal(t, pairs, config.Settings)
}

// A version is applied to a running node, or rejected with the item named; the log shows either.
func TestAmendAppliesVersionToRunningServer(t *testing.T) {
	config, err := DecodeConfig(bytes.NewReader(largeConfig(3, 3)))
	require.NoError(t, err)
	lines := make(lineWriter, 100)
	s := New(config, zerolog.New(lines), SystemClock())
	require.NoError(t, s.Listen())
	ended := make(chan error, 1)
	ready := make(chan struct{})
	go func() { close(ready); ended <- s.Run(context.Background()) }()
	<-ready
	awaitLine := func(text string) (line string) {
		for !strings.Contains(line, text) {
			select {
			case line = <-lines:
			case <-time.After(20 * time.Second):
				require.Fail(t, "not logged", text)
			}
		}
		return line
	}
	awaitLine("listening")
	op := func(value string) nodeconfig.Item {
		return nodeconfig.Item{Part: nodeconfig.Operations, Name: "new", Value: []byte(value)}
	}
	assert.ErrorContains(t, s.Amend(1, []nodeconfig.Item{op(`{"aim":1,"give_up":2,"effect":"twice"}`)}), `operations.new.effect: "twice" is not known`)
	assert.ErrorContains(t, s.Amend(1, []nodeconfig.Item{{Part: nodeconfig.Limits, Name: "family_info.memory_kb", Value: []byte("1")}}), "takes a new start")
	require.NoError(t, s.Amend(1, []nodeconfig.Item{op(`{"aim":1,"give_up":90000,"effect":"idempotent"}`), {Part: nodeconfig.Tenants, Name: "tenant-000001"}}))
	assert.Contains(t, awaitLine("in force"), `"version":1,"message":"configuration: the version is in force, 1 added, 0 changed, 1 removed"`)
	assert.Equal(t, int64(90_000e6), s.conns.maxClientTimeout.Load())
	require.NoError(t, s.Amend(1, []nodeconfig.Item{op(`{"aim":1,"give_up":2,"effect":"idempotent"}`)}))
	assert.Contains(t, awaitLine("can't be taken"), "version is not newer than the last one queued or in force")
	s.Drain()
	assert.NoError(t, <-ended)
}

// lineWriter passes on the lines of a logger, and drops them when its buffer is full.
type lineWriter chan string

func (w lineWriter) Write(b []byte) (int, error) {
	select {
	case w <- string(b):
	default:
	}
	return len(b), nil
}
