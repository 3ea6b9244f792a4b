package fleetconfig

import (
	"strconv"
	"strings"
	"sync"

	"topazpost/internal/configfile"
)

// schema returns the JSON schema of fleet files.
var schema = sync.OnceValue(func() *configfile.Schema {
	placeholders := strings.NewReplacer("TIME", configfile.TimePattern, "SIZE", configfile.SizePattern, "MEMBERS", strconv.Itoa(maxMembers))
	return configfile.Compile("fleet.json", placeholders.Replace(`{
 "$schema": "https://json-schema.org/draft/2020-12/schema", "type": "object", "additionalProperties": false,
 "required": ["fleet", "bind"],
 "$defs": {"time": {"type": "string", "pattern": "TIME"}},
 "properties": {
  "fleet": {"type": "string", "minLength": 1},
  "bind": {"type": "string", "minLength": 1},
  "advertise": {"type": "string", "minLength": 1},
  "any_address": {"type": "boolean"},
  "zone": {"type": "string", "maxLength": 32},
  "seeds": {"type": "array", "maxItems": 32, "items": {"type": "string", "minLength": 1}},
  "probe": {"$ref": "#/$defs/time"}, "silence": {"$ref": "#/$defs/time"}, "settle": {"$ref": "#/$defs/time"},
  "forget": {"$ref": "#/$defs/time"},
  "members": {"type": "integer", "minimum": 2, "maximum": MEMBERS},
  "council": {"type": "object", "additionalProperties": false, "required": ["seats"], "properties": {
   "seats": {"type": "array", "minItems": 1, "items": {"type": "string", "minLength": 1, "maxLength": 64}},
   "table": {"type": "string", "pattern": "SIZE"},
   "folder": {"type": "string", "minLength": 1},
   "calls": {"type": "object", "additionalProperties": false, "required": ["limit", "hold"], "properties": {
    "limit": {"type": "integer", "minimum": 1, "maximum": 1000000}, "version": {"type": "integer", "minimum": 1},
    "hold": {"$ref": "#/$defs/time"}, "lease": {"$ref": "#/$defs/time"}}}}},
  "configuration": {"type": "object", "additionalProperties": false, "properties": {"folder": {"type": "string", "minLength": 1}}},
  "clock_ahead": {"$ref": "#/$defs/time"}, "clock_behind": {"$ref": "#/$defs/time"}}}`))
})

// fileContent is the decoded content of a fleet file. Its fields have the names of the keys that operators write.
type fileContent struct {
	Fleet, Bind, Advertise, Zone   string
	AnyAddress                     bool `json:"any_address"`
	Seeds                          []string
	Probe, Silence, Settle, Forget *configfile.Time
	Members                        *int
	Council                        *councilContent
	Configuration                  *struct{ Folder string }
	ClockAhead                     configfile.Time `json:"clock_ahead"`
	ClockBehind                    configfile.Time `json:"clock_behind"`
}

type councilContent struct {
	Seats  []string
	Table  *configfile.Size
	Folder string
	Calls  *callsContent
}

type callsContent struct {
	Limit       int64
	Version     *uint64
	Hold, Lease configfile.Time
}
