package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReportsAreSentOneAtATimeAndRetriedAfterAnError(t *testing.T) {
	sm := newServingNode(t)
	assert.NotZero(t, sm.reports.link)
	sm.reports.finished(sm.reports.link, errInvalidField)
	assert.Equal(t, sm.now+reportRetryBackoff, sm.reports.nextAt)
	sm.reports.finished(sm.reports.link, nil)
	assert.Equal(t, sm.now+reportInterval, sm.reports.nextAt)
	assert.Zero(t, sm.reports.link)
}
