package stats

import "math"

const minRatio = 1e-9 // lower ratios count as this one, so that the logarithm is finite

// RatioHistogram is a histogram of ratios whose bins are of equal factors around 1. Once it holds more than a
// given number of samples, all counts are halved, so that recent samples dominate.
type RatioHistogram struct {
	bins          []float64 // counts
	middles       []float64 // the ratio in the middle of each bin
	binsPerOctave float64
	samples       float64
	maxSamples    float64
	sum           float64 // of all samples, each taken at the middle of its bin
}

// NewRatioHistogram returns an empty histogram with the given number of bins, binsPerOctave of them to a factor
// of two, that remembers about maxSamples samples.
func NewRatioHistogram(bins int, binsPerOctave, maxSamples float64) RatioHistogram {
	h := RatioHistogram{
		bins:          make([]float64, bins),
		middles:       make([]float64, bins),
		binsPerOctave: binsPerOctave,
		maxSamples:    maxSamples,
	}
	for bin := range h.middles {
		h.middles[bin] = math.Exp2(float64(bin-bins/2) / binsPerOctave)
	}
	return h
}

// Add records one ratio. Ratios beyond the outermost bins are counted in these.
func (h *RatioHistogram) Add(ratio float64) {
	bin := h.binOf(ratio)
	h.bins[bin]++
	h.sum += h.middles[bin]
	h.samples++
	if h.samples > h.maxSamples {
		h.decay()
	}
}

func (h *RatioHistogram) binOf(ratio float64) int {
	offset := int(math.Round(h.binsPerOctave * math.Log2(max(ratio, minRatio))))
	return min(max(offset+len(h.bins)/2, 0), len(h.bins)-1)
}

func (h *RatioHistogram) decay() {
	halve(h.bins)
	h.samples /= 2
	h.sum /= 2
}

// Mean returns the mean of the samples and of the prior, which counts as one sample.
func (h *RatioHistogram) Mean(prior float64) float64 {
	return (prior + h.sum) / (h.samples + 1)
}
