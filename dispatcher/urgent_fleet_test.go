package dispatcher_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/dispatcher"
)

// fleet is a fixture whose workers take time for starts, runs and stops, and which
// checks the rules of long-running work in each tick.
type fleet struct {
	*fixture
	random  *rand.Rand
	ids     []string
	events  []fleetEvent
	absent  map[string]bool // Workers that don't answer.
	deaf    map[string]bool // Workers that answer, but don't carry out stops.
	known   map[briarspring.WorkflowID]*fleetWorkflow
	atWork  map[briarspring.RunRef]time.Duration // Since when a long-running run is at work.
	waiting map[briarspring.TaskRef]*fleetWait   // Long-running tasks without a run.
	result  fleetResult
	most    int // Most long-running tasks that may be away for urgent work.
	away    map[briarspring.TaskRef]bool
	owner   dispatcher.Config

	nearRack string // Rack of the data of every third urgent workflow; empty for none.
}

type fleetEvent struct {
	at time.Duration
	do func()
}

// fleetWorkflow is a workflow as its caller sees it.
type fleetWorkflow struct {
	*briarspring.Workflow
	submitted time.Duration
	left      int
	done      map[briarspring.TaskRef]bool
}

type fleetWait struct {
	lastRun time.Duration // When its last run ended.
	twice   time.Duration // For how long there has been room for it twice over.
}

// fleetResult is what a load has come to.
type fleetResult struct {
	urgent, inTime, useful int
	stops                  int           // Long-running runs stopped.
	mostAway               int           // For urgent work, at a time.
	lost                   time.Duration // Sum over long-running tasks of the time without a run at work.
}

const (
	fleetTick  = 50 * time.Millisecond
	longCPU    = 6400
	longTasks  = 14
	urgentCPU  = 3700
	urgentTime = time.Second
)

// newFleet returns a fleet of workers of 32 and 48 cores, on which long-running
// workflows have been at work for some time.
func newFleet(t testing.TB, workers, workflows, maxMissing int, keep bool) *fleet {
	f := &fleet{
		fixture: newFixture(t, dispatcher.Config{Token: 1, KeepLongRunning: keep}, workers), random: rand.New(rand.NewSource(int64(workers))),
		absent: map[string]bool{}, deaf: map[string]bool{}, known: map[briarspring.WorkflowID]*fleetWorkflow{},
		atWork: map[briarspring.RunRef]time.Duration{}, waiting: map[briarspring.TaskRef]*fleetWait{}, away: map[briarspring.TaskRef]bool{},
		owner: dispatcher.Config{Token: 1, KeepLongRunning: keep},
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		f.ids = append(f.ids, id)
		f.workers[id].entry.Capacity = resources([]int64{32000, 48000}[i%2], 250000)
	}
	f.list()
	for i := range workflows {
		long := longRunning(longTasks, longCPU)
		long.MaxMissing, long.Image = maxMissing, fmt.Sprintf("serving%d", i)
		f.submit(workflow(briarspring.WorkflowID(fmt.Sprintf("long%d", i)), long))
	}
	f.most = workflows * longTasks / 10
	f.run(20 * time.Second)
	require.Len(t, f.atWork, workflows*longTasks)
	f.result = fleetResult{}
	return f
}

// list applies the list of workers that are not absent.
func (f *fleet) list() {
	var entries []briarspring.WorkerEntry
	for _, id := range f.ids {
		if !f.absent[id] {
			entries = append(entries, f.workers[id].entry)
		}
	}
	f.d.SetWorkers(f.now, entries)
}

func (f *fleet) submit(w *briarspring.Workflow) {
	w.MaxAttempts = 100
	known := &fleetWorkflow{Workflow: w, submitted: f.now, left: w.TaskCount(), done: map[briarspring.TaskRef]bool{}}
	f.known[w.ID] = known
	if w.LongRunning() {
		for i := range w.Steps[0].Tasks {
			f.waiting[briarspring.TaskRef{Workflow: w.ID, Index: i}] = &fleetWait{lastRun: f.now}
		}
	} else {
		f.result.urgent++
	}
	f.d.Submit(f.now, 0, w, uint64(len(f.known)+1), nil, nil)
}

