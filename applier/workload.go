package applier

import (
	"cmp"
	"slices"

	"briarspring"
)

// Share is a part of a workload's tasks that is assigned to one data centre:
// either a range of fresh tasks or a list of tasks that were transferred.
type Share struct {
	DataCentre string // Empty while no data centre can run the tasks.
	Offset     uint64 // Offset of the record that assigned the tasks.
	Span       Span
	Tasks      []briarspring.TaskState
}

// Workload is the state of a service or job in the configuration stream.
type Workload struct {
	id        briarspring.WorkloadID
	version   uint64
	service   *briarspring.Service
	job       *briarspring.Job
	cancelled bool
	finished  bool
	nextIndex uint32
	shares    []Share
	progress  map[string]briarspring.Progress
}

// ID returns the offset of the record that created the workload.
func (w *Workload) ID() briarspring.WorkloadID { return w.id }

// Version returns the offset of the last command on the workload.
func (w *Workload) Version() uint64 { return w.version }

// Service returns the service, or nil for a job.
func (w *Workload) Service() *briarspring.Service { return w.service }

// Job returns the job, or nil for a service.
func (w *Workload) Job() *briarspring.Job { return w.job }

// Cancelled reports whether an operator cancelled the job.
func (w *Workload) Cancelled() bool { return w.cancelled }

// Finished reports whether every task of the job is done or failed for good.
func (w *Workload) Finished() bool { return w.finished }

// Shares returns the assignment of tasks to data centres.
func (w *Workload) Shares() []Share { return w.shares }

// Name returns the service's or job's name.
func (w *Workload) Name() string {
	if w.service != nil {
		return w.service.Name()
	}
	return w.job.Name()
}

// Team returns the team that the workload belongs to.
func (w *Workload) Team() string {
	if w.service != nil {
		return w.service.Team()
	}
	return w.job.Team()
}

// Resources returns the declared resource needs of one task.
func (w *Workload) Resources() briarspring.Resources {
	if w.service != nil {
		return w.service.Resources()
	}
	return w.job.Resources()
}

// Command returns the command that a worker runs for one task.
func (w *Workload) Command() string {
	if w.service != nil {
		return w.service.Command()
	}
	return w.job.Command()
}

// Progress returns the workload's progress in each data centre, sorted by name.
func (w *Workload) Progress() []DataCentreProgress {
	var all []DataCentreProgress
	for _, name := range sortedKeys(w.progress) {
		all = append(all, DataCentreProgress{DataCentre: name, Progress: w.progress[name]})
	}
	return all
}

// DataCentreProgress is the progress of a workload in one data centre.
type DataCentreProgress struct {
	DataCentre string
	Progress   briarspring.Progress
}

// Totals returns the progress summed over all data centres.
func (w *Workload) Totals() briarspring.Progress {
	sum := briarspring.Progress{Workload: w.id}
	for _, p := range w.progress {
		sum.Running += p.Running
		sum.Done += p.Done
		sum.Failed += p.Failed
		sum.Evictions += p.Evictions
	}
	return sum
}

// Assigned returns how many tasks are assigned to a data centre.
func (w *Workload) Assigned(dataCentre string) uint32 {
	var n uint32
	for _, s := range w.shares {
		if s.DataCentre == dataCentre {
			n += s.Span.Len() + uint32(len(s.Tasks))
		}
	}
	return n
}

// AssignedTo returns the task indexes that are assigned to a data centre.
func (w *Workload) AssignedTo(dataCentre string) AssignedTasks {
	assigned := AssignedTasks{tasks: map[uint32]uint64{}}
	for _, s := range w.shares {
		if s.DataCentre != dataCentre {
			continue
		}
		if s.Span.Len() > 0 {
			assigned.ranges = append(assigned.ranges, s)
		}
		for _, t := range s.Tasks {
			assigned.tasks[t.Index] = s.Offset
		}
	}
	return assigned
}

// AssignedTasks is the set of a workload's tasks that are assigned to one data
// centre.
type AssignedTasks struct {
	ranges []Share
	tasks  map[uint32]uint64
}

// Has reports whether a task is in the set, and returns the offset of the record
// that assigned it.
func (a AssignedTasks) Has(index uint32) (offset uint64, ok bool) {
	if offset, ok = a.tasks[index]; ok {
		return offset, true
	}
	for _, s := range a.ranges {
		if s.Span.First <= index && index < s.Span.End {
			return s.Offset, true
		}
	}
	return 0, false
}

func (w *Workload) setProgress(dataCentre string, p briarspring.Progress) {
	if w.progress == nil {
		w.progress = map[string]briarspring.Progress{}
	}
	w.progress[dataCentre] = p
}

// complete reports whether every task of a job is done or failed for good.
func (w *Workload) complete() bool {
	t := w.Totals()
	return t.Done+t.Failed >= w.job.Tasks()
}

func (c *Config) putService(offset, expected uint64, s briarspring.Service) (uint64, error) {
	object := "service/" + s.Name()
	old := c.services[s.Name()]
	if err := checkVersion(object, expected, old.versionOrZero()); err != nil {
		return 0, err
	}
	if old == nil {
		return c.createService(offset, object, s)
	}
	if problem := immutableFieldProblem(*old.service, s); problem != "" {
		return 0, &briarspring.InvalidError{Object: object, Reason: problem}
	}
	old.service = &s
	old.version = offset
	c.resize(offset, old, s.Executors())
	c.dirty[old.id] = struct{}{}
	return offset, nil
}

