package operator

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/admitter"
	"briarspring/balancer"
	"briarspring/dispatcher"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/registrar"
)

// Admitter accepts workflows and gives access to the state of all workflows.
type Admitter interface {
	Queue(name string) (briarspring.Queue, error)
	Directory() (briarspring.Directory, bool)
	DataCentreOptions() []balancer.Option
	Submit(ctx context.Context, q briarspring.Queue, w *briarspring.Workflow) error
	Cancel(ctx context.Context, id briarspring.WorkflowID) (known bool, err error)
	UnstartedWorkflows(q briarspring.Queue) int
	ReadRegistry(f func(*registrar.Registry))
}

// RunLister lists the runs in a data centre; ok is false unless this process
// owns it.
type RunLister interface {
	Runs(id briarspring.WorkflowID) (list []dispatcher.RunInfo, ok bool)
}

// WorkflowServer implements the RPCs on workflows.
type WorkflowServer struct {
	admitter Admitter
	owners   map[string]RunLister
}

// NewWorkflowServer returns a server. The owners are keyed by data centre.
func NewWorkflowServer(a Admitter, owners map[string]RunLister) *WorkflowServer {
	return &WorkflowServer{admitter: a, owners: owners}
}

// defaultRowLimit applies to list requests without a limit.
const defaultRowLimit = 1000

func rowLimit(limit int32) int {
	if limit <= 0 {
		return defaultRowLimit
	}
	return int(limit)
}

// SubmitWorkflow accepts a workflow.
func (s *WorkflowServer) SubmitWorkflow(ctx context.Context, r *connect.Request[pb.SubmitWorkflowRequest]) (*connect.Response[pb.SubmitWorkflowResponse], error) {
	id, err := briarspring.NewWorkflowID(r.Msg.GetId())
	if err != nil {
		return nil, workflowError(err)
	}
	steps, err := encoder.DecodeSteps(r.Msg.GetSteps())
	if err != nil {
		return nil, workflowError(err)
	}
	queue, err := s.admitter.Queue(r.Msg.GetQueue())
	if err != nil {
		return nil, workflowError(err)
	}
	recurrence, err := encoder.DecodeRecurrence(r.Msg.GetRecurrence())
	if err != nil {
		return nil, workflowError(err)
	}
	w := &briarspring.Workflow{ID: id, Specification: r.Msg.GetSpecification(), Steps: steps, Recurrence: recurrence}
	if err := w.Check(); err != nil {
		return nil, workflowError(err)
	}
	if err := s.admitter.Submit(ctx, queue, w); err != nil {
		return nil, workflowError(err)
	}
	m := &pb.SubmitWorkflowResponse{DataCentre: w.DataCentre}
	s.admitter.ReadRegistry(func(r *registrar.Registry) {
		// A repeated submission keeps the data centre of the first one.
		if e := r.Workflow(id); e != nil {
			m.DataCentre = e.Workflow().DataCentre
		}
	})
	return connect.NewResponse(m), nil
}

// DescribeWorkflow returns a workflow's phase, task counts and steps.
func (s *WorkflowServer) DescribeWorkflow(_ context.Context, r *connect.Request[pb.DescribeWorkflowRequest]) (*connect.Response[pb.WorkflowDescription], error) {
	var m *pb.WorkflowDescription
	s.admitter.ReadRegistry(func(reg *registrar.Registry) {
		if e := reg.Workflow(briarspring.WorkflowID(r.Msg.GetId())); e != nil {
			m = describeWorkflow(e)
			m.Steps = encoder.EncodeSteps(e.Workflow().Steps)
		}
	})
	if m == nil {
		return nil, rpcError(&briarspring.NotFoundError{Object: "workflow/" + r.Msg.GetId()})
	}
	return connect.NewResponse(m), nil
}

func describeWorkflow(e *registrar.Entry) *pb.WorkflowDescription {
	w := e.Workflow()
	m := &pb.WorkflowDescription{
		Id: string(w.ID), Queue: w.Queue, Phase: e.Phase().String(), Priority: int32(w.Priority),
		SubmittedMs: w.Submitted.UnixMilli(), ObjectiveMs: w.Objective().Milliseconds(),
		Tasks: int32(w.TaskCount()), TasksIn: map[string]int32{}, Recurrence: encoder.EncodeRecurrence(w.Recurrence),
		Organisation: w.Organisation,
	}
	for position := range w.TaskCount() {
		m.TasksIn[e.DataCentre(position)]++
	}
	return m
}

// ListWorkflows lists workflows, sorted by ID.
func (s *WorkflowServer) ListWorkflows(_ context.Context, r *connect.Request[pb.ListWorkflowsRequest]) (*connect.Response[pb.ListWorkflowsResponse], error) {
	m := &pb.ListWorkflowsResponse{}
	s.admitter.ReadRegistry(func(reg *registrar.Registry) {
		reg.Workflows(func(e *registrar.Entry) {
			if r.Msg.GetQueue() != "" && e.Workflow().Queue != r.Msg.GetQueue() {
				return
			}
			if r.Msg.GetPhase() != "" && e.Phase().String() != r.Msg.GetPhase() {
				return
			}
			m.Workflows = append(m.Workflows, describeWorkflow(e))
		})
	})
	slices.SortFunc(m.Workflows, func(a, b *pb.WorkflowDescription) int { return cmp.Compare(a.Id, b.Id) })
	m.Workflows = m.Workflows[:min(len(m.Workflows), rowLimit(r.Msg.GetLimit()))]
	return connect.NewResponse(m), nil
}

