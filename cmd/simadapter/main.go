// Command drill hosts many instances of the decision module on the ember-9016 wire, sharing nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/simwire"
)

// instance is one node: its module, its door, and its events of the batch in hand.
type instance struct {
	number     int64
	controller *admission.Controller
	codec      *simwire.InstanceCodec
	events     []admission.Event
	pending    bool // it has an event in this batch
}

// fleet holds the instances of this process; order is that of first mention in the batch.
type fleet struct {
	instances map[int64]*instance
	pending   []*instance
	target    int64
	hasTarget bool
	now       int64
	reply     []byte
}

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends; an error or a panic is told on the wire as BAIL_OUT.
func serve(in io.Reader, stdout io.Writer) (err error) {
	out := bufio.NewWriterSize(stdout, 1<<16)
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
		if err != nil {
			text := strings.NewReplacer("\n", " ", "\t", " ").Replace(err.Error())
			fmt.Fprintf(out, "BAIL_OUT\t%s\nFINISHED\n", text)
			out.Flush()
		}
	}()
	reader := simwire.NewReader(in)
	f := &fleet{instances: make(map[int64]*instance)}
	for {
		line, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if line[0] != "EOB" {
			if err := f.handleLine(line); err != nil {
				return err
			}
			continue
		}
		f.decide()
		if _, err := out.Write(f.reply); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

// handleLine reads one line of a batch.
func (f *fleet) handleLine(line []string) (err error) {
	switch line[0] {
	case "MARK":
		f.hasTarget = false
		f.now, err = simwire.DecodeClock(line)
		return err
	case "TARGET_INSTANCE":
		f.hasTarget = true
		f.target, err = simwire.DecodeInstance(line)
		return err
	}
	if !f.hasTarget {
		return fmt.Errorf("ember: %q names no instance", line[0])
	}
	switch line[0] {
	case "CRASH_NOW":
		if i := f.instances[f.target]; i != nil {
			i.controller, i.events = nil, nil
			delete(f.instances, f.target)
		}
		return nil
	case "PROVISION":
		settings, err := simwire.DecodeConfig(line)
		if err != nil {
			return err
		}
		if old := f.instances[f.target]; old != nil {
			old.controller = nil
		}
		i := &instance{number: f.target, codec: simwire.NewInstanceCodec(settings), pending: true}
		i.controller = admission.NewController(&settings.Node, f.now)
		f.instances[f.target] = i
		f.pending = append(f.pending, i)
		return nil
	}
	i := f.instances[f.target]
	if i == nil {
		return fmt.Errorf("ember: %s for instance %d, which is not running", line[0], f.target)
	}
	event, live, err := i.codec.DecodeEvent(line)
	if err != nil || !live {
		return err
	}
	i.events = append(i.events, event)
	if !i.pending {
		i.pending = true
		f.pending = append(f.pending, i)
	}
	return nil
}

// decide has each instance that was told something decide, and writes the reply.
func (f *fleet) decide() {
	f.reply = f.reply[:0]
	for _, i := range f.pending {
		if i.controller == nil {
			continue
		}
		actions := i.controller.Decide(f.now, i.events)
		i.events, i.pending = i.events[:0], false
		if len(actions) > 0 {
			f.reply = append(strconv.AppendInt(append(f.reply, "AT\t"...), i.number, 10), '\n')
		}
		f.reply = i.codec.AppendActions(f.reply, actions)
	}
	f.pending = f.pending[:0]
	f.reply = append(f.reply, "FINISHED\n"...)
}
