package server

import (
	"encoding/binary"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/resultcache"
)

var update = flag.Bool("update", false, "write the fixtures of testdata anew from what this build encodes")

// sameAsFixture says that the bytes are those of a file of testdata, and gives the file's.
func sameAsFixture(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o777))
		require.NoError(t, os.WriteFile(path, encoded, 0o666))
	}
	fixture, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, fixture, encoded, "%s: the encoding isn't what it was", name)
	return fixture
}

// The files of a seat's folder are the bytes of fixtures, under the same names, and are read to what was written.
func TestFixturesOfASeatsFolder(t *testing.T) {
	const generation = 0x0102030405060708
	t.Run("base", func(t *testing.T) {
		got, text, err := readBase(sameAsFixture(t, "seat-base-v1.bin", appendBase(generation, []byte("the text of a base"))))
		require.NoError(t, err)
		assert.Equal(t, uint64(generation), got)
		assert.Equal(t, "the text of a base", string(text))
	})
	t.Run("log", func(t *testing.T) {
		fixture := sameAsFixture(t, "seat-log-v1.bin", appendRecord(appendRecord(nil, []byte("one record")), []byte("another")))
		records, whole := readRecords(fixture)
		assert.Equal(t, [][]byte{[]byte("one record"), []byte("another")}, records)
		assert.Equal(t, int64(len(fixture)), whole)
	})
	t.Run("names", func(t *testing.T) {
		d := seatDisk{generation: generation}
		sameAsFixture(t, "seat-names-v1.txt", []byte(seatBase+"\n"+d.logName()+"\n"+seatPart+"\n"+seatUnsettled+"\n"))
	})
}

// The mark by which a stream is told from an exchange.
func TestFixtureOfTheMarkOfAStream(t *testing.T) {
	sameAsFixture(t, "stream-mark-v1.bin", binary.LittleEndian.AppendUint32(nil, streamMark))
}

// The numbers of endings, which stand in kept records and in claims.
func TestFixtureOfTheNumbersOfEndings(t *testing.T) {
	sameAsFixture(t, "endings-v1.bin", []byte{byte(resultcache.Succeeded), byte(resultcache.Failed), byte(resultcache.NeverStarted), byte(resultcache.ResultNotCached)})
}
