package simwire

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/admission"
)

func split(line string) []string { return strings.Split(line, "\t") }

func newTestCodec(t *testing.T) *InstanceCodec {
	config, err := DecodeConfig(split("PROVISION\t7\tgrades.count=1\tgrades.0.name=catalogue\tgrades.0.aim=1700.0\tgrades.0.effect=idempotent\t" +
		"family_info.gauges=cpu_busy,runnable\ttenants=\tunknown.key=x"))
	require.NoError(t, err)
	return NewInstanceCodec(config)
}

const arrivalLine = "WORK_ITEM\t9\t-\t1.85\t0.625\t17\t-\t3\t-\tcatalogue\t-\t12.0\t24.5"

func TestDecodeEventReadsArrival(t *testing.T) {
	e, live, err := newTestCodec(t).DecodeEvent(split(arrivalLine))
	require.NoError(t, err)
	assert.True(t, live)
	assert.Equal(t, admission.Event{Kind: admission.Arrived, Age: 1_850_000, Caller: 17, Tenant: -1,
		Original: admission.NoOriginal, Retry: true, ExpectedWork: 12_000_000, QueuedKB: 24.5}, e)
}

func TestEventsOfReleasedIDsAreIgnored(t *testing.T) {
	h := newTestCodec(t)
	_, _, err := h.DecodeEvent(split(arrivalLine))
	require.NoError(t, err)
	h.AppendActions(nil, []admission.Action{{Kind: admission.Release}})
	_, live, err := h.DecodeEvent(split("WORK_DONE\t9\tsuccess\t3.0"))
	assert.NoError(t, err)
	assert.False(t, live)
}

func TestMalformedLinesReturnErrors(t *testing.T) {
	for _, line := range []string{"WORK_ITEM\t9\tx", "WORK_DONE\t9\tmaybe\t1", "NONSENSE\t1", "DUE\t-",
		strings.Replace(arrivalLine, "catalogue", "other", 1)} {
		_, _, err := newTestCodec(t).DecodeEvent(split(line))
		assert.ErrorContains(t, err, "ember: ")
	}
}

func TestAppendActionsEncodesActions(t *testing.T) {
	h := newTestCodec(t)
	_, _, err := h.DecodeEvent(split(arrivalLine))
	require.NoError(t, err)
	got := h.AppendActions(nil, []admission.Action{
		{Kind: admission.Reject, Duration: 250_000_000, NoRetry: true}, {Kind: admission.StartCall, At: 8_912_250_000},
		{Kind: admission.ReportHealth, Healthy: true, Cached: true}, {Kind: admission.SignalBackpressure, Value: 0.25},
		{Kind: admission.SetTimer, At: 1_000_500_000},
	})
	assert.Equal(t, "SAY_NO\t9\t250\t1\nGO_CALL\t9\t8912.25\nFITNESS\t1\t1\nSIGNAL\t0.25\nREMIND\t1000.5\t0\n",
		string(got))
}