// CancelWorkflows cancels workflows. After an error, some of them may have been
// cancelled; the call can be retried.
func (s *WorkflowServer) CancelWorkflows(ctx context.Context, r *connect.Request[pb.CancelWorkflowsRequest]) (*connect.Response[pb.CancelWorkflowsResponse], error) {
	if len(r.Msg.GetIds()) == 0 {
		return nil, rpcError(&briarspring.InvalidError{Object: "workflows", Reason: "no ID is given"})
	}
	m := &pb.CancelWorkflowsResponse{}
	for _, id := range r.Msg.GetIds() {
		known, err := s.admitter.Cancel(ctx, briarspring.WorkflowID(id))
		if err != nil {
			return nil, workflowError(err)
		}
		if !known {
			m.Unknown = append(m.Unknown, id)
		}
	}
	return connect.NewResponse(m), nil
}

// ListQueues lists the queues of the directory.
func (s *WorkflowServer) ListQueues(context.Context, *connect.Request[pb.ListQueuesRequest]) (*connect.Response[pb.ListQueuesResponse], error) {
	directory, ok := s.admitter.Directory()
	if !ok {
		return nil, workflowError(&admitter.RefusedError{Reason: "no directory was read yet"})
	}
	m := &pb.ListQueuesResponse{Version: directory.Version}
	for _, q := range directory.Queues {
		m.Queues = append(m.Queues, &pb.QueueDescription{
			Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: int32(q.Priority),
			MaxAttempts: int32(q.MaxAttempts), Stretch: q.Stretch, AllowanceMs: q.Allowance.Milliseconds(),
			Waiting: int32(s.admitter.UnstartedWorkflows(q)),
		})
	}
	return connect.NewResponse(m), nil
}

// ListOwners lists the data centres with their owners and load.
func (s *WorkflowServer) ListOwners(context.Context, *connect.Request[pb.ListOwnersRequest]) (*connect.Response[pb.ListOwnersResponse], error) {
	m := &pb.ListOwnersResponse{}
	for _, o := range s.admitter.DataCentreOptions() {
		m.Owners = append(m.Owners, &pb.OwnerDescription{
			DataCentre: o.DataCentre, Out: o.OutOfService, BeatAgeMs: o.HeartbeatAge.Milliseconds(),
			TotalMilliCpu: o.Total, FreeMilliCpu: o.Free, BacklogSeconds: o.Backlog,
		})
	}
	s.admitter.ReadRegistry(func(r *registrar.Registry) {
		for _, o := range m.Owners {
			claim := r.Claim(o.DataCentre)
			o.Owner, o.Token = claim.Owner, claim.Token
		}
	})
	return connect.NewResponse(m), nil
}

// ListRuns lists the runs in the data centres that this process owns.
func (s *WorkflowServer) ListRuns(_ context.Context, r *connect.Request[pb.ListRunsRequest]) (*connect.Response[pb.ListRunsResponse], error) {
	m := &pb.ListRunsResponse{}
	for _, o := range s.admitter.DataCentreOptions() {
		owner := s.owners[o.DataCentre]
		if owner == nil {
			continue
		}
		runs, _ := owner.Runs(briarspring.WorkflowID(r.Msg.GetWorkflow()))
		for _, run := range runs {
			m.Runs = append(m.Runs, describeRun(o.DataCentre, run))
		}
	}
	m.Runs = m.Runs[:min(len(m.Runs), rowLimit(r.Msg.GetLimit()))]
	return connect.NewResponse(m), nil
}

func describeRun(dataCentre string, r dispatcher.RunInfo) *pb.RunDescription {
	return &pb.RunDescription{
		Workflow: string(r.Run.Task.Workflow), Occurrence: int32(r.Run.Task.Occurrence), Step: int32(r.Run.Task.Step), Index: int32(r.Run.Task.Index), Run: r.Run.Run,
		DataCentre: dataCentre, Worker: r.Worker, State: r.State, AgeMs: r.Age.Milliseconds(),
		PacePercent: int32(r.Pace), Image: r.Image, Tail: r.Tail,
	}
}

// workflowError maps an error of a workflow RPC to a Connect error code. A
// refused call has no effect; a call without an answer may have taken effect.
func workflowError(err error) error {
	var refused *admitter.RefusedError
	var unknown *briarspring.NoAnswerError
	var malformed *encoder.MalformedError
	switch {
	case errors.As(err, &unknown): // First: its cause may be a refusal of a later try.
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	case errors.As(err, &refused):
		return refusalError(refused)
	case errors.As(err, &malformed):
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return rpcError(err)
}

// refusalError returns an error whose code and detail say whether and when a
// retry may be accepted.
func refusalError(r *admitter.RefusedError) error {
	code := connect.CodeUnavailable
	if r.RetryAfter == 0 {
		code = connect.CodeFailedPrecondition
	}
	e := connect.NewError(code, r)
	detail, err := connect.NewErrorDetail(&pb.RefusalDetail{Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds()})
	if err == nil {
		e.AddDetail(detail)
	}
	return e
}
