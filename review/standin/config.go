package standin

import "path/filepath"

// Operation is one operation of a node's settings.
type Operation struct {
	Name   string
	Effect string // idempotent or deduplicated
	Aim    int    // latency objective, ms
	GiveUp int    // client timeout, ms
	Window int    // for repeats, ms
	Worth  float64
}

// Settings are what differs between the nodes of the cases.
type Settings struct {
	Address, Executor, Control string
	MemoryMB                   int
	Cores                      int // of the executor
	ExecutorKB                 int // memory of the executor
	Operations                 []Operation
}

// Grade is an operation in the form of the settings, without its name.
func Grade(o Operation) map[string]any {
	grade := map[string]any{"effect": o.Effect, "aim": o.Aim, "give_up": o.GiveUp, "importance": o.Worth, "late_share": 0}
	if o.Window > 0 {
		grade["window"] = o.Window
	}
	return grade
}

// NodeConfig is the configuration of a node in the form of the deployment page.
func (s *Settings) NodeConfig() map[string]any {
	var grades []any
	var calls []bool
	for _, o := range s.Operations {
		grade := Grade(o)
		grade["name"] = o.Name
		grades = append(grades, grade)
		calls = append(calls, false)
	}
	return map[string]any{
		"name": "n1", "listen": s.Address, "executor": s.Executor, "control": s.Control,
		"seed": "8c1f30d27a5be964", "stop_ms": 3200,
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": 512},
		"settings": map[string]any{
			"grades": grades,
			"family_info": map[string]any{"n_cores": s.Cores, "memory_kb": s.ExecutorKB, "blowup": 8, "class_calls": calls, "below": "off",
				"advert": "off", "gauges": []string{"cpu_busy", "runnable"}, "tells_gone": true, "passes_deadline": true},
			"guarantees": map[string]any{"tip_multiple": 5, "drain_grace": 2500, "cold_from": 0.2, "warm_after": 18000,
				"fall": 3000, "grace_to_answer": 100},
			"limits": map[string]any{"retry_after": true, "max_retry_after": 1000},
		},
	}
}

// WriteKeep writes deploy/kept.jsonnet with the folder and the memory of this case, and returns its path.
func (c *Case) WriteKeep(memory string) (string, error) {
	return c.WriteFile("kept.jsonnet", map[string]any{
		"token": "dedupe", "durability": "batched", "folder": filepath.Join(c.Temp, "kept"), "trouble": "refuse",
		"memory": memory, "result": "4 KiB", "size": "256 MiB", "segment": "8 MiB", "gather": "2 ms",
	})
}
