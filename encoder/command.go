package encoder

import (
	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

func encodeCommand(c briarspring.Command) (*pb.Command, error) {
	m := &pb.Command{RequestId: c.RequestID, ExpectedVersion: c.ExpectedVersion}
	switch ch := c.Change.(type) {
	case briarspring.PutService:
		m.Change = &pb.Command_PutService{PutService: EncodeService(ch.Service)}
	case briarspring.PutJob:
		m.Change = &pb.Command_PutJob{PutJob: EncodeJob(ch.Job)}
	case briarspring.PutQuota:
		m.Change = &pb.Command_PutQuota{PutQuota: EncodeQuota(ch.Quota)}
	case briarspring.DeleteService:
		m.Change = &pb.Command_DeleteService{DeleteService: ch.Name}
	case briarspring.DeleteJob:
		m.Change = &pb.Command_DeleteJob{DeleteJob: ch.Name}
	case briarspring.DeleteQuota:
		m.Change = &pb.Command_DeleteQuota{DeleteQuota: ch.Team}
	case briarspring.CancelJobs:
		m.Change = &pb.Command_CancelJobs{CancelJobs: &pb.Names{Names: ch.Names}}
	case briarspring.TakeOut:
		m.Change = &pb.Command_TakeOut{TakeOut: ch.DataCentre}
	case briarspring.Return:
		m.Change = &pb.Command_Return{Return: ch.DataCentre}
	case briarspring.DeclareLost:
		m.Change = &pb.Command_DeclareLost{DeclareLost: ch.Worker}
	default:
		return nil, malformed("command", "change of type %T", c.Change)
	}
	return m, nil
}

func decodeCommand(m *pb.Command) (briarspring.Command, error) {
	c := briarspring.Command{RequestID: m.GetRequestId(), ExpectedVersion: m.GetExpectedVersion()}
	change, err := decodeChange(m)
	if err != nil {
		return briarspring.Command{}, &MalformedError{Input: "command", Cause: err}
	}
	c.Change = change
	return c, nil
}

func decodeChange(m *pb.Command) (briarspring.Change, error) {
	switch ch := m.GetChange().(type) {
	case *pb.Command_PutService:
		s, err := DecodeService(ch.PutService)
		return briarspring.PutService{Service: s}, err
	case *pb.Command_PutJob:
		j, err := DecodeJob(ch.PutJob)
		return briarspring.PutJob{Job: j}, err
	case *pb.Command_PutQuota:
		q, err := DecodeQuota(ch.PutQuota)
		return briarspring.PutQuota{Quota: q}, err
	case *pb.Command_DeleteService:
		return briarspring.DeleteService{Name: ch.DeleteService}, nil
	case *pb.Command_DeleteJob:
		return briarspring.DeleteJob{Name: ch.DeleteJob}, nil
	case *pb.Command_DeleteQuota:
		return briarspring.DeleteQuota{Team: ch.DeleteQuota}, nil
	case *pb.Command_CancelJobs:
		return briarspring.CancelJobs{Names: ch.CancelJobs.GetNames()}, nil
	case *pb.Command_TakeOut:
		return briarspring.TakeOut{DataCentre: ch.TakeOut}, nil
	case *pb.Command_Return:
		return briarspring.Return{DataCentre: ch.Return}, nil
	case *pb.Command_DeclareLost:
		return briarspring.DeclareLost{Worker: ch.DeclareLost}, nil
	}
	return nil, malformed("command", "unknown or missing change")
}

func encodeTransfer(t briarspring.Transfer) *pb.Transfer {
	return &pb.Transfer{
		Workload: uint64(t.Workload), From: t.From, To: t.To, Granted: t.Granted,
		Tasks: EncodeTaskStates(t.Tasks),
	}
}

func decodeTransfer(m *pb.Transfer) briarspring.Transfer {
	return briarspring.Transfer{
		Workload: briarspring.WorkloadID(m.GetWorkload()), From: m.GetFrom(), To: m.GetTo(),
		Granted: m.GetGranted(), Tasks: DecodeTaskStates(m.GetTasks()),
	}
}
