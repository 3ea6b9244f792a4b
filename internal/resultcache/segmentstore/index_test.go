package segmentstore

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func matchAny(uint64) bool { return true }

// Any course of entries, many of one hash or of one home, gives what a plain map gives.
func TestIndexMatchesAPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index
		plain := map[[2]uint64]bool{}
		for where := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			hash := rapid.Uint64Range(0, 12).Draw(t, "hash") << rapid.IntRange(0, 1).Draw(t, "shift")
			hash = max(1, hash) // 0 stands for the same as 1
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				x.Put(hash, where)
				plain[[2]uint64{hash, where}] = true
			} else {
				at := rapid.Uint64Range(0, where).Draw(t, "at")
				assert.Equal(t, plain[[2]uint64{hash, at}], x.Delete(hash, at))
				delete(plain, [2]uint64{hash, at})
			}
			if x.Len() != len(plain) {
				t.Fatalf("%d entries, %d in the map", x.Len(), len(plain))
			}
			for entry := range plain {
				if got, found := x.Get(entry[0], func(w uint64) bool { return w == entry[1] }); !found || got != entry[1] {
					t.Fatalf("%v is not found", entry)
				}
			}
		}
	})
}

func TestEntryIsMoved(t *testing.T) {
	var x Index
	x.Put(5, 1)
	assert.True(t, x.Move(5, 1, 9))
	assert.False(t, x.Move(5, 1, 9))
	where, found := x.Get(5, matchAny)
	assert.True(t, found)
	assert.Equal(t, uint64(9), where)
}

const million = 1_000_000

func tokens() []string {
	list := make([]string, million)
	for i := range list {
		list[i] = fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
	}
	return list
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkIndexMillion(b *testing.B) {
	list := tokens()
	before := heapBytes()
	var x Index
	for i, token := range list {
		x.Put(xxhash.Sum64String(token), uint64(i))
	}
	taken := float64(heapBytes()-before) / million
	b.ResetTimer()
	for i := range b.N {
		x.Get(xxhash.Sum64String(list[i*7919%million]), matchAny)
	}
	b.ReportMetric(taken, "bytes/entry")
	runtime.KeepAlive(&x)
}

func BenchmarkMapMillion(b *testing.B) {
	list := tokens()
	before := heapBytes()
	x := map[string]uint64{}
	for i, token := range list {
		x[token] = uint64(i)
	}
	taken := float64(heapBytes()-before) / million
	b.ResetTimer()
	for i := range b.N {
		_ = x[list[i*7919%million]]
	}
	b.ReportMetric(taken, "bytes/entry")
	runtime.KeepAlive(x)
}
