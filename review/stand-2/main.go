// Command stand-2 holds the stand-ins of the second review: the platform's store, an
// executor as a process of its own, and the drivers that play one case each.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 executor [flags] | case NAME RECORD")
		os.Exit(exitCannotRun)
	}
	switch os.Args[1] {
	case "executor":
		os.Exit(runExecutor(os.Args[2:]))
	case "case":
		if len(os.Args) == 4 {
			os.Exit(runCase(os.Args[2], os.Args[3]))
		}
	}
	fmt.Fprintln(os.Stderr, "unknown command")
	os.Exit(exitCannotRun)
}
