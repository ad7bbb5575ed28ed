package imitator

import (
	"time"

	"briarspring"
)

// gangWait is how long a member of a gang waits for the others; the platform
// states 3 to 4 s.
const gangWait = 3 * time.Second

// member is a run of a gang that is alive.
type member struct {
	worker *poolWorker
	ref    briarspring.RunRef
	run    *poolRun
}

// members returns the runs that are alive of the gang of a run.
func (p *Pool) members(ref briarspring.RunRef) []member {
	var list []member
	for _, w := range p.workers {
		for other, r := range w.runs {
			if sameStep(other.Task, ref.Task) && other.Run == ref.Run {
				list = append(list, member{worker: w, ref: other, run: r})
			}
		}
	}
	return list
}

// join has a run begin its work; that of a gang when all members are present.
func (p *Pool) join(w *poolWorker, ref briarspring.RunRef, r *poolRun) {
	if r.step == nil || !r.step.Gang {
		r.schedule()
		return
	}
	r.waits = true
	members := p.members(ref)
	if len(members) < r.step.Tasks {
		time.AfterFunc(gangWait, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if w.runs[ref] == r && r.waits {
				p.end(w, ref, briarspring.RunAlone, "")
			}
		})
		return
	}
	for _, m := range members {
		m.run.waits = false
		m.run.since = time.Now()
		m.run.schedule()
	}
}

// part ends the other members of a run's gang: as done when the run is, and else
// as broken. A gang fails as a whole.
func (p *Pool) part(ref briarspring.RunRef, r *poolRun, how briarspring.RunEnd) {
	if r == nil || r.step == nil || !r.step.Gang {
		return
	}
	if how == briarspring.RunFailed {
		p.failGang(ref, r.step.Tasks)
	}
	other := briarspring.RunBroken
	if how == briarspring.RunDone {
		other = briarspring.RunDone
	}
	for _, m := range p.members(ref) {
		// Each end ends the others in turn, so that this one may be gone by now.
		if m.worker.runs[m.ref] == m.run {
			p.end(m.worker, m.ref, other, "")
		}
	}
}

// failGang counts a failure for the members but the one that is counted already.
func (p *Pool) failGang(ref briarspring.RunRef, tasks int) {
	for i := range tasks {
		if i == ref.Task.Index {
			continue
		}
		t := ref.Task
		t.Index = i
		p.failures[t]++
	}
}
