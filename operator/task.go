package operator

import (
	"context"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/applier"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/scheduler"
)

const defaultTaskLimit = 1000

// ListTasks lists the tasks assigned to this scheduler's data centre.
func (s *Server) ListTasks(_ context.Context, r *connect.Request[pb.ListTasksRequest]) (*connect.Response[pb.ListTasksResponse], error) {
	limit := int(r.Msg.GetLimit())
	if limit == 0 {
		limit = defaultTaskLimit
	}
	m := &pb.ListTasksResponse{}
	err := s.view(func(conf *applier.Config, place *applier.Placement) {
		for _, id := range place.Workloads() {
			w := conf.Workload(id)
			if w == nil || r.Msg.GetWorkload() != "" && r.Msg.GetWorkload() != w.Name() {
				continue
			}
			m.Tasks = append(m.Tasks, describeTasks(w, place, place.Workload(id), limit-len(m.Tasks))...)
		}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

func describeTasks(w *applier.Workload, place *applier.Placement, l *applier.AdoptedWorkload, limit int) []*pb.TaskDescription {
	var out []*pb.TaskDescription
	for _, t := range l.Tasks() {
		if len(out) >= limit {
			return out
		}
		out = append(out, describeTask(w, place, t))
	}
	for _, span := range l.UnstartedSpans() {
		for i := span.First; i < span.End && len(out) < limit; i++ {
			out = append(out, &pb.TaskDescription{Workload: w.Name(), Index: i, State: applier.PhaseWaiting.String()})
		}
	}
	return out
}

func describeTask(w *applier.Workload, place *applier.Placement, t *applier.Task) *pb.TaskDescription {
	m := &pb.TaskDescription{
		Workload: w.Name(), Index: t.Index(), Attempt: t.Attempt(), State: t.Phase().String(),
		Address: t.Address(), Checkpoint: t.Checkpoint(),
	}
	if worker := place.Worker(t.Worker()); worker != nil {
		m.Worker = worker.Name()
	}
	if t.Phase() == applier.PhasePlaced && t.Evicting() {
		m.State = "evicting"
	}
	return m
}

// ExplainTask returns where a task is, why it waits, and the latest decisions
// about it.
func (s *Server) ExplainTask(_ context.Context, r *connect.Request[pb.ExplainTaskRequest]) (*connect.Response[pb.ExplainTaskResponse], error) {
	m := &pb.ExplainTaskResponse{}
	var id briarspring.TaskID
	found := false
	err := s.view(func(conf *applier.Config, place *applier.Placement) {
		w := findWorkload(conf, r.Msg.GetWorkload())
		if w == nil {
			return
		}
		id = briarspring.TaskID{Workload: w.ID(), Index: r.Msg.GetIndex()}
		found = true
		m.Task, m.Waiting = locateTask(conf, place, w, id)
	})
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, rpcError(&briarspring.NotFoundError{Object: "workload/" + r.Msg.GetWorkload()})
	}
	x := s.scheduler.Explain(id)
	if m.Waiting == "" && m.Task.GetState() == applier.PhaseWaiting.String() {
		m.Waiting = x.WaitReason
	}
	for _, d := range x.Decisions {
		m.Decisions = append(m.Decisions, encodeDecision(d))
	}
	return connect.NewResponse(m), nil
}

func findWorkload(conf *applier.Config, name string) *applier.Workload {
	if w := conf.Service(name); w != nil {
		return w
	}
	return conf.Job(name)
}

// locateTask returns a task's state and location. If the task is assigned to
// another data centre or to none, it also returns that as the reason to wait.
func locateTask(conf *applier.Config, place *applier.Placement, w *applier.Workload, id briarspring.TaskID) (*pb.TaskDescription, string) {
	l := place.Workload(id.Workload)
	if l != nil && l.Task(id.Index) != nil {
		return describeTask(w, place, l.Task(id.Index)), ""
	}
	m := &pb.TaskDescription{Workload: w.Name(), Index: id.Index}
	if l != nil && l.IsFresh(id.Index) {
		m.State = applier.PhaseWaiting.String()
		return m, ""
	}
	for _, share := range w.Shares() {
		if _, assigned := w.AssignedTo(share.DataCentre).Has(id.Index); assigned {
			m.State = "elsewhere"
			if share.DataCentre == "" {
				return m, "no data centre can take it: " + conf.InfeasibleReason(w.Resources())
			}
			return m, "is assigned to data centre " + share.DataCentre
		}
	}
	m.State = "ended"
	return m, ""
}

func encodeDecision(d scheduler.Decision) *pb.Decision {
	return &pb.Decision{
		TimeMs: d.Time.UnixMilli(), Kind: d.Kind, Workload: d.Name, Index: d.Attempt.Task.Index,
		Attempt: d.Attempt.Attempt, Worker: d.Worker, Reason: d.Reason, Rejected: d.RejectedWorkers,
	}
}

// WatchDecisions streams decisions until the client disconnects.
func (s *Server) WatchDecisions(ctx context.Context, r *connect.Request[pb.WatchDecisionsRequest], stream *connect.ServerStream[pb.Decision]) error {
	decisions := s.scheduler.WatchDecisions(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-decisions:
			if r.Msg.GetWorkload() != "" && r.Msg.GetWorkload() != d.Name {
				continue
			}
			if err := stream.Send(encodeDecision(d)); err != nil {
				return err
			}
		}
	}
}
