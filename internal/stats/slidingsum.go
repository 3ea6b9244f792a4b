package stats

// SlidingSum is the sum of the amounts added within a sliding time window, which is divided into slices of equal length.
// The sum covers the current slice and as many slices before it as make up the window.
type SlidingSum struct {
	slices       []float64 // a ring buffer
	sliceLength  int64     // in the unit of the times given to Add
	currentSlice int64     // number of the current slice, counted from time 0
}

// NewSlidingSum returns an empty sum over a time window that is divided into the given number of slices.
func NewSlidingSum(window int64, slices int) SlidingSum {
	return SlidingSum{
		slices:      make([]float64, slices+1),
		sliceLength: max(1, window/int64(slices)),
	}
}

// Add advances the window to now and adds an amount to the current slice. A time before the current slice leaves the
// window as it is.
func (s *SlidingSum) Add(now int64, amount float64) {
	s.advance(now / s.sliceLength)
	s.slices[s.currentSlice%int64(len(s.slices))] += amount
}

// advance makes index the current slice, unless index is earlier, and clears the slices that leave the window. It clears
// each element of the ring buffer at most once, however far the time advances.
func (s *SlidingSum) advance(index int64) {
	length := int64(len(s.slices))
	s.currentSlice = max(s.currentSlice, index-length)
	for s.currentSlice < index {
		s.currentSlice++
		s.slices[s.currentSlice%length] = 0
	}
}

// Sum returns the sum over the window that ends at the last call of Add.
func (s *SlidingSum) Sum() float64 {
	sum := 0.0
	for _, amount := range s.slices {
		sum += amount
	}
	return sum
}
