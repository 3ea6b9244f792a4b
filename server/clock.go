package server

import "time"

// Clock gives a monotonic time in nanoseconds, and Unix time in nanoseconds, which may jump.
type Clock interface {
	Now() (monotonic, unix int64)
}

type systemClock struct{ start time.Time }

// SystemClock returns the system's clock. Its monotonic time starts at 1 with the call.
func SystemClock() Clock { return systemClock{time.Now()} }

func (c systemClock) Now() (monotonic, unix int64) {
	now := time.Now()
	return int64(now.Sub(c.start)) + 1, now.UnixNano()
}

// offsetClock adds an offset to Unix time, for tests of nodes whose clocks disagree.
type offsetClock struct {
	Clock
	offset int64
}

func (c offsetClock) Now() (monotonic, unix int64) {
	monotonic, unix = c.Clock.Now()
	return monotonic, unix + c.offset
}
