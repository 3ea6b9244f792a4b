// Package stats provides the small statistics on which admission decisions are based: histograms, a survival
// curve, a sum over a sliding window, decaying counters and running extremes. All are bounded in memory and
// deterministic; none of them is safe for concurrent use. Resolution and memory are parameters of the caller.
package stats

// halve halves every bin, which gives older samples less weight than those to come.
func halve(bins []float64) {
	for i := range bins {
		bins[i] /= 2
	}
}
