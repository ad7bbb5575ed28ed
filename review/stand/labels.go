package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	labelsJobs     = 40
	labelsInterval = 250 * time.Millisecond
	labelsLostAt   = 20 // Jobs before the executor is lost.
	labelsWork     = time.Second
	labelsWatch    = 30 * time.Second // After finish_s.
	commonLabel    = "a"
	rareLabel      = "b"
)

// labelled is the number of executors of each kind in a zone.
type labelled struct{ common, rare int }

// labelsExecutors are the executors by zone. Two zones have one of the rare kind.
var labelsExecutors = map[string]labelled{
	"tartu": {common: 3, rare: 1}, "viljandi": {common: 4}, "voru": {common: 1, rare: 1},
}

// runLabels plays jobs that need an executor of the rare kind. With trouble the one of
// their zone is lost for good. From finish_s after the end of the traffic, no job may
// have nothing running for 3 s, since the one in the other zone is nearly empty.
func runLabels(s *system, trouble bool) (broken []string, err error) {
	behave := func(string) behaviour { return behaviour{work: labelsWork} }
	var lost *executor
	for _, zone := range zones {
		n := labelsExecutors[zone]
		for i := range n.common + n.rare {
			label := commonLabel
			if i >= n.common {
				label = rareLabel
			}
			x, err := s.addExecutor(zone, label, 0, i, behave)
			if err != nil {
				return nil, err
			}
			if zone == zones[0] && label == rareLabel {
				lost = x
			}
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	var accepted []string
	for i := range labelsJobs {
		id := fmt.Sprintf("%016x", 0x1100+i)
		job := map[string]any{"specification": "receipt", "steps": []map[string]any{
			{"count": 2, "cpu": 1000, "taskMemoryMb": 256, "estimatedMs": labelsWork.Milliseconds(), "requirements": rareLabel},
		}}
		if status, _ := s.call(s.hosts[0], http.MethodPost, seasonPrefix+id, job, clientTimeout); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		if trouble && i == labelsLostAt {
			lost.lose()
		}
		time.Sleep(labelsInterval)
	}
	s.record.printf("the traffic has ended")
	time.Sleep(finishTime)
	from := s.record.now()
	time.Sleep(labelsWatch)
	to := s.record.now()
	for _, id := range accepted {
		if s.state(s.hosts[1], seasonPrefix+id) == "completed" {
			continue
		}
		for _, g := range s.ledger.gaps(id, from, to) {
			broken = append(broken, fmt.Sprintf("job %s had nothing running from %.3f to %.3f s", id, g.from.Seconds(), g.to.Seconds()))
		}
	}
	return broken, nil
}
