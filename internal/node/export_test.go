package node

import "topazpost/internal/admission"

// ControllerState returns the state of the admission controller, and whether there is one, for tests in other packages.
func (sm *StateMachine) ControllerState() (state admission.ControllerState, exists bool) {
	if sm.controller == nil {
		return state, false
	}
	return sm.controller.State(), true
}
