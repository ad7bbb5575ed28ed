package imitator

import (
	"time"

	"briarspring"
)

const (
	// crashDelay is the time from the start of a task that crashes its worker to
	// the crash, and restartDelay the time from there until the worker is back.
	crashDelay   = 10 * time.Millisecond
	restartDelay = 3200 * time.Millisecond
	// A task may be started fewer than startsAfterCrashes times more after it has
	// crashed crashesBefore workers; the platform states both.
	crashesBefore      = 3
	startsAfterCrashes = 3
)

// crashCount counts what a task that crashes its workers has done.
type crashCount struct {
	crashes int
	starts  int // After crashesBefore crashes.
}

// Crashes returns how many workers a task has crashed.
func (p *Pool) Crashes(t briarspring.TaskRef) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes[t].crashes
}

// crashAfterStart crashes a worker and restarts it if the task that it has just
// started crashes its workers.
func (p *Pool) crashAfterStart(w *poolWorker, run briarspring.RunRef) {
	if p.config.CrashesWorker == nil || !p.config.CrashesWorker(run.Task) {
		return
	}
	incarnation := w.incarnation
	time.AfterFunc(crashDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !w.up || w.incarnation != incarnation || w.runs[run] == nil {
			return
		}
		c := p.crashes[run.Task]
		c.crashes++
		p.crashes[run.Task] = c
		p.crash(w)
		time.AfterFunc(restartDelay, func() { p.Restart(w.entry.ID) })
	})
}

// checkCrashes records a violation if a task has crashed its workers too often to
// start again.
func (p *Pool) checkCrashes(s startedRun) {
	c := p.crashes[s.run.Task]
	if c.crashes < crashesBefore {
		return
	}
	c.starts++
	p.crashes[s.run.Task] = c
	if c.starts >= startsAfterCrashes {
		p.recordViolation(s, "start %d after it has crashed %d workers", c.starts, crashesBefore)
	}
}
