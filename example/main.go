// Command example embeds one node and plays all that it talks to, on loopback addresses: an executor whose runs
// answer with the body in capitals, a control plane, and a dispatcher that sends three invocations. No
// operation here makes calls, so the catalogue is an address that nobody listens on.
package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"topazpost/internal/protocol/frame"
	"topazpost/internal/protocol/lineprotocol"
	"topazpost/server"
)

//go:embed config.json
var config []byte

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

func run() error {
	config, err := server.ReadConfig(config)
	if err != nil {
		return err
	}
	executor, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	config.Executor, config.Control = executor.Addr().String(), control.Addr().String()
	go execute(executor)
	go http.Serve(control, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))

	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).Level(zerolog.InfoLevel)
	node := server.New(config, log, server.SystemClock())
	if err := node.Listen(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- node.Run(context.Background()) }()
	if err := dispatch(node.Addr().String()); err != nil {
		return err
	}
	node.Drain()
	return <-ended
}

// execute takes one link and ends every run as soon as it starts.
func execute(l net.Listener) {
	link, err := l.Accept()
	if err != nil {
		return
	}
	p := lineprotocol.Parser{HasBody: func(words []string) bool { return words[0] == "EXEC" }}
	for notices := 1; ; {
		n, err := link.Read(p.Space())
		if err != nil {
			return
		}
		p.Wrote(n)
		for {
			line, ok, err := p.Next()
			if err != nil || !ok {
				break
			}
			switch line.Words[0] {
			case "JOIN":
				link.Write(lineprotocol.Append(nil, "WELCOME", "old", "0"))
			case "METER":
				link.Write(lineprotocol.Append(nil, "METERS", line.Words[1], "0.1", "1"))
			case "EXEC":
				link.Write(lineprotocol.AppendBody(nil, bytes.ToUpper(line.Body), "EXIT", strconv.Itoa(notices),
					line.Words[1], "good", "3"))
				notices++
			}
		}
	}
}

// dispatch waits until health is good, then sends each invocation on a stream of its own.
func dispatch(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	var p frame.Parser
	for good := false; !good; {
		conn.Write(frame.Append(nil, frame.HealthCheck, 1, []byte{0}))
		f, err := next(conn, &p)
		if err != nil {
			return err
		}
		good = f.Payload[0] == frame.Healthy
	}
	for i, item := range strings.Fields("desk chair lamp") {
		stream := uint32(i + 1)
		conn.Write(frame.AppendInvocation(nil, stream, []frame.Field{{Name: "op", Value: "quote"},
			{Name: "call", Value: fmt.Sprintf("%016x", stream)}, {Name: "src", Value: "1"},
			{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
			{Name: "heap", Value: "10"}}, []byte(item)))
		f, err := next(conn, &p)
		if err != nil {
			return err
		}
		_, body, err := frame.Fields(f.Payload[1:])
		if err != nil {
			return err
		}
		fmt.Printf("%s: code %d, %s\n", item, f.Payload[0], body)
	}
	return nil
}

func next(conn net.Conn, p *frame.Parser) (frame.Frame, error) {
	for {
		f, ok, err := p.Next()
		if ok || err != nil {
			return f, err
		}
		n, err := conn.Read(p.Space())
		if err != nil {
			return f, err
		}
		p.Wrote(n)
	}
}
