package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

const readBufferBytes = 1 << 20

// Reader reads the lines of the wire.
type Reader struct {
	input *bufio.Reader
}

// NewReader returns a Reader of batches from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(in, readBufferBytes)}
}

// ReadLine returns the fields of the next line; io.EOF ends the input.
func (r *Reader) ReadLine() ([]string, error) {
	line, err := r.input.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return strings.Split(strings.TrimRight(line, "\r\n"), separator), nil
}

// fieldReader reads the values of one line in order and keeps the first error.
type fieldReader struct {
	message string
	values  []string
	err     error
}

func newFieldReader(line []string) *fieldReader {
	return &fieldReader{message: line[0], values: line[1:]}
}

func (f *fieldReader) fail(value string) {
	if f.err == nil {
		f.err = fmt.Errorf("ember: %s: malformed value %q", f.message, value)
	}
}

// set reports whether the next field has a value.
func (f *fieldReader) set() bool {
	return len(f.values) > 0 && f.values[0] != noValue
}

// next returns the next field, noValue behind the last one.
func (f *fieldReader) next() string {
	if len(f.values) == 0 {
		return noValue
	}
	value := f.values[0]
	f.values = f.values[1:]
	return value
}

// unsigned reads a number that is zero where it is not set.
func (f *fieldReader) unsigned() uint64 {
	value := f.next()
	if value == noValue {
		return 0
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		f.fail(value)
	}
	return n
}

// id reads a number that must be set.
func (f *fieldReader) id() uint64 {
	if !f.set() {
		f.fail(noValue)
	}
	return f.unsigned()
}

// float reads a finite number that is zero where it is not set.
func (f *fieldReader) float() float64 {
	value := f.next()
	if value == noValue {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(value)
	}
	return n
}

// nanoseconds reads milliseconds, rounded to the microseconds that the wire counts in.
func (f *fieldReader) nanoseconds() int64 {
	return int64(math.Round(f.float()*1e3)) * 1e3
}

// requiredTime reads milliseconds that must be set.
func (f *fieldReader) requiredTime() int64 {
	if !f.set() {
		f.fail(noValue)
	}
	return f.nanoseconds()
}

// outcome reads how a run or call ended.
func (f *fieldReader) outcome() admission.Outcome {
	value := f.next()
	outcome, known := outcomes[value]
	if !known {
		f.fail(value)
	}
	return outcome
}
