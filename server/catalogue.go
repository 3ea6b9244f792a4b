package server

import "topazpost/internal/node"

// catalogueLink is the kind of the links to the catalogue, one for each call in flight.
var catalogueLink = linkKind{
	connected:    node.CatalogueConnected,
	dialFailed:   node.CatalogueDialFailed,
	lineReceived: node.CatalogueLineReceived,
	disconnected: node.CatalogueDisconnected,
	hasBody:      catalogueLineHasBody,
	usesSlot:     true,
}

// catalogueLineHasBody reports whether a body follows a line.
func catalogueLineHasBody(words []string) bool { return len(words) == 3 && words[1] == "DATA" }
