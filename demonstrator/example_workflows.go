package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
)

const (
	// poolService is the pool of workers that runs workflows.
	poolService = "pool"
	// imageServing is the image of the example's long-running tasks,
	// imageInterfering one that raises their tail latency, and imageHarmless one
	// that does not.
	imageServing     = "index"
	imageInterfering = "scan"
	imageHarmless    = "fold"

	urgentCount      = 40
	urgentInterval   = 250 * time.Millisecond
	seasonCount      = 8
	longRunningTasks = 6
	gangTasks        = 4
	// sweepTimes and sweepInterval are the recurrence of the workflow "sweep".
	sweepTimes    = 3
	sweepInterval = 2 * time.Second
	// singleCount is the number of workflows that are submitted once: "gang" and
	// "sweep".
	singleCount = 2
	tailTarget  = 40 * time.Millisecond
	// workflowCount is the number of workflows that complete.
	workflowCount = urgentCount + seasonCount + singleCount
	// urgentStretch and urgentAllowance set the objective of urgent workflows.
	urgentStretch   = 1.5
	urgentAllowance = 250 * time.Millisecond
	seasonStretch   = 2.0
	seasonAllowance = time.Second
	maxAttempts     = 3
)

// Queues of the example.
const (
	queueUrgent      = "urgent"
	queueSeason      = "season"
	queueLongRunning = "lasting"
)

// queues returns the organisation's queues.
func (o Organisation) queues() []briarspring.Queue {
	host := o.Service + ".example"
	return []briarspring.Queue{
		{Name: queueUrgent, Host: host, Prefix: "/urgent/", Service: poolService, MaxAttempts: maxAttempts, Stretch: urgentStretch, Allowance: urgentAllowance},
		{Name: queueSeason, Host: host, Prefix: "/season/", Service: poolService, Priority: 2, MaxAttempts: maxAttempts, Stretch: seasonStretch, Allowance: seasonAllowance},
		{Name: queueLongRunning, Host: host, Prefix: "/lasting/", Service: poolService, MaxAttempts: maxAttempts, Stretch: seasonStretch, Allowance: seasonAllowance},
	}
}

func exampleStep(tasks int, milliCPU int64, estimate time.Duration, after ...int) briarspring.Step {
	return briarspring.Step{
		Tasks: tasks, Estimate: estimate, After: after,
		Resources: briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: milliCPU, MemoryMiB: 1024}),
	}
}

// urgentSteps returns two steps, the second of which depends on the first.
func urgentSteps() []briarspring.Step {
	return []briarspring.Step{exampleStep(3, 1000, 500*time.Millisecond), exampleStep(1, 1000, 300*time.Millisecond, 0)}
}

// seasonSteps returns two best-effort steps. In every other workflow, the first
// step interferes with the long-running tasks.
func seasonSteps(number int) []briarspring.Step {
	first := exampleStep(6, 2000, 1200*time.Millisecond)
	first.BestEffort, first.Checkpoints, first.Image = true, true, imageHarmless
	if number%2 == 0 {
		first.Image = imageInterfering
	}
	second := exampleStep(2, 1000, 600*time.Millisecond, 0)
	second.BestEffort, second.Image = true, imageHarmless
	return []briarspring.Step{first, second}
}

func longRunningSteps() []briarspring.Step {
	s := exampleStep(longRunningTasks, 3000, 0)
	s.LongRunning, s.Image, s.TailTarget, s.MaxPerWorker = true, imageServing, tailTarget, 2
	return []briarspring.Step{s}
}

// gangSteps returns a gang that should run on one rack.
func gangSteps() []briarspring.Step {
	s := exampleStep(gangTasks, 1000, 900*time.Millisecond)
	s.Gang, s.OneRack = true, true
	return []briarspring.Step{s}
}

// workflowRun is one run of the example's workflows.
type workflowRun struct {
	system *workflows
	client briarspringv1connect.WorkflowsClient

	mu        sync.Mutex
	submitted []string
	urgent    []string
	accepted  map[string]time.Time
	completed map[string]time.Duration // Time since the submission, as a caller sees it.
	failures  []string
}

func newWorkflowRun(s *workflows, address string) *workflowRun {
	return &workflowRun{
		system: s, client: briarspringv1connect.NewWorkflowsClient(http.DefaultClient, "http://"+address),
		accepted: map[string]time.Time{}, completed: map[string]time.Duration{},
	}
}

// waitForOwners waits until every data centre has an owner and workers.
func (r *workflowRun) waitForOwners(ctx context.Context) error {
	return waitUntil(ctx, startupTimeout, "owners of all data centres", func() bool {
		m, err := r.client.ListOwners(ctx, connect.NewRequest(&pb.ListOwnersRequest{}))
		if err != nil {
			return false
		}
		for _, o := range m.Msg.GetOwners() {
			if o.GetOwner() == "" || o.GetTotalMilliCpu() == 0 {
				return false
			}
		}
		return len(m.Msg.GetOwners()) > 0
	})
}

// submit submits a workflow that runs at once.
func (r *workflowRun) submit(ctx context.Context, id, queue string, steps []briarspring.Step) {
	r.submitRecurring(ctx, id, queue, steps, briarspring.Recurrence{})
}

