package main

import (
	"fmt"
	"time"
)

const (
	splitJob   = "c3d6e0a93b75f283"
	splitPath  = "/arhiivi-indeks/" + splitJob
	splitTasks = 5               // As many as executors of a zone, each on one of its own.
	splitWait  = 8 * time.Second // Until a task of a lost executor runs again.
)

// driveSplit hands in a job whose lasting tasks follow a short step, and loses two of
// the executors of its zone for good, one after the other. Between the two, other work
// comes to the zone that took over the first task.
func driveSplit(s *system, trouble bool) (broken bool, err error) {
	if err := s.start(2, splitTasks, 16000, []map[string]any{route("arhiivi-indeks", 0, 2, 2.2, 2500)}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := map[string]any{
		"specification": "run-ms=500,0 index",
		"steps": []map[string]any{
			{"count": 1, "cpu": 1000, "taskMemoryMb": 1000, "estimatedMs": 500},
			{"count": splitTasks, "cpu": 3200, "taskMemoryMb": 6400, "estimatedMs": 320, "longRunning": true, "antiAffinity": 1, "after": []int{0}},
		},
	}
	if err := s.submit(splitPath, body); err != nil {
		return false, err
	}
	if err := s.waitFor(func() bool { return len(s.runsOf(splitJob)) == 1+splitTasks }, 5*time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	home := s.executorOf(s.runsOf(splitJob)[0].worker).zone
	s.note("the job runs in %s", home)
	taker := zones[1]
	if trouble {
		if err := s.loseFirst(home); err != nil {
			return false, err
		}
		moved := s.runsOf(splitJob)
		taker = s.executorOf(moved[len(moved)-1].worker).zone
		s.note("the first task goes on in %s", taker)
	}
	if err := s.fillZone(taker, 10000, 6400); err != nil {
		return false, err
	}
	if trouble {
		if err := s.loseFirst(home); err != nil {
			return false, err
		}
	}
	time.Sleep(finishTime)
	missing := s.missing(splitJob, 1, splitTasks)
	s.note("the job is shown as %s; %d of its %d lasting tasks don't run", s.state(splitPath), missing, splitTasks)
	return missing > 0, nil
}

// loseFirst crashes an executor of a zone that runs a lasting task of the job, for good,
// and waits.
func (s *system) loseFirst(zone string) error {
	for _, r := range s.runsOf(splitJob) {
		if x := s.executorOf(r.worker); r.ended.IsZero() && x.zone == zone {
			s.crashExecutor(x)
			time.Sleep(splitWait)
			return nil
		}
	}
	return fmt.Errorf("nothing runs in %s", zone)
}
