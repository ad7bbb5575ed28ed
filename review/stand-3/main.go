// Command stand-3 runs the stand-ins and the drivers of the scripts of the third
// review: the platform's log, its executors, and clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a driver.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 store|worker|drive ...")
		os.Exit(exitNotRun)
	}
	var err error
	code := exitHeld
	switch verb, args := os.Args[1], os.Args[2:]; verb {
	case "store":
		err = runStore(args)
	case "worker":
		err = runWorker(args)
	case "drive":
		code, err = drive(args)
	default:
		err = fmt.Errorf("unknown verb %q", verb)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(code)
}
