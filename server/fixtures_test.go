package server

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fixture"
	"topazpost/internal/resultcache"
)

// The files of a replica's folder have the bytes and names of the fixtures, and are read back as written.
func TestReplicaStorageMatchesFixtures(t *testing.T) {
	const generation = 0x0102030405060708
	t.Run("base", func(t *testing.T) {
		got, text, err := readBase(fixture.Equal(t, "seat-base-v1.bin", appendBase(generation, []byte("the text of a base"))))
		require.NoError(t, err)
		assert.Equal(t, uint64(generation), got)
		assert.Equal(t, "the text of a base", string(text))
	})
	t.Run("log", func(t *testing.T) {
		content := fixture.Equal(t, "seat-log-v1.bin", appendRecord(appendRecord(nil, []byte("one record")), []byte("another")))
		records, intact := readRecords(content)
		assert.Equal(t, [][]byte{[]byte("one record"), []byte("another")}, records)
		assert.Equal(t, int64(len(content)), intact)
	})
	t.Run("names", func(t *testing.T) {
		d := replicaStorage{generation: generation}
		fixture.Equal(t, "seat-names-v1.txt", []byte(baseFileName+"\n"+d.logName()+"\n"+partFilePrefix+"\n"+temporarySuffix+"\n"))
	})
}

// The magic number that distinguishes a stream from an exchange.
func TestStreamMagicMatchesFixture(t *testing.T) {
	fixture.Equal(t, "stream-mark-v1.bin", binary.LittleEndian.AppendUint32(nil, streamMagic))
}

// The numbers of outcomes, which are stored in records and claims.
func TestOutcomesMatchFixture(t *testing.T) {
	fixture.Equal(t, "endings-v1.bin", []byte{byte(resultcache.Succeeded), byte(resultcache.Failed), byte(resultcache.NeverStarted), byte(resultcache.ResultNotCached)})
}
