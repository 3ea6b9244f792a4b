// Package standin holds the stand-ins of the review's cases: an executor, a control plane and a dispatcher that follow the
// protocol page, a node that is started by the deploy file's command, and the record of a case. Every address is a loopback
// address.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0 // the rule held
	Broken    = 1 // the rule was broken
	CannotRun = 2 // the case couldn't run
)

// Loopback is an address of which the system chooses the port.
const Loopback = "127.0.0.1:0"

// Case is one run of a case: its record, its temporary folder, and what it has to end.
type Case struct {
	Root    string // of the repository
	Temp    string // removed at the end
	Trouble bool   // false: without the disruption

	mu     sync.Mutex
	record *os.File
	begun  time.Time
	ends   []func()
}

// Main runs a case and exits with its code. The arguments of the program are the root of the repository and the case's folder.
func Main(run func(c *Case) (int, error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE ROOT FOLDER")
		os.Exit(CannotRun)
	}
	c, err := newCase(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		c.close()
		os.Exit(CannotRun)
	}()
	code, err := run(c)
	if err != nil {
		c.Note("could not run: %v", err)
		code = CannotRun
	}
	c.close()
	c.Note("exit %d", code)
	os.Exit(code)
}

func newCase(root, folder string) (*Case, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Case{Root: root, Temp: temp, Trouble: os.Getenv("TROUBLE") != "0", record: record, begun: time.Now()}, nil
}

// Note writes a line to the record, with the seconds since the case began.
func (c *Case) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(c.begun).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprint(c.record, line)
	fmt.Print(line)
}

// AtEnd has a function called when the case ends, the last one first.
func (c *Case) AtEnd(end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, end)
}

func (c *Case) close() {
	for i := len(c.ends) - 1; i >= 0; i-- {
		c.ends[i]()
	}
	os.RemoveAll(c.Temp)
}

// WriteFile writes a value as JSON, which is Jsonnet too, to a file of the temporary folder, and returns its path.
func (c *Case) WriteFile(name string, value any) (string, error) {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.Temp, name)
	return path, os.WriteFile(path, text, 0o600)
}

// StartControlPlane answers every report with 204, and returns its address.
func (c *Case) StartControlPlane() (string, error) {
	listener, err := net.Listen("tcp", Loopback)
	if err != nil {
		return "", err
	}
	plane := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
		}),
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = plane.Serve(listener) }()
	c.AtEnd(func() { plane.Close() })
	return listener.Addr().String(), nil
}

// FreeAddress returns a loopback address that nobody listens on now.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", Loopback)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
