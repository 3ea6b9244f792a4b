package integration

// nodeConfig is the configuration file of a node.
type nodeConfig map[string]any

// defaultConfig returns a configuration without addresses of peers, whose one operation is idempotent.
func defaultConfig() nodeConfig {
	return nodeConfig{
		"name":    "n1",
		"listen":  "127.0.0.1:0",
		"seed":    "8c1f30d27a5be964",
		"stop_ms": 3_000,
		"limits":  map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"settings": map[string]any{
			"grades": []any{map[string]any{"name": "catalogue", "aim": 5_000, "give_up": 9_000, "importance": 1, "effect": "idempotent"}},
			"family_info": map[string]any{"n_cores": 2, "memory_kb": 9_000, "blowup": 4, "class_calls": []bool{true},
				"below": "common", "calls_out": 50, "calls_over": 5_000, "linger": 100, "advert": "min_rank",
				"gauges": []string{"cpu_busy", "runnable"}},
			"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 2_000},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}}
}

// limits returns the resource limits of the process.
func (c nodeConfig) limits() map[string]any { return c["limits"].(map[string]any) }

// settings returns the settings of the admission controller.
func (c nodeConfig) settings() map[string]any { return c["settings"].(map[string]any) }

// familyInfo returns the settings that describe the executor.
func (c nodeConfig) familyInfo() map[string]any { return c.settings()["family_info"].(map[string]any) }

// operation returns the settings of the first operation.
func (c nodeConfig) operation() map[string]any {
	return c.settings()["grades"].([]any)[0].(map[string]any)
}
