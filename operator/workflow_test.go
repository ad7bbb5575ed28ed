package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring"
	"briarspring/admitter"
	"briarspring/balancer"
	"briarspring/dispatcher"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
	"briarspring/operator"
	"briarspring/registrar"
)

var urgent = briarspring.Queue{
	Name: "urgent", Host: "ledger.example", Prefix: "/urgent/", Service: "pool", Priority: 1, MaxAttempts: 3, Stretch: 1.5,
	Allowance: 250 * time.Millisecond,
}

// fakeAdmitter adds workflows to a registry, or returns err if it is set.
type fakeAdmitter struct {
	registry   *registrar.Registry
	nextOffset uint64
	err        error
}

func (a *fakeAdmitter) Queue(name string) (briarspring.Queue, error) {
	if name != urgent.Name {
		return briarspring.Queue{}, &briarspring.NotFoundError{Object: "queue/" + name}
	}
	return urgent, nil
}

func (a *fakeAdmitter) Directory() (briarspring.Directory, bool) {
	return briarspring.Directory{Version: 7, Queues: []briarspring.Queue{urgent}}, a.err == nil
}

func (a *fakeAdmitter) DataCentreOptions() []balancer.Option {
	return []balancer.Option{{DataCentre: "tartu", OutOfService: true, HeartbeatAge: 100 * time.Millisecond, Total: 16000, Free: 4000}}
}

func (a *fakeAdmitter) apply(key string, value []byte) {
	_, err := a.registry.Apply(0, briarspring.KeyedRecord{Key: key, Value: value, Offset: a.nextOffset})
	if err != nil {
		panic(err)
	}
	a.nextOffset++
}

func (a *fakeAdmitter) Submit(_ context.Context, q briarspring.Queue, w *briarspring.Workflow) error {
	if a.err != nil {
		return a.err
	}
	w.Queue, w.Stretch, w.Allowance, w.DataCentre, w.Submitted = q.Name, q.Stretch, q.Allowance, "tartu", time.UnixMilli(5000)
	value, err := encoder.EncodeSubmission(w)
	if err != nil {
		return err
	}
	a.apply(registrar.SubmissionKey(w.ID, "1"), value)
	return nil
}

func (a *fakeAdmitter) Cancel(_ context.Context, id briarspring.WorkflowID) (bool, error) {
	if a.err != nil {
		return false, a.err
	}
	if a.registry.Workflow(id) == nil {
		return false, nil
	}
	a.apply(registrar.CancelKey(id), []byte{1})
	return true, nil
}

func (a *fakeAdmitter) UnstartedWorkflows(q briarspring.Queue) int { return a.registry.Waiting(q.Name) }

func (a *fakeAdmitter) ReadRegistry(f func(*registrar.Registry)) { f(a.registry) }

// fakeOwner reports one run of any requested workflow.
type fakeOwner struct{}

func (fakeOwner) Runs(id briarspring.WorkflowID) ([]dispatcher.RunInfo, bool) {
	return []dispatcher.RunInfo{{
		Run: briarspring.RunRef{Task: briarspring.TaskRef{Workflow: id, Step: 1, Index: 2}, Run: 3}, Worker: "w1", State: "alive",
		Age: time.Second, Pace: 40, Image: "fold", Tail: 0.5,
	}}, true
}

func startServer(t *testing.T) (*fakeAdmitter, briarspringv1connect.WorkflowsClient) {
	a := &fakeAdmitter{registry: registrar.New()}
	mux := http.NewServeMux()
	mux.Handle(briarspringv1connect.NewWorkflowsHandler(operator.NewWorkflowServer(a, map[string]operator.RunLister{"tartu": fakeOwner{}})))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return a, briarspringv1connect.NewWorkflowsClient(http.DefaultClient, server.URL)
}

func submitRequest(id string) *connect.Request[pb.SubmitWorkflowRequest] {
	return connect.NewRequest(&pb.SubmitWorkflowRequest{
		Id: id, Queue: "urgent", Steps: []*pb.WorkflowStep{{Tasks: 2, MilliCpu: 1000, EstimateMs: 800}, {Tasks: 1, MilliCpu: 500, After: []int32{0}}},
	})
}

func assertCode(t *testing.T, want connect.Code, err error) {
	t.Helper()
	require.Error(t, err)
	assert.Equal(t, want, connect.CodeOf(err), err.Error())
}

