package encoder

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

// EncodeSubmission encodes an accepted workflow without its ID, which the key of
// the record contains.
func EncodeSubmission(w *briarspring.Workflow) ([]byte, error) {
	m := &pb.Submission{
		Queue: w.Queue, Service: w.Service, Specification: w.Specification,
		Priority: int32(w.Priority), MaxAttempts: int32(w.MaxAttempts), Stretch: w.Stretch,
		AllowanceMs: w.Allowance.Milliseconds(), DataCentre: w.DataCentre, SubmittedMs: w.Submitted.UnixMilli(),
		Organisation: w.Organisation,
	}
	m.Steps = EncodeSteps(w.Steps)
	m.Recurrence = EncodeRecurrence(w.Recurrence)
	return proto.Marshal(m)
}

// EncodeRecurrence maps a recurrence to its message; nil when the steps run
// once, without a start time.
func EncodeRecurrence(r briarspring.Recurrence) *pb.Recurrence {
	if r.Times == 0 {
		return nil
	}
	return &pb.Recurrence{Times: int32(r.Times), FirstDueMs: r.First.UnixMilli(), IntervalMs: r.Interval.Milliseconds()}
}

// DecodeRecurrence maps a message to a recurrence; errors are
// *MalformedError.
func DecodeRecurrence(m *pb.Recurrence) (briarspring.Recurrence, error) {
	if m == nil {
		return briarspring.Recurrence{}, nil
	}
	r, err := briarspring.NewRecurrence(int(m.Times), m.FirstDueMs, m.IntervalMs)
	if err != nil {
		return r, &MalformedError{Input: "workflow", Cause: err}
	}
	return r, nil
}

// EncodeSteps maps the steps of a workflow to their messages.
func EncodeSteps(steps []briarspring.Step) []*pb.WorkflowStep {
	var list []*pb.WorkflowStep
	for _, s := range steps {
		list = append(list, encodeStep(s))
	}
	return list
}

func encodeStep(s briarspring.Step) *pb.WorkflowStep {
	m := &pb.WorkflowStep{
		Tasks: int32(s.Tasks), MilliCpu: s.Resources.MilliCPU(), MemoryMib: s.Resources.MemoryMiB(),
		Accelerators: s.Resources.Accelerators(), EstimateMs: s.Estimate.Milliseconds(),
		Requirement: s.Requirement, Rack: s.Rack, Image: s.Image, MaxPerWorker: int32(s.MaxPerWorker),
		TailTargetUs: s.TailTarget.Microseconds(),
		Checkpoints:  s.Checkpoints, Speculative: s.Speculative, Lasting: s.LongRunning, Fills: s.BestEffort,
		Gang: s.Gang, OneRack: s.OneRack, MaxMissing: int32(s.MaxMissing),
	}
	for _, a := range s.After {
		m.After = append(m.After, int32(a))
	}
	return m
}

// DecodeSubmission decodes an accepted workflow; errors are *MalformedError.
func DecodeSubmission(id briarspring.WorkflowID, data []byte) (*briarspring.Workflow, error) {
	var m pb.Submission
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &MalformedError{Input: "submission", Cause: err}
	}
	w := &briarspring.Workflow{
		ID: id, Queue: m.Queue, Service: m.Service, Specification: m.Specification,
		Priority: int(m.Priority), MaxAttempts: int(m.MaxAttempts), Stretch: m.Stretch,
		Allowance:  time.Duration(m.AllowanceMs) * time.Millisecond,
		DataCentre: m.DataCentre, Submitted: time.UnixMilli(m.SubmittedMs),
		Organisation: m.Organisation,
	}
	var err error
	if w.Recurrence, err = DecodeRecurrence(m.Recurrence); err != nil {
		return nil, err
	}
	w.Steps, err = DecodeSteps(m.Steps)
	return w, err
}

// DecodeSteps maps messages to the steps of a workflow; errors are
// *MalformedError.
func DecodeSteps(list []*pb.WorkflowStep) ([]briarspring.Step, error) {
	if len(list) == 0 {
		return nil, malformed("workflow", "no steps")
	}
	var steps []briarspring.Step
	for i, m := range list {
		s, err := decodeStep(i, m)
		if err != nil {
			return nil, err
		}
		steps = append(steps, s)
	}
	return steps, nil
}

