package imitator

import (
	"context"
	"slices"
	"time"

	"briarspring"
)

// renewLease extends the lease, to at most MaxLease from now.
func (p *Pool) renewLease(w *poolWorker, until time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+p.config.MaxLease))
}

// enforceLease ends all runs if the lease has expired.
func (p *Pool) enforceLease(w *poolWorker) {
	if !w.up || w.leaseEnd == 0 || w.clock() <= w.leaseEnd {
		return
	}
	for ref := range w.runs {
		p.endRun(w, ref, briarspring.RunLapsed, "")
	}
	w.unackedAtExpiry = w.lastEndNumber
}

func (p *Pool) endRun(w *poolWorker, ref briarspring.RunRef, outcome briarspring.RunEnd, checkpoint string) {
	r := w.runs[ref]
	delete(w.runs, ref)
	w.lastEndNumber++
	w.highestRun[ref.Task] = max(w.highestRun[ref.Task], ref.Run)
	w.ended = append(w.ended, briarspring.EndedTask{Number: w.lastEndNumber, Run: ref, End: outcome, Checkpoint: checkpoint})
	w.listedFrom = append(w.listedFrom, time.Now().Add(p.randomTime(p.lateEnds)))
	w.endedAt = append(w.endedAt, time.Now())
	switch outcome {
	case briarspring.RunFailed:
		p.failures[ref.Task]++
	case briarspring.RunDone:
		p.finished[ref.Task] = !p.isLongRunning(ref.Task)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	p.endGang(ref, r, outcome)
}

// RenewLease renews a worker's lease and acknowledges ends. It waits up to
// h.Wait for a new end and returns what runs and what ended.
func (c *PoolClient) RenewLease(ctx context.Context, _, id string, h briarspring.LeaseRequest) (briarspring.LeaseReply, error) {
	w, err := c.connect(ctx, id)
	if err != nil {
		return briarspring.LeaseReply{}, err
	}
	p := c.pool
	p.mu.Lock()
	incarnation := w.incarnation
	p.enforceLease(w)
	if w.rejectsToken(h.Token) {
		p.mu.Unlock()
		return briarspring.LeaseReply{}, refused(briarspring.VerdictSuperseded)
	}
	p.renewLease(w, h.Until)
	p.acknowledge(w, h.LastSeenEnd)
	noEnds := len(p.listedEnds(w)) == 0
	changed := w.changed
	p.mu.Unlock()
	if noEnds && h.Wait > 0 {
		timer := time.NewTimer(h.Wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return briarspring.LeaseReply{}, &briarspring.NoAnswerError{Call: "hold", Cause: ctx.Err()}
		}
	}
	if _, err := c.connect(ctx, id); err != nil {
		return briarspring.LeaseReply{}, err
	}
	p.mu.Lock()
	lost := p.answerLost()
	p.mu.Unlock()
	if lost {
		<-ctx.Done()
		return briarspring.LeaseReply{}, &briarspring.NoAnswerError{Call: "hold", Cause: ctx.Err()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.incarnation != incarnation {
		return briarspring.LeaseReply{}, &briarspring.NoAnswerError{Call: "hold", Cause: &LostAnswerError{Part: id}}
	}
	p.enforceLease(w)
	return p.leaseReply(w), nil
}

// acknowledge drops the ends that the owner has stored. A task that ended as
// RunDone must never run again, unless the end was still unacknowledged when the
// lease expired: the owner may have assigned the task to another worker by then.
func (p *Pool) acknowledge(w *poolWorker, number uint64) {
	for len(w.ended) > 0 && w.ended[0].Number <= number {
		if e := w.ended[0]; e.End == briarspring.RunDone && e.Number > w.unackedAtExpiry && !p.isLongRunning(e.Run.Task) {
			p.acknowledgedAt[e.Run.Task] = time.Now()
			p.checkAcknowledged(w, e)
		}
		w.ended, w.listedFrom, w.endedAt = w.ended[1:], w.listedFrom[1:], w.endedAt[1:]
	}
}

// isLongRunning reports whether a task runs again however its runs end.
func (p *Pool) isLongRunning(t briarspring.TaskRef) bool {
	_, step := p.config.Spec(t)
	return step != nil && step.LongRunning
}

// listedEnds returns the ends that a worker lists now.
func (p *Pool) listedEnds(w *poolWorker) []briarspring.EndedTask {
	n := 0
	for n < len(w.ended) && n < p.maxListedEnds && !time.Now().Before(w.listedFrom[n]) {
		n++
	}
	return w.ended[:n]
}

func (p *Pool) leaseReply(w *poolWorker) briarspring.LeaseReply {
	listed := p.listedEnds(w)
	reply := briarspring.LeaseReply{
		StartedAt: w.entry.StartedAt, Clock: w.clock(), Ended: slices.Clone(listed), MoreEnds: len(listed) == p.maxListedEnds,
	}
	for ref, r := range w.runs {
		reply.Running = append(reply.Running, briarspring.RunningTask{
			Run: ref, Checkpoint: r.checkpoint, Percent: r.progressPercent(), Usage: p.reportedUsage(w, r),
		})
	}
	return reply
}
