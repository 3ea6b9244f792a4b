package server

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
)

// No test of this package may leave a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestGroup is a group that is waited for when the test ends.
func newTestGroup(t *testing.T) *errgroup.Group {
	group, _ := errgroup.WithContext(t.Context())
	t.Cleanup(func() { assert.NoError(t, group.Wait()) })
	return group
}

var nopLogger = zerolog.Nop()
