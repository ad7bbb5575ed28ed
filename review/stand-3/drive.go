package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(s *system, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"evacuation": driveEvacuation,
	"crashes":    driveCrashes,
	"memory":     driveMemory,
	"split":      driveSplit,
	"unheard":    driveUnheard,
}

// maxTime is when a driver gives up.
const maxTime = 115 * time.Second

// drive plays a case: drive NAME FOLDER.
func drive(args []string) (code int, err error) {
	if len(args) != 2 || scenarios[args[0]] == nil {
		return exitNotRun, errors.New("usage: stand-3 drive CASE FOLDER")
	}
	s, err := newSystem(filepath.Join(args[1], "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("case %s, trouble %t", args[0], trouble)
	type result struct {
		broken bool
		err    error
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	results := make(chan result, 1)
	go func() {
		broken, err := scenarios[args[0]](s, trouble)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			s.note("the case could not run: %v", r.err)
			return exitNotRun, r.err
		case r.broken:
			s.note("the rule was broken")
			fmt.Println("broken")
			return exitBroken, nil
		}
		s.note("the rule held")
		fmt.Println("held")
		return exitHeld, nil
	case <-interrupted:
		return exitNotRun, errors.New("interrupted")
	case <-time.After(maxTime):
		return exitNotRun, fmt.Errorf("not finished within %s", maxTime)
	}
}