func decodeStep(i int, m *pb.WorkflowStep) (briarspring.Step, error) {
	s := briarspring.Step{
		Tasks: int(m.Tasks),
		Resources: briarspring.NewResources(briarspring.ResourcesConfig{
			MilliCPU: m.MilliCpu, MemoryMiB: m.MemoryMib, Accelerators: m.Accelerators,
		}),
		Estimate:    time.Duration(m.EstimateMs) * time.Millisecond,
		Requirement: m.Requirement, Rack: m.Rack, Image: m.Image, MaxPerWorker: int(m.MaxPerWorker),
		TailTarget:  time.Duration(m.TailTargetUs) * time.Microsecond,
		Checkpoints: m.Checkpoints, Speculative: m.Speculative, LongRunning: m.Lasting, BestEffort: m.Fills,
		Gang: m.Gang, OneRack: m.OneRack, MaxMissing: int(m.MaxMissing),
	}
	if s.Tasks < 1 || s.Tasks > briarspring.MaxTasks {
		return s, malformed("workflow", "step %d has %d tasks", i, s.Tasks)
	}
	if m.MilliCpu < 0 || m.MemoryMib < 0 || m.Accelerators < 0 || m.EstimateMs < 0 || m.MaxPerWorker < 0 || m.TailTargetUs < 0 || m.MaxMissing < 0 {
		return s, malformed("workflow", "step %d has a negative resource amount, time or limit", i)
	}
	for _, a := range m.After {
		if a < 0 || int(a) >= i {
			return s, malformed("workflow", "step %d depends on step %d, which is not an earlier step", i, a)
		}
		s.After = append(s.After, int(a))
	}
	return s, nil
}

// EncodePhase encodes a workflow's phase.
func EncodePhase(p briarspring.Phase) ([]byte, error) {
	return proto.Marshal(&pb.PhaseMark{Phase: int32(p)})
}

// DecodePhase decodes a workflow's phase; errors are *MalformedError.
func DecodePhase(data []byte) (briarspring.Phase, error) {
	var m pb.PhaseMark
	if err := proto.Unmarshal(data, &m); err != nil {
		return 0, &MalformedError{Input: "phase", Cause: err}
	}
	if m.Phase < 0 || m.Phase > int32(briarspring.PhaseCancelled) {
		return 0, malformed("phase", "unknown phase %d", m.Phase)
	}
	return briarspring.Phase(m.Phase), nil
}

// EncodeEarlyCancellation encodes the cancellation of a workflow that is not known yet.
func EncodeEarlyCancellation(c briarspring.EarlyCancellation) ([]byte, error) {
	return proto.Marshal(&pb.EarlyCancellation{DataCentre: c.DataCentre, Organisation: c.Organisation, Limited: c.Limited})
}

// DecodeEarlyCancellation decodes the cancellation of a workflow that is not known yet;
// errors are *MalformedError.
func DecodeEarlyCancellation(data []byte) (briarspring.EarlyCancellation, error) {
	var m pb.EarlyCancellation
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.EarlyCancellation{}, &MalformedError{Input: "early cancellation", Cause: err}
	}
	return briarspring.EarlyCancellation{DataCentre: m.DataCentre, Organisation: m.Organisation, Limited: m.Limited}, nil
}

// EncodeDataCentreClaim encodes an owner's claim to a data centre.
func EncodeDataCentreClaim(c briarspring.DataCentreClaim) ([]byte, error) {
	return proto.Marshal(&pb.DataCentreClaim{
		DataCentre: c.DataCentre, Previous: c.Previous, Owner: c.Owner, Incarnation: c.Incarnation, Yields: c.Yields,
		ShortLeases: c.ShortLeases,
	})
}

