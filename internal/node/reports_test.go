package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReportsAreSentOneAtATimeAndRetriedAfterAnError(t *testing.T) {
	r := up(t)
	assert.NotZero(t, r.reports.link)
	r.reports.finished(r.reports.link, errField)
	assert.Equal(t, r.now+reportRetryBackoff, r.reports.nextAt)
	r.reports.finished(r.reports.link, nil)
	assert.Equal(t, r.now+reportInterval, r.reports.nextAt)
	assert.Zero(t, r.reports.link)
}
