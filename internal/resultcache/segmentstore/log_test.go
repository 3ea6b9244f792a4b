package segmentstore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testLimits = Limits{SegmentBytes: 20_000, MaxBytes: 100_000}

func testRecord(n int, until int64) Record {
	return Record{Kind: RunEnded, Operation: 1, Tenant: -1, Token: fmt.Sprint("token-", n), ExpiresAt: until, Result: make([]byte, 900)}
}

func openLog(t *testing.T, d *fakeStorage) (*Log, map[string]bool) {
	l, records, _, err := Open(d, testLimits)
	require.NoError(t, err)
	found := map[string]bool{}
	for _, r := range records {
		found[r.Token] = true
	}
	return l, found
}

// Whatever fails and whenever the crash comes: what was acknowledged is there after it.
func TestCrashesAndFailuresLoseNoAcknowledgedRecord(t *testing.T) {
	for seed := range int64(400) {
		d := newFakeStorage(seed)
		failing := false
		d.fail = func(string) bool { return failing && d.rng.Intn(4) == 0 }
		l, _ := openLog(t, d)
		acknowledged := map[string]bool{}
		for n := range 60 {
			failing = d.rng.Intn(3) == 0
			r := testRecord(n, 1e18)
			if l.Write([]Record{r}, true) == nil {
				acknowledged[r.Token] = true
			}
			if failing = false; d.rng.Intn(10) == 0 {
				d.crash()
				var found map[string]bool
				l, found = openLog(t, d)
				for token := range acknowledged {
					require.True(t, found[token], "seed %d: %s was acknowledged and is gone", seed, token)
				}
			}
		}
	}
}

func TestFullLogRejectsWritesUntilSegmentsExpire(t *testing.T) {
	l, _ := openLog(t, newFakeStorage(1))
	n := 0
	for ; l.Write([]Record{testRecord(n, int64(1000+n))}, true) == nil; n++ {
		require.LessOrEqual(t, l.Bytes(), testLimits.MaxBytes)
	}
	assert.ErrorIs(t, l.Write([]Record{testRecord(n, 1)}, true), ErrFull)
	require.NoError(t, l.Expire(1000+int64(n/2)))
	assert.NoError(t, l.Write([]Record{testRecord(n, 1)}, true))
	require.NoError(t, l.Expire(1<<60))
	assert.Equal(t, testLimits.SegmentBytes, l.Bytes(), "the one that is written stays")
}

func TestLogIsUsedAgainAfterStorageFailures(t *testing.T) {
	d := newFakeStorage(1)
	l, _ := openLog(t, d)
	d.fail = func(what string) bool { return what == "sync" || what == "create" }
	for n := range 5 {
		assert.ErrorIs(t, l.Write([]Record{testRecord(n, 1)}, true), errFakeStorage)
	}
	d.fail = func(string) bool { return false }
	assert.NoError(t, l.Write([]Record{testRecord(9, 1)}, true))
	_, found := openLog(t, d)
	assert.True(t, found["token-9"])
}

func TestCorruptSegmentIsNamedAndLeftUnchanged(t *testing.T) {
	d := newFakeStorage(1)
	l, _ := openLog(t, d)
	for n := range 30 {
		require.NoError(t, l.Write([]Record{testRecord(n, 1)}, true))
	}
	second := d.files[segmentName(1)]
	second.live[500] ^= 1
	before := string(second.live)
	_, _, _, err := Open(d, testLimits)
	broken := &CorruptionError{}
	require.ErrorAs(t, err, &broken)
	assert.ErrorContains(t, err, segmentName(1)+": store: broken at offset 32")
	assert.Equal(t, before, string(second.live))
}

func TestSegmentUnderAnotherNameIsRejected(t *testing.T) {
	d := newFakeStorage(1)
	l, _ := openLog(t, d)
	require.NoError(t, l.Write([]Record{testRecord(1, 1)}, true))
	d.files[segmentName(5)] = d.files[segmentName(0)]
	_, _, _, err := Open(d, testLimits)
	assert.ErrorContains(t, err, "its name is that of another segment")
}

func TestLimitsWithoutRoomAreRejected(t *testing.T) {
	for _, b := range []Limits{{}, {SegmentBytes: 100, MaxBytes: 1000}, {SegmentBytes: 20_000, MaxBytes: 20_000}} {
		_, _, _, err := Open(newFakeStorage(1), b)
		assert.Error(t, err)
	}
}

// A segment that was cut to nothing but its head held acknowledged records; it is not one that was never in use.
func TestTruncatedSegmentIsRejectedAndNotRemoved(t *testing.T) {
	d := newFakeStorage(1)
	l, _ := openLog(t, d)
	require.NoError(t, l.Write([]Record{testRecord(1, 1e18)}, true))
	whole := d.files[segmentName(0)].live
	for _, n := range []int{0, 1, headerBytes - 1, headerBytes, headerBytes + 1, len(whole) - 1} {
		d.files[segmentName(0)].live = whole[:n]
		_, _, _, err := Open(d, testLimits)
		broken := &CorruptionError{}
		require.ErrorAs(t, err, &broken, "%d bytes", n)
		assert.Contains(t, d.files, segmentName(0))
	}
}

func TestSegmentWithoutADurableHeaderIsRemoved(t *testing.T) {
	d := newFakeStorage(1)
	_, err := d.Create(segmentName(0), testLimits.SegmentBytes)
	require.NoError(t, err)
	_, _, dropped, err := Open(d, testLimits)
	require.NoError(t, err)
	assert.Len(t, dropped, 1)
	assert.Empty(t, d.files)
}
