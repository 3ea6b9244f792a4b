package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const provision = "PROVISION\t7\tgrades.count=1\tgrades.0.name=catalogue\tgrades.0.aim=1000\t" +
	"grades.0.give_up=3000\tgrades.0.effect=idempotent\tfamily_info.n_cores=2\tfamily_info.memory_kb=9000\tguarantees.tip_multiple=4\n"

const arrival = "WORK_ITEM\t9\t-\t1\t0.5\t1\t-\t0\t-\tcatalogue\t-\t-\t24.5\n"

func TestCrashAndRestartInOneBatchStartsNewInstance(t *testing.T) {
	var out bytes.Buffer
	err := serve(strings.NewReader("MARK\t1000\nEOB\nMARK\t1000\nTARGET_INSTANCE\t3\n"+provision+arrival+
		"EOB\nMARK\t1004\nTARGET_INSTANCE\t3\nCRASH_NOW\n"+provision+"WORK_DONE\t9\tsuccess\t4\nEOB\n"), &out)
	assert.NoError(t, err)
	replies := strings.SplitAfter(out.String(), "FINISHED\n")
	assert.Equal(t, "FINISHED\n", replies[0])
	assert.Contains(t, replies[1], "AT\t3\nDISPATCH\t9\n")
	assert.NotContains(t, replies[2], "DISPATCH")
	assert.Contains(t, replies[2], "AT\t3\n")
}

func TestMalformedInputReportsFatalError(t *testing.T) {
	var out bytes.Buffer
	err := serve(strings.NewReader("MARK\t1000\nTARGET_INSTANCE\t3\nWORK_DONE\t9\tsuccess\t4\nEOB\n"), &out)
	assert.Error(t, err)
	assert.Regexp(t, "^BAIL_OUT\t.*instance 3.*\nFINISHED\n$", out.String())
}
