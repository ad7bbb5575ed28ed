package scheduler

import (
	"fmt"
	"time"

	"briarspring"
	"briarspring/applier"
	"briarspring/placer"
)

// queue orders the waiting tasks of one round: executors first, then batch
// tasks by the share that their team and job hold already.
type queue struct {
	scheduler *Scheduler
	now       time.Time
	services  []*applier.Load
	teams     []*teamQueue
}

// teamQueue holds the waiting jobs of one team.
type teamQueue struct {
	name  string
	used  briarspring.Resources
	quota *briarspring.Resources // Of this data centre; nil for no bound.
	jobs  []*jobQueue
}

// jobQueue holds the waiting tasks of one job.
type jobQueue struct {
	load    *applier.Load
	job     *briarspring.Job
	waiting []briarspring.TaskState
	held    int64 // Processors that its open attempts hold.
	probe   bool  // The first task may start where it is expected to slow services.
	blocked bool
}

func (s *Scheduler) newQueue(now time.Time) *queue {
	q := &queue{scheduler: s, now: now}
	teams := map[string]*teamQueue{}
	for _, id := range s.place.Loads() {
		l := s.place.Load(id)
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
				load: l, job: c.Job(), held: l.Resources().MilliCPU() * int64(l.Placed()),
				probe: s.waiting.starves(id, now, l.Placed()),
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
	whole := v.Quota.Resources()
	part := briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU:     whole.MilliCPU() * own / all,
		MemoryMiB:    whole.MemoryMiB() * own / all,
		Accelerators: whole.Accelerators() * own / all,
	})
	return &part
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

// run decides on the waiting tasks until nothing more can start.
func (q *queue) run(round *placer.Round) {
	starts := 0
	for _, l := range q.services {
		starts += q.runService(round, l)
	}
	for starts < maxRoundStarts {
		t, j := q.next()
		if j == nil {
			return
		}
		if q.runJob(round, t, j) {
			starts++
		}
	}
}

func (q *queue) runService(round *placer.Round, l *applier.Load) int {
	starts := 0
	c := q.scheduler.conf.Workload(l.ID())
	for _, state := range l.NextWaiting(maxRoundStarts) {
		id := briarspring.TaskID{Workload: l.ID(), Index: state.Index}
		if _, moves := q.scheduler.moves[id]; moves || q.scheduler.quarantine.waits(id, q.now) {
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

// next returns the job whose turn it is: of the team that holds least, the one
// that holds least for its weight.
func (q *queue) next() (*teamQueue, *jobQueue) {
	var team *teamQueue
	var job *jobQueue
	for _, t := range q.teams {
		if team != nil && t.used.MilliCPU() >= team.used.MilliCPU() {
			continue
		}
		if j := t.next(); j != nil {
			team, job = t, j
		}
	}
	return team, job
}

func (t *teamQueue) next() *jobQueue {
	var best *jobQueue
	var lowest float64
	for _, j := range t.jobs {
		if j.blocked {
			continue
		}
		share := float64(j.held+j.load.Resources().MilliCPU()) / float64(j.job.Weight())
		if best == nil || share < lowest {
			best, lowest = j, share
		}
	}
	return best
}

// runJob decides on one task of a job and reports whether it starts.
func (q *queue) runJob(round *placer.Round, t *teamQueue, j *jobQueue) bool {
	if j.waiting == nil {
		j.waiting = q.ready(j.load)
	}
	if len(j.waiting) == 0 {
		j.blocked = true
		return false
	}
	need := j.load.Resources()
	if t.quota != nil && !t.used.Add(need).Fits(*t.quota) {
		j.blocked = true
		q.scheduler.waiting.note(j.load.ID(), fmt.Sprintf("team %s holds %s of its quota %s here", t.name, t.used, *t.quota))
		return false
	}
	task := placer.Task{
		State: j.waiting[0], Workload: j.load.ID(), Name: j.job.Name(), Class: j.job.Class(),
		Resources: need, Weight: j.job.Weight(), Probe: j.probe,
		Avoid: q.scheduler.quarantine.avoid[briarspring.TaskID{Workload: j.load.ID(), Index: j.waiting[0].Index}],
	}
	if !round.Place(task) {
		j.blocked = true
		return false
	}
	j.probe = false
	j.waiting = j.waiting[1:]
	j.held += need.MilliCPU()
	t.used = t.used.Add(need)
	return true
}

// ready returns the waiting tasks of a job that need not wait after a failure.
func (q *queue) ready(l *applier.Load) []briarspring.TaskState {
	out := []briarspring.TaskState{}
	for _, state := range l.NextWaiting(maxRoundStarts) {
		if !q.scheduler.quarantine.waits(briarspring.TaskID{Workload: l.ID(), Index: state.Index}, q.now) {
			out = append(out, state)
		}
	}
	return out
}
