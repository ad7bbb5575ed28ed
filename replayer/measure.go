package replayer

import (
	"fmt"
	"slices"
	"time"

	"briarspring"
	"briarspring/imitator"
)

// Measures are the results of a replay.
type Measures struct {
	UrgentRatio       float64 // 99th percentile of executors' latency, relative to that without interference.
	UrgentWorst       float64 // The highest such ratio.
	BatchShare        float64 // Batch work per CPU time that executors left, while measuring.
	LostShare         float64 // Fraction of batch work that was lost.
	Evictions         float64
	Doubled           float64 // Starts of tasks that were running elsewhere or known to be finished.
	Overcommitted     float64 // Starts that overcommitted a worker.
	Unfinished        float64 // Unfinished tasks of jobs that should have finished.
	LateStarts        float64 // Starts in a data centre more than 3 s after it was taken out.
	StartsAfterCancel float64 // Starts of tasks more than 3 s after their job was cancelled.
}

// measureNames are the names by which a trace's outcomes refer to measures, in
// the order of Get.
var measureNames = []string{
	"urgent-p99-ratio", "urgent-worst-ratio", "batch-share", "lost-share", "evictions",
	"doubled", "overcommitted", "unfinished", "late-starts", "starts-after-cancel",
}

// Names returns the names of all measures.
func Names() []string { return measureNames }

// Get returns a measure by name.
func (m Measures) Get(name string) (float64, bool) {
	values := []float64{
		m.UrgentRatio, m.UrgentWorst, m.BatchShare, m.LostShare, m.Evictions,
		m.Doubled, m.Overcommitted, m.Unfinished, m.LateStarts, m.StartsAfterCancel,
	}
	i := slices.Index(measureNames, name)
	if i < 0 {
		return 0, false
	}
	return values[i], true
}

// UnmetOutcomes describes the outcomes of a trace that the measures do not
// meet.
func (t Trace) UnmetOutcomes(m Measures) []string {
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

// loadSampler adds up the actual load of the workers.
type loadSampler struct {
	slowdowns    []float64
	batchCPU     float64 // In core-milliseconds.
	availableCPU float64 // CPU that executors left, in core-milliseconds.
}

// add adds one sample that covers a period d. Workers that are not counted, in
// data centres that are out of service, add no capacity, but batch work that
// still runs there counts as work.
func (s *loadSampler) add(t imitator.GroundTruth, counted bool, d time.Duration) {
	s.slowdowns = append(s.slowdowns, t.Slowdowns...)
	ms := float64(d.Milliseconds()) / briarspring.MilliCPUPerCore
	s.batchCPU += float64(t.Batch) * ms
	if counted {
		s.availableCPU += float64(t.Capacity-t.Executors) * ms
	}
}

func (s *loadSampler) setMeasures(m *Measures) {
	slices.Sort(s.slowdowns)
	if n := len(s.slowdowns); n > 0 {
		m.UrgentRatio = s.slowdowns[(n-1)*99/100]
		m.UrgentWorst = s.slowdowns[n-1]
	}
	if s.availableCPU > 0 {
		m.BatchShare = s.batchCPU / s.availableCPU
	}
}

// journalStats computes measures from the workers' journal.
type journalStats struct {
	runningAttempt map[briarspring.TaskID]briarspring.AttemptID
	finishedOn     map[briarspring.TaskID]string // Worker on which the task finished, until its lease ends.
	committed      map[string]briarspring.Resources
	finished       map[string]int // Finished tasks by workload.
	work           map[briarspring.TaskID]time.Duration
	workDone       time.Duration
	workLost       time.Duration
}

func newJournalStats() *journalStats {
	return &journalStats{
		runningAttempt: map[briarspring.TaskID]briarspring.AttemptID{}, finishedOn: map[briarspring.TaskID]string{},
		committed: map[string]briarspring.Resources{}, finished: map[string]int{},
		work: map[briarspring.TaskID]time.Duration{},
	}
}

func (a *journalStats) add(e imitator.JournalEntry, m *Measures) {
	switch e.Kind {
	case imitator.JournalLeaseEnd:
		for task, worker := range a.finishedOn {
			if worker == e.Worker {
				delete(a.finishedOn, task)
			}
		}
		return
	case imitator.JournalStart:
		a.addStart(e, m)
		return
	}
	task := e.Attempt.Task
	a.committed[e.Worker] = a.committed[e.Worker].Sub(e.Resources)
	if a.runningAttempt[task] == e.Attempt {
		delete(a.runningAttempt, task)
	}
	before := time.Duration(e.Checkpoint) * time.Millisecond
	switch e.Kind {
	case imitator.JournalDone:
		a.finishedOn[task] = e.Worker
		a.finished[e.Name]++
		a.workDone += e.Work - before
	case imitator.JournalCheckpoint:
		m.Evictions++
		a.workDone += e.Work - before
	default:
		a.workLost += e.Work - before
	}
}

func (a *journalStats) addStart(e imitator.JournalEntry, m *Measures) {
	task := e.Attempt.Task
	if _, running := a.runningAttempt[task]; running || a.finishedOn[task] != "" {
		m.Doubled++
	}
	a.runningAttempt[task] = e.Attempt
	a.committed[e.Worker] = a.committed[e.Worker].Add(e.Resources)
	if !a.committed[e.Worker].Fits(e.Capacity) {
		m.Overcommitted++
	}
}
