package resultcache

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var (
	firstSeed     = flag.Int64("first", 0, "first seed of the crash schedules")
	scheduleCount = flag.Int64("schedules", 2_000, "how many crash schedules are played")
)

// Any course of invocations, writes, ends and crashes: no token runs twice within its window, no result is another's, each
// invocation has one answer, and all stays within the bound.
func TestModelWithCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig
		config.Durability = Durability(rapid.IntRange(0, 1).Draw(t, "durability"))
		m := newModel(t, config)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			n := rapid.IntRange(0, 19).Draw(t, "key")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				m.invoke(n%4, 7)
			case 3:
				m.invoke(n, uint64(n%2))
			case 4:
				m.finishWrite(true)
			case 5:
				m.finishWrite(rapid.IntRange(0, 3).Draw(t, "ok") > 0)
			case 6:
				m.endRun(n%4, Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
			case 7:
				m.now += int64(n) * testWindow / 15
				m.step()
			case 8:
				if config.Durability == OnDisk {
					m.crash()
				}
			case 9:
				m.disconnect(n)
			}
		}
		m.drain()
	})
}

// Many crash schedules from seeds; a failing seed is the report. One is played again by
// go test ./internal/resultcache -run CrashSchedules -args -first SEED -schedules 1
func TestCrashSchedules(t *testing.T) {
	for seed := range *scheduleCount {
		runSchedule(t, *firstSeed+seed)
	}
}

func runSchedule(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	failed := ""
	m := newModel(panicReporter{}, testConfig)
	defer func() {
		if x := recover(); x != nil {
			failed = fmt.Sprint(x)
		}
		assert.Empty(t, failed, "seed %d", seed)
	}()
	for range 60 {
		n := rng.Intn(6)
		switch rng.Intn(7) {
		case 0, 1, 2:
			m.invoke(n, 7)
		case 3, 4:
			m.finishWrite(rng.Intn(10) > 0)
		case 5:
			m.endRun(n, Succeeded)
		case 6:
			if rng.Intn(3) == 0 {
				m.crash()
			}
			m.now += rng.Int63n(testWindow / 4)
		}
	}
	m.drain()
}
