package segmentstore

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRecovery100MB opens a store of 100 MB on a disk: go test -bench Recovery -benchtime 1x ./internal/resultcache/segmentstore.
func BenchmarkRecovery100MB(b *testing.B) {
	directory := Directory(b.TempDir())
	limits := Limits{SegmentBytes: 8 << 20, MaxBytes: 256 << 20}
	log, _, _, err := Open(directory, limits)
	require.NoError(b, err)
	result := make([]byte, 200)
	for n := 0; log.Bytes() < 100<<20; n++ {
		var group []Record
		for k := range 200 {
			token := fmt.Sprintf("token-%d-%d", n, k)
			group = append(group, Record{Kind: RunStarted, Tenant: -1, Token: token, BodyHash: 7, ExpiresAt: 1e18},
				Record{Kind: RunEnded, Tenant: -1, Token: token, ExpiresAt: 1e18, Result: result})
		}
		require.NoError(b, log.Write(group, false))
	}
	require.NoError(b, log.Close())
	for b.Loop() {
		_, records, _, err := Open(directory, limits)
		require.NoError(b, err)
		b.ReportMetric(float64(len(records)), "records")
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.Sys)/(1<<20), "MB_peak")
	}
}
