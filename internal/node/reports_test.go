package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNextReportIsScheduledByTheOutcomeOfTheLast(t *testing.T) {
	sm := newServingNode(t)
	assert.NotZero(t, sm.reports.inFlight)
	sm.reports.finished(sm.reports.inFlight, errInvalidField)
	assert.Equal(t, sm.now+reportRetryBackoff, sm.reports.nextAt)
	sm.reports.finished(sm.reports.inFlight, nil)
	assert.Equal(t, sm.now+reportInterval, sm.reports.nextAt)
	assert.Zero(t, sm.reports.inFlight)
}
