package node

import (
	"slices"

	"topazpost/internal/admission"
	"topazpost/internal/nodeconfig"
)

// remapPlan returns a copy of a plan in which operations have this node's indices, those of ownNames, in place of the indices that the
// plan was written for, those of originalNames. The two can differ because versions add and remove operations in service. Entries for
// operations that the node doesn't have are left out.
func remapPlan(plan *DegradationPlan, originalNames, ownNames *nodeconfig.Names) *DegradationPlan {
	remapped := *plan
	remapped.Levels = slices.Clone(plan.Levels)
	remapped.Forms = make([][]string, len(plan.Levels))
	for k := range remapped.Levels {
		remapped.Levels[k].Services = make([]admission.Service, ownNames.Slots())
		remapped.Forms[k] = make([]string, ownNames.Slots())
	}
	for i := range int32(ownNames.Slots()) {
		if ownNames.Has(i) {
			remapped.remapOperation(i, ownNames.Name(i), plan, originalNames)
		}
	}
	return &remapped
}

// remapOperation copies the entries that the original plan has for the operation called name to an index. If it has none, it clears those
// at the index.
func (p *DegradationPlan) remapOperation(index int32, name string, original *DegradationPlan, originalNames *nodeconfig.Names) {
	i, known := originalNames.Lookup(name)
	for k := range p.Levels {
		level := &p.Levels[k]
		missing := max(0, int(index)+1-len(level.Services))
		level.Services = append(level.Services, make([]admission.Service, missing)...)
		p.Forms[k] = append(p.Forms[k], make([]string, missing)...)
		level.Services[index] = admission.Service{}
		p.Forms[k][index] = ""
		if known && int(i) < len(original.Levels[k].Services) {
			level.Services[index] = original.Levels[k].Services[i]
		}
		if known && k < len(original.Forms) && int(i) < len(original.Forms[k]) {
			p.Forms[k][index] = original.Forms[k][i]
		}
	}
}

// remapOperation does the same for the plan in force, if there is one. An empty name clears the entries.
func (ds *degradationState) remapOperation(index int32, name string) {
	if ds.plan != nil {
		ds.plan.remapOperation(index, name, ds.originalPlan, ds.originalNames)
	}
}

// servicesOf returns a slice with the service that the level in force gives an operation. It returns nil for full service without a plan,
// at level 0, or if the plan has no entry for the operation.
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
