package operator

import (
	"context"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/applier"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

// Job states shown to operators.
const (
	stateWaiting    = "waiting"
	stateRunning    = "running"
	stateDone       = "done"
	stateFailed     = "failed"
	stateCancelled  = "cancelled"
	stateImpossible = "impossible"
)

// CreateJob creates a job.
func (s *Server) CreateJob(ctx context.Context, r *connect.Request[pb.CreateJobRequest]) (*connect.Response[pb.ChangeResponse], error) {
	j, err := encoder.DecodeJob(r.Msg.GetJob())
	if err != nil {
		return nil, rpcError(err)
	}
	return s.submit(ctx, r.Msg.GetRequestId(), 0, briarspring.PutJob{Job: j})
}

// ChangeJob changes a job's weight or declared run time.
func (s *Server) ChangeJob(ctx context.Context, r *connect.Request[pb.ChangeJobRequest]) (*connect.Response[pb.ChangeResponse], error) {
	j, err := encoder.DecodeJob(r.Msg.GetJob())
	if err != nil {
		return nil, rpcError(err)
	}
	if err := requireVersion("job/"+j.Name(), r.Msg.GetExpectedVersion()); err != nil {
		return nil, err
	}
	return s.submit(ctx, r.Msg.GetRequestId(), r.Msg.GetExpectedVersion(), briarspring.PutJob{Job: j})
}

// DeleteJob ends a job and removes it from the lists.
func (s *Server) DeleteJob(ctx context.Context, r *connect.Request[pb.DeleteRequest]) (*connect.Response[pb.ChangeResponse], error) {
	if err := requireVersion("job/"+r.Msg.GetName(), r.Msg.GetExpectedVersion()); err != nil {
		return nil, err
	}
	return s.submit(ctx, r.Msg.GetRequestId(), r.Msg.GetExpectedVersion(), briarspring.DeleteJob{Name: r.Msg.GetName()})
}

// CancelJobs cancels several jobs with one record.
func (s *Server) CancelJobs(ctx context.Context, r *connect.Request[pb.CancelJobsRequest]) (*connect.Response[pb.ChangeResponse], error) {
	if len(r.Msg.GetNames()) == 0 {
		return nil, rpcError(&briarspring.InvalidError{Object: "jobs", Reason: "no name is given"})
	}
	return s.submit(ctx, r.Msg.GetRequestId(), 0, briarspring.CancelJobs{Names: r.Msg.GetNames()})
}

// DescribeJob returns a job's version, progress and state.
func (s *Server) DescribeJob(_ context.Context, r *connect.Request[pb.DescribeRequest]) (*connect.Response[pb.JobDescription], error) {
	var m *pb.JobDescription
	err := s.view(func(conf *applier.Config, _ *applier.Placement) {
		if w := conf.Job(r.Msg.GetName()); w != nil {
			m = describeJob(conf, w)
		}
	})
	if err != nil {
		return nil, err
	}
	if m == nil {
		return nil, rpcError(&briarspring.NotFoundError{Object: "job/" + r.Msg.GetName()})
	}
	return connect.NewResponse(m), nil
}

// ListJobs lists all jobs, sorted by name.
func (s *Server) ListJobs(context.Context, *connect.Request[pb.ListJobsRequest]) (*connect.Response[pb.ListJobsResponse], error) {
	m := &pb.ListJobsResponse{}
	err := s.view(func(conf *applier.Config, _ *applier.Placement) {
		for _, w := range conf.Jobs() {
			m.Jobs = append(m.Jobs, describeJob(conf, w))
		}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

func describeJob(conf *applier.Config, w *applier.Workload) *pb.JobDescription {
	m := &pb.JobDescription{
		Job: encoder.EncodeJob(*w.Job()), Version: w.Version(), Progress: progress(w),
	}
	m.State = jobState(w)
	if m.State == stateWaiting {
		if m.Problem = conf.InfeasibleReason(w.Resources()); m.Problem != "" {
			m.State = stateImpossible
		}
	}
	return m
}

func jobState(w *applier.Workload) string {
	totals := w.Totals()
	switch {
	case w.Cancelled():
		return stateCancelled
	case w.Finished() && totals.Failed > 0:
		return stateFailed
	case w.Finished():
		return stateDone
	case totals.Running > 0:
		return stateRunning
	}
	return stateWaiting
}
