package applier

import (
	"briarspring"
)

const (
	// maxAnswers bounds the request ids whose answers are kept.
	maxAnswers = 10000
	// maxFinishedJobs bounds the finished jobs that stay listed.
	maxFinishedJobs = 10000
)

// Answer is the outcome of an operator's command.
type Answer struct {
	RequestID string
	Offset    uint64 // Offset of the command's record.
	Version   uint64 // The object's version after an accepted command.
	Err       error  // Why the command was refused; nil when accepted.
}

// Config is the state built from the configuration stream.
type Config struct {
	applied      uint64
	writers      writers
	workloads    map[briarspring.WorkloadID]*Workload
	services     map[string]*Workload
	jobs         map[string]*Workload
	quotas       map[string]*VersionedQuota
	dataCentres  map[string]*DataCentre
	lostWorkers  map[string]uint64
	answers      map[string]Answer
	answerOrder  []string
	finishedJobs []briarspring.WorkloadID
	dirty        map[briarspring.WorkloadID]struct{}
	unassigned   map[briarspring.WorkloadID]struct{} // Workloads with unassigned tasks.
}

// VersionedQuota is a quota with its version.
type VersionedQuota struct {
	Quota   briarspring.Quota
	Version uint64
}

// DataCentre is the state of a data centre in the configuration stream.
type DataCentre struct {
	name         string
	outOfService bool
	version      uint64
	changedAt    uint64
	summary      briarspring.Summary
}

// Name returns the data centre's name.
func (d *DataCentre) Name() string { return d.name }

// Out reports whether an operator took the data centre out of service.
func (d *DataCentre) Out() bool { return d.outOfService }

// Version returns the offset of the last command on the data centre.
func (d *DataCentre) Version() uint64 { return d.version }

// Summary returns the last summary that the data centre's owner published.
func (d *DataCentre) Summary() briarspring.Summary { return d.summary }

// NewConfig returns the state before the first record.
func NewConfig() *Config {
	return &Config{
		writers:     writers{},
		workloads:   map[briarspring.WorkloadID]*Workload{},
		services:    map[string]*Workload{},
		jobs:        map[string]*Workload{},
		quotas:      map[string]*VersionedQuota{},
		dataCentres: map[string]*DataCentre{},
		lostWorkers: map[string]uint64{},
		answers:     map[string]Answer{},
		dirty:       map[briarspring.WorkloadID]struct{}{},
		unassigned:  map[briarspring.WorkloadID]struct{}{},
	}
}

// Applied returns the offset of the last applied record.
func (c *Config) Applied() uint64 { return c.applied }

