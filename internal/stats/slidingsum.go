package stats

// SlidingSum is the sum of the amounts added within a sliding window of time, in slices of equal length. The
// present slice counts in addition to the whole slices of the window.
type SlidingSum struct {
	slices      []float64 // a ring
	sliceLength int64     // in units of time
	index       int64     // of the present slice since time 0
}

// NewSlidingSum returns an empty sum over a window of time in the given number of slices.
func NewSlidingSum(window int64, slices int) SlidingSum {
	return SlidingSum{
		slices:      make([]float64, slices+1),
		sliceLength: max(1, window/int64(slices)),
	}
}

// Add advances the window to now and adds an amount there. Time that is before the present slice counts as in it.
func (s *SlidingSum) Add(now int64, amount float64) {
	s.advance(now / s.sliceLength)
	s.slices[s.index%int64(len(s.slices))] += amount
}

// advance moves the present slice on to the given one and clears those that have left the window.
func (s *SlidingSum) advance(index int64) {
	length := int64(len(s.slices))
	s.index = max(s.index, index-length)
	for s.index < index {
		s.index++
		s.slices[s.index%length] = 0
	}
}

// Sum returns the sum over the window as of the last call of Add.
func (s *SlidingSum) Sum() float64 {
	sum := 0.0
	for _, amount := range s.slices {
		sum += amount
	}
	return sum
}
