package main

import (
	"fmt"
	"time"
)

const (
	memoryJob   = "d4d6e0a93b75f284"
	memoryPath  = "/arhiivi-indeks/" + memoryJob
	memoryTasks = 4 // As many as executors of a zone, each on one of its own.
	memoryNeed  = 12000
)

// driveMemory hands in a lasting job and loses one of the executors of its zone for good.
// The memory of two zones is in use; the third has room for several of the job's tasks,
// but fewer free processors.
func driveMemory(s *system, trouble bool) (broken bool, err error) {
	if err := s.start(2, memoryTasks, 16000, []map[string]any{route("arhiivi-indeks", 0, 2, 2.2, 2500)}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := map[string]any{
		"specification": "run-ms=0 index",
		"steps": []map[string]any{
			{"count": memoryTasks, "cpu": 3200, "taskMemoryMb": memoryNeed, "estimatedMs": 320, "longRunning": true, "antiAffinity": 1},
		},
	}
	if err := s.submit(memoryPath, body); err != nil {
		return false, err
	}
	if err := s.waitFor(func() bool { return len(s.runsOf(memoryJob)) == memoryTasks }, 5*time.Second); err != nil {
		return false, err
	}
	first := s.executorOf(s.runsOf(memoryJob)[0].worker)
	var others []string
	for _, z := range zones {
		if z != first.zone {
			others = append(others, z)
		}
	}
	s.note("the job runs in %s; the memory of %s is in use as well, and processors in %s", first.zone, others[0], others[1])
	for _, f := range []struct {
		zone        string
		cpu, memory int
	}{{first.zone, 1000, 45000}, {others[0], 1000, 60000}, {others[1], 8000, 1000}} {
		if err := s.fillZone(f.zone, f.cpu, f.memory); err != nil {
			return false, err
		}
	}
	if trouble {
		s.crashExecutor(first)
	}
	time.Sleep(8*time.Second + finishTime)
	missing := s.missing(memoryJob, 0, memoryTasks)
	s.note("the job is shown as %s; %d of its %d tasks don't run", s.state(memoryPath), missing, memoryTasks)
	return missing > 0, nil
}

// missing returns how many tasks of a step that lasts don't run.
func (s *system) missing(job string, step, tasks int) int {
	missing := 0
	for i := range tasks {
		task := fmt.Sprintf("%s.0.%d.%d", job, step, i)
		running, last := false, time.Time{}
		for _, r := range s.runsOf(job) {
			if r.task != task {
				continue
			}
			running = running || r.ended.IsZero()
			if r.ended.After(last) {
				last = r.ended
			}
		}
		if !running {
			missing++
			s.note("%s has not run for %s", task, time.Since(last).Round(time.Millisecond))
		}
	}
	return missing
}

// fillZone hands in lasting jobs that each need a rack of a zone, with one task for every
// executor there.
func (s *system) fillZone(zone string, cpu, memory int) error {
	racks := map[string]int{}
	for _, x := range s.executors {
		if x.zone == zone {
			racks[x.rack]++
		}
	}
	for rack, n := range racks {
		s.fills++
		path := fmt.Sprintf("/arhiivi-indeks/%016x", 0xd000+s.fills)
		body := map[string]any{
			"specification": "run-ms=0 other",
			"steps": []map[string]any{
				{"count": n, "cpu": cpu, "taskMemoryMb": memory, "estimatedMs": 320, "longRunning": true, "antiAffinity": 1, "requirements": rack},
			},
		}
		if err := s.submit(path, body); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}
