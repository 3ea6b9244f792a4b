package configfile

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Patterns of values with units, for schemas.
const (
	TimePattern = `^[0-9]+(\\.[0-9]+)? ?(ns|us|ms|s|min|h)$`
	PartPattern = `^[0-9]+(\\.[0-9]+)? ?%$`
	SizePattern = `^[0-9]+(\\.[0-9]+)? ?(B|kB|MB|GB|KiB|MiB|GiB)$`
)

var (
	timeUnits     = map[string]float64{"ns": 1, "us": 1e3, "ms": 1e6, "s": 1e9, "min": 60e9, "h": 3600e9}
	sizeUnits     = map[string]float64{"B": 1, "kB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
	fractionUnits = map[string]float64{"%": 0.01}
)

// Time is a duration in whole nanoseconds, written as "250 ms".
type Time int64

// Part is a fraction, written as "30 %".
type Part float64

// Size is a number of whole bytes, written as "64 kB".
type Size int64

// UnmarshalJSON reads a number with a unit of time.
func (t *Time) UnmarshalJSON(text []byte) error {
	n, err := parseWithUnit(text, timeUnits, math.MaxInt64/4)
	*t = Time(math.Round(n))
	return err
}

// UnmarshalJSON reads a percentage.
func (p *Part) UnmarshalJSON(text []byte) error {
	n, err := parseWithUnit(text, fractionUnits, math.MaxFloat64)
	*p = Part(n)
	return err
}

// UnmarshalJSON reads a number with a unit of size.
func (s *Size) UnmarshalJSON(text []byte) error {
	n, err := parseWithUnit(text, sizeUnits, math.MaxInt64/4)
	*s = Size(math.Round(n))
	return err
}

// parseWithUnit returns a number that is not negative in the base unit.
func parseWithUnit(text []byte, units map[string]float64, limit float64) (float64, error) {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return 0, fmt.Errorf("%s has no unit", text)
	}
	number := strings.TrimRight(s, "%abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	factor, known := units[s[len(number):]]
	n, err := strconv.ParseFloat(strings.TrimSuffix(number, " "), 64)
	if err != nil || !known || n < 0 || n*factor > limit {
		return 0, fmt.Errorf("%q is not a number with a unit that is known here", s)
	}
	return n * factor, nil
}