// submitUrgent submits urgent workflows at random over a time, of 1.6 steps of 10
// tasks on average, so that they need cores on average.
func (f *fleet) submitUrgent(over time.Duration, cores float64) {
	const mean = 1.6 * 10 * urgentCPU / 1000
	n := int(cores * over.Seconds() / mean)
	base := len(f.known)
	for i := range n {
		id := briarspring.WorkflowID(fmt.Sprintf("urgent%d", base+i))
		first := step(5+f.random.Intn(11), urgentCPU)
		first.Estimate = urgentTime
		if i%3 == 0 {
			first.Rack = f.nearRack
		}
		steps := []briarspring.Step{first}
		if f.random.Float64() < 0.6 {
			second := first
			second.After = []int{0}
			steps = append(steps, second)
		}
		f.after(time.Duration(f.random.Int63n(int64(over))), func() { f.submit(workflow(id, steps...)) })
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events = append(f.events, fleetEvent{at: f.now + d, do: do})
}

// between returns a random time.
func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int63n(int64(high-low)))
}

// run advances the fleet.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += fleetTick
		var due []fleetEvent
		f.events = slices.DeleteFunc(f.events, func(e fleetEvent) bool {
			if e.at <= f.now {
				due = append(due, e)
			}
			return e.at <= f.now
		})
		for _, e := range due {
			e.do()
		}
		for _, id := range f.ids {
			if !f.absent[id] {
				f.renew(id)
				continue
			}
			f.d.NextRenewal(f.now, id)
			f.d.RenewalFailed(f.now, id, briarspring.VerdictUnanswered)
		}
		f.store()
		f.d.ForcePlan()
		for _, o := range f.d.Plan(f.now) {
			f.apply(o)
		}
		f.check()
	}
}

// apply has a worker carry out an order.
func (f *fleet) apply(o dispatcher.Order) {
	if f.absent[o.Worker] {
		f.d.HandleVerdict(f.now, o, briarspring.VerdictUnanswered)
		return
	}
	w, ref := f.workers[o.Worker], o.Run()
	long := f.known[ref.Task.Workflow].LongRunning()
	switch {
	case o.Kind == dispatcher.OrderStart && long:
		w.running[ref] = briarspring.RunningTask{Run: ref}
		delete(f.waiting, ref.Task)
		f.after(f.between(time.Second, 2*time.Second), func() {
			if _, ok := w.running[ref]; ok && !f.absent[o.Worker] {
				w.running[ref] = briarspring.RunningTask{Run: ref, Percent: 100}
				f.atWork[ref] = f.now
				delete(f.away, ref.Task)
			}
		})
	case o.Kind == dispatcher.OrderStart:
		w.running[ref] = briarspring.RunningTask{Run: ref, Percent: 1}
		takes := f.between(urgentTime*3/4, urgentTime*5/4)
		if rack := f.known[ref.Task.Workflow].Steps[ref.Task.Step].Rack; rack != "" && rack != w.entry.Rack {
			takes *= 3
		}
		f.after(takes, func() { f.endUrgent(o.Worker, ref) })
	case o.Kind == dispatcher.OrderStop && !f.deaf[o.Worker]:
		f.after(f.between(200*time.Millisecond, 400*time.Millisecond), func() { f.endStopped(o.Worker, ref) })
	}
	if o.Kind == dispatcher.OrderStop && long {
		f.noteStop(ref)
	}
	if !f.deaf[o.Worker] || o.Kind != dispatcher.OrderStop {
		f.d.HandleVerdict(f.now, o, briarspring.VerdictDone)
	}
	require.True(f.t, f.reserved(o.Worker).Fits(w.entry.Capacity), "worker %s is over-committed", o.Worker)
}

// noteStop checks that a long-running run was at work for long enough, and that not too
// many tasks of its step are missing.
func (f *fleet) noteStop(ref briarspring.RunRef) {
	since, ok := f.atWork[ref]
	if !ok {
		return // The stop is sent again.
	}
	require.GreaterOrEqual(f.t, f.now-since, 10*time.Second, "%v is stopped again", ref)
	delete(f.atWork, ref)
	f.result.stops++
	f.away[ref.Task] = true
	step := f.known[ref.Task.Workflow].Steps[0]
	missing := step.Tasks
	for other := range f.atWork {
		if other.Task.Workflow == ref.Task.Workflow {
			missing--
		}
	}
	if step.MaxMissing > 0 {
		require.LessOrEqual(f.t, missing, step.MaxMissing, "MaxMissing of %s", ref.Task.Workflow)
	}
}

