package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	crashTime     = 4500 * time.Millisecond // For which the executor is down; the longest of the site file.
	cutTime       = 5500 * time.Millisecond // For which its next process is cut off from the hosts; the same.
	renewalAge    = 430 * time.Millisecond  // Of the last renewal when the executor crashes.
	unheardLength = 20 * time.Second        // Of the task.
	unheardJob    = "f6d6e0a93b75f286"
	unheardPath   = "/hooaja-kimp/" + unheardJob
)

// driveUnheard keeps the start of a task back. Its executor crashes and is back under its
// ID, carries the start out, and is cut off from the hosts meanwhile.
func driveUnheard(s *system, trouble bool) (broken bool, err error) {
	s.relayed = true
	if err := s.start(2, 4, 16000, []map[string]any{route("hooaja-kimp", 2, 4, 2, 1000)}); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	for _, x := range s.executors {
		x.relay.mu.Lock()
		x.relay.holdNext = trouble
		x.relay.mu.Unlock()
	}
	body := map[string]any{
		"specification": fmt.Sprintf("run-ms=%d bundle", unheardLength.Milliseconds()),
		"steps":         []map[string]any{{"count": 1, "cpu": 1800, "taskMemoryMb": 3200, "estimatedMs": unheardLength.Milliseconds()}},
	}
	if err := s.submit(unheardPath, body); err != nil {
		return false, err
	}
	if trouble {
		if err := s.loseUnheard(); err != nil {
			return false, err
		}
	}
	time.Sleep(15 * time.Second)
	state := s.state(unheardPath)
	runs := s.runsOf(unheardJob)
	for i, r := range runs {
		s.note("run %d on %s from %s to %s: %s", r.number, r.worker, s.since(r.started), s.since(r.ended), r.how)
		for _, o := range runs[:i] {
			if o.ended.IsZero() || o.ended.After(r.started) {
				s.note("runs %d and %d were alive at the same time", o.number, r.number)
				broken = true
			}
		}
	}
	s.note("the job is shown as %s", state)
	return broken, nil
}

// since returns the time of a moment in the record.
func (s *system) since(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f s", t.Sub(s.began).Seconds())
}

// loseUnheard plays the disruptions around the start that was kept back.
func (s *system) loseUnheard() error {
	var x *executor
	if err := s.waitFor(func() bool {
		for _, o := range s.executors {
			o.relay.mu.Lock()
			if o.relay.kept != nil {
				x = o
			}
			o.relay.mu.Unlock()
		}
		return x != nil
	}, 5*time.Second); err != nil {
		return err
	}
	for _, o := range s.executors {
		o.relay.mu.Lock()
		o.relay.holdNext = false
		o.relay.mu.Unlock()
	}
	var m struct {
		Task string `json:"task"`
		Run  uint32 `json:"run"`
	}
	if json.Unmarshal(x.relay.keptBody, &m) != nil {
		return errors.New("the start that was kept back is malformed")
	}
	s.note("the start of %s run %d at %s gets no answer and is carried out later", m.Task, m.Run, x.id)
	// The last renewal of the lease was sent some time ago.
	if err := s.waitFor(func() bool { return x.relay.renewalAge() >= renewalAge }, 2*time.Second); err != nil {
		return err
	}
	x.relay.setSilent(true)
	s.crashExecutor(x)
	time.Sleep(crashTime)
	if err := s.startAgain(x); err != nil {
		return err
	}
	s.note("executor %s is back under its ID, and cut off from the hosts", x.id)
	if err := s.waitFor(func() bool { return x.relay.release() == nil }, 2*time.Second); err != nil {
		return err
	}
	time.Sleep(cutTime)
	x.relay.setSilent(false)
	s.note("executor %s is reached by the hosts again", x.id)
	return nil
}
