package main

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version of the build.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("this build has no information about itself")
	}
	fmt.Println("topazpost", info.Main.Version, "revision", revision(), info.GoVersion)
	return nil
}

// revision returns the commit that was built, or unknown.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}
