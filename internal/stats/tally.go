// Package stats counts what was seen in a few coarse bins that are halved from time to time. It decides
// nothing: how many bins there are, how coarse and how long they remember, its users say.
package stats

import "math"

// RatioHistogram counts ratios in bins of equal factors around 1.
type RatioHistogram struct {
	bins                []float64
	binsPerOctave       float64
	samples, maxSamples float64
	sum                 float64 // of what was counted, each at the middle of its bin
}

// NewRatioHistogram counts in a number of bins, so many to a factor of two, and halves them past a number of samples.
func NewRatioHistogram(bins int, perOctave, remembered float64) RatioHistogram {
	return RatioHistogram{bins: make([]float64, bins), binsPerOctave: perOctave, maxSamples: remembered}
}

// Add counts one ratio.
func (h *RatioHistogram) Add(ratio float64) {
	middle := len(h.bins) / 2
	bin := int(math.Round(h.binsPerOctave*math.Log2(max(ratio, 1e-9)))) + middle
	bin = min(max(bin, 0), len(h.bins)-1)
	h.bins[bin]++
	h.sum += math.Exp2(float64(bin-middle) / h.binsPerOctave)
	if h.samples++; h.samples > h.maxSamples {
		halve(h.bins)
		h.samples, h.sum = h.samples/2, h.sum/2
	}
}

// Mean counts one sample of the prior beside those seen.
func (h *RatioHistogram) Mean(prior float64) float64 {
	return (prior + h.sum) / (h.samples + 1)
}

// SurvivalCurve counts how long some stay and when others leave, by equal parts of a whole.
type SurvivalCurve struct {
	atRisk, departed []float64
	maxSamples       float64
}

// NewSurvivalCurve counts in a number of parts and halves them past a number of samples.
func NewSurvivalCurve(parts int, remembered float64) SurvivalCurve {
	return SurvivalCurve{atRisk: make([]float64, parts), departed: make([]float64, parts), maxSamples: remembered}
}

// Add counts one that was there up to some part of the whole and then left, or was no longer watched.
func (s *SurvivalCurve) Add(part float64, left bool) {
	last := min(max(int(part*float64(len(s.departed))), 0), len(s.departed)-1)
	for i := range last + 1 {
		s.atRisk[i]++
	}
	if left {
		s.departed[last]++
	}
	if s.atRisk[0] > s.maxSamples {
		halve(s.atRisk)
		halve(s.departed)
	}
}

// TimeAtSurvival is the part of the whole up to which at least the given share stays.
func (s *SurvivalCurve) TimeAtSurvival(share float64) float64 {
	stay := 1.0
	for i, n := range s.departed {
		if stay *= 1 - n/(s.atRisk[i]+1); stay < share {
			return float64(i) / float64(len(s.departed))
		}
	}
	return 1
}

// SlidingSum sums what was counted in the last slices of time, the present one included.
type SlidingSum struct {
	slices             []float64
	sliceLength, index int64
}

// NewSlidingSum sums over a span of time in a number of whole slices beside the present one.
func NewSlidingSum(span int64, slices int) SlidingSum {
	return SlidingSum{slices: make([]float64, slices+1), sliceLength: max(1, span/int64(slices))}
}

// Add moves on to a moment and counts there.
func (s *SlidingSum) Add(now int64, amount float64) {
	n := int64(len(s.slices))
	for s.index = max(s.index, now/s.sliceLength-n); s.index < now/s.sliceLength; s.index++ {
		s.slices[(s.index+1)%n] = 0
	}
	s.slices[s.index%n] += amount
}

// Sum is what the window holds.
func (s *SlidingSum) Sum() (sum float64) {
	for _, amount := range s.slices {
		sum += amount
	}
	return sum
}

func halve(bins []float64) {
	for i := range bins {
		bins[i] /= 2
	}
}
