package processfleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"

	"topazpost/internal/testbed/hollow"
)

// write gives a node its files, and says with which flags it serves.
func (p *processes) write(i int) (flags []string, err error) {
	file := func(suffix string, content any) string {
		text, e := json.Marshal(content)
		path := filepath.Join(p.folder, name(i)+suffix)
		if e == nil {
			e = os.WriteFile(path, text, 0o600)
		}
		if e != nil {
			err = e
		}
		return path
	}
	config := file(".json", p.config(i))
	flags = []string{"serve"}
	if p.scenario.Keep != nil {
		kept := map[string]string{"durability": "batched", "folder": filepath.Join(p.folder, name(i)+".kept"), "segment": "1 MiB", "size": "64 MiB"}
		maps.Copy(kept, p.scenario.Keep)
		flags = append(flags, "--keep", file(".kept.jsonnet", kept))
	}
	if p.scenario.Nodes > 1 || p.scenario.Council > 0 {
		var seeds []string
		for s := range min(p.scenario.Contacts, p.scenario.Nodes) {
			seeds = append(seeds, p.peerAddresses[s])
		}
		layout := p.scenario.layout()
		config := map[string]any{"bind": p.bind[i], "advertise": p.peerAddresses[i], "seeds": seeds, "zone": layout.Name(i)}
		maps.Copy(config, p.fleetFile())
		if v := p.scenario.Versions; v != nil && i < v.Seats {
			return p.seatFlags(i, file(".fleet.jsonnet", config)), err
		}
		flags = append(flags, "--fleet", file(".fleet.jsonnet", config))
	}
	return append(flags, config), err
}

// fleetFile are the fields of the fleet's file that all nodes share.
func (p *processes) fleetFile() map[string]any {
	n := p.scenario
	o := hollow.Options{Seats: n.Council, Fleet: map[string]any{}}
	if n.Calls > 0 && !n.Share {
		o.Limit = n.Calls
	}
	for k, v := range n.Fleet {
		if o.Fleet[k] = v; k == "members" {
			o.Fleet[k] = json.Number(v)
		}
	}
	fields := hollow.FleetFields(&o, n.Nodes)
	p.versionsFiles(nil, fields, 0)
	return fields
}

// config is the configuration of a node, that of all hollow ones without a name for -1.
func (p *processes) config(i int) map[string]any {
	operation := map[string]any{"name": "hold", "aim": 1_000, "give_up": 2_500, "importance": 1, "effect": "idempotent"}
	if p.scenario.Storm || p.scenario.Tokens > 0 {
		operation = map[string]any{"name": "hold", "aim": 2_000, "give_up": int64(p.retryStorm.timeout) / ms,
			"importance": 1, "effect": "deduplicated", "window": stormWindow}
	}
	below, share := "off", 0.0
	if p.scenario.Calls > 0 {
		below = "common"
		share = float64(p.scenario.Calls) / float64(p.scenario.Nodes)
	}
	executor := "127.0.0.1:1" // a hollow node opens no link to one
	if i >= 0 {
		executor = p.executors[i].listener.Addr().String()
	}
	config := map[string]any{"name": name(i), "listen": "127.0.0.1:0",
		"executor": executor, "control": p.control.Addr().String(), "catalog": p.dependency.listener.Addr().String(),
		"seed": "8c1f30d27a5be964", "stop_ms": 3_000, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": max(minSockets, socketsPerNode*p.scenario.Nodes)},
		"settings": map[string]any{"grades": []any{operation, map[string]any{"name": "look", "aim": 1_000, "give_up": 2_500, "importance": 1, "effect": "idempotent"}},
			"family_info": map[string]any{"n_cores": cmp.Or(p.scenario.Cores, 8), "memory_kb": 400_000, "blowup": 4, "entry_kb": 1, "class_calls": []bool{p.scenario.Calls > 0, false},
				"below": below, "calls_out": share, "calls_over": 1_000, "linger": 0, "advert": "off", "gauges": []string{"cpu_busy", "runnable"}},
			"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 500},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}}
	p.versionsFiles(config, nil, i)
	return config
}

// versionsFiles has the files of a fleet's nodes say that they take versions.
func (p *processes) versionsFiles(config, fleet map[string]any, i int) {
	if p.scenario.Versions == nil {
		return
	}
	if fleet != nil {
		fleet["configuration"] = map[string]any{"folder": filepath.Join(p.folder, "configuration-{name}")}
		fleet["council"].(map[string]any)["folder"] = filepath.Join(p.folder, "council-{name}")
	}
	if config != nil {
		family := config["settings"].(map[string]any)["family_info"].(map[string]any)
		if delete(family, "class_calls"); i >= 0 { // whole nodes are those that can't take it: they have no catalogue
			config["catalog"] = ""
			family["below"] = "off"
		} else {
			family["below"] = "common"
			family["calls_out"] = 1.0
		}
	}
}
