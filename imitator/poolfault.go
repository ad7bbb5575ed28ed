package imitator

import (
	"context"
	"time"

	"briarspring"
	"briarspring/sleeper"
)

// Crash stops a worker. Its runs and its unacknowledged ends are lost.
func (p *Pool) Crash(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crash(p.workers[id])
}

func (p *Pool) crash(w *poolWorker) {
	crashedRuns := w.runs
	w.up = false
	w.incarnation++
	w.runs = map[briarspring.RunRef]*poolRun{}
	for ref, r := range crashedRuns {
		p.endGang(ref, r, briarspring.RunLapsed)
	}
	w.ended, w.listedFrom, w.endedAt = nil, nil, nil
	close(w.changed)
	w.changed = make(chan struct{})
}

// Restart starts a crashed worker as a new incarnation.
func (p *Pool) Restart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[id]; !w.up {
		p.startWorker(w)
	}
}

// Replace crashes a worker and starts another one at its address.
func (p *Pool) Replace(id, newID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.workers[id]
	if old.up {
		p.crash(old)
	}
	old.replaced = true
	w := &poolWorker{entry: old.entry}
	w.entry.ID = newID
	p.workers[newID] = w
	p.startWorker(w)
}

// Cut disconnects a caller from a worker or reconnects it.
func (p *Pool) Cut(caller, worker string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[[2]string{caller, worker}] = cut
}

// SetLateOrderShare sets the share of orders that get no answer and are carried
// out seconds later.
func (p *Pool) SetLateOrderShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateShare = share
}

// SetMaxListedEnds sets how many ends a worker lists at most. The others follow
// once those are acknowledged.
func (p *Pool) SetMaxListedEnds(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxListedEnds = n
}

// SetLateEnds makes workers list ends up to a time after the run has left the list of
// what runs, so that some replies have it in neither list.
func (p *Pool) SetLateEnds(most time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateEnds = most
}

// randomTime returns a random time up to most.
func (p *Pool) randomTime(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(most)))
}

// SetLostAnswerShare sets the share of calls that are carried out at once and get no
// answer.
func (p *Pool) SetLostAnswerShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostShare = share
}

// answerLost reports whether the answer to a call is lost.
func (p *Pool) answerLost() bool { return p.lostShare > 0 && p.random.Float64() < p.lostShare }

// SetHeldCalls sets whether calls to a worker that is down reach its next process, as on a
// machine that drops packets until it is back: callers repeat them unseen.
func (p *Pool) SetHeldCalls(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldCalls = held
}

// heldCallInterval is the time between two attempts to reach a worker that is down.
const heldCallInterval = 5 * time.Millisecond

// awaitRestart waits until a worker is up if calls are held for it, and reports whether it is.
func (p *Pool) awaitRestart(ctx context.Context, w *poolWorker) bool {
	for {
		p.mu.Lock()
		held, up := p.heldCalls, w.up
		p.mu.Unlock()
		if !held || up {
			return up && held
		}
		if sleeper.For(ctx, heldCallInterval) != nil {
			return false
		}
	}
}
