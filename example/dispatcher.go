package main

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"topazpost/internal/protocol/frame"
)

// dispatcher is a client connection to the node.
type dispatcher struct {
	conn   net.Conn
	parser frame.Parser
}

// dispatch waits until the node is healthy, then sends each invocation on a stream of its own.
func dispatch(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // all answers were read
	d := &dispatcher{conn: conn}
	if err := d.awaitHealthy(); err != nil {
		return err
	}
	for i, item := range []string{"desk", "chair", "lamp"} {
		if err := d.invoke(uint32(i+1), item); err != nil {
			return err
		}
	}
	return nil
}

func (d *dispatcher) awaitHealthy() error {
	for {
		if _, err := d.conn.Write(frame.Append(nil, frame.HealthCheck, 1, []byte{0})); err != nil {
			return err
		}
		f, err := d.next()
		if err != nil {
			return err
		}
		if f.Payload[0] == frame.Healthy {
			return nil
		}
	}
}

// invoke sends an invocation and prints its answer.
func (d *dispatcher) invoke(stream uint32, item string) error {
	fields := []frame.Field{
		{Name: "op", Value: "quote"},
		{Name: "call", Value: fmt.Sprintf("%016x", stream)},
		{Name: "src", Value: "1"},
		{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{Name: "heap", Value: "10"},
	}
	if _, err := d.conn.Write(frame.AppendInvocation(nil, stream, fields, []byte(item))); err != nil {
		return err
	}
	f, err := d.next()
	if err != nil {
		return err
	}
	_, body, err := frame.Fields(f.Payload[1:])
	if err != nil {
		return err
	}
	fmt.Printf("%s: code %d, %s\n", item, f.Payload[0], body)
	return nil
}

// next returns the next frame from the node.
func (d *dispatcher) next() (frame.Frame, error) {
	for {
		f, ok, err := d.parser.Next()
		if ok || err != nil {
			return f, err
		}
		n, err := d.conn.Read(d.parser.Space())
		if err != nil {
			return f, err
		}
		d.parser.Wrote(n)
	}
}
