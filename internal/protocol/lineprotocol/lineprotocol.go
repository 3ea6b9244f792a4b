// Package lineprotocol is the codec of lines of words that end in CR LF, some followed by a body whose length is the
// last word. It does no I/O: it takes bytes at any split and returns lines.
package lineprotocol

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"topazpost/internal/protocol/buffer"
)

const (
	maxLineBytes = 16 << 10  // of the words of one line: a log entry may be long
	maxBodyBytes = 256 << 10 // far above the size of results and replies
)

const lineEnd = "\r\n"

// Errors of malformed input.
var (
	ErrLine   = errors.New("lines: line too long or not ended by CR LF")
	ErrLength = errors.New("lines: length out of bounds")
	ErrBody   = errors.New("lines: body not ended by CR LF")
)

// Line is a line and its body, if it has one. Body is valid until the parser's Space.
type Line struct {
	Words []string
	Body  []byte
}

// Parser splits the bytes of one connection into lines. The zero value is ready and expects no bodies.
type Parser struct {
	// HasBody reports whether the last word of a line is the length of a body.
	HasBody func(words []string) bool

	input        buffer.Buffer
	pendingWords []string // of a line whose body is incomplete
	awaitingBody bool
	bodyLength   int
}

// Space returns the memory to read into.
func (p *Parser) Space() []byte { return p.input.Space() }

// Wrote records that n bytes of Space were read into.
func (p *Parser) Wrote(n int) { p.input.Wrote(n) }

// Next returns the next complete line; an error is final for the connection.
func (p *Parser) Next() (l Line, ok bool, err error) {
	if p.awaitingBody {
		return p.nextBody()
	}
	words, ok, err := p.nextWords()
	if !ok || err != nil {
		return l, false, err
	}
	if p.HasBody == nil || !p.HasBody(words) {
		return Line{Words: words}, true, nil
	}
	length, err := strconv.ParseUint(words[len(words)-1], 10, 31)
	if err != nil || length > maxBodyBytes {
		return l, false, ErrLength
	}
	p.pendingWords = words
	p.awaitingBody = true
	p.bodyLength = int(length)
	return p.nextBody()
}

// nextWords returns the words of the next line.
func (p *Parser) nextWords() (words []string, ok bool, err error) {
	b := p.input.Bytes()
	end := bytes.IndexByte(b, '\n')
	if end < 0 && len(b) <= maxLineBytes {
		return nil, false, nil
	}
	if end < 1 || end > maxLineBytes || b[end-1] != '\r' {
		return nil, false, ErrLine
	}
	words = strings.Fields(string(b[:end-1]))
	p.input.Discard(end + 1)
	if len(words) == 0 {
		return nil, false, ErrLine
	}
	return words, true, nil
}

// nextBody returns the pending line once its body is complete.
func (p *Parser) nextBody() (l Line, ok bool, err error) {
	b := p.input.Bytes()
	if len(b) < p.bodyLength+len(lineEnd) {
		return l, false, nil
	}
	if string(b[p.bodyLength:p.bodyLength+len(lineEnd)]) != lineEnd {
		return l, false, ErrBody
	}
	p.input.Discard(p.bodyLength + len(lineEnd))
	p.awaitingBody = false
	return Line{Words: p.pendingWords, Body: b[:p.bodyLength:p.bodyLength]}, true, nil
}

// Append appends a line of words.
func Append(b []byte, words ...string) []byte {
	for i, word := range words {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, word...)
	}
	return append(b, lineEnd...)
}

// AppendBody appends a line of words and the length of a body, followed by the body.
func AppendBody(b []byte, body []byte, words ...string) []byte {
	b = Append(b, append(words, strconv.Itoa(len(body)))...)
	b = append(b, body...)
	return append(b, lineEnd...)
}
