package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	longJobs     = 320
	longInterval = 75 * time.Millisecond // Between two jobs; about the site's traffic.
	longWindow   = 40                    // Jobs in 3 s, the length of the site's poison.
	longEvery    = 20                    // One job of this many in a window takes long: its share, 0.05.
	longEstimate = 1500 * time.Millisecond
	longFactor   = 150
	longWatch    = 45 * time.Second // After finish_s.
	finishTime   = 14 * time.Second // The site's finish_s.
	idleTime     = 3 * time.Second  // From the rule LOST.
)

// longWindows are the first jobs of the times in which a share of the jobs takes long.
var longWindows = []int{80, 200}

// runLong plays traffic of jobs of one task. With trouble a share of them takes many
// times as long as they say. From finish_s after the end of the traffic, no job may
// have nothing running for 3 s, since the executors are nearly empty.
func runLong(s *system, trouble bool) (broken []string, err error) {
	long := map[string]bool{}
	behave := func(task string) behaviour {
		id, _, _ := strings.Cut(task, ".")
		if long[id] {
			return behaviour{work: longFactor * longEstimate}
		}
		return behaviour{work: longEstimate}
	}
	var ids []string
	for i := range longJobs {
		id := fmt.Sprintf("%016x", 0xb000+i)
		ids = append(ids, id)
		for _, first := range longWindows {
			if trouble && i >= first && i < first+longWindow && (i-first)%longEvery == 0 {
				long[id] = true
			}
		}
	}
	if err := s.addExecutors(1, behave); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	job := map[string]any{"specification": "archive", "steps": []map[string]any{
		{"count": 1, "cpu": 1000, "taskMemoryMb": 1024, "estimatedMs": longEstimate.Milliseconds()},
	}}
	for i, id := range ids {
		if status, _ := s.call(s.hosts[i%len(s.hosts)], http.MethodPost, seasonPrefix+id, job, clientTimeout); status != http.StatusOK {
			return nil, fmt.Errorf("a job was not accepted: %d", status)
		}
		time.Sleep(longInterval)
	}
	s.record.printf("the traffic has ended")
	time.Sleep(finishTime)
	from := s.record.now()
	time.Sleep(longWatch)
	to := s.record.now()
	unfinished := 0
	for _, id := range ids {
		if s.state(s.hosts[0], seasonPrefix+id) == "completed" {
			continue
		}
		unfinished++
		for _, g := range s.ledger.gaps(id, from, to) {
			broken = append(broken, fmt.Sprintf("job %s had nothing running from %.3f to %.3f s", id, g.from.Seconds(), g.to.Seconds()))
		}
	}
	starts, stopped := s.ledger.count("stopped")
	_, done := s.ledger.count("done")
	s.record.printf("%d tasks, %d starts, %d ends as stopped, %d as done; %d jobs unfinished", longJobs, starts, stopped, done, unfinished)
	return broken, nil
}

// gap is a time without any run of a job.
type gap struct{ from, to time.Duration }

// gaps returns the times of at least idleTime in a period in which a job had nothing
// running.
func (l *ledger) gaps(job string, from, to time.Duration) []gap {
	runs := l.of(job)
	slices.SortFunc(runs, func(a, b runEvent) int { return int(a.from - b.from) })
	var list []gap
	busyUntil := from
	for _, r := range runs {
		if start := min(r.from, to); start-busyUntil >= idleTime {
			list = append(list, gap{busyUntil, start})
		}
		if r.to == 0 {
			return list
		}
		busyUntil = max(busyUntil, r.to)
	}
	if to-busyUntil >= idleTime {
		list = append(list, gap{busyUntil, to})
	}
	return list
}
