// Package simwire speaks the ember-9016 wire: it reads batches into events of package node and writes actions
// as replies. It decides nothing.
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
	"topazpost/internal/nodeconfig"
)

// InstanceCodec is the door of one instance: it gives wire ids small indices and takes them back.
type InstanceCodec struct {
	config      *nodeconfig.Config
	indices     map[uint64]int32
	wireIDs     []uint64
	freeIndices []int32
}

// NewInstanceCodec opens the door of an instance that was started with the given config.
func NewInstanceCodec(config *nodeconfig.Config) *InstanceCodec {
	return &InstanceCodec{config: config, indices: make(map[uint64]int32)}
}

func (h *InstanceCodec) assignIndex(id uint64) int32 {
	if n := len(h.freeIndices); n > 0 {
		index := h.freeIndices[n-1]
		h.freeIndices = h.freeIndices[:n-1]
		h.wireIDs[index], h.indices[id] = id, index
		return index
	}
	index := int32(len(h.wireIDs))
	h.wireIDs = append(h.wireIDs, id)
	h.indices[id] = index
	return index
}

func (h *InstanceCodec) releaseIndex(index int32) {
	delete(h.indices, h.wireIDs[index])
	h.freeIndices = append(h.freeIndices, index)
}

// Reader reads the lines of the wire.
type Reader struct {
	input *bufio.Reader
}

// NewReader reads batches from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(in, 1<<20)}
}

// ReadLine returns the next line split at its tabs; io.EOF ends the input.
func (r *Reader) ReadLine() ([]string, error) {
	line, err := r.input.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return strings.Split(strings.TrimRight(line, "\r\n"), "\t"), nil
}

// fieldReader walks the values of one line and keeps the first error.
type fieldReader struct {
	message string
	values  []string
	err     error
}

func (f *fieldReader) next() string {
	if len(f.values) == 0 {
		return "-"
	}
	v := f.values[0]
	f.values = f.values[1:]
	return v
}

func (f *fieldReader) fail(v string) {
	if f.err == nil {
		f.err = fmt.Errorf("ember: %s: malformed value %q", f.message, v)
	}
}

func (f *fieldReader) unsigned() uint64 {
	v := f.next()
	if v == "-" {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.fail(v)
	}
	return n
}

func (f *fieldReader) id() uint64 {
	if len(f.values) == 0 || f.values[0] == "-" {
		f.fail("-")
	}
	return f.unsigned()
}

func (f *fieldReader) float() float64 {
	v := f.next()
	if v == "-" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(v)
	}
	return n
}

// nanoseconds reads milliseconds as whole nanoseconds; the wire counts in microseconds.
func (f *fieldReader) nanoseconds() int64 { return int64(math.Round(f.float()*1e3)) * 1e3 }

var outcomes = map[string]admission.Outcome{
	"success": admission.Succeeded, "failure": admission.Errored, "overloaded": admission.Overloaded,
	"timed_out": admission.TimedOut, "unreachable": admission.Unreachable, "broken": admission.Broken,
	"withdrawn": admission.Stopped, "void": admission.NeverStarted,
}

func (f *fieldReader) outcome() admission.Outcome {
	v := f.next()
	o, ok := outcomes[v]
	if !ok {
		f.fail(v)
	}
	return o
}

// DecodeClock reads the moment of a MARK line.
func DecodeClock(line []string) (int64, error) {
	f := fieldReader{message: line[0], values: line[1:]}
	if len(f.values) == 0 {
		f.fail("-")
	}
	return f.nanoseconds(), f.err
}

// DecodeInstance reads the number of a TARGET_INSTANCE line.
func DecodeInstance(line []string) (int64, error) {
	f := fieldReader{message: line[0], values: line[1:]}
	n := f.id()
	return int64(n), f.err
}

// DecodeConfig reads a PROVISION line.
func DecodeConfig(line []string) (*nodeconfig.Config, error) {
	f := fieldReader{message: line[0], values: line[1:]}
	seed := int64(f.id())
	if f.err != nil {
		return nil, f.err
	}
	return nodeconfig.FromPairs(seed, f.values)
}

// DecodeEvent reads one event of this instance; live is false for one that names an id no longer live.
func (h *InstanceCodec) DecodeEvent(line []string) (e admission.Event, live bool, err error) {
	f := fieldReader{message: line[0], values: line[1:]}
	switch f.message {
	case "WORK_ITEM":
		h.decodeArrival(&f, &e)
		return e, f.err == nil, f.err
	case "TERMINATE_SOON":
		if len(f.values) == 0 || f.values[0] == "-" {
			f.fail("-")
		}
		e = admission.Event{Kind: admission.DrainRequested, KillAt: f.nanoseconds()}
		return e, f.err == nil, f.err
	case "DUE":
		f.id() // of the timer
		e = admission.Event{Kind: admission.TimerFired, BusyShare: -1, RunnableThreads: -1}
		h.decodeGauges(&f, &e)
		return e, f.err == nil, f.err
	case "CANCELLED_BY_CLIENT":
		e.Kind = admission.CallerDisconnected
	case "BLOCKED":
		e.Kind = admission.CallRequested
	case "CAME_BACK":
		e.Kind = admission.CallEnded
	case "WORK_DONE":
		e.Kind = admission.RunEnded
	default:
		return e, false, fmt.Errorf("ember: unknown event %q", f.message)
	}
	index, ok := h.indices[f.id()]
	e.Invocation = index
	if e.Kind == admission.CallEnded || e.Kind == admission.RunEnded {
		e.Outcome = f.outcome()
	}
	return e, ok && f.err == nil, f.err
}

