package segmentstore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var bounds = Limits{SegmentBytes: 20_000, MaxBytes: 100_000}

func record(n int, until int64) Record {
	return Record{Kind: RunEnded, Operation: 1, Tenant: -1, Token: fmt.Sprint("token-", n), ExpiresAt: until, Result: make([]byte, 900)}
}

func open(t *testing.T, d *disk) (*Log, map[string]bool) {
	l, records, _, err := Open(d, bounds)
	require.NoError(t, err)
	found := map[string]bool{}
	for _, r := range records {
		found[r.Token] = true
	}
	return l, found
}

// Whatever fails and whenever the crash comes: what was acknowledged is there after it.
func TestCrashesAndFailuresLoseNothingThatWasAcknowledged(t *testing.T) {
	for seed := range int64(400) {
		d := newDisk(seed)
		failing := false
		d.fail = func(string) bool { return failing && d.chance.Intn(4) == 0 }
		l, _ := open(t, d)
		acknowledged := map[string]bool{}
		for n := range 60 {
			failing = d.chance.Intn(3) == 0
			r := record(n, 1e18)
			if l.Write([]Record{r}, true) == nil {
				acknowledged[r.Token] = true
			}
			if failing = false; d.chance.Intn(10) == 0 {
				d.crash()
				var found map[string]bool
				l, found = open(t, d)
				for token := range acknowledged {
					require.True(t, found[token], "seed %d: %s was acknowledged and is gone", seed, token)
				}
			}
		}
	}
}

func TestFullLogRefusesAndHasRoomAgainOnceSegmentsExpire(t *testing.T) {
	l, _ := open(t, newDisk(1))
	n := 0
	for ; l.Write([]Record{record(n, int64(1000+n))}, true) == nil; n++ {
		require.LessOrEqual(t, l.Bytes(), bounds.MaxBytes)
	}
	assert.ErrorIs(t, l.Write([]Record{record(n, 1)}, true), ErrFull)
	require.NoError(t, l.Expire(1000+int64(n/2)))
	assert.NoError(t, l.Write([]Record{record(n, 1)}, true))
	require.NoError(t, l.Expire(1<<60))
	assert.Equal(t, bounds.SegmentBytes, l.Bytes(), "the one that is written stays")
}

func TestDiskThatWorksAgainIsUsedAgain(t *testing.T) {
	d := newDisk(1)
	l, _ := open(t, d)
	d.fail = func(what string) bool { return what == "sync" || what == "create" }
	for n := range 5 {
		assert.ErrorIs(t, l.Write([]Record{record(n, 1)}, true), errDisk)
	}
	d.fail = func(string) bool { return false }
	assert.NoError(t, l.Write([]Record{record(9, 1)}, true))
	_, found := open(t, d)
	assert.True(t, found["token-9"])
}

func TestSpoiltSegmentIsNamedAndNothingIsChanged(t *testing.T) {
	d := newDisk(1)
	l, _ := open(t, d)
	for n := range 30 {
		require.NoError(t, l.Write([]Record{record(n, 1)}, true))
	}
	second := d.files[nameOf(1)]
	second.live[500] ^= 1
	before := string(second.live)
	_, _, _, err := Open(d, bounds)
	broken := &CorruptionError{}
	require.ErrorAs(t, err, &broken)
	assert.ErrorContains(t, err, nameOf(1)+": store: broken at offset 32")
	assert.Equal(t, before, string(second.live))
}

func TestSegmentUnderAnotherNameIsRefused(t *testing.T) {
	d := newDisk(1)
	l, _ := open(t, d)
	require.NoError(t, l.Write([]Record{record(1, 1)}, true))
	d.files[nameOf(5)] = d.files[nameOf(0)]
	_, _, _, err := Open(d, bounds)
	assert.ErrorContains(t, err, "its name is that of another segment")
}

func TestBoundsWithoutRoomAreRefused(t *testing.T) {
	for _, b := range []Limits{{}, {SegmentBytes: 100, MaxBytes: 1000}, {SegmentBytes: 20_000, MaxBytes: 20_000}} {
		_, _, _, err := Open(newDisk(1), b)
		assert.Error(t, err)
	}
}

// A segment that was cut to nothing but its head held acknowledged records; it is not one that was never in use.
func TestSegmentCutAnywhereIsRefusedAndLeftThere(t *testing.T) {
	d := newDisk(1)
	l, _ := open(t, d)
	require.NoError(t, l.Write([]Record{record(1, 1e18)}, true))
	whole := d.files[nameOf(0)].live
	for _, n := range []int{0, 1, headBytes - 1, headBytes, headBytes + 1, len(whole) - 1} {
		d.files[nameOf(0)].live = whole[:n]
		_, _, _, err := Open(d, bounds)
		broken := &CorruptionError{}
		require.ErrorAs(t, err, &broken, "%d bytes", n)
		assert.Contains(t, d.files, nameOf(0))
	}
}

func TestSegmentWhoseHeadNeverCameToTheDiskIsRemoved(t *testing.T) {
	d := newDisk(1)
	_, err := d.Create(nameOf(0), bounds.SegmentBytes)
	require.NoError(t, err)
	_, _, dropped, err := Open(d, bounds)
	require.NoError(t, err)
	assert.Len(t, dropped, 1)
	assert.Empty(t, d.files)
}
