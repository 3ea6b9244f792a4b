package segmentstore

import (
	"errors"
	"fmt"
)

// Errors of writing and of reading segments.
var (
	ErrVersion  = errors.New("store: a version that is not known here; it is left as it is")
	ErrFull     = errors.New("store: the segment has no room")
	ErrTooLarge = errors.New("store: the record is too large")
)

// CorruptionError says that acknowledged records may be corrupt, and where.
type CorruptionError struct {
	Offset int64
	Reason string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("store: broken at offset %d: %s", e.Offset, e.Reason)
}

// segmentError is an error of the storage on one segment.
func segmentError(name string, err error) error {
	return fmt.Errorf("store: %s: %w", name, err)
}
