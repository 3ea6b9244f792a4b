package cacheconfig

import (
	"path/filepath"
	"strings"
	"sync"

	"topazpost/internal/configfile"
	"topazpost/internal/resultcache"
)

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

// fileContent is the content of a file, nil or empty where the default holds.
type fileContent struct {
	TokenField     string           `json:"token"`
	Durability     string           `json:"durability"`
	OnStoreFailure string           `json:"trouble"`
	Folder         string           `json:"folder"`
	Memory         *configfile.Size `json:"memory"`
	Result         *configfile.Size `json:"result"`
	Store          *configfile.Size `json:"size"`
	Segment        *configfile.Size `json:"segment"`
	BatchWindow    *configfile.Time `json:"gather"`
}

// applyTo changes a configuration to what the file of the path says.
func (f *fileContent) applyTo(config *Config, path string) {
	if f.TokenField != "" {
		config.Field = f.TokenField
	}
	setSize(&config.Cache.MaxBytes, f.Memory)
	setSize(&config.Cache.MaxResultBytes, f.Result)
	setSize(&config.Limits.MaxBytes, f.Store)
	setSize(&config.Limits.SegmentBytes, f.Segment)
	if f.BatchWindow != nil {
		config.BatchWindow = int64(*f.BatchWindow)
	}
	if f.OnStoreFailure == "memory" {
		config.Cache.OnStoreFailure = resultcache.ContinueInMemory
	}
	config.Durability = parseDurability(f.Durability)
	if config.Durability == InMemory {
		return
	}
	config.Cache.Durability = resultcache.OnDisk
	config.Folder = f.Folder
	if f.Folder != "" && !filepath.IsAbs(f.Folder) {
		config.Folder = filepath.Join(filepath.Dir(path), f.Folder)
	}
}

func setSize(to *int64, from *configfile.Size) {
	if from != nil {
		*to = int64(*from)
	}
}

func parseDurability(name string) Durability {
	switch name {
	case "batched":
		return SyncBatched
	case "each":
		return SyncEach
	}
	return InMemory
}
