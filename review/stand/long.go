package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	longJobs     = 12
	longEstimate = 7 * time.Second // As in the example of PROTOCOL.md.
	longWork     = 240 * time.Second
	longDuration = 80 * time.Second
	finishTime   = 14 * time.Second // The site's finish_s.
	idleTime     = 3 * time.Second  // From the rule LOST.
)

// runLong plays jobs of one task. With trouble the tasks take many times as long as
// the jobs say. From finish_s after they were handed in, no job may have nothing
// running for 3 s, since the executors are nearly empty.
func runLong(s *system, trouble bool) (broken []string, err error) {
	work := longEstimate
	if trouble {
		work = longWork
	}
	if err := s.addExecutors(2, func(string) behaviour { return behaviour{work: work} }); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	var ids []string
	for i := range longJobs {
		id := fmt.Sprintf("%016x", 0xb000+i)
		job := map[string]any{"specification": "archive", "steps": []map[string]any{
			{"count": 1, "cpu": 1000, "taskMemoryMb": 1024, "estimatedMs": longEstimate.Milliseconds()},
		}}
		if status, _ := s.call(s.hosts[i%len(s.hosts)], http.MethodPost, seasonPrefix+id, job, clientTimeout); status != http.StatusOK {
			return nil, fmt.Errorf("a job was not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	from := s.record.now() + finishTime
	time.Sleep(longDuration)
	for _, id := range ids {
		to := s.record.now()
		if s.state(s.hosts[0], seasonPrefix+id) == "completed" {
			continue
		}
		for _, g := range s.ledger.gaps(id, from, to) {
			broken = append(broken, fmt.Sprintf("job %s had nothing running from %.3f to %.3f s", id, g.from.Seconds(), g.to.Seconds()))
		}
	}
	starts, stopped := s.ledger.count("stopped")
	_, done := s.ledger.count("done")
	s.record.printf("%d tasks, %d starts, %d ends as stopped, %d as done", longJobs, starts, stopped, done)
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
