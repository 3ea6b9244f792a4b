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

// Any course of puts and deletions, many of one hash or of one home slot, gives what a plain map gives.
func TestIndexMatchesAPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index Index
		plain := map[[2]uint64]bool{}
		for location := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			hash := rapid.Uint64Range(0, 12).Draw(t, "hash") << rapid.IntRange(0, 1).Draw(t, "shift")
			hash = max(1, hash) // 0 is stored as 1
			if rapid.IntRange(0, 2).Draw(t, "action") > 0 {
				index.Put(hash, location)
				plain[[2]uint64{hash, location}] = true
			} else {
				deleted := rapid.Uint64Range(0, location).Draw(t, "deleted")
				assert.Equal(t, plain[[2]uint64{hash, deleted}], index.Delete(hash, deleted))
				delete(plain, [2]uint64{hash, deleted})
			}
			if index.Len() != len(plain) {
				t.Fatalf("%d entries, %d in the map", index.Len(), len(plain))
			}
			for entry := range plain {
				if got, found := index.Get(entry[0], func(w uint64) bool { return w == entry[1] }); !found || got != entry[1] {
					t.Fatalf("%v is not found", entry)
				}
			}
		}
	})
}

func TestEntryIsMoved(t *testing.T) {
	var index Index
	index.Put(5, 1)
	assert.True(t, index.Move(5, 1, 9))
	assert.False(t, index.Move(5, 1, 9))
	location, found := index.Get(5, matchAny)
	assert.True(t, found)
	assert.Equal(t, uint64(9), location)
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
	var index Index
	for i, token := range list {
		index.Put(xxhash.Sum64String(token), uint64(i))
	}
	bytesPerEntry := float64(heapBytes()-before) / million
	b.ResetTimer()
	for i := range b.N {
		index.Get(xxhash.Sum64String(list[i*7919%million]), matchAny)
	}
	b.ReportMetric(bytesPerEntry, "bytes/entry")
	runtime.KeepAlive(&index)
}

func BenchmarkMapMillion(b *testing.B) {
	list := tokens()
	before := heapBytes()
	plain := map[string]uint64{}
	for i, token := range list {
		plain[token] = uint64(i)
	}
	bytesPerEntry := float64(heapBytes()-before) / million
	b.ResetTimer()
	for i := range b.N {
		_ = plain[list[i*7919%million]]
	}
	b.ReportMetric(bytesPerEntry, "bytes/entry")
	runtime.KeepAlive(plain)
}