func (w *Workload) versionOrZero() uint64 {
	if w == nil {
		return 0
	}
	return w.version
}

func immutableFieldProblem(old, s briarspring.Service) string {
	if old.Team() != s.Team() || old.Prefix() != s.Prefix() || old.Resources() != s.Resources() ||
		old.Slots() != s.Slots() || old.Connections() != s.Connections() || old.Command() != s.Command() {
		return "only the number of executors can be changed; create another service for the rest"
	}
	return ""
}

func (c *Config) createService(offset uint64, object string, s briarspring.Service) (uint64, error) {
	for _, o := range c.services {
		if o.service.Prefix() == s.Prefix() {
			return 0, &briarspring.InvalidError{Object: object, Reason: "prefix " + s.Prefix() + " belongs to another service"}
		}
	}
	if err := c.checkFits(object, s.Resources()); err != nil {
		return 0, err
	}
	w := &Workload{id: briarspring.WorkloadID(offset), version: offset, service: &s}
	c.workloads[w.id] = w
	c.services[s.Name()] = w
	c.assign(offset, w, s.Executors())
	return offset, nil
}

func (c *Config) putJob(offset, expected uint64, j briarspring.Job) (uint64, error) {
	object := "job/" + j.Name()
	old := c.jobs[j.Name()]
	if err := checkVersion(object, expected, old.versionOrZero()); err != nil {
		return 0, err
	}
	if old == nil {
		return c.createJob(offset, object, j)
	}
	if old.job.Team() != j.Team() || old.job.Class() != j.Class() || old.job.Tasks() != j.Tasks() ||
		old.job.Resources() != j.Resources() || old.job.Command() != j.Command() || old.job.MaxTries() != j.MaxTries() {
		return 0, &briarspring.InvalidError{
			Object: object, Reason: "only weight and run time can be changed; create another job for the rest",
		}
	}
	old.job = &j
	old.version = offset
	c.dirty[old.id] = struct{}{}
	return offset, nil
}

func (c *Config) createJob(offset uint64, object string, j briarspring.Job) (uint64, error) {
	if err := c.checkFits(object, j.Resources()); err != nil {
		return 0, err
	}
	w := &Workload{id: briarspring.WorkloadID(offset), version: offset, job: &j}
	c.workloads[w.id] = w
	c.jobs[j.Name()] = w
	c.assign(offset, w, j.Tasks())
	return offset, nil
}

// checkFits returns an error if a task with these needs fits on no worker of any
// data centre that has workers.
func (c *Config) checkFits(object string, need briarspring.Resources) error {
	if problem := c.InfeasibleReason(need); problem != "" {
		return &briarspring.InvalidError{Object: object, Reason: problem}
	}
	return nil
}

// InfeasibleReason returns why no known worker can run a task with these needs,
// or "".
func (c *Config) InfeasibleReason(need briarspring.Resources) string {
	var largest briarspring.Resources
	for _, d := range c.dataCentres {
		if d.summary.Workers == 0 {
			continue
		}
		if need.Fits(d.summary.Largest) {
			return ""
		}
		largest = largest.Max(d.summary.Largest)
	}
	if largest.IsZero() {
		return ""
	}
	return "can never run: a task needs " + need.String() + ", the largest worker has " + largest.String()
}

func (c *Config) deleteWorkload(offset, expected uint64, object string, w *Workload) (uint64, error) {
	if w == nil {
		return 0, &briarspring.NotFoundError{Object: object}
	}
	if err := checkVersion(object, expected, w.version); err != nil {
		return 0, err
	}
	c.removeWorkload(w)
	c.finishedJobs = slices.DeleteFunc(c.finishedJobs, func(id briarspring.WorkloadID) bool { return id == w.id })
	return offset, nil
}

func (c *Config) cancelJobs(offset uint64, names []string) (uint64, error) {
	for _, name := range names {
		if c.jobs[name] == nil {
			return 0, &briarspring.NotFoundError{Object: "job/" + name}
		}
	}
	for _, name := range names {
		w := c.jobs[name]
		if w.finished {
			continue
		}
		w.cancelled = true
		w.version = offset
		w.shares = nil
		c.dirty[w.id] = struct{}{}
	}
	return offset, nil
}

// resize assigns new executors or removes those with the highest indexes. It
// never reuses an index, so that no executor runs in two data centres.
func (c *Config) resize(offset uint64, w *Workload, executors uint32) {
	var have uint32
	for _, s := range w.shares {
		have += s.Span.Len() + uint32(len(s.Tasks))
	}
	if executors >= have {
		c.assign(offset, w, executors-have)
		return
	}
	w.shrink(have - executors)
}

// shrink removes the n highest indexes from the shares.
func (w *Workload) shrink(n uint32) {
	var indexes []uint32
	for _, s := range w.shares {
		for i := s.Span.First; i < s.Span.End; i++ {
			indexes = append(indexes, i)
		}
		for _, t := range s.Tasks {
			indexes = append(indexes, t.Index)
		}
	}
	slices.SortFunc(indexes, func(a, b uint32) int { return cmp.Compare(b, a) })
	highest := map[uint32]briarspring.TaskState{}
	for _, i := range indexes[:n] {
		highest[i] = briarspring.TaskState{Index: i}
	}
	w.removeTasks(highest, func(Share) bool { return true })
}
