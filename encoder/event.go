package encoder

import (
	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

func encodeBatch(b briarspring.Batch) (*pb.Batch, error) {
	m := &pb.Batch{Epoch: b.Epoch, Events: make([]*pb.Event, 0, len(b.Events))}
	for _, e := range b.Events {
		em, err := encodeEvent(e)
		if err != nil {
			return nil, err
		}
		m.Events = append(m.Events, em)
	}
	return m, nil
}

func decodeBatch(m *pb.Batch) (briarspring.Body, error) {
	b := briarspring.Batch{Epoch: m.GetEpoch(), Events: make([]briarspring.Event, 0, len(m.GetEvents()))}
	for _, em := range m.GetEvents() {
		e, err := decodeEvent(em)
		if err != nil {
			return nil, err
		}
		b.Events = append(b.Events, e)
	}
	return b, nil
}

func encodeEvent(event briarspring.Event) (*pb.Event, error) {
	m := &pb.Event{}
	switch e := event.(type) {
	case briarspring.Claim:
		m.Event = &pb.Event_Claim{Claim: &pb.Claim{}}
	case briarspring.Beat:
		m.Event = &pb.Event_Beat{Beat: &pb.Beat{}}
	case briarspring.Resign:
		m.Event = &pb.Event_Resign{Resign: &pb.Resign{}}
	case briarspring.WorkerJoin:
		m.Event = &pb.Event_WorkerJoin{WorkerJoin: &pb.WorkerJoin{
			Name: e.Name, Incarnation: e.Incarnation, Rack: e.Rack, Capacity: EncodeResources(e.Capacity),
		}}
	case briarspring.WorkerGone:
		m.Event = &pb.Event_WorkerGone{WorkerGone: &pb.WorkerGone{Worker: e.Worker, Declared: e.Declared}}
	case briarspring.Adopt:
		m.Event = &pb.Event_Adopt{Adopt: encodeAdopt(e)}
	case briarspring.Start:
		a := e.Attempt
		m.Event = &pb.Event_Start{Start: &pb.Start{
			Workload: uint64(a.Task.Workload), Index: a.Task.Index, Attempt: a.Attempt, Worker: e.Worker,
		}}
	case briarspring.Ready:
		a := e.Attempt
		m.Event = &pb.Event_Ready{Ready: &pb.Ready{
			Workload: uint64(a.Task.Workload), Index: a.Task.Index, Attempt: a.Attempt, Address: e.Address,
		}}
	case briarspring.End:
		a := e.Attempt
		m.Event = &pb.Event_End{End: &pb.End{
			Workload: uint64(a.Task.Workload), Index: a.Task.Index, Attempt: a.Attempt,
			Reason: pb.EndReason(e.Reason), Checkpoint: e.Checkpoint,
		}}
	case briarspring.EvictIntent:
		a := e.Attempt
		m.Event = &pb.Event_EvictIntent{EvictIntent: &pb.EvictIntent{
			Workload: uint64(a.Task.Workload), Index: a.Task.Index, Attempt: a.Attempt,
		}}
	case briarspring.Release:
		m.Event = &pb.Event_Release{Release: &pb.Release{Workload: uint64(e.Workload), To: e.To, Indexes: e.Indexes}}
	case briarspring.Cancel:
		m.Event = &pb.Event_Cancel{Cancel: &pb.Cancel{Workload: uint64(e.Workload), First: e.First, End: e.End}}
	case briarspring.Forget:
		m.Event = &pb.Event_Forget{Forget: &pb.Forget{Workload: uint64(e.Workload), Seen: e.Seen}}
	default:
		return nil, malformed("event", "type %T", event)
	}
	return m, nil
}

func encodeAdopt(e briarspring.Adopt) *pb.Adopt {
	return &pb.Adopt{
		Workload: uint64(e.Workload), Offset: e.Offset, Resources: EncodeResources(e.Resources),
		Service: e.Service, MaxTries: e.MaxTries, First: e.First, End: e.End,
		Tasks: EncodeTaskStates(e.Tasks), Seen: e.Seen,
	}
}

func decodeEvent(m *pb.Event) (briarspring.Event, error) {
	switch e := m.GetEvent().(type) {
	case *pb.Event_Claim:
		return briarspring.Claim{}, nil
	case *pb.Event_Beat:
		return briarspring.Beat{}, nil
	case *pb.Event_Resign:
		return briarspring.Resign{}, nil
	case *pb.Event_WorkerJoin:
		j := e.WorkerJoin
		return briarspring.WorkerJoin{
			Name: j.GetName(), Incarnation: j.GetIncarnation(), Rack: j.GetRack(),
			Capacity: DecodeResources(j.GetCapacity()),
		}, nil
	case *pb.Event_WorkerGone:
		return briarspring.WorkerGone{Worker: e.WorkerGone.GetWorker(), Declared: e.WorkerGone.GetDeclared()}, nil
	case *pb.Event_Adopt:
		return decodeAdopt(e.Adopt), nil
	case *pb.Event_Start:
		return briarspring.Start{Attempt: decodeAttempt(e.Start), Worker: e.Start.GetWorker()}, nil
	case *pb.Event_Ready:
		return briarspring.Ready{Attempt: decodeAttempt(e.Ready), Address: e.Ready.GetAddress()}, nil
	case *pb.Event_End:
		return decodeEnd(e.End)
	case *pb.Event_EvictIntent:
		return briarspring.EvictIntent{Attempt: decodeAttempt(e.EvictIntent)}, nil
	case *pb.Event_Release:
		r := e.Release
		return briarspring.Release{
			Workload: briarspring.WorkloadID(r.GetWorkload()), To: r.GetTo(), Indexes: r.GetIndexes(),
		}, nil
	case *pb.Event_Cancel:
		c := e.Cancel
		return briarspring.Cancel{
			Workload: briarspring.WorkloadID(c.GetWorkload()), First: c.GetFirst(), End: c.GetEnd(),
		}, nil
	case *pb.Event_Forget:
		return briarspring.Forget{
			Workload: briarspring.WorkloadID(e.Forget.GetWorkload()), Seen: e.Forget.GetSeen(),
		}, nil
	}
	return nil, malformed("event", "unknown or missing event")
}

// attemptFields is implemented by every message that names an attempt.
type attemptFields interface {
	GetWorkload() uint64
	GetIndex() uint32
	GetAttempt() uint32
}

func decodeAttempt(m attemptFields) briarspring.AttemptID {
	return briarspring.AttemptID{
		Task:    briarspring.TaskID{Workload: briarspring.WorkloadID(m.GetWorkload()), Index: m.GetIndex()},
		Attempt: m.GetAttempt(),
	}
}

func decodeEnd(m *pb.End) (briarspring.Event, error) {
	reason := m.GetReason()
	if reason < pb.EndReason_END_REASON_DONE || reason > pb.EndReason_END_REASON_LOST {
		return nil, malformed("event", "end reason %d", reason)
	}
	return briarspring.End{
		Attempt: decodeAttempt(m), Reason: briarspring.EndReason(reason), Checkpoint: m.GetCheckpoint(),
	}, nil
}

func decodeAdopt(m *pb.Adopt) briarspring.Event {
	return briarspring.Adopt{
		Workload: briarspring.WorkloadID(m.GetWorkload()), Offset: m.GetOffset(),
		Resources: DecodeResources(m.GetResources()), Service: m.GetService(), MaxTries: m.GetMaxTries(),
		First: m.GetFirst(), End: m.GetEnd(), Tasks: DecodeTaskStates(m.GetTasks()), Seen: m.GetSeen(),
	}
}
