package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	entryJobs     = 40
	entryInterval = 100 * time.Millisecond
	entryWork     = time.Second
	entrySteps    = 3
	entryTasks    = 2               // Tasks of a step.
	entryReplaced = 2 * time.Second // Until the new machine comes: the site's replace_core.
	entryWatch    = 15 * time.Second
)

// runEntry plays jobs beside an entry of another writer, which names a service that
// no configuration has and an address where nobody answers. With trouble the machine
// that owns the zone is removed for good. From finish_s after the end of the traffic,
// no job may have nothing running for 3 s.
func runEntry(s *system, trouble bool) (broken []string, err error) {
	if err := s.addExecutors(4, func(string) behaviour { return behaviour{work: entryWork} }); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	value, err := json.Marshal(map[string]any{
		"service": "nosuch", "address": s.newIP() + ":9", "zone": zones[0], "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int{"cpu": executorCPU, "taskMemoryMb": executorMemoryMb, "gpu": 0},
		"labels":   []string{commonLabel, rackName(zones[0], 0)}, "clockMs": 5, "born": 5, "sequence": 1,
	})
	if err != nil {
		return nil, err
	}
	s.store.put("keyed.servers", "i-other", value)
	time.Sleep(entryReplaced)
	var steps []map[string]any
	for i := range entrySteps {
		step := map[string]any{"count": entryTasks, "cpu": 1000, "taskMemoryMb": 256, "estimatedMs": entryWork.Milliseconds()}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	var accepted []string
	for i := range entryJobs {
		id := fmt.Sprintf("%016x", 0x2200+i)
		job := map[string]any{"specification": "receipt", "steps": steps}
		if status, _ := s.call(s.hosts[0], http.MethodPost, urgentPrefix+id, job, clientTimeout); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(entryInterval)
	}
	if trouble {
		if err := s.replace(0); err != nil {
			return nil, err
		}
	}
	s.record.printf("the traffic has ended")
	time.Sleep(finishTime)
	from := s.record.now()
	time.Sleep(entryWatch)
	to := s.record.now()
	for _, id := range accepted {
		for _, g := range s.ledger.gaps(id, from, to) {
			if s.ledger.doneUntil(id, g.from) < entrySteps*entryTasks {
				broken = append(broken, fmt.Sprintf("job %s had nothing running from %.3f to %.3f s", id, g.from.Seconds(), g.to.Seconds()))
			}
		}
	}
	return broken, nil
}

// doneUntil returns the number of runs of a job that had ended as done at a time.
func (l *ledger) doneUntil(job string, at time.Duration) int {
	n := 0
	for _, e := range l.of(job) {
		if e.how == "done" && e.to <= at {
			n++
		}
	}
	return n
}

// replace removes a host for good and starts a new one at another address.
func (s *system) replace(i int) error {
	old := s.hosts[i]
	if err := old.process.Process.Kill(); err != nil {
		return err
	}
	_ = old.process.Wait()
	s.record.printf("host %s is removed for good", old.name)
	time.Sleep(entryReplaced)
	h, err := s.newHost(old.zone, 2)
	if err != nil {
		return err
	}
	s.hosts[i] = h
	return s.run(h)
}
