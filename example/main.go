// Command example embeds one node and plays its peers on loopback addresses: an executor whose runs answer with the
// body in capitals, a control plane, and a dispatcher that sends three invocations. No operation here calls its
// dependency, so nobody listens on the catalogue's address.
package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"

	"topazpost/server"
)

const (
	anyLoopbackPort   = "127.0.0.1:0"
	readHeaderTimeout = 5 * time.Second
)

//go:embed config.json
var configJSON []byte

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

// run starts the node and its peers, dispatches the invocations and drains the node.
func run() error {
	config, err := server.ReadConfig(configJSON)
	if err != nil {
		return err
	}
	executor, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return err
	}
	config.Executor = executor.Addr().String()
	config.Control = control.Addr().String()

	peers := make(chan error, 2)
	go func() { peers <- serveExecutor(executor) }()
	go func() { peers <- serveControlPlane(control) }()

	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).Level(zerolog.InfoLevel)
	node := server.New(config, log, server.SystemClock())
	if err := node.Listen(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- node.Run(context.Background()) }()

	if err := dispatch(node.Addr().String()); err != nil {
		return errors.Join(err, firstError(peers))
	}
	node.Drain()
	return <-ended
}

// firstError returns an error that is in the channel already.
func firstError(errs <-chan error) error {
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// serveControlPlane answers all requests without content.
func serveControlPlane(l net.Listener) error {
	plane := http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	return plane.Serve(l)
}
