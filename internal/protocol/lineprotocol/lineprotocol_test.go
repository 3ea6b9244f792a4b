package lineprotocol

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func parse(pieces ...string) (lines []Line, err error) {
	p := Parser{HasBody: func(words []string) bool { return words[0] == "EXIT" }}
	for _, s := range pieces {
		for len(s) > 0 {
			n := copy(p.Space(), s)
			p.Wrote(n)
			s = s[n:]
			for {
				l, ok, err := p.Next()
				if err != nil {
					return lines, err
				}
				if !ok {
					break
				}
				l.Body = bytes.Clone(l.Body)
				lines = append(lines, l)
			}
		}
	}
	return lines, nil
}

func exampleText() string {
	b := AppendBody(nil, []byte("a\r\nb\x00"), "EXIT", "1")
	b = AppendBody(b, nil, "EXIT", "2")
	return string(Append(b, "LOG", "3", "any", "17"))
}

func TestParserReturnsSameLinesAtEverySplit(t *testing.T) {
	want := []Line{{[]string{"EXIT", "1", "5"}, []byte("a\r\nb\x00")}, {[]string{"EXIT", "2", "0"}, []byte{}},
		{[]string{"LOG", "3", "any", "17"}, nil}}
	for i := range exampleText() {
		got, err := parse(exampleText()[:i], exampleText()[i:])
		require.NoError(t, err)
		require.Equal(t, want, got, "split at %d", i)
	}
}

func TestMalformedLinesReturnTypedErrors(t *testing.T) {
	for s, want := range map[string]error{"LOG 1\n": ErrLine, "\r\n": ErrLine, "EXIT x\r\n": ErrLength,
		"EXIT -1\r\n": ErrLength, "EXIT 999999999\r\n": ErrLength, "EXIT 2\r\nabcd": ErrBody,
		strings.Repeat("x", maxLineBytes+1): ErrLine} {
		_, err := parse(s)
		assert.ErrorIs(t, err, want)
	}
}

func FuzzLines(f *testing.F) {
	f.Add(exampleText(), 3)
	f.Fuzz(func(t *testing.T, s string, at int) {
		at = min(max(at, 0), len(s))
		whole, err := parse(s)
		split, err2 := parse(s[:at], s[at:])
		assert.Equal(t, whole, split)
		assert.Equal(t, err, err2)
	})
}
