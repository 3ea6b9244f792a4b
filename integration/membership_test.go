package integration

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

// fleetFile writes the file of a fleet without a consensus group, whose only other member is whoever sends to bind.
func fleetFile(t testing.TB) (path, bind string) {
	t.Helper()
	return fleetFileWithReplicas(t, nil)
}

// fleetFileWithReplicas writes the file of a fleet with a consensus group of these replicas, if there are any.
func fleetFileWithReplicas(t testing.TB, replicas []string) (path, bind string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	bind = listener.Addr().String()
	listener.Close()
	config := map[string]any{"fleet": "tests", "bind": bind, "seeds": []string{bind}}
	if replicas != nil {
		config["council"] = map[string]any{"seats": replicas}
	}
	text, err := json.Marshal(config)
	require.NoError(t, err)
	path = filepath.Join(t.TempDir(), "fleet.jsonnet")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path, bind
}

// floodDatagrams sends datagrams as fast as it can until stop is called, which returns how many were sent.
func floodDatagrams(t testing.TB, address string, next func() []byte) (stop func() int) {
	t.Helper()
	const burst = 50 // datagrams between two pauses
	conn, err := net.Dial("udp", address)
	require.NoError(t, err)
	stopped := make(chan struct{})
	count := make(chan int)
	go func() {
		for sent := 0; ; sent++ {
			select {
			case <-stopped:
				conn.Close()
				count <- sent
				return
			default:
			}
			_, _ = conn.Write(next()) // nobody may be listening any more
			if sent%burst == 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	return func() int {
		close(stopped)
		return <-count
	}
}

// randomDatagrams returns a source of datagrams that are noise behind a valid version.
func randomDatagrams() func() []byte {
	random := rand.New(rand.NewSource(1))
	return func() []byte {
		b := make([]byte, random.Intn(1_400))
		random.Read(b)
		if len(b) > 0 {
			b[0] = envelope.Version
		}
		return b
	}
}

func TestFleetPeerThatFloodsOrSendsInvalidDataBlocksNobody(t *testing.T) {
	path, bind := fleetFile(t)
	node := startNodeWithFlags(t, nil, "--fleet", path)
	stopFlood := floodDatagrams(t, bind, randomDatagrams())
	oversized, err := net.Dial("tcp", bind) // announces a longer message than is allowed
	require.NoError(t, err)
	defer oversized.Close()
	_, err = oversized.Write([]byte{0xff, 0xff, 0xff, 0x7f, 1, 2, 3})
	require.NoError(t, err)
	slow, err := net.Dial("tcp", bind) // begins a message and sends no more
	require.NoError(t, err)
	defer slow.Close()
	_, err = slow.Write([]byte{100, 0, 0, 0, 1})
	require.NoError(t, err)
	node.awaitLog("peer floods")
	d := node.dial()
	for stream := range uint32(100) {
		d.invoke(stream+1, "x")
		assert.Equal(t, fmt.Sprintf("20 on %d x", stream+1), d.answer())
	}
	assert.Positive(t, stopFlood())
	out, err := exec.Command(program, "members", "--fleet", "tests", "--json", bind).Output()
	require.NoError(t, err)
	var view struct {
		Members []struct{ Name, Status, Reach string }
	}
	require.NoError(t, json.Unmarshal(out, &view))
	require.Len(t, view.Members, 1)
	assert.Equal(t, "n1", view.Members[0].Name)
	out, err = exec.Command(program, "members", "--fleet", "others", bind).CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), "is it a node of the fleet")
}

func TestNoUDPSocketIsOpenWithoutAFleet(t *testing.T) {
	node := startNode(t, nil)
	sockets := 0
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/net", node.command.Process.Pid))
	require.NoError(t, err)
	require.NotEmpty(t, entries)
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.command.Process.Pid))
	require.NoError(t, err)
	udp, err := os.ReadFile("/proc/net/udp")
	require.NoError(t, err)
	for _, f := range files {
		to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", node.command.Process.Pid, f.Name()))
		var inode int
		if n, _ := fmt.Sscanf(to, "socket:[%d]", &inode); n == 1 && containsInode(string(udp), inode) {
			sockets++
		}
	}
	assert.Zero(t, sockets)
}

