package main

import (
	"fmt"
	"runtime/debug"
)

// version is the current release, as in the changelog.
const version = "0.1.0"

type versionCmd struct{}

// Run prints the version and the revision it was built from.
func (versionCmd) Run() error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Printf("briarspring %s (revision %s)\n", version, revision)
	return nil
}