func (h *InstanceCodec) decodeArrival(f *fieldReader, e *admission.Event) {
	id := f.id()
	e.Kind = admission.Arrived
	e.Deadline = f.nanoseconds()
	e.Age = f.nanoseconds()
	f.float() // the rank, which callers go by
	e.Caller = int64(f.unsigned())
	e.HasReadKey = len(f.values) > 0 && f.values[0] != "-"
	f.next()
	marks := f.unsigned()
	e.Retry, e.Write = marks&2 != 0, marks&4 != 0
	repeats := f.unsigned()
	operation := f.next()
	tenant := f.next()
	if hint := f.nanoseconds(); marks&1 != 0 {
		e.ExpectedWork = hint
	}
	e.QueuedKB = f.float()
	op, ok := h.config.Operations.Lookup(operation)
	if !ok {
		f.fail(operation)
	}
	e.OperationIndex, e.Tenant, e.Original = op, -1, admission.NoOriginal
	if t, ok := h.config.Tenants.Lookup(tenant); ok {
		e.Tenant = t
	}
	if f.err != nil {
		return
	}
	if repeats != 0 {
		e.Original = admission.OriginalEnded
		if index, ok := h.indices[repeats]; ok {
			e.Original = index
		}
	}
	e.Invocation = h.assignIndex(id)
}

func (h *InstanceCodec) decodeGauges(f *fieldReader, e *admission.Event) {
	row := f.next()
	if row == "-" || row == "" {
		return
	}
	for i, v := range strings.Split(row, ",") {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			f.fail(v)
			return
		}
		if i >= len(h.config.Gauges) {
			return
		}
		switch h.config.Gauges[i] {
		case "cpu_busy":
			e.BusyShare = n
		case "runnable":
			e.RunnableThreads = n
		}
	}
}

// AppendActions writes the actions of this instance to a reply and takes back the indices released.
func (h *InstanceCodec) AppendActions(reply []byte, actions []admission.Action) []byte {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case admission.Release:
			h.releaseIndex(a.Invocation)
			continue
		case admission.StopAccepting: // the simulator takes its nodes off the lists itself
			continue
		case admission.Run:
			reply = h.appendWithID(reply, "DISPATCH", a)
		case admission.Reject:
			reply = h.appendWithID(reply, "SAY_NO", a)
			reply = appendMillis(append(reply, '\t'), a.Duration)
			reply = appendFlag(append(reply, '\t'), a.NoRetry)
		case admission.Fail:
			reply = h.appendWithID(reply, "FINISH_ERROR", a)
		case admission.Stop:
			reply = h.appendWithID(reply, "YANK", a)
		case admission.JoinOriginal:
			reply = h.appendWithID(reply, "REUSE", a)
		case admission.RecordKey:
			reply = h.appendWithID(reply, "RECORD_KEY", a)
			reply = appendMillis(append(reply, '\t'), a.Duration)
		case admission.StartCall:
			reply = h.appendWithID(reply, "GO_CALL", a)
			reply = appendMillis(append(reply, '\t'), a.At)
		case admission.SkipCall:
			reply = h.appendWithID(reply, "FALL_BACK", a)
		case admission.ReportHealth:
			reply = appendFlag(append(reply, "FITNESS\t"...), a.Healthy)
			reply = appendFlag(append(reply, '\t'), a.Cached)
		case admission.SignalBackpressure:
			reply = strconv.AppendFloat(append(reply, "SIGNAL\t"...), a.Value, 'f', -1, 64)
		case admission.SetTimer:
			reply = appendMillis(append(reply, "REMIND\t"...), a.At)
			reply = append(reply, "\t0"...) // there is but one timer
		case admission.Exit:
			reply = append(append(reply, "TRACE\t"...), a.Report...)
		}
		reply = append(reply, '\n')
	}
	return reply
}

func (h *InstanceCodec) appendWithID(reply []byte, word string, a *admission.Action) []byte {
	reply = append(append(reply, word...), '\t')
	return strconv.AppendUint(reply, h.wireIDs[a.Invocation], 10)
}

func appendMillis(reply []byte, ns int64) []byte {
	return strconv.AppendFloat(reply, float64(ns/1e3)/1e3, 'f', -1, 64)
}

func appendFlag(reply []byte, set bool) []byte {
	if set {
		return append(reply, '1')
	}
	return append(reply, '0')
}
