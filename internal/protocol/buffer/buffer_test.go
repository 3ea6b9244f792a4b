package buffer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// read copies bytes into the buffer as a reader of a connection does.
func read(b *Buffer, data []byte) {
	for len(data) > 0 {
		n := copy(b.Space(), data)
		b.Wrote(n)
		data = data[n:]
	}
}

func TestBytesReturnsWhatWasReadAndNotDiscarded(t *testing.T) {
	var b Buffer
	long := make([]byte, 3*initialBytes)
	for i := range long {
		long[i] = byte(i)
	}
	read(&b, long)
	assert.Equal(t, long, b.Bytes())
	b.Discard(2*initialBytes + 1)
	read(&b, long)
	assert.Equal(t, append(long[2*initialBytes+1:len(long):len(long)], long...), b.Bytes())
}

func TestSpaceIsNeverEmpty(t *testing.T) {
	var b Buffer
	for range 3 * initialBytes {
		if !assert.NotEmpty(t, b.Space()) {
			return
		}
		b.Wrote(1)
	}
}

func TestEmptyBufferReturnsMemoryOfLongMessage(t *testing.T) {
	var b Buffer
	read(&b, make([]byte, 2*maxIdleBytes))
	b.Discard(2 * maxIdleBytes)
	b.Space()
	assert.LessOrEqual(t, len(b.data), maxIdleBytes)
}
