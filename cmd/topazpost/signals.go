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
	rereadFirst = 50 * time.Millisecond // to the first new try at a configuration that is unusable: half written, perhaps
	rereadMost  = 2 * time.Second       // to any further try
	tidyAfter   = time.Second           // from a reload until the memory that reading took is given back: the node is done with it
	rereadTimes = 12                    // tries; then the next SIGHUP is waited for
)

var (
	hups = make(chan os.Signal, 1)
	ends = make(chan os.Signal, 3)
)

// heed maps signals to the node: SIGHUP to Reload with what the file says then, the first to end to Drain, the
// second to Abort, the third to stop. A file that is unusable changes nothing; it is named in the log and read again a little later.
func (c *serve) heed(node *server.Server, log zerolog.Logger, stop context.CancelFunc) {
	var again, tidy <-chan time.Time
	ending := []func(){node.Drain, node.Abort, stop}
	wait, left := rereadFirst, 0
	for {
		select {
		case <-ends:
			ending[0]()
			ending = ending[min(1, len(ending)-1):]
			continue
		case <-hups:
			wait, left = rereadFirst, rereadTimes
		case <-again:
		case <-tidy:
			tidy = nil
			debug.FreeOSMemory() // of a large file most was for the reading of it
			continue
		}
		again = nil
		percent := readingGC
		if c.Fleet != "" {
			percent = besideGC
		}
		config, err := c.decode(server.DecodeReload, percent)
		if err == nil {
			err = c.readLevels(config)
		}
		if err == nil {
			node.Reload(config)
			tidy = time.After(tidyAfter)
			continue
		}
		log.Warn().Err(err).Int("tries_left", left).Msg("configuration can't be used, the one of before stays")
		if left > 0 {
			again, left = time.After(wait), left-1
			wait = min(2*wait, rereadMost)
		}
	}
}
