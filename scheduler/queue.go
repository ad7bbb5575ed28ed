package scheduler

import (
	"fmt"
	"time"

	"briarspring"
	"briarspring/applier"
	"briarspring/placer"
)

// queue orders the waiting tasks of one round: executors first, then batch tasks
// by the processors that their team and job use already (weighted fair share).
type queue struct {
	scheduler *Scheduler
	now       time.Time
	services  []*applier.AdoptedWorkload
	teams     []*teamQueue
}

// teamQueue holds the waiting jobs of one team.
type teamQueue struct {
	name  string
	used  briarspring.Resources
	quota *briarspring.Resources // Its part for this data centre; nil if unlimited.
	jobs  []*jobQueue
}

// jobQueue holds the waiting tasks of one job.
type jobQueue struct {
	workload     *applier.AdoptedWorkload
	job          *briarspring.Job
	waiting      []briarspring.TaskState
	heldMilliCPU int64 // Processors committed to its open attempts.
	probe        bool  // The first task may start despite the slowdown expected for services.
	blocked      bool
}

func (s *Scheduler) newQueue(now time.Time) *queue {
	q := &queue{scheduler: s, now: now}
	teams := map[string]*teamQueue{}
	for _, id := range s.placement.Workloads() {
		l := s.placement.Workload(id)
		c := s.conf.Workload(id)
		if c == nil || c.Cancelled() || c.Finished() {
			continue
		}
		if c.Service() != nil {
			if l.Waiting() > 0 {
				q.services = append(q.services, l)
			}
			continue
		}
		t := teams[c.Team()]
		if t == nil {
			t = &teamQueue{name: c.Team(), quota: s.quota(c.Team())}
			teams[c.Team()] = t
			q.teams = append(q.teams, t)
		}
		t.used = t.used.Add(l.Resources().Times(int64(l.Placed())))
		if l.Waiting() > 0 {
			t.jobs = append(t.jobs, &jobQueue{
				workload: l, job: c.Job(), heldMilliCPU: l.Resources().MilliCPU() * int64(l.Placed()),
				probe: s.waiting.mayProbe(id, now, l.Placed()),
			})
		}
	}
	return q
}

// quota returns the part of a team's quota that this data centre may use: its
// share of the processors of all data centres that are in service.
func (s *Scheduler) quota(team string) *briarspring.Resources {
	v := s.conf.Quota(team)
	if v == nil {
		return nil
	}
	var own, all int64
	for _, d := range s.conf.DataCentres() {
		if d.Out() {
			continue
		}
		cpu := d.Summary().Capacity.MilliCPU()
		all += cpu
		if d.Name() == s.config.DataCentre {
			own = cpu
		}
	}
	if all == 0 {
		return &briarspring.Resources{}
	}
	total := v.Quota.Resources()
	local := briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU:     total.MilliCPU() * own / all,
		MemoryMiB:    total.MemoryMiB() * own / all,
		Accelerators: total.Accelerators() * own / all,
	})
	return &local
}

func (q *queue) empty() bool {
	if len(q.services) > 0 {
		return false
	}
	for _, t := range q.teams {
		if len(t.jobs) > 0 {
			return false
		}
	}
	return true
}

// placeAll places the waiting tasks until nothing more can start.
func (q *queue) placeAll(round *placer.Round) {
	starts := 0
	for _, l := range q.services {
		starts += q.placeExecutors(round, l)
	}
	for starts < maxRoundStarts {
		t, j := q.nextJob()
		if j == nil {
			return
		}
		if q.placeJobTask(round, t, j) {
			starts++
		}
	}
}

func (q *queue) placeExecutors(round *placer.Round, l *applier.AdoptedWorkload) int {
	starts := 0
	c := q.scheduler.conf.Workload(l.ID())
	for _, state := range l.NextWaiting(maxRoundStarts) {
		id := briarspring.TaskID{Workload: l.ID(), Index: state.Index}
		if _, moves := q.scheduler.pendingMoves[id]; moves || q.scheduler.quarantine.inBackoff(id, q.now) {
			continue
		}
		if round.Place(placer.Task{
			State: state, Workload: l.ID(), Name: c.Name(), Service: true, Resources: l.Resources(),
		}) {
			starts++
		}
	}
	return starts
}

// nextJob returns the job to place next: in the team that uses the fewest
// processors, the job that uses the fewest for its weight.
func (q *queue) nextJob() (*teamQueue, *jobQueue) {
	var team *teamQueue
	var job *jobQueue
	for _, t := range q.teams {
		if team != nil && t.used.MilliCPU() >= team.used.MilliCPU() {
			continue
		}
		if j := t.nextJob(); j != nil {
			team, job = t, j
		}
	}
	return team, job
}

func (t *teamQueue) nextJob() *jobQueue {
	var best *jobQueue
	var lowest float64
	for _, j := range t.jobs {
		if j.blocked {
			continue
		}
		share := float64(j.heldMilliCPU+j.workload.Resources().MilliCPU()) / float64(j.job.Weight())
		if best == nil || share < lowest {
			best, lowest = j, share
		}
	}
	return best
}

// placeJobTask places one task of a job and reports whether it starts.
func (q *queue) placeJobTask(round *placer.Round, t *teamQueue, j *jobQueue) bool {
	if j.waiting == nil {
		j.waiting = q.readyTasks(j.workload)
	}
	if len(j.waiting) == 0 {
		j.blocked = true
		return false
	}
	need := j.workload.Resources()
	if t.quota != nil && !t.used.Add(need).Fits(*t.quota) {
		j.blocked = true
		q.scheduler.waiting.record(j.workload.ID(), fmt.Sprintf("team %s uses %s of its quota of %s in this data centre", t.name, t.used, *t.quota))
		return false
	}
	task := placer.Task{
		State: j.waiting[0], Workload: j.workload.ID(), Name: j.job.Name(), Class: j.job.Class(),
		Resources: need, Weight: j.job.Weight(), Probe: j.probe,
		Avoid: q.scheduler.quarantine.avoid[briarspring.TaskID{Workload: j.workload.ID(), Index: j.waiting[0].Index}],
	}
	if !round.Place(task) {
		j.blocked = true
		return false
	}
	j.probe = false
	j.waiting = j.waiting[1:]
	j.heldMilliCPU += need.MilliCPU()
	t.used = t.used.Add(need)
	return true
}

// readyTasks returns the waiting tasks of a job that are not in backoff.
func (q *queue) readyTasks(l *applier.AdoptedWorkload) []briarspring.TaskState {
	out := []briarspring.TaskState{}
	for _, state := range l.NextWaiting(maxRoundStarts) {
		if !q.scheduler.quarantine.inBackoff(briarspring.TaskID{Workload: l.ID(), Index: state.Index}, q.now) {
			out = append(out, state)
		}
	}
	return out
}
