package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	graphStages   = 20
	graphWidth    = 3 // Steps of a stage.
	graphJobs     = 80
	graphInterval = 250 * time.Millisecond // Between two jobs beside the graph.
	graphAfter    = 20                     // Jobs before the graph.
	graphWork     = 300 * time.Millisecond
	graphWatch    = 25 * time.Second // After finish_s.
)

// graphSteps returns stages of steps. With trouble, each step follows all steps of
// the stage before, and else only one of them.
func graphSteps(trouble bool) []map[string]any {
	var steps []map[string]any
	for stage := range graphStages {
		for i := range graphWidth {
			step := map[string]any{"count": 1, "cpu": 500, "taskMemoryMb": 256, "estimatedMs": graphWork.Milliseconds()}
			var after []int
			for k := range graphWidth {
				if stage > 0 && (trouble || k == i) {
					after = append(after, (stage-1)*graphWidth+k)
				}
			}
			if after != nil {
				step["after"] = after
			}
			steps = append(steps, step)
		}
	}
	return steps
}

// runGraph plays traffic of small jobs, a job that lasts, and one job of many steps.
// From finish_s after the end of the traffic, no job may have nothing running for
// 3 s, since the executors are nearly empty.
func runGraph(s *system, trouble bool) (broken []string, err error) {
	if err := s.addExecutors(2, func(task string) behaviour {
		if task[:len(lastingID)] == lastingID {
			return behaviour{work: time.Hour, lasts: true}
		}
		return behaviour{work: graphWork}
	}); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	lasting := map[string]any{"specification": "index", "steps": []map[string]any{
		{"count": 6, "cpu": 1000, "taskMemoryMb": 512, "estimatedMs": 1000, "longRunning": true, "image": "a"},
	}}
	if status, _ := s.call(s.hosts[0], http.MethodPost, urgentPrefix+lastingID, lasting, clientTimeout); status != http.StatusOK {
		return nil, fmt.Errorf("the job that lasts was not accepted: %d", status)
	}
	accepted := []string{lastingID}
	for i := range graphJobs {
		id, job := fmt.Sprintf("%016x", 0xd100+i), map[string]any{"specification": "receipt", "steps": []map[string]any{
			{"count": 2, "cpu": 1000, "taskMemoryMb": 256, "estimatedMs": graphWork.Milliseconds()},
		}}
		if i == graphAfter {
			id, job = graphID, map[string]any{"specification": "bundle", "steps": graphSteps(trouble)}
		}
		if status, _ := s.call(s.hosts[i%len(s.hosts)], http.MethodPost, urgentPrefix+id, job, clientTimeout); status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(graphInterval)
	}
	s.record.printf("the traffic has ended; %d jobs are accepted", len(accepted))
	time.Sleep(finishTime)
	from := s.record.now()
	time.Sleep(graphWatch)
	to := s.record.now()
	for _, id := range accepted {
		if s.state(s.hosts[0], urgentPrefix+id) == "completed" {
			continue
		}
		for _, g := range s.ledger.gaps(id, from, to) {
			broken = append(broken, fmt.Sprintf("job %s had nothing running from %.3f to %.3f s", id, g.from.Seconds(), g.to.Seconds()))
		}
	}
	return broken, nil
}

// IDs of the special jobs of the case.
const (
	lastingID = "00000000000d0001"
	graphID   = "00000000000d0002"
)
