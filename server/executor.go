package server

import (
	"topazpost/internal/node"
)

var (
	executorLink = linkKind{node.ExecutorConnected, node.ExecutorDisconnected, node.ExecutorLineReceived, node.ExecutorDisconnected, func(words []string) bool {
		return words[0] == "EXIT" && len(words) == 6 || words[0] == "CALLOUT" && len(words) == 4
	}}
	catalogueLink = linkKind{node.CatalogueConnected, node.CatalogueDialFailed, node.CatalogueLineReceived, node.CatalogueDisconnected,
		func(words []string) bool { return len(words) == 3 && words[1] == "DATA" }}
)