func TestInvalidFleetFileIsReportedWithItsLines(t *testing.T) {
	const text = "{\n  fleet: 'x',\n  bind: '0.0.0.0:7946',\n  seeds: ['node-1:7946'],\n  silence: '1 s',\n}"
	path := filepath.Join(t.TempDir(), "fleet.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	node := startNode(t, nil)
	out, err := exec.Command(program, "check", "--fleet", path, node.configPath).CombinedOutput()
	assert.Error(t, err)
	for _, want := range []string{path + ":3: bind: is the unspecified address", path + ":4: seeds.0:", path + ":5: silence: is shorter than 4 probe intervals"} {
		assert.Contains(t, string(out), want)
	}
}

// peerTraffic is what a node has to do with fleet peers while it serves.
type peerTraffic string

const (
	noFleet      peerTraffic = "off"
	quietFleet   peerTraffic = "on"
	floodedFleet peerTraffic = "flood"
)

// BenchmarkInvocationsBesidePeers measures latencies of invocations with no fleet, in one, and with a peer that floods,
// in turns: go test -bench BesidePeers -benchtime 1x ./integration.
func BenchmarkInvocationsBesidePeers(b *testing.B) {
	const rounds = 3
	kinds := []peerTraffic{noFleet, quietFleet, floodedFleet}
	for b.Loop() {
		latencies := map[peerTraffic]*hdrhistogram.Histogram{}
		elapsed := map[peerTraffic]time.Duration{}
		for _, kind := range kinds {
			latencies[kind] = hdrhistogram.New(1, 10_000_000, 3)
		}
		for range rounds {
			for _, kind := range kinds {
				elapsed[kind] += measureBesidePeers(b, kind, latencies[kind])
			}
		}
		for _, kind := range kinds {
			h := latencies[kind]
			b.ReportMetric(float64(h.ValueAtQuantile(50)), string(kind)+"_p50_us")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), string(kind)+"_p99_us")
			b.ReportMetric(float64(h.TotalCount())/elapsed[kind].Seconds(), string(kind)+"_per_s")
		}
	}
}

// measureBesidePeers records the latencies of invocations one after the other and returns the time that all took.
func measureBesidePeers(b *testing.B, kind peerTraffic, latencies *hdrhistogram.Histogram) time.Duration {
	const invocations = 800
	path, bind := fleetFile(b)
	var flags []string
	if kind != noFleet {
		flags = []string{"--fleet", path}
	}
	node := startNodeWithFlags(b, nil, flags...)
	defer node.command.Process.Kill()
	if kind == floodedFleet {
		ping, err := envelope.Seal(nil, envelope.FleetIDOf("tests"), &membership.Message{Kind: membership.MessagePing, From: 7})
		require.NoError(b, err)
		stopFlood := floodDatagrams(b, bind, func() []byte { return ping })
		defer stopFlood()
	}
	d := node.dial()
	startedAt := time.Now()
	for stream := range uint32(invocations) {
		sent := time.Now()
		d.conn.SetDeadline(sent.Add(testTimeout))
		d.invoke(stream+1, "x")
		d.answer()
		require.NoError(b, latencies.RecordValue(time.Since(sent).Microseconds()))
	}
	return time.Since(startedAt)
}

// containsInode reports whether a table of /proc/net names a socket.
func containsInode(table string, inode int) bool {
	for _, line := range strings.Split(table, "\n") {
		if fields := strings.Fields(line); len(fields) > 9 && fields[9] == strconv.Itoa(inode) {
			return true
		}
	}
	return false
}
