package segmentstore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testSegment is a segment with groups of two records each, and room behind them.
func testSegment(t testing.TB, groups int) (data []byte, records []Record) {
	t.Helper()
	const size = 2048
	data = Header(7, size)
	for g := range groups {
		start := int64(len(data))
		for _, kind := range []Kind{RunStarted, RunEnded} {
			r := Record{Kind: kind, Operation: int32(g), Tenant: -1, Token: fmt.Sprint("token-", g), BodyHash: 9, ExpiresAt: 1e18}
			if kind == RunEnded {
				r.Outcome = 1
				r.Result = []byte("a result")
			}
			var err error
			data, err = AppendRecord(data, &r)
			require.NoError(t, err)
			records = append(records, r)
		}
		data = Footer(data, start, 2)
	}
	return append(data, make([]byte, size-len(data))...), records
}

func TestScanReturnsTheRecordsWritten(t *testing.T) {
	data, records := testSegment(t, 4)
	s, err := Scan(data)
	require.NoError(t, err)
	assert.Equal(t, records, s.Records)
	assert.Equal(t, uint64(7), s.Number)
	assert.Zero(t, s.Dropped)
}

func TestTruncationAtAnyOffsetIsRejected(t *testing.T) {
	data, _ := testSegment(t, 4)
	for n := range len(data) {
		_, err := Scan(data[:n])
		corruption := &CorruptionError{}
		require.ErrorAs(t, err, &corruption, "%d bytes", n)
	}
}

// A flipped bit anywhere gives all records, or an error; never fewer or others without one.
func TestAnyFlippedBitIsHarmlessOrReported(t *testing.T) {
	data, records := testSegment(t, 3)
	rejected := 0
	for bit := range 8 * len(data) {
		data[bit/8] ^= 1 << (bit % 8)
		if s, err := Scan(data); err != nil {
			rejected++
		} else {
			require.Equal(t, records, s.Records, "bit %d", bit)
		}
		data[bit/8] ^= 1 << (bit % 8)
	}
	assert.Greater(t, rejected, 8*headerBytes)
}

// A crash leaves any part of the group that was being written; what was acknowledged before is complete.
func TestTornGroupLosesNoAcknowledgedRecord(t *testing.T) {
	before, acknowledged := testSegment(t, 2)
	after, all := testSegment(t, 3)
	scanned, err := Scan(before)
	require.NoError(t, err)
	last, err := Scan(after)
	require.NoError(t, err)
	for n := scanned.End; n <= last.End; n++ {
		torn := append(append([]byte(nil), after[:n]...), before[n:]...)
		s, err := Scan(torn)
		require.NoError(t, err, "torn at %d", n)
		require.GreaterOrEqual(t, len(s.Records), len(acknowledged))
		require.Equal(t, all[:len(s.Records)], s.Records)
	}
}

func TestUnknownVersionIsRejected(t *testing.T) {
	data, _ := testSegment(t, 1)
	copy(data, appendHeader(9, 2048, 7))
	_, err := Scan(data)
	assert.ErrorIs(t, err, ErrVersion)
}

func TestOversizedRecordIsRejected(t *testing.T) {
	_, err := AppendRecord(nil, &Record{Kind: RunEnded, Result: make([]byte, maxBodyBytes)})
	assert.ErrorIs(t, err, ErrTooLarge)
}

func FuzzScan(f *testing.F) {
	data, _ := testSegment(f, 2)
	f.Add(data)
	f.Add(Header(1, headerBytes))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Scan(data)
		if err == nil && (s.End < headerBytes || s.End+s.Dropped > int64(len(data))) {
			t.Fatalf("end %d and %d dropped of %d bytes", s.End, s.Dropped, len(data))
		}
	})
}
