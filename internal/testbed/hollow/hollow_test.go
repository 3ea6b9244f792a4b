package hollow

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "hollow")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "topazlab")
	if out, err := exec.Command("go", "build", "-o", program, "topazpost/cmd/topazlab").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

const generous = 30 * time.Second // for what takes a second on a machine that is idle

// quick are fields of a fleet whose losses are known soon.
var quick = map[string]any{"probe": "100 ms", "silence": "1 s", "settle": "200 ms"}

func begin(t *testing.T, o Options) *Fleet {
	ctx, end := context.WithCancel(context.Background())
	f, err := Start(ctx, program, o)
	require.NoError(t, err)
	t.Cleanup(func() { f.Close(); end(); assert.NoError(t, f.Err()) })
	_, agreed := f.Agreed(generous, 0)
	require.True(t, agreed, "all come to one view: %v", f.Last())
	return f
}

// seen waits until a second is sampled of which something holds.
func seen(t *testing.T, f *Fleet, what string, holds func(s *Second) bool) {
	require.Eventually(t, func() bool {
		for _, s := range f.Sample() {
			if holds(&s) {
				return true
			}
		}
		return false
	}, generous, pollInterval, what)
}

func TestHollowNodesAreOneFleetThroughDeathsCutsAndRestarts(t *testing.T) {
	f := begin(t, Options{Nodes: 12, Processes: 3, Fleet: quick, Layout: Layout{Regions: 2, Zones: 4, Racks: 8}})
	f.Kill(5, 9)
	_, agreed := f.Agreed(generous, 0)
	assert.True(t, agreed, "the dead are known to all: %v", f.Last())
	f.Start(5, 9)
	_, agreed = f.Agreed(generous, 0)
	assert.True(t, agreed, "and that they are back: %v", f.Last())
	f.Restart(0, 4)
	_, agreed = f.Agreed(generous, 0)
	assert.True(t, agreed, "those who left are back: %v", f.Last())
	some, others := []int{0, 4, 8}, []int{1, 2, 3, 5, 6, 7, 9, 10, 11}
	f.Cut(some, others)
	f.Cut(others, some)
	seen(t, f, "each side has a view of its own", func(s *Second) bool {
		return len(s.Views) == 2 && s.Nodes == 12
	})
	f.Heal()
	_, agreed = f.Agreed(generous, 0)
	assert.True(t, agreed, "sides come together: %v", f.Last())
	seen(t, f, "figures", func(s *Second) bool {
		return s.Sent["datagrams"].Messages > 0 && s.Received["datagrams"].Bytes > 0 && s.RSS > 0 && s.WorstSent > 0 && s.PerNode > 0
	})
}

func TestTokensAndCallsOfHollowNodesGoThroughTheCouncil(t *testing.T) {
	f := begin(t, Options{Nodes: 9, Processes: 3, Seats: 3, Limit: 20, Fleet: quick})
	f.Tokens(60)
	f.Calls(40)
	seen(t, f, "tokens are kept", func(s *Second) bool {
		return s.Tokens.Kept > 10 && s.Tokens.BeginMS > 0 && s.Sent["streams"].Messages > 0
	})
	seen(t, f, "the limit is in use", func(s *Second) bool { return s.Calls.Wanted == 40 && s.Calls.InHand >= 10 })
	f.Kill(0, 8) // a seat, which leads perhaps, and another
	_, agreed := f.Agreed(generous, 0)
	require.True(t, agreed, "%v", f.Last())
	f.Start(0, 8)
	_, agreed = f.Agreed(generous, 0)
	require.True(t, agreed, "%v", f.Last())
	now := time.Now().Unix()
	seen(t, f, "all wants are there again, and met", func(s *Second) bool {
		return s.Unix > now && s.Calls.Wanted == 40 && s.Calls.InHand >= 10 && s.Tokens.Kept > 10
	})
}

func TestMoreNodesThanASeatHasStreamsReachTheCouncil(t *testing.T) {
	var config map[string]any
	require.NoError(t, json.Unmarshal(DefaultConfig(), &config))
	config["limits"].(map[string]any)["sockets"] = 48 // a quarter of which are a seat's streams
	text, err := json.Marshal(config)
	require.NoError(t, err)
	f := begin(t, Options{Nodes: 48, Processes: 2, Seats: 3, Config: text, Fleet: quick})
	f.Tokens(12) // of each node in turn, so that six seconds ask all of them
	require.Eventually(t, func() bool {
		list := f.Sample()
		var t Tokens
		for _, s := range list[max(0, len(list)-6):] {
			t.Wanted, t.TurnedAway, t.Kept = t.Wanted+s.Tokens.Wanted, t.TurnedAway+s.Tokens.TurnedAway, t.Kept+s.Tokens.Kept
		}
		return t.Wanted > 60 && t.TurnedAway == 0 && t.Kept > 48
	}, generous, pollInterval, "no node is turned away for want of the council")
}

func TestFiguresOfAProcessThatLackedTimeAreDealtOutToItsSeconds(t *testing.T) {
	s := &Second{Unix: 100, Span: 3, Nodes: 7, CPU: 1.5, Changes: 8, Sent: map[string]Traffic{"datagrams": {Bytes: 10, Messages: 3}}, Tokens: Tokens{Kept: 4, BeginMS: 2}}
	sum, unix := sumSeconds(s.splitSeconds()), []int64{}
	for _, one := range s.splitSeconds() {
		unix = append(unix, one.Unix)
		assert.Equal(t, 7, one.Nodes, "what is now is not dealt out")
	}
	assert.Equal(t, []int64{98, 99, 100}, unix)
	assert.Equal(t, Traffic{Bytes: 10, Messages: 3}, sum.Sent["datagrams"], "nothing is lost")
	assert.Equal(t, []float64{1.5, 8, 4}, []float64{sum.CPU, float64(sum.Changes), float64(sum.Tokens.Kept)})
}

func TestTwoFleetsNeverHaveOneBlock(t *testing.T) {
	taken := map[int]bool{}
	for range 20 {
		block, held, err := Reserve()
		require.NoError(t, err)
		defer held.Close()
		require.False(t, taken[block])
		taken[block] = true
	}
}
