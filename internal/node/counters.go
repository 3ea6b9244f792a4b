package node

import "topazpost/internal/protocol/frame"

// Counters counts what a node has done since its start, for operators.
type Counters struct {
	Invocations       int `json:"invocations"`
	Succeeded         int `json:"succeeded"`
	Throttled         int `json:"throttled"`
	Errored           int `json:"errored"`
	CallersGone       int `json:"gone"`
	BrokenInvocations int `json:"broken_invocations"`
	BrokenConnections int `json:"broken_connections"`
	ExecutorLinks     int `json:"executor_links"`
	CatalogueLinks    int `json:"catalogue_links"`
	UnmatchedReplies  int `json:"stray_replies"`
	Evicted           int `json:"evicted"`
	Idle              int `json:"idle"`
	Reports           int `json:"reports"`
	ReportsFailed     int `json:"reports_failed"`
	Inherited         int `json:"inherited"`
	InheritedGivenUp  int `json:"inherited_given_up"`
	Versions          int `json:"versions"`
	VersionsRefused   int `json:"versions_refused"`
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