func (f *fleet) endUrgent(worker string, ref briarspring.RunRef) {
	if _, ok := f.workers[worker].running[ref]; !ok || f.absent[worker] {
		return
	}
	f.endRun(worker, ref, briarspring.RunDone)
	w := f.known[ref.Task.Workflow]
	if w.done[ref.Task] {
		return
	}
	w.done[ref.Task] = true
	if w.left--; w.left > 0 {
		return
	}
	if age := f.now - w.submitted; age <= w.Objective() {
		f.result.inTime++
		f.result.useful++
	} else if age <= 3*w.Objective() {
		f.result.useful++
	}
}

func (f *fleet) endStopped(worker string, ref briarspring.RunRef) {
	if _, ok := f.workers[worker].running[ref]; !ok || f.absent[worker] {
		return
	}
	f.endRun(worker, ref, briarspring.RunStopped)
	if f.known[ref.Task.Workflow].LongRunning() {
		f.waiting[ref.Task] = &fleetWait{lastRun: f.now}
	}
}

// takeAway takes workers away without notice.
func (f *fleet) takeAway(ids ...string) {
	for _, id := range ids {
		f.absent[id] = true
		for ref := range f.workers[id].running {
			if f.known[ref.Task.Workflow].LongRunning() {
				delete(f.atWork, ref)
				f.waiting[ref.Task] = &fleetWait{lastRun: f.now + 6*time.Second}
			}
		}
		clear(f.workers[id].running)
	}
	f.list()
}

// reserved returns what runs on a worker.
func (f *fleet) reserved(id string) briarspring.Resources {
	var sum briarspring.Resources
	for ref := range f.workers[id].running {
		sum = sum.Add(f.known[ref.Task.Workflow].Steps[ref.Task.Step].Resources)
	}
	return sum
}

// check checks the rules of long-running work.
func (f *fleet) check() {
	f.result.mostAway = max(f.result.mostAway, len(f.away))
	require.LessOrEqual(f.t, len(f.away), f.most, "more than a tenth are away")
	total := 0
	for _, w := range f.known {
		if w.LongRunning() {
			total += w.Steps[0].Tasks
		}
	}
	f.result.lost += time.Duration(total-len(f.atWork)) * fleetTick
	places := int64(0)
	for _, id := range f.ids {
		if !f.absent[id] {
			places += f.workers[id].entry.Capacity.Sub(f.reserved(id)).MilliCPU() / longCPU
		}
	}
	for ref, w := range f.waiting {
		if places < 2 || f.now < w.lastRun+6*time.Second {
			w.twice = 0
			continue
		}
		w.twice += fleetTick
		require.LessOrEqual(f.t, w.twice, 3*time.Second, "%v waits although there is room twice over", ref)
	}
}

// replaceOwner has a new owner take over.
func (f *fleet) replaceOwner(token uint64) {
	c := f.owner
	c.Token, c.Predecessor = token, true
	f.newOwner(c)
	offset := uint64(1)
	for _, id := range f.sortedWorkflows() {
		w := f.known[id]
		offset++
		if w.left > 0 {
			f.d.Submit(f.now, f.now-w.submitted, w.Workflow, offset, f.progress(w), nil)
		}
	}
	f.list()
}

func (f *fleet) sortedWorkflows() []briarspring.WorkflowID {
	var ids []briarspring.WorkflowID
	for id := range f.known {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// progress returns the progress records of a workflow: its tasks that are done, and
// the last runs of those that were stopped.
func (f *fleet) progress(w *fleetWorkflow) []briarspring.TaskProgress {
	var list []briarspring.TaskProgress
	for ref := range w.done {
		if position, ok := w.Position(ref); ok {
			list = append(list, briarspring.TaskProgress{Position: position, Done: true, Run: 1})
		}
	}
	for ref := range f.waiting {
		if ref.Workflow == w.ID {
			list = append(list, briarspring.TaskProgress{Position: ref.Index, Run: f.lastRun(ref)})
		}
	}
	return list
}

// lastRun returns a number that is at least that of the task's last run.
func (f *fleet) lastRun(briarspring.TaskRef) uint32 { return 50 }
