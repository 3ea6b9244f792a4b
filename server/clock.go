package server

import (
	"time"
)

// Clock tells the time twice: in nanoseconds that only advance, and as Unix time, which may jump.
type Clock interface {
	Now() (monotonic, unix int64)
}

type systemClock struct{ start time.Time }

// SystemClock is the clock of the system.
func SystemClock() Clock { return systemClock{time.Now()} }

func (c systemClock) Now() (monotonic, unix int64) {
	now := time.Now()
	return int64(now.Sub(c.start)) + 1, now.UnixNano()
}

// offsetClock sets the wall clock off, for tests of clocks that disagree.
type offsetClock struct {
	Clock
	offset int64
}

func (a offsetClock) Now() (monotonic, unix int64) {
	monotonic, unix = a.Clock.Now()
	return monotonic, unix + a.offset
}
