package replayer

import (
	"fmt"
	"slices"
	"time"

	"briarspring"
	"briarspring/imitator"
)

// Measures are what a replay measured.
type Measures struct {
	UrgentRatio    float64 // 99th percentile of executors' answer times to those alone.
	UrgentWorst    float64 // The highest such ratio.
	BatchShare     float64 // Batch work to the processors that executors left, while measuring.
	LostShare      float64 // Batch work that was lost to the work done.
	Evictions      float64
	Doubled        float64 // Tasks that ran in two places, or again after their end was known.
	Overcommitted  float64 // Starts that overcommitted a worker.
	Unfinished     float64 // Tasks of jobs that should have finished and have not.
	LateStarts     float64 // Starts in a data centre that was out for more than 3 s.
	StartsAfterCut float64 // Starts of cancelled jobs more than 3 s after.
}

// names are the measures that outcomes can bound.
var names = []string{
	"urgent-p99-ratio", "urgent-worst-ratio", "batch-share", "lost-share", "evictions",
	"doubled", "overcommitted", "unfinished", "late-starts", "starts-after-cancel",
}

// Names returns the names of all measures.
func Names() []string { return names }

// Get returns a measure by name.
func (m Measures) Get(name string) (float64, bool) {
	values := []float64{
		m.UrgentRatio, m.UrgentWorst, m.BatchShare, m.LostShare, m.Evictions,
		m.Doubled, m.Overcommitted, m.Unfinished, m.LateStarts, m.StartsAfterCut,
	}
	i := slices.Index(names, name)
	if i < 0 {
		return 0, false
	}
	return values[i], true
}

// Missed returns the outcomes of a trace that the measures do not meet.
func (t Trace) Missed(m Measures) []string {
	var out []string
	for _, o := range t.Outcomes {
		v, _ := m.Get(o.Measure)
		if o.AtMost != nil && v > *o.AtMost {
			out = append(out, fmt.Sprintf("%s is %.3f, at most %.3f (%s)", o.Measure, v, *o.AtMost, o.Source))
		}
		if o.AtLeast != nil && v < *o.AtLeast {
			out = append(out, fmt.Sprintf("%s is %.3f, at least %.3f (%s)", o.Measure, v, *o.AtLeast, o.Source))
		}
	}
	return out
}

// sampler adds up what really happens on the workers.
type sampler struct {
	slowdowns []float64
	batch     float64 // Core-milliseconds.
	left      float64 // Core-milliseconds that executors left.
}

// take adds one sample that stands for a time. Data centres that are out are
// not counted as capacity; what still runs there is counted as work.
func (s *sampler) take(t imitator.GroundTruth, counted bool, d time.Duration) {
	s.slowdowns = append(s.slowdowns, t.Slowdowns...)
	ms := float64(d.Milliseconds()) / briarspring.MilliCPUPerCore
	s.batch += float64(t.Batch) * ms
	if counted {
		s.left += float64(t.Capacity-t.Executors) * ms
	}
}

func (s *sampler) fill(m *Measures) {
	slices.Sort(s.slowdowns)
	if n := len(s.slowdowns); n > 0 {
		m.UrgentRatio = s.slowdowns[(n-1)*99/100]
		m.UrgentWorst = s.slowdowns[n-1]
	}
	if s.left > 0 {
		m.BatchShare = s.batch / s.left
	}
}

// account goes through the workers' journal.
type account struct {
	running   map[briarspring.TaskID]briarspring.AttemptID
	ended     map[briarspring.TaskID]string // Worker that finished it, while heard.
	committed map[string]briarspring.Resources
	done      map[string]int // Finished tasks by workload.
	work      map[briarspring.TaskID]time.Duration
	workDone  time.Duration
	workLost  time.Duration
}

func newAccount() *account {
	return &account{
		running: map[briarspring.TaskID]briarspring.AttemptID{}, ended: map[briarspring.TaskID]string{},
		committed: map[string]briarspring.Resources{}, done: map[string]int{},
		work: map[briarspring.TaskID]time.Duration{},
	}
}

func (a *account) take(e imitator.JournalEntry, m *Measures) {
	switch e.Kind {
	case imitator.JournalLeaseEnd:
		for task, worker := range a.ended {
			if worker == e.Worker {
				delete(a.ended, task)
			}
		}
		return
	case imitator.JournalStart:
		a.start(e, m)
		return
	}
	task := e.Attempt.Task
	a.committed[e.Worker] = a.committed[e.Worker].Sub(e.Resources)
	if a.running[task] == e.Attempt {
		delete(a.running, task)
	}
	before := time.Duration(e.Checkpoint) * time.Millisecond
	switch e.Kind {
	case imitator.JournalDone:
		a.ended[task] = e.Worker
		a.done[e.Name]++
		a.workDone += e.Work - before
	case imitator.JournalCheckpoint:
		m.Evictions++
		a.workDone += e.Work - before
	default:
		a.workLost += e.Work - before
	}
}

func (a *account) start(e imitator.JournalEntry, m *Measures) {
	task := e.Attempt.Task
	if _, runs := a.running[task]; runs || a.ended[task] != "" {
		m.Doubled++
	}
	a.running[task] = e.Attempt
	a.committed[e.Worker] = a.committed[e.Worker].Add(e.Resources)
	if !a.committed[e.Worker].Fits(e.Capacity) {
		m.Overcommitted++
	}
}
