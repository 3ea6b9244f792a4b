package main

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"topazpost/server"
)

const (
	minRereadBackoff = 50 * time.Millisecond // a file that is being written is soon complete
	maxRereadBackoff = 2 * time.Second
	maxRereads       = 12          // until the next SIGHUP
	freeMemoryDelay  = time.Second // longer than the node needs to apply a configuration
	maxStopSignals   = 3
)

var (
	reloadSignals = make(chan os.Signal, 1)
	stopSignals   = make(chan os.Signal, maxStopSignals)
)

// reloader reads the configuration of a running node again. One that is not valid changes nothing and is read again
// after a backoff.
type reloader struct {
	command     *serveCommand
	node        *server.Server
	log         zerolog.Logger
	backoff     time.Duration
	rereadsLeft int
	reread      <-chan time.Time // nil where no reread is due
	freeMemory  <-chan time.Time // nil where no memory is to be freed
}

// handleSignals reloads the configuration at each SIGHUP. Of the signals to stop, the first one drains the node, the
// second one aborts its invocations, the third one calls stop.
func (c *serveCommand) handleSignals(node *server.Server, log zerolog.Logger, stop context.CancelFunc) {
	r := &reloader{command: c, node: node, log: log}
	stopSteps := []func(){node.Drain, node.Abort, stop}
	for {
		select {
		case <-stopSignals:
			stopSteps[0]()
			if len(stopSteps) > 1 {
				stopSteps = stopSteps[1:]
			}
		case <-reloadSignals:
			r.backoff = minRereadBackoff
			r.rereadsLeft = maxRereads
			r.reload()
		case <-r.reread:
			r.reload()
		case <-r.freeMemory:
			r.freeMemory = nil
			debug.FreeOSMemory() // most of which reading a large file took
		}
	}
}

func (r *reloader) reload() {
	r.reread = nil
	config, err := r.read()
	if err == nil {
		r.node.Reload(config)
		r.freeMemory = time.After(freeMemoryDelay)
		return
	}
	r.log.Warn().Err(err).Int("tries_left", r.rereadsLeft).Msg("configuration can't be used, the one of before stays")
	if r.rereadsLeft > 0 {
		r.reread = time.After(r.backoff)
		r.rereadsLeft--
		r.backoff = min(2*r.backoff, maxRereadBackoff)
	}
}

func (r *reloader) read() (*server.Config, error) {
	gcPercent := readGCPercent
	if r.command.Fleet != "" {
		gcPercent = reloadGCPercent
	}
	config, err := r.command.decode(server.DecodeReload, gcPercent)
	if err != nil {
		return nil, err
	}
	return config, r.command.readDegradationPlan(config)
}
