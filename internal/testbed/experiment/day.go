package experiment

import (
	"fmt"
	"path/filepath"

	"topazpost/internal/degradation/degradationplan"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/testbed/baselines"
	"topazpost/internal/testbed/emulator"
)

// emulatorDay returns the day of a seed as the emulator plays it for a variant.
func (x *Experiment) emulatorDay(seed int64, v Variant) (*emulator.Day, error) {
	d := &x.Day
	day := &emulator.Day{
		Seed: seed, Nodes: d.Nodes, Length: int64(d.Length), Reading: float64(d.Reading),
		Rate: d.Rate, Slots: d.Slots, Subjects: d.Subjects,
		Operations: d.emulatorOperations(), Models: d.emulatorModels(),
		Dispatchers: d.emulatorDispatchers(), Faults: d.emulatorFaults(),
		Mix: d.operationMix(),
	}
	var err error
	day.Load, err = d.Load.function(x.folder, int64(d.Length))
	if err != nil {
		return nil, err
	}
	day.Plan, err = x.readPlan(v.Plan)
	if err != nil {
		return nil, err
	}
	day.Next, err = x.readPlan(v.Next)
	if err != nil {
		return nil, err
	}
	switch v.Decider {
	case "pool":
		day.Make = baselines.Pool
	case "", "module":
	default:
		return nil, fmt.Errorf("no decider is named %q: choose module or pool", v.Decider)
	}
	return day, nil
}

// readPlan reads a degradation plan beside the experiment's file; nil without a name.
func (x *Experiment) readPlan(name string) (*node.DegradationPlan, error) {
	if name == "" {
		return nil, nil
	}
	index := new(nodeconfig.Names)
	for k, op := range x.Day.Operations {
		index.Put(int32(k), op.Name)
	}
	return degradationplan.Read(filepath.Join(x.folder, name), index)
}

func (d *Day) emulatorOperations() (list []emulator.Operation) {
	for _, op := range d.Operations {
		list = append(list, emulator.Operation{
			Name: op.Name, Share: float64(op.Share), Work: float64(op.Work), Call: float64(op.Call), Calls: op.Calls,
			Objective: int64(op.Objective), Timeout: int64(op.Timeout), LateShare: float64(op.Late), Value: op.Value,
			Reduced: op.Form, ReducedWork: float64(op.FormWork), Reduce: float64(op.FormValue),
		})
	}
	return list
}

func (d *Day) emulatorModels() (list []emulator.Model) {
	for _, m := range d.Models {
		list = append(list, emulator.Model{
			Cores: m.Cores, Speed: m.Speed, ColdFrom: float64(m.ColdFrom), WarmAfter: int64(m.WarmAfter),
			CrowdFrom: m.CrowdFrom, Crowding: m.Crowding, By: m.Most,
		})
	}
	return list
}

func (d *Day) emulatorDispatchers() (list []emulator.Dispatcher) {
	for _, c := range d.Callers {
		list = append(list, emulator.Dispatcher{Tries: c.Tries, Backoff: int64(c.Backoff), Heeds: c.Heeds, BySubject: c.BySubject})
	}
	return list
}

func (d *Day) emulatorFaults() (list []emulator.Fault) {
	for _, f := range d.Faults {
		list = append(list, emulator.Fault{Kind: f.Kind, At: int64(f.At), For: int64(f.For), Part: float64(f.Part), By: f.By})
	}
	return list
}

// operationMix returns the factor on an operation's share over time, nil without a flood.
func (d *Day) operationMix() func(at int64, op int) float64 {
	f := d.Flood
	if f == nil {
		return nil
	}
	return func(at int64, op int) float64 {
		if d.Operations[op].Name == f.Operation && at >= int64(f.At) && at < int64(f.At+f.For) {
			return f.By
		}
		return 1
	}
}
