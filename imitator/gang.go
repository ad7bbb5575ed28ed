package imitator

import (
	"time"

	"briarspring"
)

// gangTimeout is how long a member of a gang waits for the others to start; the
// platform guarantees 3 to 4 s.
const gangTimeout = 3 * time.Second

// gangMember is a live run of a gang.
type gangMember struct {
	worker *poolWorker
	ref    briarspring.RunRef
	run    *poolRun
}

// gangMembers returns the live runs of the gang that a run belongs to.
func (p *Pool) gangMembers(ref briarspring.RunRef) []gangMember {
	var list []gangMember
	for _, w := range p.workers {
		for other, r := range w.runs {
			if sameStep(other.Task, ref.Task) && other.Run == ref.Run {
				list = append(list, gangMember{worker: w, ref: other, run: r})
			}
		}
	}
	return list
}

// beginWork starts the work of a run. The members of a gang begin together when
// all of them have started; a member that waits longer than gangTimeout ends.
func (p *Pool) beginWork(w *poolWorker, ref briarspring.RunRef, r *poolRun) {
	if r.step == nil || !r.step.Gang {
		r.scheduleFinish()
		return
	}
	r.awaitsGang = true
	members := p.gangMembers(ref)
	if len(members) < r.step.Tasks {
		time.AfterFunc(gangTimeout, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if w.runs[ref] == r && r.awaitsGang {
				p.endRun(w, ref, briarspring.RunGangTimeout, "")
			}
		})
		return
	}
	for _, m := range members {
		m.run.awaitsGang = false
		m.run.advancedAt = time.Now()
		m.run.scheduleFinish()
	}
}

// endGang ends the other members of a run's gang: as done if the run is done,
// otherwise as RunBroken. A gang fails as a whole.
func (p *Pool) endGang(ref briarspring.RunRef, r *poolRun, outcome briarspring.RunEnd) {
	if r == nil || r.step == nil || !r.step.Gang {
		return
	}
	if outcome == briarspring.RunFailed {
		p.countGangFailures(ref, r.step.Tasks)
	}
	memberOutcome := briarspring.RunBroken
	if outcome == briarspring.RunDone {
		memberOutcome = briarspring.RunDone
	}
	for _, m := range p.gangMembers(ref) {
		// endRun calls endGang again, so this member may have ended already.
		if m.worker.runs[m.ref] == m.run {
			p.endRun(m.worker, m.ref, memberOutcome, "")
		}
	}
}

// countGangFailures counts a failure for every member of the gang except the one
// whose failure endRun has counted.
func (p *Pool) countGangFailures(ref briarspring.RunRef, tasks int) {
	for i := range tasks {
		if i == ref.Task.Index {
			continue
		}
		t := ref.Task
		t.Index = i
		p.failures[t]++
	}
}
