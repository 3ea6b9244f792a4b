// Package stats provides the statistics on which admission decisions are based: a histogram of ratios, a survival
// curve, a sum over a sliding window, decaying counters, and the extremes of a changing set. All are bounded in memory
// and deterministic; none is safe for concurrent use. The caller chooses resolution and number of samples.
package stats

// halve halves every bin, so that older samples have less weight than later ones.
func halve(bins []float64) {
	for i := range bins {
		bins[i] /= 2
	}
}
