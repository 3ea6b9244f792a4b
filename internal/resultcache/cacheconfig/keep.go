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
	fieldUsual   = "dedupe"
	resultUsual  = 4 << 10   // bytes of one result: the most that an answer carries
	resultMost   = 15 << 10  // bytes of one result that a record of the store holds
	memoryUsual  = 32 << 20  // bytes of tokens and results in memory
	memoryPart   = 4         // part of the node's own memory that they may take where nothing is written of them
	sizeUsual    = 256 << 20 // bytes of all segments
	segmentUsual = 8 << 20   // bytes of one: a few minutes of a busy node
	gatherUsual  = 2_000_000 // ns that a group waits for more: short beside a sync
	gatherMost   = 100_000_000
)

// Durability says when a record is on disk.
type Durability uint8

// The durabilities.
const (
	None    Durability = iota // in memory only
	Batched                   // groups share a sync
	Each                      // each record has its own
)

// Keep is what a node keeps, and where.
type Keep struct {
	Rules      resultcache.Rules
	Field      string
	Durability Durability
	Folder     string
	Bounds     segmentstore.Bounds
	Gather     int64 // ns
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

type written struct {
	Token, Durability, Trouble, Folder string
	Memory, Result, Size, Segment      *configfile.Size
	Gather                             *configfile.Time
}

// longest is the longest window of the tokened operations, 0 where there are none.
func longest(operations []admission.Operation) (window int64) {
	for _, op := range operations {
		if op.Idempotency == admission.IdempotentWithKey {
			window = max(window, op.DeduplicationWindow+op.ClientTimeout) // repeats may lie unread for so long
		}
	}
	return window
}

// Usual is what a node keeps without a file: in memory only, and nothing where no operation is tokened (nil).
func Usual(operations []admission.Operation, memoryMB int) *Keep {
	window := longest(operations)
	if window == 0 {
		return nil
	}
	return &Keep{Field: fieldUsual, Rules: resultcache.Rules{BytesMost: min(memoryUsual, int64(memoryMB)<<20/memoryPart),
		ResultMost: resultUsual, Window: window}}
}

// Read reads a file in this process.
func Read(path string, operations []admission.Operation, memoryMB int) (*Keep, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	return From(file, operations, memoryMB)
}

// From reads what to keep from a file that was evaluated. All that is wrong is told at once.
func From(file *configfile.File, operations []admission.Operation, memoryMB int) (*Keep, error) {
	if err := file.Check(schema()); err != nil {
		return nil, err
	}
	var w written
	if err := file.Into(&w); err != nil {
		return nil, err
	}
	found := configfile.Problems{}
	k := Usual(operations, memoryMB)
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
	k.Bounds, k.Gather = segmentstore.Bounds{Segment: segmentUsual, Most: sizeUsual}, gatherUsual
	for _, s := range []struct {
		from *configfile.Size
		to   *int64
	}{{w.Memory, &k.Rules.BytesMost}, {w.Result, &k.Rules.ResultMost}, {w.Size, &k.Bounds.Most}, {w.Segment, &k.Bounds.Segment}} {
		if s.from != nil {
			*s.to = int64(*s.from)
		}
	}
	if w.Gather != nil {
		k.Gather = int64(*w.Gather)
	}
	if w.Trouble == "memory" {
		k.Rules.Trouble = resultcache.GoOn
	}
	if k.Rules.ResultMost > resultMost {
		found = append(found, file.At([]string{"result"}, "is more than a record holds", "15 KiB at the most"))
	}
	if k.Rules.BytesMost > int64(memoryMB)<<20/2 {
		found = append(found, file.At([]string{"memory"}, fmt.Sprintf("is more than half of the node's %d MB", memoryMB), "make it smaller"))
	}
	if k.Gather > gatherMost {
		found = append(found, file.At([]string{"gather"}, "is longer than 100 ms", "make it shorter: each tokened invocation waits for it"))
	}
	k.Durability = map[string]Durability{"": None, "none": None, "batched": Batched, "each": Each}[w.Durability]
	if k.Durability != None {
		k.Rules.Durability = resultcache.OnDisk
		if k.Folder = w.Folder; k.Folder == "" {
			found = append(found, file.At([]string{"durability"}, "needs a folder", "set folder, on a disk that lasts"))
		} else if !filepath.IsAbs(k.Folder) {
			k.Folder = filepath.Join(filepath.Dir(file.Path), k.Folder)
		}
	}
	if k.Bounds.Most < 2*k.Bounds.Segment {
		found = append(found, file.At([]string{"size"}, "holds fewer than two segments", "make it larger, or the segments smaller"))
	}
	if len(found) > 0 {
		return nil, found
	}
	return k, nil
}

// Where says in words where results lie.
func (k *Keep) Where() string {
	if k.Durability == None {
		return "in memory only, a crash forgets them"
	}
	return fmt.Sprintf("in %s, %d MB at the most", k.Folder, k.Bounds.Most>>20)
}
