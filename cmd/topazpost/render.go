package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"time"

	"topazpost/internal/configfile"
)

// Bounds on the evaluation of a file in a process of its own.
const (
	renderTimeout     = 4 * time.Second // longer than configfile's, and the start of the process
	maxRenderedBytes  = 1 << 20
	maxHeapBytes      = 64 << 20
	heapCheckInterval = 10 * time.Millisecond
)

type planRender struct {
	File string `arg:"" help:"The plan." type:"path"`
}

// Run evaluates a file and prints its JSON. It exits where a template takes too much memory.
func (c *planRender) Run() error {
	go c.limitHeap()
	file, err := configfile.Read(c.File)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(file.JSON)
	return err
}

// limitHeap ends the process once its heap exceeds the bound.
func (c *planRender) limitHeap() {
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		if m.HeapAlloc > maxHeapBytes {
			fmt.Fprintf(os.Stderr, "%s: takes more than %d MB to evaluate; build less in templates\n", c.File, maxHeapBytes>>20)
			os.Exit(1)
		}
		time.Sleep(heapCheckInterval)
	}
}

// render evaluates a file in a process of its own, so that no template can take the node's time or memory.
func render(path string) (*configfile.File, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), renderTimeout)
	defer cancel()
	stdout := &limitedWriter{remaining: maxRenderedBytes}
	stderr := &limitedWriter{remaining: maxRenderedBytes}
	command := exec.CommandContext(ctx, program, "plan", "render", path)
	command.Stdout = stdout
	command.Stderr = stderr
	if err := command.Run(); err != nil {
		if text := bytes.TrimSpace(stderr.buffer.Bytes()); len(text) > 0 {
			return nil, errors.New(string(bytes.TrimPrefix(text, []byte("topazpost: error: "))))
		}
		return nil, fmt.Errorf("%s: can't be evaluated: %w", path, err)
	}
	return configfile.Rendered(path, stdout.buffer.Bytes())
}

// limitedWriter stores the first bytes that are written to it and discards the others.
type limitedWriter struct {
	buffer    bytes.Buffer
	remaining int
}

// Write never fails, so that the process that writes isn't blocked.
func (w *limitedWriter) Write(p []byte) (int, error) {
	n := min(len(p), w.remaining)
	w.remaining -= n
	w.buffer.Write(p[:n])
	return len(p), nil
}
