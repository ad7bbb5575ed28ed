// Command stand plays the cases of the review. It serves stand-ins of the
// platform's store and of executors, runs the system's hosts as processes, acts as
// their clients and checks a rule by what clients and executors saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a play.
const maxDuration = 115 * time.Second

// cases are the plays by name. Each returns what breaks its rule.
var cases = map[string]func(s *system, trouble bool) ([]string, error){
	"ends":   runEnds,
	"entry":  runEntry,
	"long":   runLong,
	"cancel": runCancel,
	"graph":  runGraph,
	"labels": runLabels,
	"racks":  runRacks,
}

func main() { os.Exit(play()) }

func play() int {
	binary := flag.String("binary", "target/briarspring", "program of the system")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether to play the disruption")
	logs := flag.String("logs", "", "folder for settings and logs of the hosts; empty for a temporary one")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return exitNotRun
	}
	dir := *logs
	if dir == "" {
		temporary, err := os.MkdirTemp("", "review")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer os.RemoveAll(temporary)
		dir = temporary
	}
	r, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := newSystem(*binary, dir, r)
	defer s.close()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := run(s, *trouble)
		results <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case got := <-results:
		return report(r, got.broken, got.err)
	case <-time.After(maxDuration):
		return report(r, nil, fmt.Errorf("not finished after %s", maxDuration))
	case <-interrupted:
		return report(r, nil, fmt.Errorf("interrupted"))
	}
}

// report writes the result to the record and to standard output.
func report(r *record, broken []string, err error) int {
	say := func(format string, args ...any) {
		r.printf(format, args...)
		fmt.Printf(format+"\n", args...)
	}
	if err != nil {
		say("could not run: %v", err)
		return exitNotRun
	}
	if len(broken) == 0 {
		say("the rule held")
		return exitHeld
	}
	const shown = 5
	for _, b := range broken[:min(shown, len(broken))] {
		say("broken: %s", b)
	}
	say("the rule was broken %d times", len(broken))
	return exitBroken
}
