package fleetconfig

import (
	"fmt"
	"path/filepath"
	"strings"
)

// ConfigSync is how a node takes part in the synchronization of the fleet's configuration.
type ConfigSync struct {
	Folder string // where the node stores the version in force; empty in memory only
}

func (r *fileReader) configSync() *ConfigSync {
	if r.content.Council == nil {
		r.fail("needs a council, whose seats agree on versions", "name seats in council.seats, or leave it out", "configuration")
	}
	folder := r.nodeFolder(r.content.Configuration.Folder, "configuration", "configuration", "folder")
	return &ConfigSync{Folder: folder}
}

// nodeFolder returns the folder of this node, empty for none. In the pattern, {name} is the node's name; purpose is a
// folder's name for the example in an error.
func (r *fileReader) nodeFolder(pattern, purpose string, path ...string) string {
	if pattern == "" {
		return ""
	}
	invalidName := strings.ContainsAny(r.node, "/\\\x00") || r.node == ".." || r.node == "."
	if strings.Contains(pattern, "{name}") && invalidName {
		r.fail(fmt.Sprintf("takes in the node's name, and %q can't be part of a path", r.node),
			"name the node otherwise, or write the folder without {name}", path...)
		return ""
	}
	folder := filepath.Clean(strings.ReplaceAll(pattern, "{name}", r.node))
	if !filepath.IsAbs(folder) {
		r.fail(fmt.Sprintf("%q is no absolute path", pattern),
			fmt.Sprintf(`write it as "/var/lib/topazpost/%s-{name}"; {name} is the node's`, purpose), path...)
	}
	return folder
}
