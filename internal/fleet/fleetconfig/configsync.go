package fleetconfig

import (
	"fmt"
	"path/filepath"
	"strings"
)

// ConfigSync configures the synchronization of the fleet's configuration on a node.
type ConfigSync struct {
	Folder string // where the node stores the version in force; empty to hold it in memory only
}

func (r *fileReader) configSync() *ConfigSync {
	if r.content.Council == nil {
		r.fail("requires council.seats, the nodes that agree on versions", "set council.seats, or remove configuration", "configuration")
	}
	folder := r.nodeFolder(r.content.Configuration.Folder, "configuration", "configuration", "folder")
	return &ConfigSync{Folder: folder}
}

// nodeFolder returns the folder that a pattern names for this node, with {name} replaced by the node's name, or "" for an
// empty pattern. An error suggests a folder whose name starts with purpose.
func (r *fileReader) nodeFolder(pattern, purpose string, path ...string) string {
	if pattern == "" {
		return ""
	}
	invalidName := strings.ContainsAny(r.node, "/\\\x00") || r.node == ".." || r.node == "."
	if strings.Contains(pattern, "{name}") && invalidName {
		r.fail(fmt.Sprintf("contains {name}, but the node's name %q cannot be part of a path", r.node),
			"rename the node, or write the folder without {name}", path...)
		return ""
	}
	folder := filepath.Clean(strings.ReplaceAll(pattern, "{name}", r.node))
	if !filepath.IsAbs(folder) {
		r.fail(fmt.Sprintf("%q is not an absolute path", pattern),
			fmt.Sprintf(`write for example "/var/lib/topazpost/%s-{name}", where {name} stands for the node's name`, purpose), path...)
	}
	return folder
}
