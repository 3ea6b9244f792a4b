package node

import "topazpost/internal/protocol/frame"

// Counters counts events since the start of a node, for operators.
type Counters struct {
	Invocations                  int `json:"invocations"`
	Succeeded                    int `json:"succeeded"`          // answers with a result
	Throttled                    int `json:"throttled"`          // answers with a throttle
	Errored                      int `json:"errored"`            // answers with an error
	CallersDisconnected          int `json:"gone"`               // invocations whose caller disconnected
	InvalidInvocations           int `json:"broken_invocations"` // malformed or otherwise invalid invocations
	BrokenConnections            int `json:"broken_connections"` // connections closed for a violation of the protocol
	ExecutorLinks                int `json:"executor_links"`     // links opened to the executor
	CatalogueLinks               int `json:"catalogue_links"`    // links opened to the catalogue
	UnmatchedReplies             int `json:"stray_replies"`      // replies of the catalogue to no call in flight
	ConnectionsEvicted           int `json:"evicted"`            // connections closed to make room for new ones
	ConnectionsClosedAfterGoAway int `json:"idle"`               // connections closed after a go-away
	Reports                      int `json:"reports"`            // successful reports to the control plane
	ReportsFailed                int `json:"reports_failed"`     // failed reports to the control plane
	InvocationsTakenOver         int `json:"inherited"`          // invocations taken over from lost nodes
	InvocationsTakenOverFailed   int `json:"inherited_given_up"` // of these, ended without a result
	RefusalsUnsettled            int `json:"refusals_unsettled"` // invocations that did not run here, answered as of unknown outcome: another node may run them
	Versions                     int `json:"versions"`           // versions of the configuration that came into force
	VersionsRefused              int `json:"versions_refused"`   // versions of the configuration that were rejected
}

// countAnswer counts an answer by its code.
func (c *Counters) countAnswer(code byte) {
	switch code {
	case frame.Succeeded:
		c.Succeeded++
	case frame.Throttled:
		c.Throttled++
	default:
		c.Errored++
	}
}
