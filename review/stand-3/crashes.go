package main

import (
	"fmt"
	"time"
)

const (
	crashes        = 4
	crashAge       = 2 * time.Second // Of the run under which its executor crashes.
	executorReturn = time.Second     // Until the machine of a crashed executor has a new one.
	crashJob       = "4c1d6e0a93b75f28"
	crashPath      = "/hooaja-kimp/" + crashJob
)

// driveCrashes hands a job of one task in, and crashes the executor that runs it, one at
// a time. None of the task's runs ends as failed.
func driveCrashes(s *system, trouble bool) (broken bool, err error) {
	const attempts = 4
	if err := s.start(2, 4, 16000, []map[string]any{route("hooaja-kimp", 2, attempts, 2, 1000)}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := map[string]any{
		"specification": "run-ms=5000 bundle",
		"steps":         []map[string]any{{"count": 1, "cpu": 1800, "taskMemoryMb": 3200, "estimatedMs": 5000}},
	}
	if err := s.submit(crashPath, body); err != nil {
		return false, err
	}
	for n := 0; trouble && n < crashes; n++ {
		var last run
		if err := s.waitFor(func() bool {
			runs := s.runsOf(crashJob)
			if len(runs) == 0 {
				return false
			}
			last = runs[len(runs)-1]
			return last.ended.IsZero() && time.Since(last.started) >= crashAge
		}, 15*time.Second); err != nil {
			break // No further run: the state tells why.
		}
		x := s.executorOf(last.worker)
		if x == nil {
			return false, fmt.Errorf("executor %s is not known", last.worker)
		}
		s.crashExecutor(x)
		time.Sleep(executorReturn)
		if err := s.startExecutor(x); err != nil {
			return false, err
		}
	}
	state := ""
	if err := s.waitFor(func() bool {
		time.Sleep(500 * time.Millisecond)
		state = s.state(crashPath)
		return state == "completed" || state == "failed" || state == "cancelled"
	}, 30*time.Second); err != nil {
		s.note("no final state: %s", state)
	}
	failed := 0
	for _, r := range s.runsOf(crashJob) {
		s.note("run %d on %s ended %q", r.number, r.worker, r.how)
		if r.how == "failed" {
			failed++
		}
	}
	s.note("the job is shown as %s; %d of its runs have ended failed, %d would be needed", state, failed, attempts)
	return (state == "failed" || state == "cancelled") && failed < attempts, nil
}