// DecodeDataCentreClaim decodes an owner's claim to a data centre; errors are
// *MalformedError.
func DecodeDataCentreClaim(data []byte) (briarspring.DataCentreClaim, error) {
	var m pb.DataCentreClaim
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.DataCentreClaim{}, &MalformedError{Input: "claim", Cause: err}
	}
	return briarspring.DataCentreClaim{
		DataCentre: m.DataCentre, Previous: m.Previous, Owner: m.Owner, Incarnation: m.Incarnation, Yields: m.Yields,
		ShortLeases: m.ShortLeases,
	}, nil
}

// EncodeHeartbeat encodes an owner's heartbeat.
func EncodeHeartbeat(b briarspring.OwnerHeartbeat) ([]byte, error) {
	m := &pb.OwnerBeat{
		Token: b.Token, BacklogMilliCpuSeconds: b.Backlog, FreeMilliCpu: b.Free, TotalMilliCpu: b.Total,
		LargestMilliCpu: b.Largest,
	}
	for _, image := range slices.Sorted(maps.Keys(b.IdleByImage)) {
		m.Rooms = append(m.Rooms, &pb.ImageRoom{Image: image, MilliCpu: b.IdleByImage[image]})
	}
	return proto.Marshal(m)
}

// DecodeHeartbeat decodes an owner's heartbeat; errors are *MalformedError.
func DecodeHeartbeat(data []byte) (briarspring.OwnerHeartbeat, error) {
	var m pb.OwnerBeat
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.OwnerHeartbeat{}, &MalformedError{Input: "beat", Cause: err}
	}
	b := briarspring.OwnerHeartbeat{
		Token: m.Token, Backlog: m.BacklogMilliCpuSeconds, Free: m.FreeMilliCpu, Total: m.TotalMilliCpu,
		Largest: m.LargestMilliCpu, IdleByImage: map[string]int64{},
	}
	for _, r := range m.Rooms {
		b.IdleByImage[r.Image] = r.MilliCpu
	}
	return b, nil
}

// EncodeHostPresence encodes the presence record of a host process.
func EncodeHostPresence(p briarspring.HostPresence) ([]byte, error) {
	return proto.Marshal(&pb.HostPresence{DataCentre: p.DataCentre, Incarnation: p.Incarnation, MilliCpu: int32(p.MilliCPU)})
}

// DecodeHostPresence decodes the presence record of a host process; errors are
// *MalformedError.
func DecodeHostPresence(data []byte) (briarspring.HostPresence, error) {
	var m pb.HostPresence
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.HostPresence{}, &MalformedError{Input: "presence", Cause: err}
	}
	return briarspring.HostPresence{DataCentre: m.DataCentre, Incarnation: m.Incarnation, MilliCPU: int(m.MilliCpu)}, nil
}

// TaskProgressBytes is the size of the progress of one task with a checkpoint and a
// worker's ID of 16 bytes each, and FailedRunBytes what each failed run adds.
const (
	TaskProgressBytes = 56
	FailedRunBytes    = 3
)

// EncodeRunProgress encodes the progress of those tasks of a workflow of which a start
// was ordered.
func EncodeRunProgress(tasks []briarspring.TaskProgress) ([]byte, error) {
	return proto.Marshal(&pb.WorkflowProgress{Tasks: encodeTaskProgress(tasks)})
}

// DecodeRunProgress decodes the progress of those tasks of a workflow of which a start
// was ordered; errors are *MalformedError.
func DecodeRunProgress(data []byte) ([]briarspring.TaskProgress, error) {
	var m pb.WorkflowProgress
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &MalformedError{Input: "progress", Cause: err}
	}
	return decodeTaskProgress("progress", m.Tasks)
}

// EncodeTaskTransfer encodes a transfer of tasks between data centres.
func EncodeTaskTransfer(t briarspring.TaskTransfer) ([]byte, error) {
	return proto.Marshal(&pb.TaskTransfer{Token: t.Token, From: t.From, To: t.To, Tasks: encodeTaskProgress(t.Tasks)})
}

// DecodeTaskTransfer decodes a transfer of tasks between data centres; errors
// are *MalformedError.
func DecodeTaskTransfer(data []byte) (briarspring.TaskTransfer, error) {
	var m pb.TaskTransfer
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.TaskTransfer{}, &MalformedError{Input: "transfer", Cause: err}
	}
	tasks, err := decodeTaskProgress("transfer", m.Tasks)
	return briarspring.TaskTransfer{Token: m.Token, From: m.From, To: m.To, Tasks: tasks}, err
}

