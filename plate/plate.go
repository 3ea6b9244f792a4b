// Package plate decodes the settings that a node is started with, once, into its nameplate. Wire pairs and
// nested JSON go through the same decoder.
package plate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"topazpost/node"
)

// Plate is a nameplate with the names that a door needs to read events.
type Plate struct {
	Nameplate  node.Nameplate
	Operations map[string]int32
	Tenants    map[string]int32
	Gauges     []string
}

// FromPairs decodes the path=value pairs of a start.
func FromPairs(seed int64, list []string) (*Plate, error) {
	values := make(map[string]string, len(list))
	for _, pair := range list {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("plate: malformed pair %q", pair)
		}
		values[path] = value
	}
	return decode(seed, values)
}

// FromJSON decodes the same settings as one nested object.
func FromJSON(seed int64, object []byte) (*Plate, error) {
	var tree map[string]any
	d := json.NewDecoder(bytes.NewReader(object))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("plate: %w", err)
	}
	values := make(map[string]string)
	flatten(values, "", tree)
	return decode(seed, values)
}

// flatten gives a tree the paths that pairs have: objects of a list are counted, plain values are joined.
func flatten(values map[string]string, path string, tree any) {
	switch t := tree.(type) {
	case map[string]any:
		for name, sub := range t {
			flatten(values, strings.TrimPrefix(path+"."+name, "."), sub)
		}
	case []any:
		var plain []string
		for i, sub := range t {
			if _, object := sub.(map[string]any); object {
				flatten(values, path+"."+strconv.Itoa(i), sub)
				values[path+".count"] = strconv.Itoa(i + 1)
			} else {
				plain = append(plain, fmt.Sprint(sub))
			}
		}
		if _, objects := values[path+".count"]; !objects {
			values[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		values[path] = fmt.Sprint(t)
	}
}

// settings are read by path; the first that is malformed is kept as the error.
type settings struct {
	values map[string]string
	err    error
}

func (s *settings) fail(path string) {
	if s.err == nil {
		s.err = fmt.Errorf("plate: %s: malformed value %q", path, s.values[path])
	}
}

func (s *settings) text(path string) string { return s.values[path] }

func (s *settings) number(path string) float64 {
	v, ok := s.values[path]
	if !ok || v == "" || v == "-" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.fail(path)
		return 0
	}
	return n
}

func (s *settings) time(path string) int64 { return int64(s.number(path) * 1e6) }

func (s *settings) flag(path string) bool { return s.text(path) == "true" || s.text(path) == "1" }

// count is the length of a list; a list announced longer than its items can be is malformed.
func (s *settings) count(path string) int {
	n := s.number(path + ".count")
	if n < 0 || n > float64(len(s.values)) {
		s.fail(path + ".count")
		return 0
	}
	return int(n)
}

// word reads one of the words that a setting may be. Guards against a word of another edition of the settings, which
// would else be taken for the harmless one: an operation that may not run again for one that may.
func word[T any](s *settings, path string, words map[string]T) (value T) {
	text := s.text(path)
	value, known := words[text]
	if !known && s.err == nil {
		may := slices.Sorted(maps.Keys(words))
		s.err = fmt.Errorf("plate: %s: %q is not known; it may be %s", path, text, strings.Join(slices.DeleteFunc(may,
			func(w string) bool { return w == "" }), ", "))
	}
	return value
}

func (s *settings) list(path string) []string {
	if s.text(path) == "" {
		return nil
	}
	return strings.Split(s.text(path), ",")
}

func decode(seed int64, values map[string]string) (*Plate, error) {
	s := &settings{values: values}
	plate := &Plate{
		Operations: make(map[string]int32), Tenants: make(map[string]int32),
		Gauges: s.list("family_info.gauges"),
	}
	plate.Nameplate = node.Nameplate{
		Seed:          seed,
		OverShare:     s.number("over_share_worth"),
		ByWork:        s.text("counted_by") == "work",
		Cores:         max(1, int(s.number("family_info.n_cores"))),
		MemoryKB:      s.number("family_info.memory_kb"),
		Blowup:        max(1, s.number("family_info.blowup")),
		EntryKB:       s.number("family_info.entry_kb"),
		Peers:         int(s.number("group_size")),
		CallShare:     s.number("family_info.calls_out"),
		CallSpan:      s.time("family_info.calls_over"),
		Linger:        s.time("family_info.linger"),
		ReuseFor:      s.time("family_info.share_for"),
		FullChecks:    s.flag("family_info.full_checks"),
		RetriesMarked: s.flag("client_habits.marks_retry"),
		Fresh:         s.flag("family_info.just_started"),
		ColdFrom:      s.number("guarantees.cold_from"),
		WarmAfter:     s.time("guarantees.warm_after"),
		TipMultiple:   s.number("guarantees.tip_multiple"),
		DrainGrace:    s.time("guarantees.drain_grace"),
		Halting: word(s, "family_info.halt", map[string]node.Halting{
			"": node.NoHalt, "off": node.NoHalt, "drop": node.DropHalt, "pause": node.PauseHalt}),
		Advice: word(s, "family_info.advert", map[string]node.Advice{"": node.NoAdvice, "off": node.NoAdvice,
			"min_rank": node.LevelAdvice, "tokens": node.CreditAdvice, "bias": node.WeightAdvice}),
		Below: word(s, "family_info.below", map[string]node.Below{"": node.NothingBelow, "off": node.NothingBelow,
			"common": node.SharedBelow, "next_hop": node.TierBelow}),
	}
	if s.flag("limits.retry_after") {
		plate.Nameplate.ComeBackMax = s.time("limits.max_retry_after")
	}
	s.operationsInto(plate)
	for i := range s.count("tenants") {
		at := "tenants." + strconv.Itoa(i)
		plate.Tenants[s.text(at+".name")] = int32(i)
		plate.Nameplate.TenantRates = append(plate.Nameplate.TenantRates, s.number(at+".quota_rps"))
	}
	return plate, s.err
}

func (s *settings) operationsInto(plate *Plate) {
	calls, skips := s.list("family_info.class_calls"), s.list("family_info.class_skip_worth")
	for i := range s.count("grades") {
		at := "grades." + strconv.Itoa(i)
		op := node.Operation{
			Objective:     s.time(at + ".aim"),
			Stretch:       s.number(at + ".aim_stretch"),
			ClientTimeout: s.time(at + ".give_up"),
			Window:        s.time(at + ".window"),
			BilledValue:   s.number(at + ".importance"),
			LateShare:     s.number(at + ".late_share"),
			MayCall:       i < len(calls) && calls[i] == "true",
			Effect: word(s, at+".effect", map[string]node.Effect{"idempotent": node.Idempotent,
				"deduplicated": node.Tokened, "at_most_once": node.NonIdempotent}),
		}
		if i < len(skips) {
			share, err := strconv.ParseFloat(skips[i], 64)
			if err != nil {
				s.fail("family_info.class_skip_worth")
			}
			op.SkipShare = share
		}
		plate.Operations[s.text(at+".name")] = int32(i)
		plate.Nameplate.Operations = append(plate.Nameplate.Operations, op)
	}
}

// Usable says whether a real node can start from the plate, naming the first setting that it misses.
func (p *Plate) Usable() error {
	if len(p.Operations) == 0 {
		return errors.New("plate: grades: no operation")
	}
	for name, i := range p.Operations {
		if op := p.Nameplate.Operations[i]; name == "" || op.Objective <= 0 || op.ClientTimeout <= 0 {
			return fmt.Errorf("plate: grades.%d: name, aim and give_up must be set", i)
		} else if op.Effect == node.Tokened && op.Window <= 0 {
			return fmt.Errorf("plate: grades.%d: window must be set where repeats are dropped", i)
		}
	}
	if p.Nameplate.MemoryKB <= 0 {
		return errors.New("plate: family_info.memory_kb must be above 0")
	}
	if p.Nameplate.TipMultiple < 1 {
		return errors.New("plate: guarantees.tip_multiple must be at least 1")
	}
	return nil
}
