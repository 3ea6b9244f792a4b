package nodeconfig

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

const nanosecondsPerMillisecond = 1e6

// settingsReader reads settings by path and keeps the first error.
type settingsReader struct {
	values      map[string]string
	prefix      string // of each path in values
	errorPrefix string // of each path in errors
	err         error
}

func (s *settingsReader) fail(path string) {
	if s.err == nil {
		s.err = fmt.Errorf("nodeconfig: %s: malformed value %q", s.errorPrefix+path, s.text(path))
	}
}

func (s *settingsReader) text(path string) string { return s.values[s.prefix+path] }

// float reads a finite number, 0 where it is not set.
func (s *settingsReader) float(path string) float64 {
	value := s.text(path)
	if value == "" || value == unsetValue {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.fail(path)
		return 0
	}
	return n
}

// nanoseconds reads a number of milliseconds.
func (s *settingsReader) nanoseconds(path string) int64 {
	return int64(s.float(path) * nanosecondsPerMillisecond)
}

func (s *settingsReader) flag(path string) bool {
	value := s.text(path)
	return value == "true" || value == "1"
}

// count reads the length of a list; a length greater than the number of all settings is malformed.
func (s *settingsReader) count(path string) int {
	n := s.float(path + listLengthSuffix)
	if n < 0 || n > float64(len(s.values)) {
		s.fail(path + listLengthSuffix)
		return 0
	}
	return int(n)
}

// list reads values that are separated by commas.
func (s *settingsReader) list(path string) []string {
	value := s.text(path)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// eachItem calls read for each item of a list, with the paths of the reader below the item.
func (s *settingsReader) eachItem(path string, read func(*settingsReader)) {
	for i := range s.count(path) {
		s.setPrefix(path + "." + strconv.Itoa(i) + ".")
		read(s)
		s.setPrefix("")
	}
}

func (s *settingsReader) setPrefix(prefix string) {
	s.prefix = prefix
	s.errorPrefix = prefix
}

// enumValue reads one of several named values. An unknown name is an error and never the zero value, which might declare
// a non-idempotent operation idempotent.
func enumValue[T any](s *settingsReader, path string, values map[string]T) T {
	name := s.text(path)
	value, known := values[name]
	if !known && s.err == nil {
		names := slices.Sorted(maps.Keys(values))
		names = slices.DeleteFunc(names, func(name string) bool { return name == "" })
		s.err = fmt.Errorf("nodeconfig: %s: %q is not known; it may be %s", s.errorPrefix+path, name, strings.Join(names, ", "))
	}
	return value
}

// flatten adds a JSON value to values by the paths that pairs have: objects in a list are numbered and counted, plain
// values in a list are joined by commas.
func flatten(values map[string]string, path string, tree any) {
	switch t := tree.(type) {
	case map[string]any:
		for name, value := range t {
			flatten(values, strings.TrimPrefix(path+"."+name, "."), value)
		}
	case []any:
		flattenList(values, path, t)
	case nil:
	default:
		values[path] = fmt.Sprint(t)
	}
}

func flattenList(values map[string]string, path string, list []any) {
	var plain []string
	for i, value := range list {
		if _, isObject := value.(map[string]any); isObject {
			flatten(values, path+"."+strconv.Itoa(i), value)
			values[path+listLengthSuffix] = strconv.Itoa(i + 1)
		} else {
			plain = append(plain, fmt.Sprint(value))
		}
	}
	if _, hasObjects := values[path+listLengthSuffix]; !hasObjects {
		values[path] = strings.Join(plain, ",")
	}
}
