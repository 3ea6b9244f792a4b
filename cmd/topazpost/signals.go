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
	minRereadBackoff = 50 * time.Millisecond // to the first new try at a configuration that is unusable: half written, perhaps
	maxRereadBackoff = 2 * time.Second       // to any further try
	freeMemoryDelay  = time.Second           // from a reload until the memory that reading took is given back: the node is done with it
	maxRereads       = 12                    // tries; then the next SIGHUP is waited for
)

var (
	reloadSignals = make(chan os.Signal, 1)
	stopSignals   = make(chan os.Signal, 3)
)

// handleSignals maps signals to the node: SIGHUP to Reload with what the file says then, the first to end to Drain, the
// second to Abort, the third to stop. A file that is unusable changes nothing; it is named in the log and read again a little later.
func (c *serveCommand) handleSignals(node *server.Server, log zerolog.Logger, stop context.CancelFunc) {
	var reread, freeMemory <-chan time.Time
	ending := []func(){node.Drain, node.Abort, stop}
	backoff, rereadsLeft := minRereadBackoff, 0
	for {
		select {
		case <-stopSignals:
			ending[0]()
			ending = ending[min(1, len(ending)-1):]
			continue
		case <-reloadSignals:
			backoff, rereadsLeft = minRereadBackoff, maxRereads
		case <-reread:
		case <-freeMemory:
			freeMemory = nil
			debug.FreeOSMemory() // of a large file most was for the reading of it
			continue
		}
		reread = nil
		percent := readGCPercent
		if c.Fleet != "" {
			percent = reloadGCPercent
		}
		config, err := c.decode(server.DecodeReload, percent)
		if err == nil {
			err = c.readDegradationPlan(config)
		}
		if err == nil {
			node.Reload(config)
			freeMemory = time.After(freeMemoryDelay)
			continue
		}
		log.Warn().Err(err).Int("tries_left", rereadsLeft).Msg("configuration can't be used, the one of before stays")
		if rereadsLeft > 0 {
			reread, rereadsLeft = time.After(backoff), rereadsLeft-1
			backoff = min(2*backoff, maxRereadBackoff)
		}
	}
}
