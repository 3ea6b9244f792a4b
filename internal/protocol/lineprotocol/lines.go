// Package lineprotocol parses lines of words that end in CR LF, some with a counted body behind them. It is pure:
// bytes in at any split, lines out.
package lineprotocol

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"topazpost/internal/protocol/buffer"
)

const (
	maxLineBytes = 16 << 10  // bytes of words: a remark may be long
	maxBodyBytes = 256 << 10 // bytes of a counted body, far above what results and replies hold
)

// What makes a line unreadable.
var (
	ErrLine   = errors.New("lines: line too long or not ended by CR LF")
	ErrLength = errors.New("lines: length out of bounds")
	ErrBody   = errors.New("lines: body not ended by CR LF")
)

// Line is a line and its body, if it has one; Body is valid until the parser's Space.
type Line struct {
	Words []string
	Body  []byte
}

// Parser takes the bytes of one link. Counted says of which lines the last word is a body's length.
type Parser struct {
	HasBody      func(words []string) bool
	input        buffer.Buffer
	pendingWords []string // of a line that waits for its body
	awaitingBody bool
	bodyLength   int
}

// Space is where to read to.
func (p *Parser) Space() []byte { return p.input.Space() }

// Wrote says how many bytes of Space were read to.
func (p *Parser) Wrote(n int) { p.input.Wrote(n) }

// Next returns the next line that is whole; an error is final for the link.
func (p *Parser) Next() (l Line, ok bool, err error) {
	if !p.awaitingBody {
		b := p.input.Bytes()
		end := bytes.IndexByte(b, '\n')
		if end < 0 && len(b) <= maxLineBytes {
			return l, false, nil
		}
		if end < 1 || end > maxLineBytes || b[end-1] != '\r' {
			return l, false, ErrLine
		}
		words := strings.Fields(string(b[:end-1]))
		p.input.Discard(end + 1)
		if len(words) == 0 {
			return l, false, ErrLine
		}
		if p.HasBody == nil || !p.HasBody(words) {
			return Line{Words: words}, true, nil
		}
		n, err := strconv.ParseUint(words[len(words)-1], 10, 31)
		if err != nil || n > maxBodyBytes {
			return l, false, ErrLength
		}
		p.pendingWords, p.awaitingBody, p.bodyLength = words, true, int(n)
	}
	b := p.input.Bytes()
	if len(b) < p.bodyLength+2 {
		return l, false, nil
	}
	if b[p.bodyLength] != '\r' || b[p.bodyLength+1] != '\n' {
		return l, false, ErrBody
	}
	p.input.Discard(p.bodyLength + 2)
	p.awaitingBody = false
	return Line{Words: p.pendingWords, Body: b[:p.bodyLength:p.bodyLength]}, true, nil
}

// Append writes a line of words.
func Append(b []byte, words ...string) []byte {
	for i, w := range words {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, w...)
	}
	return append(b, '\r', '\n')
}

// AppendBody writes a line of words with the length of a body, and the body.
func AppendBody(b []byte, body []byte, words ...string) []byte {
	b = Append(b, append(words, strconv.Itoa(len(body)))...)
	return append(append(b, body...), '\r', '\n')
}
