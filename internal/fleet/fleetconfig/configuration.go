package fleetconfig

import (
	"fmt"
	"path/filepath"
	"strings"

	"topazpost/internal/configfile"
)

// ConfigSync is how a node takes part in the fleet's configuration in service.
type ConfigSync struct {
	Folder string // where the node keeps the last version that was in force; empty in memory only
}

// newConfigSync reads it, for the node of a name.
func newConfigSync(file *configfile.File, name, folder string, council bool) (c *ConfigSync, found configfile.ProblemErrors) {
	if c = new(ConfigSync); !council {
		found = append(found, file.At([]string{"configuration"}, "needs a council, whose seats agree on versions",
			"name seats in council.seats, or leave it out"))
	}
	var wrong configfile.ProblemErrors
	c.Folder, wrong = nodeFolder(file, name, folder, "configuration", "configuration", "folder")
	return c, append(found, wrong...)
}

// nodeFolder reads a folder, empty for none; what says what it is for.
func nodeFolder(file *configfile.File, name, folder, what string, path ...string) (clean string, found configfile.ProblemErrors) {
	if folder == "" {
		return "", nil
	}
	if strings.Contains(folder, "{name}") && (strings.ContainsAny(name, "/\\\x00") || name == ".." || name == ".") {
		return "", configfile.ProblemErrors{file.At(path, fmt.Sprintf("takes in the node's name, and %q can't be part of a path", name),
			"name the node otherwise, or write the folder without {name}")}
	}
	if clean = filepath.Clean(strings.ReplaceAll(folder, "{name}", name)); !filepath.IsAbs(clean) {
		found = append(found, file.At(path, fmt.Sprintf("%q is no absolute path", folder),
			fmt.Sprintf(`write it as "/var/lib/topazpost/%s-{name}"; {name} is the node's`, what)))
	}
	return clean, found
}

// describe says in words what holds of it.
func (c *ConfigSync) describe() string {
	where := "in memory only, so that a start is from the node's file until a seat is heard"
	if c.Folder != "" {
		where = "and the last version is kept in " + c.Folder
	}
	return "; operations, tenants and limits are taken in service from versions that the council agrees on, " + where
}
