// Package nodeconfig decodes the settings that a node is started with, once, into its configuration. Wire pairs and
// nested JSON go through the same decoder.
package nodeconfig

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

// Config is a configuration with the names that a door needs to read events.
type Config struct {
	Node       admission.Config
	Operations *Names
	Tenants    *Names
	Gauges     []string

	nodeSettings map[string]string // settings by path, but for those of operations and tenants
}

// FromPairs decodes the path=value pairs of a start.
func FromPairs(seed int64, list []string) (*Config, error) {
	values := make(map[string]string, len(list))
	for _, pair := range list {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("nodeconfig: malformed pair %q", pair)
		}
		values[path] = value
	}
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

// settingsReader are read by path; the first that is malformed is kept as the error.
type settingsReader struct {
	values      map[string]string
	prefix      string // what stands before each path in values
	errorPrefix string // and in errors
	err         error
}

func (s *settingsReader) fail(path string) {
	if s.err == nil {
		s.err = fmt.Errorf("nodeconfig: %s: malformed value %q", s.errorPrefix+path, s.text(path))
	}
}

func (s *settingsReader) text(path string) string { return s.values[s.prefix+path] }

func (s *settingsReader) float(path string) float64 {
	v, ok := s.values[s.prefix+path]
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

func (s *settingsReader) nanoseconds(path string) int64 { return int64(s.float(path) * 1e6) }

func (s *settingsReader) flag(path string) bool { return s.text(path) == "true" || s.text(path) == "1" }

// count is the length of a list; a list announced longer than its items can be is malformed.
func (s *settingsReader) count(path string) int {
	n := s.float(path + ".count")
	if n < 0 || n > float64(len(s.values)) {
		s.fail(path + ".count")
		return 0
	}
	return int(n)
}

// enumValue reads one of the words that a setting may be. Guards against a enumValue of another edition of the settings, which
// would else be taken for the harmless one: an operation that may not run again for one that may.
func enumValue[T any](s *settingsReader, path string, values map[string]T) (value T) {
	text := s.text(path)
	value, known := values[text]
	if !known && s.err == nil {
		allowed := slices.Sorted(maps.Keys(values))
		s.err = fmt.Errorf("nodeconfig: %s: %q is not known; it may be %s", s.errorPrefix+path, text, strings.Join(slices.DeleteFunc(allowed,
			func(w string) bool { return w == "" }), ", "))
	}
	return value
}

func (s *settingsReader) list(path string) []string {
	if s.text(path) == "" {
		return nil
	}
	return strings.Split(s.text(path), ",")
}

// decode decodes settings of which all are in values.
func decode(seed int64, values map[string]string) (*Config, error) {
	s := &settingsReader{values: values}
	p := &Config{Operations: new(Names), Tenants: new(Names)}
	p.readNode(s, seed)
	for i := range s.count("grades") {
		p.addOperation(s.withPrefix("grades." + strconv.Itoa(i) + "."))
		s.withPrefix("")
	}
	p.readDependencyCalls(s)
	for i := range s.count("tenants") {
		p.addTenant(s.withPrefix("tenants." + strconv.Itoa(i) + "."))
		s.withPrefix("")
	}
	return p, s.err
}

// withPrefix has paths read under one of an withPrefix.
func (s *settingsReader) withPrefix(path string) *settingsReader {
	s.prefix, s.errorPrefix = path, path
	return s
}

// addOperation adds the operation whose settings are read.
func (p *Config) addOperation(s *settingsReader) {
	p.Operations.Put(int32(len(p.Node.Operations)), s.text("name"))
	p.Node.Operations = append(p.Node.Operations, s.operation())
}

// addTenant adds the tenant whose settings are read.
func (p *Config) addTenant(s *settingsReader) {
	p.Tenants.Put(int32(len(p.Node.TenantRates)), s.text("name"))
	p.Node.TenantRates = append(p.Node.TenantRates, s.float("quota_rps"))
}

// operation reads one operation, but for its calls.
func (s *settingsReader) operation() admission.Operation {
	return admission.Operation{
		LatencyObjective:    s.nanoseconds("aim"),
		ObjectivePerWork:    s.float("aim_stretch"),
		ClientTimeout:       s.nanoseconds("give_up"),
		DeduplicationWindow: s.nanoseconds("window"),
		PriorityWeight:      s.float("importance"),
		LateWeightShare:     s.float("late_share"),
		Idempotency: enumValue(s, "effect", map[string]admission.Idempotency{"idempotent": admission.Idempotent,
			"deduplicated": admission.IdempotentWithKey, "at_most_once": admission.NonIdempotent}),
	}
}

// readDependencyCalls reads what lists over all operations say: whether each calls, and what its reply is worth without the call.
func (p *Config) readDependencyCalls(s *settingsReader) {
	calls, skips := s.list("family_info.class_calls"), s.list("family_info.class_skip_worth")
	for i := range p.Node.Operations {
		op := &p.Node.Operations[i]
		op.CallsDependency = i < len(calls) && calls[i] == "true"
		if i < len(skips) {
			share, err := strconv.ParseFloat(skips[i], 64)
			if err != nil {
				s.fail("family_info.class_skip_worth")
			}
			op.SkippedCallWeightShare = share
		}
	}
}

// readLimits reads the settings that may change while a node serves.
func (s *settingsReader) readLimits(n *admission.Config) {
	n.OverQuotaWeightShare = s.float("over_share_worth")
	n.Peers = int(s.float("group_size"))
	n.CallQuota = s.float("family_info.calls_out")
	n.DrainGrace = s.nanoseconds("guarantees.drain_grace")
	if n.MaxRetryAfter = 0; s.flag("limits.retry_after") {
		n.MaxRetryAfter = s.nanoseconds("limits.max_retry_after")
	}
}

// readNode reads what concerns all of a node.
func (p *Config) readNode(s *settingsReader, seed int64) {
	p.nodeSettings = make(map[string]string)
	for path, value := range s.values {
		if part, _, _ := strings.Cut(path, "."); part != "grades" && part != "tenants" {
			p.nodeSettings[path] = value
		}
	}
	p.Gauges = s.list("family_info.gauges")
	n := &p.Node
	*n = admission.Config{
		Operations: n.Operations, TenantRates: n.TenantRates,
		Seed:                 seed,
		WeightScalesWithWork: s.text("counted_by") == "work",
		Cores:                max(1, int(s.float("family_info.n_cores"))),
		MemoryKB:             s.float("family_info.memory_kb"),
		RunningMemoryFactor:  max(1, s.float("family_info.blowup")),
		DeduplicationEntryKB: s.float("family_info.entry_kb"),
		CallQuotaWindow:      s.nanoseconds("family_info.calls_over"),
		AbandonedCallTime:    s.nanoseconds("family_info.linger"),
		ReadReuseWindow:      s.nanoseconds("family_info.share_for"),
		DeepHealthChecks:     s.flag("family_info.full_checks"),
		RetriesMarked:        s.flag("client_habits.marks_retry"),
		ColdStart:            s.flag("family_info.just_started"),
		ColdSpeedShare:       s.float("guarantees.cold_from"),
		WarmUpTime:           s.nanoseconds("guarantees.warm_after"),
		OverloadMultiple:     s.float("guarantees.tip_multiple"),
		StopSupport: enumValue(s, "family_info.halt", map[string]admission.StopSupport{
			"": admission.StopUnsupported, "off": admission.StopUnsupported, "drop": admission.StopDiscardsProgress, "pause": admission.StopKeepsProgress}),
		Backpressure: enumValue(s, "family_info.advert", map[string]admission.BackpressureKind{"": admission.NoBackpressure, "off": admission.NoBackpressure,
			"min_rank": admission.BackpressureLevel, "tokens": admission.BackpressureCredits, "bias": admission.BackpressureWeight}),
		Dependency: enumValue(s, "family_info.below", map[string]admission.DependencyKind{"": admission.NoDependency, "off": admission.NoDependency,
			"common": admission.SharedDependency, "next_hop": admission.TieredDependency}),
	}
	s.readLimits(n)
}

// Validate says whether a real node can start from the config, naming the first setting that it misses.
func (p *Config) Validate() error {
	if p.Operations.Len() == 0 {
		return errors.New("nodeconfig: grades: no operation")
	}
	for i := range p.Node.Operations {
		name := p.Operations.Name(int32(i))
		if last, _ := p.Operations.Lookup(name); int(last) != i {
			continue // of two of one name the last holds
		}
		if fault := operationFault(name, &p.Node.Operations[i]); fault != "" {
			return fmt.Errorf("nodeconfig: grades.%d: %s", i, fault)
		}
	}
	if p.Node.MemoryKB <= 0 {
		return errors.New("nodeconfig: family_info.memory_kb must be above 0")
	}
	if p.Node.OverloadMultiple < 1 {
		return errors.New("nodeconfig: guarantees.tip_multiple must be at least 1")
	}
	return nil
}

// operationFault says what a real node misses in an operation, empty where nothing.
func operationFault(name string, op *admission.Operation) string {
	switch {
	case name == "" || op.LatencyObjective <= 0 || op.ClientTimeout <= 0:
		return "name, aim and give_up must be set"
	case op.Idempotency == admission.IdempotentWithKey && op.DeduplicationWindow <= 0:
		return "window must be set where repeats are dropped"
	}
	return ""
}
