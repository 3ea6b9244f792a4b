package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestInvalidConfigIsRejected(t *testing.T) {
	assert.Empty(t, testConfig.Problem())
	assert.Contains(t, (&HolderConfig{LeaseTerm: 4_000 * ms, MaxUseTime: 2_000 * ms, Units: 1}).Problem(), "half a lease")
	assert.Contains(t, (&HolderConfig{LeaseTerm: ms, Units: 1}).Problem(), "1 s to 60 s")
	assert.Contains(t, (&HolderConfig{LeaseTerm: 4_000 * ms}).Problem(), "less than one unit")
	assert.Contains(t, testConfig.DescribeBound(), "at most 10 calls in use")
}
