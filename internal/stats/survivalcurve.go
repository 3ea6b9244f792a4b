package stats

// SurvivalCurve is a Kaplan-Meier estimate of the share of a population that is still present at a given time, for
// instance of the callers that still wait. Times are shares of a fixed maximum, such as the caller's timeout. Samples whose
// departure was not observed (censored samples) contribute as well.
type SurvivalCurve struct {
	atRisk     []float64 // by time bin: samples that were observed until then or longer
	departed   []float64 // by time bin: samples that departed in it
	maxSamples float64
}

// NewSurvivalCurve returns an empty curve with the given number of equal time bins that retains about maxSamples samples.
func NewSurvivalCurve(bins int, maxSamples float64) SurvivalCurve {
	return SurvivalCurve{
		atRisk:     make([]float64, bins),
		departed:   make([]float64, bins),
		maxSamples: maxSamples,
	}
}

// Add records a sample that was present until the given time and then departed or, if departed is false, was no longer
// observed.
func (s *SurvivalCurve) Add(time float64, departed bool) {
	last := min(max(int(time*float64(len(s.departed))), 0), len(s.departed)-1)
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

// TimeAtSurvival returns the time from which less than the given share of the population is present; 1 if there is no such
// time. One sample more than observed counts as at risk, which avoids a division by zero and favours survival while there
// are few samples.
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
