package applier

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"briarspring"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

// Snapshot encodes the state. Equal states give equal bytes.
func (c *Config) Snapshot() ([]byte, error) {
	m := &pb.ConfigSnapshot{Applied: c.applied, Writers: c.writers.encode()}
	for _, id := range sortedKeys(c.workloads) {
		m.Workloads = append(m.Workloads, encodeWorkload(c.workloads[id]))
	}
	for _, q := range c.Quotas() {
		m.Quotas = append(m.Quotas, &pb.ConfigSnapshot_VersionedQuota{
			Quota: encoder.EncodeQuota(q.Quota), Version: q.Version,
		})
	}
	for _, d := range c.DataCentres() {
		m.DataCentres = append(m.DataCentres, &pb.ConfigSnapshot_DataCentre{
			Name: d.name, Out: d.outOfService, Version: d.version, ChangedAt: d.changedAt,
			Summary: encoder.EncodeSummary(d.summary),
		})
	}
	for _, name := range sortedKeys(c.lostWorkers) {
		m.LostWorkers = append(m.LostWorkers, &pb.ConfigSnapshot_LostWorker{Name: name, Offset: c.lostWorkers[name]})
	}
	for _, id := range c.answerOrder {
		m.Answers = append(m.Answers, encodeAnswer(c.answers[id]))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func encodeWorkload(w *Workload) *pb.ConfigSnapshot_Workload {
	m := &pb.ConfigSnapshot_Workload{
		Id: uint64(w.id), Version: w.version, Cancelled: w.cancelled, Finished: w.finished, NextIndex: w.nextIndex,
	}
	if w.service != nil {
		m.Service = encoder.EncodeService(*w.service)
	}
	if w.job != nil {
		m.Job = encoder.EncodeJob(*w.job)
	}
	for _, s := range w.shares {
		m.Shares = append(m.Shares, &pb.ConfigSnapshot_Share{
			DataCentre: s.DataCentre, Offset: s.Offset, First: s.Span.First, End: s.Span.End,
			Tasks: encoder.EncodeTaskStates(s.Tasks),
		})
	}
	for _, p := range w.Progress() {
		m.Progress = append(m.Progress, &pb.ConfigSnapshot_DataCentreProgress{
			DataCentre: p.DataCentre, Progress: encoder.EncodeProgress(p.Progress),
		})
	}
	return m
}

func encodeAnswer(a Answer) *pb.ConfigSnapshot_Answer {
	m := &pb.ConfigSnapshot_Answer{RequestId: a.RequestID, Offset: a.Offset, Version: a.Version}
	var conflict *briarspring.ConflictError
	var missing *briarspring.NotFoundError
	var invalid *briarspring.InvalidError
	switch {
	case errors.As(a.Err, &conflict):
		m.Object, m.Expected, m.Conflict = conflict.Object, conflict.Expected, conflict.InForce
	case errors.As(a.Err, &invalid):
		m.Object, m.Invalid = invalid.Object, invalid.Reason
	case errors.As(a.Err, &missing):
		m.Object = missing.Object
	}
	return m
}

func decodeAnswer(m *pb.ConfigSnapshot_Answer) Answer {
	a := Answer{RequestID: m.GetRequestId(), Offset: m.GetOffset(), Version: m.GetVersion()}
	switch {
	case m.GetConflict() != 0:
		a.Err = &briarspring.ConflictError{Object: m.GetObject(), Expected: m.GetExpected(), InForce: m.GetConflict()}
	case m.GetInvalid() != "":
		a.Err = &briarspring.InvalidError{Object: m.GetObject(), Reason: m.GetInvalid()}
	case m.GetObject() != "":
		a.Err = &briarspring.NotFoundError{Object: m.GetObject()}
	}
	return a
}

// RestoreConfig decodes a state that Snapshot encoded. It marks every workload
// as changed. Errors are *encoder.MalformedError.
func RestoreConfig(data []byte) (*Config, error) {
	var m pb.ConfigSnapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &encoder.MalformedError{Input: "configuration snapshot", Cause: err}
	}
	c := NewConfig()
	c.applied = m.GetApplied()
	c.writers = decodeWriters(m.GetWriters())
	for _, wm := range m.GetWorkloads() {
		if err := c.restoreWorkload(wm); err != nil {
			return nil, &encoder.MalformedError{Input: "configuration snapshot", Cause: err}
		}
	}
	for _, qm := range m.GetQuotas() {
		q, err := encoder.DecodeQuota(qm.GetQuota())
		if err != nil {
			return nil, &encoder.MalformedError{Input: "configuration snapshot", Cause: err}
		}
		c.quotas[q.Team()] = &VersionedQuota{Quota: q, Version: qm.GetVersion()}
	}
	for _, dm := range m.GetDataCentres() {
		c.dataCentres[dm.GetName()] = &DataCentre{
			name: dm.GetName(), outOfService: dm.GetOut(), version: dm.GetVersion(), changedAt: dm.GetChangedAt(),
			summary: encoder.DecodeSummary(dm.GetSummary()),
		}
	}
	for _, lm := range m.GetLostWorkers() {
		c.lostWorkers[lm.GetName()] = lm.GetOffset()
	}
	for _, am := range m.GetAnswers() {
		c.storeAnswer(decodeAnswer(am))
	}
	c.MarkAllDirty()
	return c, nil
}

func (c *Config) restoreWorkload(m *pb.ConfigSnapshot_Workload) error {
	w := &Workload{
		id: briarspring.WorkloadID(m.GetId()), version: m.GetVersion(), cancelled: m.GetCancelled(),
		finished: m.GetFinished(), nextIndex: m.GetNextIndex(),
	}
	switch {
	case m.GetService() != nil:
		s, err := encoder.DecodeService(m.GetService())
		if err != nil {
			return err
		}
		w.service = &s
		c.services[s.Name()] = w
	case m.GetJob() != nil:
		j, err := encoder.DecodeJob(m.GetJob())
		if err != nil {
			return err
		}
		w.job = &j
		c.jobs[j.Name()] = w
	default:
		return errors.New("workload is neither a service nor a job")
	}
	for _, sm := range m.GetShares() {
		w.shares = append(w.shares, Share{
			DataCentre: sm.GetDataCentre(), Offset: sm.GetOffset(),
			Span:  Span{First: sm.GetFirst(), End: sm.GetEnd()},
			Tasks: encoder.DecodeTaskStates(sm.GetTasks()),
		})
		if sm.GetDataCentre() == "" {
			c.unassigned[w.id] = struct{}{}
		}
	}
	for _, pm := range m.GetProgress() {
		w.setProgress(pm.GetDataCentre(), encoder.DecodeProgress(pm.GetProgress()))
	}
	c.workloads[w.id] = w
	if w.finished {
		c.finishedJobs = append(c.finishedJobs, w.id)
	}
	return nil
}
