package experiment

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strconv"

	"topazpost/internal/configfile"
)

// Load is a shape over time: constant, swing (a sine of a period), step (low, high from At on), drop (high, low from
// At on), ramp (from low to high over the day).
type Load struct {
	Shape     string
	Low, High configfile.Part
	Period    configfile.Time
	At        configfile.Time
	File      string // recorded: lines of seconds and load as a part of the capacity, the first one their names
}

// function is the load over time.
func (l *Load) function(folder string, length int64) (func(int64) float64, error) {
	if l.Shape == "recorded" {
		return readRecordedLoad(filepath.Join(folder, l.File))
	}
	load := l.formula(length)
	if load == nil {
		return nil, fmt.Errorf("no load has the shape %q: choose constant, step, drop, ramp, swing or recorded", l.Shape)
	}
	return load, nil
}

// formula returns the load of a named shape, nil where the name is unknown.
func (l *Load) formula(length int64) func(int64) float64 {
	low := float64(l.Low)
	high := float64(l.High)
	at := int64(l.At)
	switch l.Shape {
	case "swing":
		return func(t int64) float64 {
			return (low+high)/2 + (high-low)/2*math.Sin(2*math.Pi*float64(t)/float64(l.Period))
		}
	case "step":
		return stepAt(at, low, high)
	case "drop":
		return stepAt(at, high, low)
	case "ramp":
		return func(t int64) float64 { return low + (high-low)*float64(t)/float64(length) }
	case "constant":
		return func(int64) float64 { return high }
	}
	return nil
}

// stepAt returns a load that changes once.
func stepAt(at int64, before, after float64) func(int64) float64 {
	return func(t int64) float64 {
		if t >= at {
			return after
		}
		return before
	}
}

// readRecordedLoad reads a load from a file: straight lines between its points, and the last value to the end.
func readRecordedLoad(path string) (func(int64) float64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, err
	}
	var seconds, load []float64
	for k, fields := range rows[min(1, len(rows)):] {
		point, err := parseLoadPoint(path, k+2, fields)
		if err != nil {
			return nil, err
		}
		if k > 0 && point[0] <= seconds[k-1] {
			return nil, fmt.Errorf("%s:%d: %g s does not come after %g s: put lines in order of time", path, k+2, point[0], seconds[k-1])
		}
		seconds = append(seconds, point[0])
		load = append(load, point[1])
	}
	if len(seconds) == 0 {
		return nil, fmt.Errorf("%s: has no load: write a line of names, then lines of seconds and load", path)
	}
	return func(t int64) float64 { return interpolate(seconds, load, float64(t)/1e9) }, nil
}

// parseLoadPoint reads the seconds and the load of one line.
func parseLoadPoint(path string, line int, fields []string) (point [2]float64, err error) {
	if len(fields) != len(point) {
		return point, fmt.Errorf("%s:%d: has %d columns: write seconds and load", path, line, len(fields))
	}
	for c, field := range fields {
		point[c], err = strconv.ParseFloat(field, 64)
		if err != nil {
			return point, fmt.Errorf("%s:%d: %q is no number", path, line, field)
		}
	}
	return point, nil
}

// interpolate returns the value at x of straight lines through points; before the first and after the last it is theirs.
func interpolate(xs, ys []float64, x float64) float64 {
	k := sort.SearchFloat64s(xs, x)
	if k == 0 || k == len(xs) {
		return ys[min(k, len(xs)-1)]
	}
	return ys[k-1] + (ys[k]-ys[k-1])*(x-xs[k-1])/(xs[k]-xs[k-1])
}
