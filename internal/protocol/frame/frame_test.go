package frame

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// parse feeds pieces and returns copies of all frames, up to an error.
func parse(pieces ...[]byte) (got []Frame, err error) {
	var p Parser
	for _, b := range pieces {
		for len(b) > 0 {
			n := copy(p.Space(), b)
			p.Wrote(n)
			b = b[n:]
			for {
				f, ok, err := p.Next()
				if err != nil {
					return got, err
				}
				if !ok {
					break
				}
				f.Payload = bytes.Clone(f.Payload)
				got = append(got, f)
			}
		}
	}
	return got, nil
}

func stream() []byte {
	b := AppendInvocation(nil, 1, []Field{{"op", "hold"}, {"call", "9b1f03aa5c7e2d41"}}, []byte{0, 13, 10, 255})
	b = Append(b, Gone, 1, nil)
	b = Append(b, Invocation, 2, make([]byte, maxKept+1))
	return Append(b, Check, 3, []byte{0})
}

func TestFramesAreTheSameAtEverySplit(t *testing.T) {
	whole, err := parse(stream())
	require.NoError(t, err)
	require.Len(t, whole, 4)
	assert.True(t, whole[2].Past)
	for i := range stream() {
		got, err := parse(stream()[:i], stream()[i:])
		require.NoError(t, err)
		require.Equal(t, whole, got, "split at %d", i)
	}
}

func TestFieldsAndBodyAreSplit(t *testing.T) {
	whole, _ := parse(stream())
	fields, body, err := Fields(whole[0].Payload)
	require.NoError(t, err)
	assert.Equal(t, []Field{{"op", "hold"}, {"call", "9b1f03aa5c7e2d41"}}, fields)
	assert.Equal(t, []byte{0, 13, 10, 255}, body)
	for cut := range len(whole[0].Payload) - len(body) {
		_, _, err := Fields(whole[0].Payload[:cut])
		assert.ErrorIs(t, err, ErrFields, "cut at %d", cut)
	}
}

func TestLengthOutOfBoundsIsAnError(t *testing.T) {
	for _, length := range []uint32{0, 4, maxLength + 1, 1 << 31} {
		_, err := parse(binary.LittleEndian.AppendUint32(nil, length))
		assert.ErrorIs(t, err, ErrLength)
	}
	_, err := parse(binary.LittleEndian.AppendUint32(nil, maxLength))
	assert.NoError(t, err)
}

func TestAnswerIsWritten(t *testing.T) {
	b := append(Head(nil, Answer, 7, Throttled, []Field{{"pushback", "250"}}, 2), "ab"...)
	assert.Equal(t, "\x17\x00\x00\x00\x11\x07\x00\x00\x00\x32\x01\x08pushback\x03\x00250ab", string(b))
}

func FuzzFrames(f *testing.F) {
	f.Add(stream(), 3)
	f.Fuzz(func(t *testing.T, b []byte, at int) {
		at = min(max(at, 0), len(b))
		whole, err := parse(b)
		split, err2 := parse(b[:at], b[at:])
		assert.Equal(t, whole, split)
		assert.Equal(t, err, err2)
		for _, frame := range whole {
			Fields(frame.Payload)
		}
	})
}
