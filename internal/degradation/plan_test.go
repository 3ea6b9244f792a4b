package degradation

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"topazpost/internal/admission"
)

func TestLevelZeroIsFullService(t *testing.T) {
	p := plan()
	assert.Equal(t, FullService, p.LevelName(0))
	assert.Nil(t, p.Services(0))
	assert.Equal(t, "b", p.LevelName(2))
	assert.Equal(t, p.Levels[1].Services, p.Services(2))
}

func TestAtMostAsRestrictive(t *testing.T) {
	complete, shed := admission.Service{}, admission.Service{Form: admission.Shed}
	reduced := func(weight float64) admission.Service {
		return admission.Service{Form: admission.Reduced, WorkShare: 0.5, WeightShare: weight}
	}
	for _, c := range []struct {
		services, others admission.Service
		want             bool
	}{
		{complete, complete, true},
		{complete, shed, true},
		{shed, complete, false},
		{reduced(0.8), shed, true},
		{reduced(0.8), complete, false},
		{reduced(0.8), reduced(0.8), true},
		{reduced(0.7), reduced(0.8), false},
		{reduced(0.9), reduced(0.8), true},
		{shed, reduced(0.8), false},
	} {
		got := AtMostAsRestrictive([]admission.Service{complete, c.services}, []admission.Service{complete, c.others})
		assert.Equal(t, c.want, got, "%+v against %+v", c.services, c.others)
	}
}
