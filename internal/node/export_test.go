package node

import (
	"slices"

	"topazpost/internal/admission"
)

// ControllerState returns the state of the admission controller, and whether there is one, for tests in other packages.
func (sm *StateMachine) ControllerState() (state admission.ControllerState, exists bool) {
	if sm.controller == nil {
		return state, false
	}
	return sm.controller.State(), true
}

// HeldCounts returns how much is held for invocations and their callers, by what it is. An idle node holds nothing.
func (sm *StateMachine) HeldCounts() map[string]int {
	openStreams := 0
	for _, c := range sm.connections.byLink {
		openStreams += len(c.openStreams)
	}
	busyLinks := len(sm.catalogue.links) - sm.catalogue.idleLinkCount()
	abandonedUnits := len(slices.DeleteFunc(slices.Clone(sm.leases.abandonedUntil), func(until int64) bool { return until <= sm.now }))
	return map[string]int{
		"invocations":                  len(sm.indexByID),
		"unanswered invocations":       sm.unansweredCount,
		"open streams":                 openStreams,
		"tokens before their run":      len(sm.results.pending),
		"commands":                     len(sm.executor.commands.unacknowledged),
		"calls without a link":         len(sm.catalogue.waiting),
		"busy links to the catalogue":  busyLinks,
		"units of abandoned calls":     abandonedUnits,
		"deep health checks":           len(sm.health.deepChecks),
		"events for a later step":      len(sm.deferredEvents),
		"references to tenants":        len(sm.versions.inFlightByTenant),
		"indices in use, not released": len(sm.invocations) - len(sm.freeIndices),
	}
}