func encodeTaskProgress(tasks []briarspring.TaskProgress) []*pb.TaskProgress {
	list := make([]*pb.TaskProgress, 0, len(tasks))
	for _, t := range tasks {
		list = append(list, &pb.TaskProgress{
			Position: int32(t.Position), Done: t.Done, FailedRuns: t.FailedRuns, Run: t.Run,
			Checkpoint: t.Checkpoint, Worker: t.Worker, Suspicion: uint32(t.Suspicion), Started: t.Started,
			DoubtLeftMs: uint32(t.DoubtLeft.Milliseconds()),
		})
	}
	return list
}

func decodeTaskProgress(what string, list []*pb.TaskProgress) ([]briarspring.TaskProgress, error) {
	tasks := make([]briarspring.TaskProgress, 0, len(list))
	for _, t := range list {
		if t.Position < 0 {
			return nil, malformed(what, "negative task position %d", t.Position)
		}
		tasks = append(tasks, briarspring.TaskProgress{
			Position: int(t.Position), Done: t.Done, FailedRuns: t.FailedRuns, Run: t.Run,
			Checkpoint: t.Checkpoint, Worker: t.Worker, Suspicion: int(t.Suspicion), Started: t.Started,
			DoubtLeft: time.Duration(t.DoubtLeftMs) * time.Millisecond,
		})
	}
	return tasks, nil
}

// EncodeRetirement encodes an owner's retirement.
func EncodeRetirement(r briarspring.Retirement) ([]byte, error) {
	m := &pb.Retirement{Token: r.Token}
	for _, w := range r.Silent {
		m.Silent = append(m.Silent, &pb.SilentWorker{Worker: w.Worker, LeaseLeftMs: w.LeaseLeft.Milliseconds()})
	}
	return proto.Marshal(m)
}

// DecodeRetirement decodes an owner's retirement; errors are *MalformedError.
func DecodeRetirement(data []byte) (briarspring.Retirement, error) {
	var m pb.Retirement
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.Retirement{}, &MalformedError{Input: "retirement", Cause: err}
	}
	r := briarspring.Retirement{Token: m.Token}
	for _, w := range m.Silent {
		r.Silent = append(r.Silent, briarspring.SilentWorker{
			Worker: w.Worker, LeaseLeft: time.Duration(w.LeaseLeftMs) * time.Millisecond,
		})
	}
	return r, nil
}

// EncodeInterferenceModels encodes the interference models that an owner has
// learned.
func EncodeInterferenceModels(models []briarspring.InterferenceModel) ([]byte, error) {
	m := &pb.PressModels{}
	for _, model := range models {
		message := &pb.PressModel{Serving: model.Serving, Constant: model.Constant}
		for _, p := range model.Pairs {
			message.Pairs = append(message.Pairs, &pb.PressPair{Image: p.Image, Rise: p.Rise, Variance: p.Variance})
		}
		m.Models = append(m.Models, message)
	}
	return proto.Marshal(m)
}

// DecodeInterferenceModels decodes the interference models that an owner has
// learned; errors are *MalformedError.
func DecodeInterferenceModels(data []byte) ([]briarspring.InterferenceModel, error) {
	var m pb.PressModels
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &MalformedError{Input: "model", Cause: err}
	}
	var models []briarspring.InterferenceModel
	for _, message := range m.Models {
		model := briarspring.InterferenceModel{Serving: message.Serving, Constant: message.Constant}
		for _, p := range message.Pairs {
			if !(p.Variance > 0) || math.IsNaN(p.Rise) || math.IsInf(p.Rise, 0) {
				return nil, malformed("model", "invalid rise %g or variance %g", p.Rise, p.Variance)
			}
			model.Pairs = append(model.Pairs, briarspring.InterferencePair{Image: p.Image, Rise: p.Rise, Variance: p.Variance})
		}
		models = append(models, model)
	}
	return models, nil
}
