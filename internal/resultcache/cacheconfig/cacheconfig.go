// Package cacheconfig reads what operators write of kept results: the token's field, durability, and bounds. It decides
// nothing.
package cacheconfig

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"

	"topazpost/internal/admission"
	"topazpost/internal/configfile"
	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/segmentstore"
)

const (
	defaultField        = "dedupe"
	defaultResultBytes  = 4 << 10   // bytes of one result: the most that an answer carries
	maxResultBytes      = 15 << 10  // bytes of one result that a record of the store holds
	defaultMemoryBytes  = 32 << 20  // bytes of tokens and results in memory
	memoryDivisor       = 4         // part of the node's own memory that they may take where nothing is written of them
	defaultStoreBytes   = 256 << 20 // bytes of all segments
	defaultSegmentBytes = 8 << 20   // bytes of one: a few minutes of a busy node
	defaultBatchWindow  = 2_000_000 // ns that a group waits for more: short beside a sync
	maxBatchWindow      = 100_000_000
)

// Durability says when a record is on disk.
type Durability uint8

// The durabilities.
const (
	InMemory    Durability = iota // in memory only
	SyncBatched                   // groups share a sync
	SyncEach                      // each record has its own
)

// Config is what a node keeps, and where.
type Config struct {
	Cache       resultcache.Config
	Field       string
	Durability  Durability
	Folder      string
	Limits      segmentstore.Limits
	BatchWindow int64 // ns
}

var schema = sync.OnceValue(func() *configfile.Schema {
	return configfile.Compile("kept.json", strings.NewReplacer("TIME", configfile.TimePattern, "SIZE", configfile.SizePattern).Replace(`{
 "$schema": "https://json-schema.org/draft/2020-12/schema", "type": "object", "additionalProperties": false,
 "$defs": {"size": {"type": "string", "pattern": "SIZE"}},
 "properties": {
  "token": {"type": "string", "minLength": 1, "maxLength": 32},
  "durability": {"enum": ["none", "batched", "each"]},
  "trouble": {"enum": ["refuse", "memory"]},
  "folder": {"type": "string", "minLength": 1},
  "memory": {"$ref": "#/$defs/size"}, "result": {"$ref": "#/$defs/size"},
  "size": {"$ref": "#/$defs/size"}, "segment": {"$ref": "#/$defs/size"},
  "gather": {"type": "string", "pattern": "TIME"}}}`))
})

type fileContent struct {
	Token, Durability, Trouble, Folder string
	Memory, Result, Size, Segment      *configfile.Size
	Gather                             *configfile.Time
}

// longestWindow is the longestWindow window of the tokened operations, 0 where there are none.
func longestWindow(operations []admission.Operation) (window int64) {
	for _, op := range operations {
		if op.Idempotency == admission.IdempotentWithKey {
			window = max(window, op.DeduplicationWindow+op.ClientTimeout) // repeats may lie unread for so long
		}
	}
	return window
}

// Default is what a node keeps without a file: in memory only, and nothing where no operation is tokened (nil).
func Default(operations []admission.Operation, memoryMB int) *Config {
	window := longestWindow(operations)
	if window == 0 {
		return nil
	}
	return &Config{Field: defaultField, Cache: resultcache.Config{MaxBytes: min(defaultMemoryBytes, int64(memoryMB)<<20/memoryDivisor),
		MaxResultBytes: defaultResultBytes, Window: window}}
}

// Read reads a file in this process.
func Read(path string, operations []admission.Operation, memoryMB int) (*Config, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return From(file, operations, memoryMB)
}

// From reads what to keep from a file that was evaluated. All that is wrong is told at once.
func From(file *configfile.File, operations []admission.Operation, memoryMB int) (*Config, error) {
	if err := file.Check(schema()); err != nil {
		return nil, err
	}
	var w fileContent
	if err := file.Into(&w); err != nil {
		return nil, err
	}
	found := configfile.Problems{}
	k := Default(operations, memoryMB)
	if k == nil {
		return nil, configfile.Problems{file.At(nil, "keeps results where no operation is tokened",
			"leave the file out, or give an operation the effect \"deduplicated\" and a window")}
	}
	if w.Token != "" {
		k.Field = w.Token
	}
	if strings.Contains(" op call recv src org ttl rep work heap crit row ", " "+k.Field+" ") {
		found = append(found, file.At([]string{"token"}, fmt.Sprintf("%q is a field of its own", k.Field), "name another one"))
	}
	k.Limits, k.BatchWindow = segmentstore.Limits{SegmentBytes: defaultSegmentBytes, MaxBytes: defaultStoreBytes}, defaultBatchWindow
	for _, s := range []struct {
		from *configfile.Size
		to   *int64
	}{{w.Memory, &k.Cache.MaxBytes}, {w.Result, &k.Cache.MaxResultBytes}, {w.Size, &k.Limits.MaxBytes}, {w.Segment, &k.Limits.SegmentBytes}} {
		if s.from != nil {
			*s.to = int64(*s.from)
		}
	}
	if w.Gather != nil {
		k.BatchWindow = int64(*w.Gather)
	}
	if w.Trouble == "memory" {
		k.Cache.OnStoreFailure = resultcache.ContinueInMemory
	}
	if k.Cache.MaxResultBytes > maxResultBytes {
		found = append(found, file.At([]string{"result"}, "is more than a record holds", "15 KiB at the most"))
	}
	if k.Cache.MaxBytes > int64(memoryMB)<<20/2 {
		found = append(found, file.At([]string{"memory"}, fmt.Sprintf("is more than half of the node's %d MB", memoryMB), "make it smaller"))
	}
	if k.BatchWindow > maxBatchWindow {
		found = append(found, file.At([]string{"gather"}, "is longer than 100 ms", "make it shorter: each tokened invocation waits for it"))
	}
	k.Durability = map[string]Durability{"": InMemory, "none": InMemory, "batched": SyncBatched, "each": SyncEach}[w.Durability]
	if k.Durability != InMemory {
		k.Cache.Durability = resultcache.OnDisk
		if k.Folder = w.Folder; k.Folder == "" {
			found = append(found, file.At([]string{"durability"}, "needs a folder", "set folder, on a disk that lasts"))
		} else if !filepath.IsAbs(k.Folder) {
			k.Folder = filepath.Join(filepath.Dir(file.Path), k.Folder)
		}
	}
	if k.Limits.MaxBytes < 2*k.Limits.SegmentBytes {
		found = append(found, file.At([]string{"size"}, "holds fewer than two segments", "make it larger, or the segments smaller"))
	}
	if len(found) > 0 {
		return nil, found
	}
	return k, nil
}

// Location says in words where results lie.
func (k *Config) Location() string {
	if k.Durability == InMemory {
		return "in memory only, a crash forgets them"
	}
	return fmt.Sprintf("in %s, %d MB at the most", k.Folder, k.Limits.MaxBytes>>20)
}