// submitRecurring submits a workflow. A refusal or a lost answer counts as a
// failure of the example.
func (r *workflowRun) submitRecurring(ctx context.Context, id, queue string, steps []briarspring.Step, recurrence briarspring.Recurrence) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	submittedAt := time.Now()
	_, err := r.client.SubmitWorkflow(ctx, connect.NewRequest(&pb.SubmitWorkflowRequest{
		Id: id, Queue: queue, Specification: id, Steps: encoder.EncodeSteps(steps),
		Recurrence: encoder.EncodeRecurrence(recurrence),
	}))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failures = append(r.failures, fmt.Sprintf("%s was not accepted: %v", id, err))
		return
	}
	r.accepted[id] = submittedAt
	r.submitted = append(r.submitted, id)
	if queue == queueUrgent {
		r.urgent = append(r.urgent, id)
	}
}

// submitAll submits the long-running workflow, the gang and the recurring
// workflow, then an urgent workflow every urgentInterval with season workflows
// evenly in between.
func (r *workflowRun) submitAll(ctx context.Context) {
	r.submit(ctx, "index", queueLongRunning, longRunningSteps())
	r.submit(ctx, "gang", queueSeason, gangSteps())
	r.submitRecurring(ctx, "sweep", queueSeason, urgentSteps(), briarspring.Recurrence{
		Times: sweepTimes, First: time.Now().Add(sweepInterval), Interval: sweepInterval,
	})
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := range urgentCount {
		if every := urgentCount / seasonCount; i%every == 0 {
			calls.Go(func() { r.submit(ctx, fmt.Sprintf("season-%d", i/every), queueSeason, seasonSteps(i/every)) })
		}
		calls.Go(func() { r.submit(ctx, fmt.Sprintf("urgent-%d", i), queueUrgent, urgentSteps()) })
		select {
		case <-ctx.Done():
			return
		case <-time.After(urgentInterval):
		}
	}
}

// waitForCompletion records the time at which each workflow completes, until all
// but the long-running one have.
func (r *workflowRun) waitForCompletion(ctx context.Context) error {
	err := waitUntil(ctx, jobsTimeout, "the end of all workflows", func() bool {
		m, err := r.client.ListWorkflows(ctx, connect.NewRequest(&pb.ListWorkflowsRequest{Phase: briarspring.PhaseCompleted.String()}))
		if err != nil {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, w := range m.Msg.GetWorkflows() {
			if at, ok := r.accepted[w.GetId()]; ok && r.completed[w.GetId()] == 0 {
				r.completed[w.GetId()] = time.Since(at)
			}
		}
		return len(r.completed)+len(r.failures) >= workflowCount
	})
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("%w: %s", err, r.describeUnfinished(ctx))
	}
	return err
}

// describeUnfinished describes the workflows that have not completed, for an error
// message.
func (r *workflowRun) describeUnfinished(ctx context.Context) string {
	m, err := r.client.ListWorkflows(ctx, connect.NewRequest(&pb.ListWorkflowsRequest{}))
	if err != nil {
		return err.Error()
	}
	var list []string
	for _, w := range m.Msg.GetWorkflows() {
		if w.GetPhase() != briarspring.PhaseCompleted.String() && w.GetQueue() != queueLongRunning {
			list = append(list, fmt.Sprintf("%s is %s in %v", w.GetId(), w.GetPhase(), w.GetTasksIn()))
		}
	}
	return strings.Join(list, ", ")
}

// liveLongRunningTasks returns the number of live runs of long-running tasks.
func (r *workflowRun) liveLongRunningTasks() int {
	n := 0
	for i := range longRunningTasks {
		n += r.system.pool.Running(briarspring.TaskRef{Workflow: "index", Index: i})
	}
	return n
}

// summarize prints the results of the workflows and returns the problems found.
func (r *workflowRun) summarize(out io.Writer) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	for _, id := range r.urgent {
		if duration := r.completed[id]; duration == 0 || duration > urgentObjective() {
			late++
		}
	}
	violations := r.system.pool.Violations()
	fmt.Fprintf(out, "workflows\taccepted %d\tcompleted %d\turgent late %d of %d\tstarts %d\tdoubled or overcommitted %d\n",
		len(r.submitted), len(r.completed), late, len(r.urgent), r.system.pool.Starts(), len(violations))
	counts := r.system.pool.Counts()
	fmt.Fprintf(out, "long-running tasks\trunning %d of %d\ttails over target %d of %d\tpace changes %d\n",
		r.liveLongRunningTasks(), longRunningTasks, counts.TailsOverTarget, counts.TailReports, counts.PaceChanges)
	problems := append(violations, r.failures...)
	if r.liveLongRunningTasks() != longRunningTasks {
		problems = append(problems, fmt.Sprintf("%d of %d long-running tasks are running", r.liveLongRunningTasks(), longRunningTasks))
	}
	if len(r.completed) != workflowCount {
		problems = append(problems, fmt.Sprintf("%d of %d workflows completed", len(r.completed), workflowCount))
	}
	return problems
}

// urgentObjective returns the time within which an urgent workflow should
// complete.
func urgentObjective() time.Duration {
	w := briarspring.Workflow{Steps: urgentSteps(), Stretch: urgentStretch, Allowance: urgentAllowance}
	return w.Objective()
}
