package stats

import "math"

const minRatio = 1e-9 // lower ratios count as this one, so that the logarithm is finite

// RatioHistogram is a histogram of ratios with logarithmic bins around 1. When it holds more than maxSamples samples, all
// counts are halved, so that recent samples dominate.
type RatioHistogram struct {
	bins          []float64 // counts
	midpoints     []float64 // ratio at the logarithmic middle of each bin
	binsPerOctave float64
	samples       float64
	maxSamples    float64
	sum           float64 // of all samples, each taken as the midpoint of its bin
}

// NewRatioHistogram returns an empty histogram with the given number of bins, binsPerOctave of them for each factor of
// two, that retains about maxSamples samples.
func NewRatioHistogram(bins int, binsPerOctave, maxSamples float64) RatioHistogram {
	h := RatioHistogram{
		bins:          make([]float64, bins),
		midpoints:     make([]float64, bins),
		binsPerOctave: binsPerOctave,
		maxSamples:    maxSamples,
	}
	for bin := range h.midpoints {
		h.midpoints[bin] = math.Exp2(float64(bin-bins/2) / binsPerOctave)
	}
	return h
}

// Add records one ratio. Ratios beyond the range of the bins are counted in the outermost bin.
func (h *RatioHistogram) Add(ratio float64) {
	bin := h.binOf(ratio)
	h.bins[bin]++
	h.sum += h.midpoints[bin]
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

// Mean returns the mean of the samples and the prior, which counts as one more sample.
func (h *RatioHistogram) Mean(prior float64) float64 {
	return (prior + h.sum) / (h.samples + 1)
}
