package server

import "topazpost/internal/node"

// executorLink is the kind of the link to the executor.
var executorLink = linkKind{
	connected:    node.ExecutorConnected,
	dialFailed:   node.ExecutorDisconnected,
	lineReceived: node.ExecutorLineReceived,
	disconnected: node.ExecutorDisconnected,
	hasBody:      executorLineHasBody,
}

// executorLineHasBody reports whether a body follows a line: the end of a run, or a call that a run makes.
func executorLineHasBody(words []string) bool {
	switch words[0] {
	case "EXIT":
		return len(words) == 6
	case "CALLOUT":
		return len(words) == 4
	default:
		return false
	}
}
