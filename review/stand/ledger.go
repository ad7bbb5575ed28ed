package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// runEvent is one run of a task, as its executor saw it.
type runEvent struct {
	executor string
	key      runKey
	from     time.Duration
	to       time.Duration // Zero while it runs.
	how      string
	noted    bool // The owner has taken note of the end.
}

// ledger holds all runs on all executors.
type ledger struct {
	record *record

	mu   sync.Mutex
	runs map[string][]*runEvent // By task.
}

func newLedger(r *record) *ledger { return &ledger{record: r, runs: map[string][]*runEvent{}} }

func (l *ledger) started(executor string, key runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key.task] = append(l.runs[key.task], &runEvent{executor: executor, key: key, from: l.record.now()})
	l.record.printf("start %s run %d on %s", key.task, key.run, executor)
}

func (l *ledger) find(executor string, key runKey) *runEvent {
	for _, e := range l.runs[key.task] {
		if e.executor == executor && e.key == key {
			return e
		}
	}
	return nil
}

func (l *ledger) ended(executor string, key runKey, how string, number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(executor, key); e != nil && e.to == 0 {
		e.to, e.how = l.record.now(), how
	}
	l.record.printf("end %s run %d on %s: %s, number %d", key.task, key.run, executor, how, number)
}

func (l *ledger) noted(executor string, key runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(executor, key); e != nil {
		e.noted = true
	}
}

// of returns the runs of a job.
func (l *ledger) of(job string) []runEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []runEvent
	for task, runs := range l.runs {
		if strings.HasPrefix(task, job+".") {
			for _, e := range runs {
				list = append(list, *e)
			}
		}
	}
	return list
}

// count returns the numbers of starts and of runs that have ended in a way.
func (l *ledger) count(how string) (starts, ends int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		for _, e := range runs {
			starts++
			if e.to != 0 && e.how == how {
				ends++
			}
		}
	}
	return starts, ends
}

// runTwice returns the tasks that break the rule TWICE: two runs at the same time,
// or a start after an end as done that the owner takes note of, then or later.
// Executors on which a lease lapsed are left out.
func (l *ledger) runTwice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lapsed := map[string]bool{}
	for _, runs := range l.runs {
		for _, e := range runs {
			if e.how == "lapsed" {
				lapsed[e.executor] = true
			}
		}
	}
	var list []string
	for task, runs := range l.runs {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				switch {
				case lapsed[a.executor] || lapsed[b.executor]:
				case a.to == 0 || a.to > b.from:
					list = append(list, fmt.Sprintf("%s: run %d on %s from %.3f to %.3f s beside run %d on %s from %.3f s",
						task, a.key.run, a.executor, a.from.Seconds(), a.to.Seconds(), b.key.run, b.executor, b.from.Seconds()))
				case a.how == "done" && a.noted:
					list = append(list, fmt.Sprintf("%s: run %d on %s was done at %.3f s and taken note of, run %d started on %s at %.3f s",
						task, a.key.run, a.executor, a.to.Seconds(), b.key.run, b.executor, b.from.Seconds()))
				}
			}
		}
	}
	return list
}
