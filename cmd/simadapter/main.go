// Command simadapter connects the admission controller to the ember-9016 simulator: it hosts many instances that share
// nothing, reads batches of events from standard input and writes the actions to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"topazpost/internal/protocol/simwire"
)

const writeBufferBytes = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends. An error or a panic is reported as simwire.FatalError and ends it.
func serve(in io.Reader, stdout io.Writer) (err error) {
	out := bufio.NewWriterSize(stdout, writeBufferBytes)
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
		if err != nil {
			err = errors.Join(err, writeFatalError(out, err))
		}
	}()
	reader := simwire.NewReader(in)
	f := newFleet()
	for {
		line, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if line[0] != simwire.EndOfBatch {
			if err := f.handleLine(line); err != nil {
				return err
			}
			continue
		}
		if _, err := out.Write(f.decide()); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

// writeFatalError ends the output with a reply that says why.
func writeFatalError(out *bufio.Writer, cause error) error {
	text := strings.NewReplacer("\n", " ", "\t", " ").Replace(cause.Error())
	if _, err := fmt.Fprintf(out, "%s\t%s\n%s\n", simwire.FatalError, text, simwire.EndOfReply); err != nil {
		return err
	}
	return out.Flush()
}