// Sequence returns the last applied incarnation and sequence number of a writer.
func (c *Config) Sequence(writer string) (incarnation, sequence uint64) {
	s := c.writers[writer]
	return s.incarnation, s.sequence
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Workload { return c.services[name] }

// Job returns the job with the given name, or nil.
func (c *Config) Job(name string) *Workload { return c.jobs[name] }

// Workload returns the workload with the given id, or nil.
func (c *Config) Workload(id briarspring.WorkloadID) *Workload { return c.workloads[id] }

// Quota returns a team's quota, or nil.
func (c *Config) Quota(team string) *VersionedQuota { return c.quotas[team] }

// DataCentre returns the data centre with the given name, or nil.
func (c *Config) DataCentre(name string) *DataCentre { return c.dataCentres[name] }

// LostAt returns the offset of the last command that declared a worker lost, or
// zero.
func (c *Config) LostAt(worker string) uint64 { return c.lostWorkers[worker] }

// Answer returns the answer to a request id, if it is still kept.
func (c *Config) Answer(requestID string) (Answer, bool) {
	a, ok := c.answers[requestID]
	return a, ok
}

// Services returns all services sorted by name.
func (c *Config) Services() []*Workload { return sortedValues(c.services) }

// Jobs returns all listed jobs sorted by name.
func (c *Config) Jobs() []*Workload { return sortedValues(c.jobs) }

// Quotas returns all quotas sorted by team.
func (c *Config) Quotas() []*VersionedQuota { return sortedValues(c.quotas) }

// DataCentres returns all data centres sorted by name.
func (c *Config) DataCentres() []*DataCentre { return sortedValues(c.dataCentres) }

// Workloads returns the sorted ids of all workloads.
func (c *Config) Workloads() []briarspring.WorkloadID { return sortedKeys(c.workloads) }

// TakeDirty returns the sorted ids of the workloads that changed since the last
// call.
func (c *Config) TakeDirty() []briarspring.WorkloadID {
	ids := sortedKeys(c.dirty)
	clear(c.dirty)
	return ids
}

// MarkAllDirty makes TakeDirty return every workload.
func (c *Config) MarkAllDirty() {
	for id := range c.workloads {
		c.dirty[id] = struct{}{}
	}
}

// Apply applies the record at an offset. It returns true and the answer if the
// record is new and holds a command. Records at or below the applied offset have
// no effect.
func (c *Config) Apply(offset uint64, r briarspring.Record) (Answer, bool) {
	if offset <= c.applied {
		return Answer{}, false
	}
	c.applied = offset
	if !c.writers.accept(r) {
		return Answer{}, false
	}
	switch b := r.Body.(type) {
	case briarspring.Command:
		return c.applyCommand(offset, b), true
	case briarspring.Summary:
		c.applySummary(offset, b)
	case briarspring.Transfer:
		c.applyTransfer(offset, b)
	}
	return Answer{}, false
}

// Skip advances the applied offset past a record that can't be decoded or is not
// meant for the state.
func (c *Config) Skip(offset uint64) { c.applied = max(c.applied, offset) }

func (c *Config) applyCommand(offset uint64, cmd briarspring.Command) Answer {
	if a, ok := c.answers[cmd.RequestID]; ok && cmd.RequestID != "" {
		return a
	}
	version, err := c.applyChange(offset, cmd)
	a := Answer{RequestID: cmd.RequestID, Offset: offset, Version: version, Err: err}
	c.storeAnswer(a)
	return a
}

func (c *Config) storeAnswer(a Answer) {
	if a.RequestID == "" {
		return
	}
	c.answers[a.RequestID] = a
	c.answerOrder = append(c.answerOrder, a.RequestID)
	if len(c.answerOrder) > maxAnswers {
		delete(c.answers, c.answerOrder[0])
		c.answerOrder = c.answerOrder[1:]
	}
}

func (c *Config) applyChange(offset uint64, cmd briarspring.Command) (uint64, error) {
	switch ch := cmd.Change.(type) {
	case briarspring.PutService:
		return c.putService(offset, cmd.ExpectedVersion, ch.Service)
	case briarspring.PutJob:
		return c.putJob(offset, cmd.ExpectedVersion, ch.Job)
	case briarspring.PutQuota:
		return c.putQuota(offset, cmd.ExpectedVersion, ch.Quota)
	case briarspring.DeleteService:
		return c.deleteWorkload(offset, cmd.ExpectedVersion, "service/"+ch.Name, c.services[ch.Name])
	case briarspring.DeleteJob:
		return c.deleteWorkload(offset, cmd.ExpectedVersion, "job/"+ch.Name, c.jobs[ch.Name])
	case briarspring.DeleteQuota:
		return c.deleteQuota(offset, cmd.ExpectedVersion, ch.Team)
	case briarspring.CancelJobs:
		return c.cancelJobs(offset, ch.Names)
	case briarspring.TakeOut:
		return c.setOutOfService(offset, cmd.ExpectedVersion, ch.DataCentre, true)
	case briarspring.Return:
		return c.setOutOfService(offset, cmd.ExpectedVersion, ch.DataCentre, false)
	case briarspring.DeclareLost:
		c.lostWorkers[ch.Worker] = offset
		return offset, nil
	}
	return 0, &briarspring.InvalidError{Object: "command", Reason: "unknown change"}
}

// checkVersion compares the version that a command is based on with the current
// one. The version of an object that does not exist is zero.
func checkVersion(object string, expected, inForce uint64) error {
	if expected == inForce {
		return nil
	}
	if inForce == 0 {
		return &briarspring.NotFoundError{Object: object}
	}
	return &briarspring.ConflictError{Object: object, Expected: expected, InForce: inForce}
}

func (c *Config) putQuota(offset, expected uint64, q briarspring.Quota) (uint64, error) {
	var inForce uint64
	if old := c.quotas[q.Team()]; old != nil {
		inForce = old.Version
	}
	if err := checkVersion("quota/"+q.Team(), expected, inForce); err != nil {
		return 0, err
	}
	c.quotas[q.Team()] = &VersionedQuota{Quota: q, Version: offset}
	return offset, nil
}

func (c *Config) deleteQuota(offset, expected uint64, team string) (uint64, error) {
	old := c.quotas[team]
	if old == nil {
		return 0, &briarspring.NotFoundError{Object: "quota/" + team}
	}
	if err := checkVersion("quota/"+team, expected, old.Version); err != nil {
		return 0, err
	}
	delete(c.quotas, team)
	return offset, nil
}

func (c *Config) setOutOfService(offset, expected uint64, name string, out bool) (uint64, error) {
	d := c.dataCentres[name]
	if d == nil {
		return 0, &briarspring.NotFoundError{Object: "data-centre/" + name}
	}
	if err := checkVersion("data-centre/"+name, expected, d.version); err != nil {
		return 0, err
	}
	d.outOfService = out
	d.version = offset
	return offset, nil
}

func (c *Config) applySummary(offset uint64, s briarspring.Summary) {
	d := c.dataCentres[s.DataCentre]
	if d == nil {
		d = &DataCentre{name: s.DataCentre, version: offset}
		c.dataCentres[s.DataCentre] = d
	}
	if s.Epoch < d.summary.Epoch {
		return
	}
	progress := s.Progress
	s.Progress = nil
	d.summary = s
	d.changedAt = offset
	for _, p := range progress {
		c.applyProgress(offset, s.DataCentre, p)
	}
	c.assignPending(offset)
}

func (c *Config) applyProgress(offset uint64, dataCentre string, p briarspring.Progress) {
	w := c.workloads[p.Workload]
	if w == nil {
		return
	}
	w.setProgress(dataCentre, p)
	if w.job == nil || w.finished || !w.complete() {
		return
	}
	w.finished = true
	w.shares = nil
	c.dirty[w.id] = struct{}{}
	c.finishedJobs = append(c.finishedJobs, w.id)
	if len(c.finishedJobs) > maxFinishedJobs {
		c.removeWorkload(c.workloads[c.finishedJobs[0]])
		c.finishedJobs = c.finishedJobs[1:]
	}
}

// removeWorkload removes a workload. It does nothing for nil.
func (c *Config) removeWorkload(w *Workload) {
	if w == nil {
		return
	}
	delete(c.workloads, w.id)
	if w.service != nil && c.services[w.service.Name()] == w {
		delete(c.services, w.service.Name())
	}
	if w.job != nil && c.jobs[w.job.Name()] == w {
		delete(c.jobs, w.job.Name())
	}
	c.dirty[w.id] = struct{}{}
}
