package degradationplan

import (
	"fmt"
	"strings"
	"sync"

	"topazpost/internal/configfile"
	"topazpost/internal/degradation"
)

const maxLevels = 8 // above full service; operators could not keep more levels apart

// schema returns the schema of plan files. It is compiled when the first plan is read, as most nodes have no plan.
var schema = sync.OnceValue(func() *configfile.Schema {
	return configfile.Compile("plan.json", strings.NewReplacer("TIME", configfile.TimePattern, "PART",
		configfile.PartPattern, "RUNGS", fmt.Sprint(maxLevels)).Replace(schemaTemplate))
})

const schemaTemplate = `{
 "$schema": "https://json-schema.org/draft/2020-12/schema", "type": "object", "additionalProperties": false,
 "required": ["levels"],
 "$defs": {
  "time": {"type": "string", "pattern": "TIME"},
  "part": {"type": "string", "pattern": "PART"},
  "condition": {"type": "object", "additionalProperties": false, "minProperties": 1, "properties": {
   "load": {"$ref": "#/$defs/part"}, "wait": {"$ref": "#/$defs/part"}, "lag": {"$ref": "#/$defs/part"},
   "calls": {"$ref": "#/$defs/part"}, "throttled": {"$ref": "#/$defs/part"}, "memory": {"$ref": "#/$defs/part"},
   "for": {"$ref": "#/$defs/time"}}}},
 "properties": {
  "name": {"type": "string", "minLength": 1},
  "forms_known": {"type": "boolean"},
  "spare": {"type": "boolean"},
  "hold": {"$ref": "#/$defs/time"}, "hold_most": {"$ref": "#/$defs/time"}, "forget": {"$ref": "#/$defs/time"},
  "proof": {"$ref": "#/$defs/time"}, "spread": {"$ref": "#/$defs/part"}, "bridges": {"type": "number", "minimum": 0, "maximum": 4},
  "idle": {"$ref": "#/$defs/condition"},
  "levels": {"type": "array", "minItems": 1, "maxItems": RUNGS, "items": {"type": "object", "additionalProperties": false,
   "required": ["name", "enter", "exit"], "properties": {
   "name": {"type": "string", "minLength": 1},
   "refuse": {"type": "array", "items": {"type": "string"}},
   "reduce": {"type": "object", "additionalProperties": {"type": "object", "additionalProperties": false,
    "required": ["form", "work", "value"], "properties": {"form": {"type": "string", "minLength": 1},
    "work": {"$ref": "#/$defs/part"}, "value": {"$ref": "#/$defs/part"}}}},
   "enter": {"type": "array", "minItems": 1, "maxItems": 8, "items": {"$ref": "#/$defs/condition"}},
   "exit": {"$ref": "#/$defs/condition"}}}}}}`

// planFile holds a plan file as operators write it. Method settings maps its fields to those of degradation.Plan.
type planFile struct {
	Name       string           `json:"name"`
	FormsKnown bool             `json:"forms_known"`
	Spare      bool             `json:"spare"`
	Hold       *configfile.Time `json:"hold"`
	HoldMost   *configfile.Time `json:"hold_most"`
	Forget     *configfile.Time `json:"forget"`
	Proof      *configfile.Time `json:"proof"`
	Spread     *configfile.Part `json:"spread"`
	Bridges    *float64         `json:"bridges"`
	Idle       *conditionEntry  `json:"idle"`
	Levels     []levelEntry     `json:"levels"`
}

// levelEntry holds a level of a plan file.
type levelEntry struct {
	Name   string                  `json:"name"`
	Refuse []string                `json:"refuse"`
	Reduce map[string]reducedEntry `json:"reduce"`
	Enter  []conditionEntry        `json:"enter"`
	Exit   conditionEntry          `json:"exit"`
}

// reducedEntry holds the reduced form of an operation in a plan file.
type reducedEntry struct {
	Form  string          `json:"form"`
	Work  configfile.Part `json:"work"`
	Value configfile.Part `json:"value"`
}

// conditionEntry holds a condition of a plan file: limits of signals, and for how long signals must be beyond them.
type conditionEntry struct {
	Load      *configfile.Part `json:"load"`
	Wait      *configfile.Part `json:"wait"`
	Lag       *configfile.Part `json:"lag"`
	Calls     *configfile.Part `json:"calls"`
	Throttled *configfile.Part `json:"throttled"`
	Memory    *configfile.Part `json:"memory"`
	For       configfile.Time  `json:"for"`
}

// condition returns the condition that an entry describes.
func (e *conditionEntry) condition() degradation.Condition {
	c := degradation.Condition{Limits: degradation.NoLimits(), Duration: int64(e.For)}
	limits := [degradation.SignalCount]*configfile.Part{
		degradation.Load:          e.Load,
		degradation.QueueWait:     e.Wait,
		degradation.QueueingDelay: e.Lag,
		degradation.CallWait:      e.Calls,
		degradation.Rejected:      e.Throttled,
		degradation.Memory:        e.Memory,
	}
	for signal, limit := range limits {
		if limit != nil {
			c.Limits[signal] = float64(*limit)
		}
	}
	return c
}
