package stats

// SurvivalCurve estimates what share of a population is still present after a part of some whole, for instance
// of callers that still wait after a part of their timeout. It is a product-limit (Kaplan-Meier) estimate, to
// which samples contribute whose departure was not observed.
type SurvivalCurve struct {
	atRisk     []float64 // by part: samples that were observed at least that far
	departed   []float64 // by part: samples that departed there
	maxSamples float64
}

// NewSurvivalCurve returns an empty curve over the given number of equal parts that remembers about maxSamples
// samples.
func NewSurvivalCurve(parts int, maxSamples float64) SurvivalCurve {
	return SurvivalCurve{
		atRisk:     make([]float64, parts),
		departed:   make([]float64, parts),
		maxSamples: maxSamples,
	}
}

// Add records one sample that was present for a share of the whole and then departed or, where departed is
// false, was no longer observed.
func (s *SurvivalCurve) Add(share float64, departed bool) {
	last := min(max(int(share*float64(len(s.departed))), 0), len(s.departed)-1)
	for i := range last + 1 {
		s.atRisk[i]++
	}
	if departed {
		s.departed[last]++
	}
	if s.atRisk[0] > s.maxSamples {
		halve(s.atRisk)
		halve(s.departed)
	}
}

// TimeAtSurvival returns the share of the whole after which fewer than the given share survive; 1 if more do to
// the end.
func (s *SurvivalCurve) TimeAtSurvival(share float64) float64 {
	surviving := 1.0
	for i, departed := range s.departed {
		surviving *= 1 - departed/(s.atRisk[i]+1)
		if surviving < share {
			return float64(i) / float64(len(s.departed))
		}
	}
	return 1
}