// Guards against operators who can't see whose a workflow is.
func TestOrganisationOfAWorkflow(t *testing.T) {
	a, client := startServer(t)
	for id, organisation := range map[string]string{"with": "acme", "without": ""} {
		value, err := encoder.EncodeSubmission(&briarspring.Workflow{Organisation: organisation, Steps: []briarspring.Step{{Tasks: 1}}})
		require.NoError(t, err)
		a.apply(registrar.SubmissionKey(briarspring.WorkflowID(id), "1"), value)
		d, err := client.DescribeWorkflow(t.Context(), connect.NewRequest(&pb.DescribeWorkflowRequest{Id: id}))
		require.NoError(t, err)
		assert.Equal(t, organisation, d.Msg.GetOrganisation())
	}
	list, err := client.ListWorkflows(t.Context(), connect.NewRequest(&pb.ListWorkflowsRequest{}))
	require.NoError(t, err)
	assert.Equal(t, "acme", list.Msg.GetWorkflows()[0].GetOrganisation())
}

func TestSubmittingWorkflows(t *testing.T) {
	t.Run("returns the data centre", func(t *testing.T) {
		_, client := startServer(t)
		m, err := client.SubmitWorkflow(t.Context(), submitRequest("a"))
		require.NoError(t, err)
		assert.Equal(t, "tartu", m.Msg.GetDataCentre())
	})
	t.Run("rejects invalid submissions", func(t *testing.T) {
		_, client := startServer(t)
		_, err := client.SubmitWorkflow(t.Context(), submitRequest("A!"))
		assertCode(t, connect.CodeInvalidArgument, err)
		q := submitRequest("a")
		q.Msg.Steps[1].After = []int32{1}
		_, err = client.SubmitWorkflow(t.Context(), q)
		assertCode(t, connect.CodeInvalidArgument, err)
		q = submitRequest("a")
		q.Msg.Steps[0].MilliCpu = -1
		_, err = client.SubmitWorkflow(t.Context(), q)
		assertCode(t, connect.CodeInvalidArgument, err)
		q = submitRequest("a")
		q.Msg.Recurrence = &pb.Recurrence{Times: 1, IntervalMs: -1}
		_, err = client.SubmitWorkflow(t.Context(), q)
		assertCode(t, connect.CodeInvalidArgument, err)
		q = submitRequest("a")
		q.Msg.Recurrence = &pb.Recurrence{Times: briarspring.MaxTasks}
		_, err = client.SubmitWorkflow(t.Context(), q)
		assertCode(t, connect.CodeInvalidArgument, err)
		q = submitRequest("a")
		q.Msg.Queue = "none"
		_, err = client.SubmitWorkflow(t.Context(), q)
		assertCode(t, connect.CodeNotFound, err)
	})
	t.Run("distinguishes a refusal from an unknown outcome", func(t *testing.T) {
		a, client := startServer(t)
		a.err = &admitter.RefusedError{Reason: "the log is out of reach", RetryAfter: time.Second}
		_, err := client.SubmitWorkflow(t.Context(), submitRequest("a"))
		assertCode(t, connect.CodeUnavailable, err)
		assert.Equal(t, int64(1000), refusal(t, err).GetRetryAfterMs())
		a.err = &admitter.RefusedError{Reason: "not supported"}
		_, err = client.SubmitWorkflow(t.Context(), submitRequest("a"))
		assertCode(t, connect.CodeFailedPrecondition, err)
		a.err = &briarspring.NoAnswerError{Call: "store", Cause: context.DeadlineExceeded}
		_, err = client.SubmitWorkflow(t.Context(), submitRequest("a"))
		assertCode(t, connect.CodeDeadlineExceeded, err)
	})
}

func refusal(t *testing.T, err error) *pb.RefusalDetail {
	t.Helper()
	var e *connect.Error
	require.ErrorAs(t, err, &e)
	require.Len(t, e.Details(), 1)
	m, err := e.Details()[0].Value()
	require.NoError(t, err)
	return m.(*pb.RefusalDetail)
}

func TestRecurringWorkflow(t *testing.T) {
	_, client := startServer(t)
	q := submitRequest("nightly")
	q.Msg.Recurrence = &pb.Recurrence{Times: 3, FirstDueMs: 1_796_000_000_000, IntervalMs: 60_000}
	q.Msg.Steps[0].Gang, q.Msg.Steps[0].OneRack, q.Msg.Steps[0].MaxMissing = true, true, 2
	_, err := client.SubmitWorkflow(t.Context(), q)
	require.NoError(t, err)
	m, err := client.DescribeWorkflow(t.Context(), connect.NewRequest(&pb.DescribeWorkflowRequest{Id: "nightly"}))
	require.NoError(t, err)
	assert.EqualValues(t, 9, m.Msg.GetTasks())
	assert.EqualValues(t, 3, m.Msg.GetRecurrence().GetTimes())
	assert.EqualValues(t, 60_000, m.Msg.GetRecurrence().GetIntervalMs())
	s := m.Msg.GetSteps()[0]
	assert.True(t, s.GetGang() && s.GetOneRack() && s.GetMaxMissing() == 2)
}

