package segmentstore

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpost/internal/resultcache"
)

const crashWindow = int64(1_000_000)

// simulatedNode is a keeper over a log on a disk that fails, tears and crashes, as server drives them.
type simulatedNode struct {
	storage        *fakeStorage
	log            *Log
	cache          *resultcache.Cache
	now            int64
	lastInvocation int32
	pending        []resultcache.Action // records on their way to the disk
	runs           map[string]int       // runs by token, over all lives
	running        map[string]resultcache.Key
	durableResults map[string]string // results that are on disk, as the store said
	asked          map[int32]string
}

func (n *simulatedNode) start() error {
	l, records, _, err := Open(n.storage, Limits{SegmentBytes: 20_000, MaxBytes: 400_000})
	if err != nil {
		return err
	}
	n.log, n.pending, n.running, n.asked = l, nil, map[string]resultcache.Key{}, map[int32]string{}
	n.cache = resultcache.New(resultcache.Config{Durability: resultcache.OnDisk, MaxBytes: 1 << 20, MaxResultBytes: 200, Window: crashWindow})
	var found []resultcache.Input
	for _, r := range records {
		found = append(found, resultcache.Input{Kind: resultcache.RecordRecovered, Key: resultcache.Key{Operation: r.Operation, Tenant: r.Tenant, Token: r.Token},
			BodyHash: r.BodyHash, Completed: r.Kind == RunEnded, Outcome: resultcache.Outcome(r.Outcome), Result: r.Result})
	}
	return n.step(append(found, resultcache.Input{Kind: resultcache.RecoveryCompleted})...)
}

func (n *simulatedNode) step(inputs ...resultcache.Input) error {
	for _, a := range n.cache.Step(n.now, inputs) {
		switch a.Kind {
		case resultcache.Run:
			if n.runs[a.Key.Token]++; n.runs[a.Key.Token] > 1 {
				return fmt.Errorf("%s ran twice", a.Key.Token)
			}
			n.running[a.Key.Token] = a.Key
		case resultcache.WriteStart, resultcache.WriteEnd:
			n.pending = append(n.pending, a)
		case resultcache.Serve:
			if want := "result of " + a.Key.Token; string(a.Result) != want {
				return fmt.Errorf("%s was answered %q", a.Key.Token, a.Result)
			}
		case resultcache.OutcomeUnknown:
			if n.durableResults[a.Key.Token] != "" {
				return fmt.Errorf("%s was acknowledged, and its result is lost", a.Key.Token)
			}
		}
	}
	return nil
}

// write writes some of what waits as one group.
func (n *simulatedNode) write() error {
	if len(n.pending) == 0 {
		return nil
	}
	k := 1 + n.storage.rng.Intn(len(n.pending))
	group := n.pending[:k]
	n.pending = n.pending[k:]
	var records []Record
	for _, a := range group {
		r := Record{Kind: RunStarted, Operation: a.Key.Operation, Tenant: a.Key.Tenant, Token: a.Key.Token, BodyHash: a.BodyHash, ExpiresAt: 1e18}
		if a.Kind == resultcache.WriteEnd {
			r.Kind, r.Outcome, r.Result = RunEnded, uint8(a.Outcome), a.Result
		}
		records = append(records, r)
	}
	kind := resultcache.WriteSucceeded
	if n.log.Write(records, true) != nil {
		kind = resultcache.WriteFailed
	}
	for _, a := range group {
		if kind == resultcache.WriteSucceeded && a.Kind == resultcache.WriteEnd {
			n.durableResults[a.Key.Token] = string(a.Result)
		}
		if err := n.step(resultcache.Input{Kind: kind, Key: a.Key}); err != nil {
			return err
		}
	}
	return nil
}

func runCrashSchedule(seed int64) error {
	n := &simulatedNode{storage: newFakeStorage(seed), runs: map[string]int{}, durableResults: map[string]string{}}
	if err := n.start(); err != nil {
		return err
	}
	chance := n.storage.rng
	failing := false
	n.storage.fail = func(string) bool { return failing && chance.Intn(4) == 0 }
	for range 60 {
		failing = chance.Intn(4) == 0
		n.now += int64(chance.Intn(100))
		var err error
		switch chance.Intn(8) {
		case 0, 1, 2:
			n.lastInvocation++
			err = n.step(resultcache.Input{Kind: resultcache.InvocationReceived, Invocation: n.lastInvocation, Key: resultcache.Key{Operation: 1, Tenant: -1,
				Token: fmt.Sprint("t", chance.Intn(12))}, BodyHash: 7, Remaining: crashWindow})
		case 3, 4:
			err = n.write()
		case 5, 6:
			if at := slices.Sorted(maps.Keys(n.running)); len(at) > 0 {
				key := n.running[at[0]]
				delete(n.running, at[0])
				err = n.step(resultcache.Input{Kind: resultcache.RunEnded, Key: key, Result: []byte("result of " + at[0])})
			}
		case 7:
			failing = false
			if chance.Intn(3) > 0 { // killed in the middle of a write
				left := chance.Intn(4)
				n.storage.fail = func(string) bool { left--; return left < 0 }
				n.write()
				n.storage.fail = func(string) bool { return failing && chance.Intn(4) == 0 }
			}
			n.storage.crash()
			err = n.start()
		}
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}

// CRASH_SEED=N replays one schedule, CRASH_SEEDS=N plays so many.
func TestNoTokenRunsTwiceAndNoAcknowledgedResultIsLostOverCrashes(t *testing.T) {
	first, many := int64(1), 500
	if v := os.Getenv("CRASH_SEED"); v != "" {
		first, _ = strconv.ParseInt(v, 10, 64)
		many = 1
	}
	if v := os.Getenv("CRASH_SEEDS"); v != "" {
		many, _ = strconv.Atoi(v)
	}
	for seed := range int64(many) {
		require.NoError(t, runCrashSchedule(first+seed))
	}
}
