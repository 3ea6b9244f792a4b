package main

import (
	"fmt"
	"strconv"

	"topazpost/internal/admission"
	"topazpost/internal/protocol/simwire"
)

// instance is one node: its controller, its codec and its events of the current batch.
type instance struct {
	number     int64
	controller *admission.Controller // nil once the instance crashed or was replaced
	codec      *simwire.InstanceCodec
	events     []admission.Event
	pending    bool // it decides at the end of the batch
}

// fleet holds the instances of this process.
type fleet struct {
	instances map[int64]*instance
	pending   []*instance // in the order of their first event in the batch
	target    int64
	hasTarget bool
	now       int64
	reply     []byte
}

func newFleet() *fleet {
	return &fleet{instances: make(map[int64]*instance)}
}

// handleLine applies one line of a batch.
func (f *fleet) handleLine(line []string) (err error) {
	switch line[0] {
	case simwire.Clock:
		f.hasTarget = false
		f.now, err = simwire.DecodeClock(line)
		return err
	case simwire.Target:
		f.hasTarget = true
		f.target, err = simwire.DecodeInstance(line)
		return err
	}
	if !f.hasTarget {
		return fmt.Errorf("ember: %q names no instance", line[0])
	}
	switch line[0] {
	case simwire.CrashMessage:
		f.crash()
		return nil
	case simwire.StartMessage:
		return f.start(line)
	}
	return f.queueEvent(line)
}

// crash ends the target; what it would have decided in this batch is dropped.
func (f *fleet) crash() {
	i := f.instances[f.target]
	if i == nil {
		return
	}
	i.controller = nil
	i.events = nil
	delete(f.instances, f.target)
}

// start replaces the target by a new instance.
func (f *fleet) start(line []string) error {
	config, err := simwire.DecodeConfig(line)
	if err != nil {
		return err
	}
	if old := f.instances[f.target]; old != nil {
		old.controller = nil
	}
	i := &instance{
		number:     f.target,
		controller: admission.NewController(&config.Node, f.now),
		codec:      simwire.NewInstanceCodec(config),
		pending:    true,
	}
	f.instances[f.target] = i
	f.pending = append(f.pending, i)
	return nil
}

// queueEvent adds an event to those that the target decides on at the end of the batch.
func (f *fleet) queueEvent(line []string) error {
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

// decide has each pending instance decide and returns the reply, which is valid until the next call.
func (f *fleet) decide() []byte {
	f.reply = f.reply[:0]
	for _, i := range f.pending {
		if i.controller == nil {
			continue
		}
		actions := i.controller.Decide(f.now, i.events)
		i.events = i.events[:0]
		i.pending = false
		if len(actions) > 0 {
			f.reply = append(f.reply, simwire.ReplyTarget+"\t"...)
			f.reply = strconv.AppendInt(f.reply, i.number, 10)
			f.reply = append(f.reply, '\n')
		}
		f.reply = i.codec.AppendActions(f.reply, actions)
	}
	f.pending = f.pending[:0]
	f.reply = append(f.reply, simwire.EndOfReply+"\n"...)
	return f.reply
}
