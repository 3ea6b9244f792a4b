// Package experiment plays variants of a day side by side on the same arrivals, and says of each claim whether it
// held. An experiment is a Jsonnet file.
package experiment

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"topazpost/internal/configfile"
)

// Experiment is an experiment as its file states it.
type Experiment struct {
	Name     string
	About    string
	Seeds    int
	Day      Day
	Variants map[string]Variant
	Claims   []Claim

	folder string
}

// Day is the load, the fleet and the faults that all variants meet.
type Day struct {
	Nodes      int
	Length     configfile.Time
	Models     []Model
	Operations []Operation
	Reading    configfile.Part
	Callers    []Caller
	Load       Load
	Rate       float64 // invocations a second that stand for a load of 100 %, 0 to have it reckoned
	Slots      float64 // of the ledger for each core
	Subjects   int
	Faults     []Fault
	Flood      *Flood
}

// Model is a kind of machine.
type Model struct {
	Cores                     int
	Speed                     float64
	ColdFrom                  configfile.Part `json:"cold_from"`
	WarmAfter                 configfile.Time `json:"warm_after"`
	CrowdFrom, Crowding, Most float64
}

// Operation is a kind of invocation.
type Operation struct {
	Name, Form         string
	Share              configfile.Part
	Work, Call         configfile.Time
	Calls              float64
	Objective, Timeout configfile.Time
	Late               configfile.Part
	Value              float64
	FormWork           configfile.Part `json:"form_work"`
	FormValue          configfile.Part `json:"form_value"`
}

// Caller is a habit of a dispatcher.
type Caller struct {
	Tries     int
	Backoff   configfile.Time
	Heeds     bool
	BySubject bool `json:"by_subject"`
}

// Flood multiplies the share of one operation for a while.
type Flood struct {
	Operation string
	By        float64
	At, For   configfile.Time
}

// Fault is a fault that strikes machines for a while.
type Fault struct {
	Kind    string
	At, For configfile.Time
	Part    configfile.Part
	By      float64
}

// Variant is what is compared: the decider (module or pool), with a plan or none.
type Variant struct {
	Decider string
	Plan    string
	Next    string // the plan that a fault of the kind adopt brings
}

// Claim bounds a measure of a variant, or its difference to that of another on each seed.
type Claim struct {
	Name, Variant, Over, Measure, Operation string
	Least, Most                             *float64
	Mean                                    bool // of the seeds, else each one
}

// Read reads an experiment with some of its values changed, by their paths.
func Read(path string, changed map[string]string) (*Experiment, error) {
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	for _, at := range slices.Sorted(maps.Keys(changed)) {
		if err := file.Set(at, changed[at]); err != nil {
			return nil, err
		}
	}
	x := &Experiment{folder: filepath.Dir(path)}
	if err := file.Into(x); err != nil {
		return nil, err
	}
	for _, c := range x.Claims {
		if _, known := x.Variants[c.Variant]; !known {
			return nil, fmt.Errorf("%s: claim %q: no variant is named %q", path, c.Name, c.Variant)
		}
		if _, known := measures[c.Measure]; !known {
			return nil, fmt.Errorf("%s: claim %q: no measure is named %q", path, c.Name, c.Measure)
		}
	}
	if x.Seeds == 0 {
		x.Seeds = 1
	}
	return x, nil
}