func TestReadingWorkflows(t *testing.T) {
	a, client := startServer(t)
	for _, id := range []string{"b", "a", "c"} {
		_, err := client.SubmitWorkflow(t.Context(), submitRequest(id))
		require.NoError(t, err)
	}
	a.apply(registrar.CancelKey("c"), []byte{1})
	t.Run("one", func(t *testing.T) {
		m, err := client.DescribeWorkflow(t.Context(), connect.NewRequest(&pb.DescribeWorkflowRequest{Id: "a"}))
		require.NoError(t, err)
		assert.Equal(t, "queued", m.Msg.GetPhase())
		assert.Equal(t, int32(3), m.Msg.GetTasks())
		assert.Equal(t, map[string]int32{"tartu": 3}, m.Msg.GetTasksIn())
		assert.Equal(t, int64(1450), m.Msg.GetObjectiveMs())
		assert.Len(t, m.Msg.GetSteps(), 2)
		_, err = client.DescribeWorkflow(t.Context(), connect.NewRequest(&pb.DescribeWorkflowRequest{Id: "none"}))
		assertCode(t, connect.CodeNotFound, err)
	})
	t.Run("list, sorted and filtered", func(t *testing.T) {
		assertWorkflows(t, client, &pb.ListWorkflowsRequest{}, "a", "b", "c")
		assertWorkflows(t, client, &pb.ListWorkflowsRequest{Limit: 1}, "a")
		assertWorkflows(t, client, &pb.ListWorkflowsRequest{Phase: "cancelled"}, "c")
		assertWorkflows(t, client, &pb.ListWorkflowsRequest{Queue: "other"})
	})
	t.Run("queues", func(t *testing.T) {
		m, err := client.ListQueues(t.Context(), connect.NewRequest(&pb.ListQueuesRequest{}))
		require.NoError(t, err)
		assert.Equal(t, uint64(7), m.Msg.GetVersion())
		require.Len(t, m.Msg.GetQueues(), 1)
		assert.Equal(t, int32(2), m.Msg.GetQueues()[0].GetWaiting())
		assert.Equal(t, int64(250), m.Msg.GetQueues()[0].GetAllowanceMs())
	})
	t.Run("owners", func(t *testing.T) {
		m, err := client.ListOwners(t.Context(), connect.NewRequest(&pb.ListOwnersRequest{}))
		require.NoError(t, err)
		require.Len(t, m.Msg.GetOwners(), 1)
		assert.True(t, m.Msg.GetOwners()[0].GetOut())
		assert.Equal(t, int64(4000), m.Msg.GetOwners()[0].GetFreeMilliCpu())
	})
	t.Run("runs", func(t *testing.T) {
		m, err := client.ListRuns(t.Context(), connect.NewRequest(&pb.ListRunsRequest{Workflow: "a"}))
		require.NoError(t, err)
		require.Len(t, m.Msg.GetRuns(), 1)
		run := m.Msg.GetRuns()[0]
		assert.Equal(t, "a", run.GetWorkflow())
		assert.Equal(t, int32(40), run.GetPacePercent())
		assert.Equal(t, uint32(3), run.GetRun())
	})
}

func assertWorkflows(t *testing.T, client briarspringv1connect.WorkflowsClient, q *pb.ListWorkflowsRequest, want ...string) {
	t.Helper()
	m, err := client.ListWorkflows(t.Context(), connect.NewRequest(q))
	require.NoError(t, err)
	var ids []string
	for _, w := range m.Msg.GetWorkflows() {
		ids = append(ids, w.GetId())
	}
	assert.Equal(t, want, ids)
}

func TestCancellingWorkflows(t *testing.T) {
	a, client := startServer(t)
	_, err := client.SubmitWorkflow(t.Context(), submitRequest("a"))
	require.NoError(t, err)
	m, err := client.CancelWorkflows(t.Context(), connect.NewRequest(&pb.CancelWorkflowsRequest{Ids: []string{"a", "none"}}))
	require.NoError(t, err)
	assert.Equal(t, []string{"none"}, m.Msg.GetUnknown())
	assertWorkflows(t, client, &pb.ListWorkflowsRequest{Phase: "cancelled"}, "a")
	_, err = client.CancelWorkflows(t.Context(), connect.NewRequest(&pb.CancelWorkflowsRequest{}))
	assertCode(t, connect.CodeInvalidArgument, err)
	a.err = &admitter.RefusedError{Reason: "the log is out of reach", RetryAfter: time.Second}
	_, err = client.CancelWorkflows(t.Context(), connect.NewRequest(&pb.CancelWorkflowsRequest{Ids: []string{"a"}}))
	assertCode(t, connect.CodeUnavailable, err)
}
