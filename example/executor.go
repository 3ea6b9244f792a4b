package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"

	"topazpost/internal/protocol/lineprotocol"
)

// executor ends every run as soon as it starts.
type executor struct {
	conn    net.Conn
	parser  lineprotocol.Parser
	notices int // exits sent
}

// serveExecutor accepts the node's connection and serves it until it is closed.
func serveExecutor(l net.Listener) error {
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	e := &executor{conn: conn}
	e.parser.HasBody = func(words []string) bool { return words[0] == "EXEC" }
	err = e.serve()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (e *executor) serve() error {
	for {
		n, err := e.conn.Read(e.parser.Space())
		if err != nil {
			return err
		}
		e.parser.Wrote(n)
		for {
			line, ok, err := e.parser.Next()
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			if _, err := e.conn.Write(e.answer(line)); err != nil {
				return err
			}
		}
	}
}

// answer returns the answer to a line, empty where it needs none.
func (e *executor) answer(line lineprotocol.Line) []byte {
	switch line.Words[0] {
	case "JOIN":
		return lineprotocol.Append(nil, "WELCOME", "old", "0")
	case "METER":
		return lineprotocol.Append(nil, "METERS", line.Words[1], "0.1", "1")
	case "EXEC":
		e.notices++
		return lineprotocol.AppendBody(nil, bytes.ToUpper(line.Body), "EXIT", strconv.Itoa(e.notices), line.Words[1], "good", "3")
	}
	return nil
}
