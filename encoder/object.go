package encoder

import (
	"time"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

// EncodeResources maps resources to their message.
func EncodeResources(r briarspring.Resources) *pb.Resources {
	return &pb.Resources{MilliCpu: r.MilliCPU(), MemoryMib: r.MemoryMiB(), Accelerators: r.Accelerators()}
}

// DecodeResources maps a message to resources; nil becomes zero resources.
func DecodeResources(m *pb.Resources) briarspring.Resources {
	return briarspring.NewResources(briarspring.ResourcesConfig{
		MilliCPU: m.GetMilliCpu(), MemoryMiB: m.GetMemoryMib(), Accelerators: m.GetAccelerators(),
	})
}

// EncodeService maps a service to its message.
func EncodeService(s briarspring.Service) *pb.Service {
	return &pb.Service{
		Name: s.Name(), Team: s.Team(), Prefix: s.Prefix(),
		Resources: EncodeResources(s.Resources()),
		Executors: s.Executors(), Slots: s.Slots(), Connections: s.Connections(),
		Command: s.Command(),
	}
}

// DecodeService maps a message to a service and validates it; errors are
// *briarspring.InvalidError.
func DecodeService(m *pb.Service) (briarspring.Service, error) {
	return briarspring.NewService(briarspring.ServiceConfig{
		Name: m.GetName(), Team: m.GetTeam(), Prefix: m.GetPrefix(),
		Resources: DecodeResources(m.GetResources()),
		Executors: m.GetExecutors(), Slots: m.GetSlots(), Connections: m.GetConnections(),
		Command: m.GetCommand(),
	})
}

// EncodeJob maps a job to its message.
func EncodeJob(j briarspring.Job) *pb.Job {
	return &pb.Job{
		Name: j.Name(), Team: j.Team(), Class: j.Class(), Tasks: j.Tasks(),
		Resources: EncodeResources(j.Resources()),
		Weight:    j.Weight(), RunTimeMs: j.RunTime().Milliseconds(),
		Command: j.Command(), MaxTries: j.MaxTries(),
	}
}

// DecodeJob maps a message to a job and validates it; errors are
// *briarspring.InvalidError.
func DecodeJob(m *pb.Job) (briarspring.Job, error) {
	return briarspring.NewJob(briarspring.JobConfig{
		Name: m.GetName(), Team: m.GetTeam(), Class: m.GetClass(), Tasks: m.GetTasks(),
		Resources: DecodeResources(m.GetResources()),
		Weight:    m.GetWeight(), RunTime: time.Duration(m.GetRunTimeMs()) * time.Millisecond,
		Command: m.GetCommand(), MaxTries: m.GetMaxTries(),
	})
}

// EncodeQuota maps a quota to its message.
func EncodeQuota(q briarspring.Quota) *pb.Quota {
	return &pb.Quota{
		Team: q.Team(), Resources: EncodeResources(q.Resources()), RequestsPerSecond: q.RequestsPerSecond(),
	}
}

// DecodeQuota maps a message to a quota and validates it; errors are
// *briarspring.InvalidError.
func DecodeQuota(m *pb.Quota) (briarspring.Quota, error) {
	return briarspring.NewQuota(briarspring.QuotaConfig{
		Team: m.GetTeam(), Resources: DecodeResources(m.GetResources()),
		RequestsPerSecond: m.GetRequestsPerSecond(),
	})
}

// EncodeSummary maps a summary to its message.
func EncodeSummary(s briarspring.Summary) *pb.Summary {
	m := &pb.Summary{
		DataCentre: s.DataCentre, Epoch: s.Epoch, Owner: s.Owner,
		Capacity: EncodeResources(s.Capacity), Committed: EncodeResources(s.Committed),
		Workers: s.Workers, Largest: EncodeResources(s.Largest),
	}
	for _, p := range s.Progress {
		m.Progress = append(m.Progress, EncodeProgress(p))
	}
	return m
}

// DecodeSummary maps a message to a summary.
func DecodeSummary(m *pb.Summary) briarspring.Summary {
	s := briarspring.Summary{
		DataCentre: m.GetDataCentre(), Epoch: m.GetEpoch(), Owner: m.GetOwner(),
		Capacity: DecodeResources(m.GetCapacity()), Committed: DecodeResources(m.GetCommitted()),
		Workers: m.GetWorkers(), Largest: DecodeResources(m.GetLargest()),
	}
	for _, p := range m.GetProgress() {
		s.Progress = append(s.Progress, DecodeProgress(p))
	}
	return s
}

// EncodeProgress maps the progress of a workload to its message.
func EncodeProgress(p briarspring.Progress) *pb.WorkloadProgress {
	return &pb.WorkloadProgress{
		Workload: uint64(p.Workload), Running: p.Running, Done: p.Done, Failed: p.Failed, Evictions: p.Evictions,
	}
}

// DecodeProgress maps a message to the progress of a workload.
func DecodeProgress(m *pb.WorkloadProgress) briarspring.Progress {
	return briarspring.Progress{
		Workload: briarspring.WorkloadID(m.GetWorkload()),
		Running:  m.GetRunning(), Done: m.GetDone(), Failed: m.GetFailed(), Evictions: m.GetEvictions(),
	}
}

// EncodeTaskStates maps the state of tasks to their messages.
func EncodeTaskStates(tasks []briarspring.TaskState) []*pb.TaskState {
	var messages []*pb.TaskState
	for _, t := range tasks {
		messages = append(messages, &pb.TaskState{Index: t.Index, Attempt: t.Attempt, Checkpoint: t.Checkpoint})
	}
	return messages
}

// DecodeTaskStates maps messages to the state of tasks.
func DecodeTaskStates(messages []*pb.TaskState) []briarspring.TaskState {
	var tasks []briarspring.TaskState
	for _, m := range messages {
		tasks = append(tasks, briarspring.TaskState{
			Index: m.GetIndex(), Attempt: m.GetAttempt(), Checkpoint: m.GetCheckpoint(),
		})
	}
	return tasks
}
