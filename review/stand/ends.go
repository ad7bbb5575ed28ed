package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	endsJobs     = 60
	endsTasks    = 36                    // The widest step on the sheet.
	endsInterval = 36 * time.Millisecond // Between two jobs: the site's burst, 2.5 times its usual 11 a second.
	endsWork     = 3500 * time.Millisecond
	endsOutage   = 4500 * time.Millisecond // The site's platform_down.
	endsDuration = 60 * time.Second
)

// runEnds plays a burst of jobs of small tasks. With trouble the store is down for
// some seconds while the tasks end, so that ends wait to be taken note of. No task
// may run twice.
func runEnds(s *system, trouble bool) (broken []string, err error) {
	if err := s.addExecutors(1, func(string) behaviour { return behaviour{work: endsWork} }); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	paths := make([]string, endsJobs)
	var accepted atomic.Int32
	var clients sync.WaitGroup
	for i := range paths {
		paths[i] = fmt.Sprintf("%s%016x", seasonPrefix, 0xa000+i)
		job := map[string]any{"specification": fmt.Sprintf("bundle %d", i), "steps": []map[string]any{
			{"count": endsTasks, "cpu": 20, "taskMemoryMb": 64, "estimatedMs": endsWork.Milliseconds()},
		}}
		clients.Go(func() {
			if status, _ := s.call(s.hosts[i%len(s.hosts)], "POST", paths[i], job, clientTimeout); status == http.StatusOK {
				accepted.Add(1)
			}
		})
		time.Sleep(endsInterval)
	}
	clients.Wait()
	if accepted.Load() != endsJobs {
		return nil, fmt.Errorf("only %d of %d jobs were accepted", accepted.Load(), endsJobs)
	}
	for until := time.Now().Add(endsWork / 2); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if starts, _ := s.ledger.count("done"); starts == endsJobs*endsTasks {
			break
		}
	}
	if trouble {
		s.record.printf("the store is down")
		s.down.Store(true)
		time.Sleep(endsOutage)
		s.down.Store(false)
		s.record.printf("the store is back")
	}
	until := time.Now().Add(endsDuration)
	for left := paths; len(left) > 0 && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if s.state(s.hosts[0], left[0]) == "completed" {
			left = left[1:]
		}
	}
	time.Sleep(5 * time.Second)
	starts, done := s.ledger.count("done")
	s.record.printf("%d tasks, %d starts, %d ends as done", endsJobs*endsTasks, starts, done)
	return s.ledger.runTwice(), nil
}
