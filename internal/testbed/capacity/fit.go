// Package capacity climbs ladders of sizes on built daemons, fits what each size costs, and makes the tables of
// docs/CAPACITY.md from it. It writes no figure that no run gave.
package capacity

import (
	"errors"
	"math"
)

// FarMost is how many times beyond the largest size played a fit is carried without saying so.
const FarMost = 4.0

// Fit is a straight line through what was measured, by least squares: y = Base + Slope x.
type Fit struct {
	Base     float64 `json:"base"`        // in the measure's unit
	Slope    float64 `json:"slope"`       // in it for each one of the quantity
	Error    float64 `json:"slope_error"` // standard error of Slope, with n-2 degrees of freedom
	Residual float64 `json:"residual"`    // root of the mean square that is left, in the measure's unit
	Played   float64 `json:"played"`      // the largest size
	Rungs    int     `json:"rungs"`
}

var errTooFewPoints = errors.New("a line and its error take three sizes that differ")

// Line fits a line; it takes three points with at least two different x, as two points leave no error to tell.
func Line(x, y []float64) (f Fit, err error) {
	n := float64(len(x))
	if len(x) < 3 || len(x) != len(y) {
		return f, errTooFewPoints
	}
	var meanX, meanY, xx, xy, left float64
	for k := range x {
		meanX += x[k] / n
		meanY += y[k] / n
		f.Played = max(f.Played, x[k])
	}
	for k := range x {
		xx += (x[k] - meanX) * (x[k] - meanX)
		xy += (x[k] - meanX) * (y[k] - meanY)
	}
	if xx == 0 {
		return f, errTooFewPoints
	}
	f.Rungs = len(x)
	f.Slope = xy / xx
	f.Base = meanY - f.Slope*meanX
	for k := range x {
		d := y[k] - f.At(x[k])
		left += d * d
	}
	f.Residual = math.Sqrt(left / n)
	f.Error = math.Sqrt(left / (n - 2) / xx)
	return f, nil
}

// At is the line's value at a size.
func (f *Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// Far says whether a size is past what a fit is carried to without saying so.
func (f *Fit) Far(x float64) bool { return x > FarMost*f.Played }

// Flat says whether the slope can't be distinguished from none: within two standard errors.
func (f *Fit) Flat() bool { return math.Abs(f.Slope) <= 2*f.Error }

// Reach is the size at which the line comes to a budget, and the sizes at a slope one standard error steeper and
// less steep. Over counts the budget from the line's value at none on. A line that never comes there has no end: +Inf.
func (f *Fit) Reach(budget float64, over bool) (size, low, high float64) {
	room := budget - f.Base
	if over {
		room = budget
	}
	at := func(slope float64) float64 {
		switch {
		case room <= 0:
			return 0
		case slope <= 0:
			return math.Inf(1)
		}
		return room / slope
	}
	return at(f.Slope), at(f.Slope + f.Error), at(f.Slope - f.Error)
}

// Growth is the exponent by which y grows with x between the first and the last point: 0 is flat, 1 linear, 2 a square.
func Growth(x, y []float64) float64 {
	last := len(x) - 1
	if last < 1 || x[0] <= 0 || y[0] <= 0 || y[last] <= 0 || x[last] == x[0] {
		return math.NaN()
	}
	return math.Log(y[last]/y[0]) / math.Log(x[last]/x[0])
}
