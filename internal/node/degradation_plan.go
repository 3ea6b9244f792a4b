package node

import (
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

// remapPlan is a plan by the operation indices of the node that adopts it: those change in service, and need not be those of a file.
// What it says of operations that the node doesn't have is left out.
func remapPlan(plan *DegradationPlan, names, own *nodeconfig.Names) *DegradationPlan {
	fitted := *plan
	fitted.Levels = slices.Clone(plan.Levels)
	fitted.Forms = make([][]string, len(plan.Levels))
	for k := range fitted.Levels {
		fitted.Levels[k].Services = make([]admission.Service, own.Slots())
		fitted.Forms[k] = make([]string, own.Slots())
	}
	for i := range int32(own.Slots()) {
		if own.Has(i) {
			fitted.remapOperation(i, own.Name(i), plan, names)
		}
	}
	return &fitted
}

// remapOperation gives an index what a plan says of the operation of a name.
func (p *DegradationPlan) remapOperation(index int32, name string, given *DegradationPlan, givenNames *nodeconfig.Names) {
	i, known := givenNames.Lookup(name)
	for k := range p.Levels {
		level := &p.Levels[k]
		missing := max(0, int(index)+1-len(level.Services))
		level.Services = append(level.Services, make([]admission.Service, missing)...)
		p.Forms[k] = append(p.Forms[k], make([]string, missing)...)
		level.Services[index] = admission.Service{}
		p.Forms[k][index] = ""
		if known && int(i) < len(given.Levels[k].Services) {
			level.Services[index] = given.Levels[k].Services[i]
		}
		if known && k < len(given.Forms) && int(i) < len(given.Forms[k]) {
			p.Forms[k][index] = given.Forms[k][i]
		}
	}
}

// remapOperation does so in the plan in force; an empty name clears the index.
func (ds *degradationState) remapOperation(index int32, name string) {
	if ds.plan != nil {
		ds.plan.remapOperation(index, name, ds.originalPlan, ds.originalNames)
	}
}

// servicesOf is what the level in force leaves of an operation, nil for all of it.
func (ds *degradationState) servicesOf(index int32) []admission.Service {
	if ds.plan == nil {
		return nil
	}
	all := ds.plan.Services(ds.level())
	if int(index) >= len(all) {
		return nil
	}
	return all[index : index+1]
}
