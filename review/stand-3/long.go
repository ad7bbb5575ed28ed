package main

import (
	"fmt"
	"time"
)

const (
	bundleLength   = 5400 // Milliseconds; the longest of the class.
	longFactor     = 40   // How many times as long the tasks of a long job take.
	bundles        = 200
	longEvery      = 20 // One job in twenty is long.
	bundleTasks    = 8
	bundleInterval = 200 * time.Millisecond // The rate of the class.
	longWatch      = 20 * time.Second
)

func bundleID(i int) string { return fmt.Sprintf("%016x", 0xe000+i) }

// driveLong hands in jobs at the usual rate, of which one in twenty takes many times as
// long. Its tasks make progress all the time, by less than a percent in 1.5 s.
func driveLong(s *system, trouble bool) (broken bool, err error) {
	if err := s.start(2, 4, 16000, []map[string]any{route("hooaja-kimp", 2, 4, 2, 1000)}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for i := range bundles {
		length, tasks := 1000, 1
		if i%longEvery == longEvery/2 {
			length, tasks = bundleLength, bundleTasks
			if trouble {
				length *= longFactor
			}
		}
		body := map[string]any{
			"specification": fmt.Sprintf("run-ms=%d bundle", length),
			"steps":         []map[string]any{{"count": tasks, "cpu": 1800, "taskMemoryMb": 3200, "estimatedMs": min(length, bundleLength)}},
		}
		if err := s.submit("/hooaja-kimp/"+bundleID(i), body); err != nil {
			return false, err
		}
		time.Sleep(bundleInterval)
	}
	time.Sleep(finishTime)
	from := time.Now()
	time.Sleep(longWatch)
	for i := longEvery / 2; i < bundles; i += longEvery {
		state := s.state("/hooaja-kimp/" + bundleID(i))
		idle := s.longestIdle(bundleID(i), from, time.Now())
		stopped, runs := 0, s.runsOf(bundleID(i))
		for _, r := range runs {
			if r.how == "stopped" {
				stopped++
			}
		}
		s.note("job %s is shown as %s; %d of its %d runs were stopped; nothing of it ran for %s", bundleID(i), state, stopped, len(runs), idle.Round(time.Millisecond))
		broken = broken || state != "completed" && idle >= idleTime
	}
	return broken, nil
}

// longestIdle returns the longest time between two moments in which no run of a job was
// alive.
func (s *system) longestIdle(job string, from, to time.Time) time.Duration {
	longest, since := time.Duration(0), from
	for _, r := range s.runsOf(job) { // In the order of their starts.
		if r.started.After(to) {
			break
		}
		longest = max(longest, r.started.Sub(since))
		if r.ended.IsZero() {
			return longest
		}
		if r.ended.After(since) {
			since = r.ended
		}
	}
	return max(longest, to.Sub(since))
}
