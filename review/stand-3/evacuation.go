package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	outZone    = "voru"
	hostsDown  = 9500 * time.Millisecond // The longest loss of power that the pages name.
	finishTime = 14 * time.Second        // The platform's finish_s.
	idleTime   = 3 * time.Second         // For which a job may have nothing running.
	lastingJob = "a1d6e0a93b75f281"
	lastPath   = "/arhiivi-indeks/" + lastingJob
	bundleJob  = "b2d6e0a93b75f282"
	bundlePath = "/hooaja-kimp/" + bundleJob

	// The jobs of some ten seconds of the usual traffic leave more records in the log
	// than one page of newest records holds.
	earlierJobs     = 240
	earlierInterval = 40 * time.Millisecond
)

// driveEvacuation evacuates a zone and takes it back while all hosts are without power.
// The jobs need an executor of that zone.
func driveEvacuation(s *system, trouble bool) (broken bool, err error) {
	routes := []map[string]any{route("hooaja-kimp", 2, 4, 2, 1000), route("arhiivi-indeks", 0, 2, 2.2, 2500)}
	if err := s.start(2, 4, 16000, routes); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	rack := ""
	for _, x := range s.executors {
		if x.zone == outZone {
			rack = x.rack // The last one of the zone.
		}
	}
	if err := s.submitEarlier(); err != nil {
		return false, err
	}
	lasting := map[string]any{
		"specification": "run-ms=0 index",
		"steps":         []map[string]any{{"count": 2, "cpu": 3200, "taskMemoryMb": 6400, "estimatedMs": 320, "longRunning": true, "requirements": rack}},
	}
	if err := s.submit(lastPath, lasting); err != nil {
		return false, err
	}
	if err := s.waitFor(func() bool { return len(s.runsOf(lastingJob)) == 2 }, 5*time.Second); err != nil {
		return false, err
	}
	if err := s.operate("evacuate/"+outZone, []byte("{}")); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.killHosts()
	}
	time.Sleep(4 * time.Second)
	if err := s.operate("evacuate/"+outZone, nil); err != nil {
		return false, err
	}
	time.Sleep(hostsDown - 4*time.Second)
	if trouble {
		if err := s.startHosts(); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	bundle := map[string]any{
		"specification": "run-ms=1000 bundle",
		"steps":         []map[string]any{{"count": 4, "cpu": 1800, "taskMemoryMb": 3200, "estimatedMs": 1000, "requirements": rack}},
	}
	if err := s.submit(bundlePath, bundle); err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	judged := time.Now()
	time.Sleep(idleTime)
	state := s.state(bundlePath)
	s.call(s.hosts[0], http.MethodGet, lastPath, nil)
	idle := s.idleSince(lastingJob, judged)
	s.note("the bundle is shown as %s and has had %d runs; the lasting job has been idle for the last %s: %t", state, len(s.runsOf(bundleJob)), idleTime, idle)
	return idle || state != "completed" && s.idleSince(bundleJob, judged), nil
}

// submitEarlier hands in short jobs and waits until all of them are shown as completed.
func (s *system) submitEarlier() error {
	path := func(i int) string { return fmt.Sprintf("/hooaja-kimp/%016x", 0xc000+i) }
	for i := range earlierJobs {
		body := map[string]any{
			"specification": "run-ms=100 earlier",
			"steps":         []map[string]any{{"count": 1, "cpu": 100, "taskMemoryMb": 100, "estimatedMs": 100}},
		}
		if err := s.submit(path(i), body); err != nil {
			return err
		}
		time.Sleep(earlierInterval)
	}
	for i := range earlierJobs {
		if err := s.waitFor(func() bool { return s.state(path(i)) == "completed" }, 5*time.Second); err != nil {
			return fmt.Errorf("job %s: %w", path(i), err)
		}
	}
	return nil
}

// idleSince reports whether no run of a job has been alive since a time.
func (s *system) idleSince(job string, since time.Time) bool {
	for _, r := range s.runsOf(job) {
		if r.ended.IsZero() || r.ended.After(since) {
			return false
		}
	}
	return true
}
