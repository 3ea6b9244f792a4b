// Package nodeconfig decodes the settings of a node into its configuration, and the changes that may be applied to it
// while the node serves. Pairs of path and value, and nested JSON, go through the same decoder.
package nodeconfig

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"topazpost/internal/admission"
)

// Config is the configuration of the admission controller with the names that events are decoded by.
type Config struct {
	Node       admission.Config
	Operations *Names
	Tenants    *Names
	Gauges     []string

	nodeSettings map[string]string // by path, without those of operations and tenants
}

// FromPairs decodes a list of path=value pairs.
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

// decode decodes the settings of a node by their paths.
func decode(seed int64, values map[string]string) (*Config, error) {
	s := &settingsReader{values: values}
	config := &Config{Operations: new(Names), Tenants: new(Names)}
	config.readNode(s, seed)
	s.eachItem(operationsPath, config.addOperation)
	config.readDependencyCalls(s)
	s.eachItem(tenantsPath, config.addTenant)
	return config, s.err
}

// addOperation adds the operation that the reader is at.
func (c *Config) addOperation(s *settingsReader) {
	c.Operations.Put(int32(len(c.Node.Operations)), s.text(namePath))
	c.Node.Operations = append(c.Node.Operations, s.operation())
}

// addTenant adds the tenant that the reader is at.
func (c *Config) addTenant(s *settingsReader) {
	c.Tenants.Put(int32(len(c.Node.TenantRates)), s.text(namePath))
	c.Node.TenantRates = append(c.Node.TenantRates, s.float(tenantRatePath))
}

// operation reads one operation without its dependency calls.
func (s *settingsReader) operation() admission.Operation {
	return admission.Operation{
		LatencyObjective:    s.nanoseconds(latencyObjectivePath),
		ObjectivePerWork:    s.float(objectivePerWorkPath),
		ClientTimeout:       s.nanoseconds(clientTimeoutPath),
		DeduplicationWindow: s.nanoseconds(deduplicationWindowPath),
		PriorityWeight:      s.float(priorityWeightPath),
		LateWeightShare:     s.float(lateWeightSharePath),
		Idempotency:         enumValue(s, idempotencyPath, idempotencyValues),
	}
}

// readDependencyCalls reads which operations call the dependency, and the weight of their replies without the call.
func (c *Config) readDependencyCalls(s *settingsReader) {
	calls := s.list(dependencyCallsPath)
	weights := s.list(skippedCallsPath)
	for i := range c.Node.Operations {
		op := &c.Node.Operations[i]
		op.CallsDependency = i < len(calls) && calls[i] == "true"
		if i < len(weights) {
			share, err := strconv.ParseFloat(weights[i], 64)
			if err != nil {
				s.fail(skippedCallsPath)
			}
			op.SkippedCallWeightShare = share
		}
	}
}

// readNode reads the settings that concern all of a node.
func (c *Config) readNode(s *settingsReader, seed int64) {
	c.nodeSettings = make(map[string]string)
	for path, value := range s.values {
		if part, _, _ := strings.Cut(path, "."); part != operationsPath && part != tenantsPath {
			c.nodeSettings[path] = value
		}
	}
	c.Gauges = s.list("family_info.gauges")
	node := &c.Node
	*node = admission.Config{
		Operations:            node.Operations,
		TenantRates:           node.TenantRates,
		Seed:                  seed,
		WeightScalesWithWork:  s.text("counted_by") == "work",
		Cores:                 max(1, int(s.float("family_info.n_cores"))),
		MemoryKB:              s.float("family_info.memory_kb"),
		RunningMemoryFactor:   max(1, s.float("family_info.blowup")),
		DeduplicationEntryKB:  s.float("family_info.entry_kb"),
		CallQuotaWindow:       s.nanoseconds("family_info.calls_over"),
		AbandonedCallTime:     s.nanoseconds("family_info.linger"),
		ReadReuseWindow:       s.nanoseconds("family_info.share_for"),
		DeepHealthChecks:      s.flag("family_info.full_checks"),
		RetriesMarked:         s.flag("client_habits.marks_retry"),
		ColdStart:             s.flag("family_info.just_started"),
		ColdSpeedShare:        s.float("guarantees.cold_from"),
		WarmUpTime:            s.nanoseconds("guarantees.warm_after"),
		SurvivableRunsPerCore: s.float("guarantees.tip_multiple"),
		StopSupport:           enumValue(s, "family_info.halt", stopSupportValues),
		Backpressure:          enumValue(s, "family_info.advert", backpressureValues),
		Dependency:            enumValue(s, "family_info.below", dependencyValues),
	}
	s.readLimits(node)
}

// readLimits reads the settings that may change while a node serves.
func (s *settingsReader) readLimits(node *admission.Config) {
	node.OverQuotaWeightShare = s.float(overQuotaWeightPath)
	node.Peers = int(s.float(peersPath))
	node.CallQuota = s.float(callQuotaPath)
	node.DrainGrace = s.nanoseconds(drainGracePath)
	node.MaxRetryAfter = 0
	if s.flag(retryAfterPath) {
		node.MaxRetryAfter = s.nanoseconds(maxRetryAfterPath)
	}
}

// Validate returns an error that names the first setting that a node needs and that is missing.
func (c *Config) Validate() error {
	if c.Operations.Len() == 0 {
		return errors.New("nodeconfig: grades: no operation")
	}
	for i := range c.Node.Operations {
		name := c.Operations.Name(int32(i))
		if last, _ := c.Operations.Lookup(name); int(last) != i {
			continue // the last of several operations of one name is used
		}
		if fault := operationFault(name, &c.Node.Operations[i]); fault != "" {
			return fmt.Errorf("nodeconfig: grades.%d: %s", i, fault)
		}
	}
	if c.Node.MemoryKB <= 0 {
		return errors.New("nodeconfig: family_info.memory_kb must be above 0")
	}
	if c.Node.SurvivableRunsPerCore < 1 {
		return errors.New("nodeconfig: guarantees.tip_multiple must be at least 1")
	}
	return nil
}

// operationFault describes what a node needs of an operation and is missing, empty where nothing is.
func operationFault(name string, op *admission.Operation) string {
	switch {
	case name == "" || op.LatencyObjective <= 0 || op.ClientTimeout <= 0:
		return "name, aim and give_up must be set"
	case op.Idempotency == admission.IdempotentWithKey && op.DeduplicationWindow <= 0:
		return "window must be set where repeats are dropped"
	}
	return ""
}
