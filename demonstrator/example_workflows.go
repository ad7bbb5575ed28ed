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
	// imageServing is the image of the example's lasting tasks, imagePressing one
	// that raises their tails, and imageCalm one that does not.
	imageServing  = "index"
	imagePressing = "scan"
	imageCalm     = "fold"

	urgentCount    = 40
	urgentInterval = 250 * time.Millisecond
	seasonCount    = 8
	lastingTasks   = 6
	gangTasks      = 4
	// sweepTimes and sweepInterval make up a workflow that recurs.
	sweepTimes    = 3
	sweepInterval = 2 * time.Second
	// otherCount is the number of workflows of which there is one each.
	otherCount = 2
	tailTarget = 40 * time.Millisecond
	// workflowCount is the number of workflows that come to an end.
	workflowCount = urgentCount + seasonCount + otherCount
	// urgentStretch and urgentAllowance make the objective of urgent workflows.
	urgentStretch   = 1.5
	urgentAllowance = 250 * time.Millisecond
	seasonStretch   = 2.0
	seasonAllowance = time.Second
	maxAttempts     = 3
)

// Queues of the example.
const (
	queueUrgent  = "urgent"
	queueSeason  = "season"
	queueLasting = "lasting"
)

// queues returns the firm's queues.
func (f Firm) queues() []briarspring.Queue {
	host := f.Service + ".example"
	return []briarspring.Queue{
		{Name: queueUrgent, Host: host, Prefix: "/urgent/", Service: poolService, MaxAttempts: maxAttempts, Stretch: urgentStretch, Allowance: urgentAllowance},
		{Name: queueSeason, Host: host, Prefix: "/season/", Service: poolService, Priority: 2, MaxAttempts: maxAttempts, Stretch: seasonStretch, Allowance: seasonAllowance},
		{Name: queueLasting, Host: host, Prefix: "/lasting/", Service: poolService, MaxAttempts: maxAttempts, Stretch: seasonStretch, Allowance: seasonAllowance},
	}
}

func exampleStep(tasks int, milliCPU int64, estimate time.Duration, after ...int) briarspring.Step {
	return briarspring.Step{
		Tasks: tasks, Estimate: estimate, After: after,
		Resources: briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: milliCPU, MemoryMiB: 1024}),
	}
}

// urgentSteps are two steps that follow each other.
func urgentSteps() []briarspring.Step {
	return []briarspring.Step{exampleStep(3, 1000, 500*time.Millisecond), exampleStep(1, 1000, 300*time.Millisecond, 0)}
}

// seasonSteps fill processors that others leave idle; one image in two presses
// the lasting tasks.
func seasonSteps(number int) []briarspring.Step {
	first := exampleStep(6, 2000, 1200*time.Millisecond)
	first.Fills, first.Checkpoints, first.Image = true, true, imageCalm
	if number%2 == 0 {
		first.Image = imagePressing
	}
	second := exampleStep(2, 1000, 600*time.Millisecond, 0)
	second.Fills, second.Image = true, imageCalm
	return []briarspring.Step{first, second}
}

func lastingSteps() []briarspring.Step {
	s := exampleStep(lastingTasks, 3000, 0)
	s.Lasting, s.Image, s.TailTarget, s.MaxPerWorker = true, imageServing, tailTarget, 2
	return []briarspring.Step{s}
}

// gangSteps is a gang that works best on one rack.
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
	completed map[string]time.Duration // Time from the submission, as a caller sees it.
	failures  []string
}

func newWorkflowRun(s *workflows, address string) *workflowRun {
	return &workflowRun{
		system: s, client: briarspringv1connect.NewWorkflowsClient(http.DefaultClient, "http://"+address),
		accepted: map[string]time.Time{}, completed: map[string]time.Duration{},
	}
}

// up waits until every data centre has an owner.
func (r *workflowRun) up(ctx context.Context) error {
	return until(ctx, upLimit, "owners of all data centres", func() bool {
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

// submit hands a workflow in that runs at once.
func (r *workflowRun) submit(ctx context.Context, id, queue string, steps []briarspring.Step) {
	r.submitRecurring(ctx, id, queue, steps, briarspring.Recurrence{})
}

// submitRecurring hands a workflow in; a refusal or a lost answer is a failure
// here.
func (r *workflowRun) submitRecurring(ctx context.Context, id, queue string, steps []briarspring.Step, times briarspring.Recurrence) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	began := time.Now()
	_, err := r.client.SubmitWorkflow(ctx, connect.NewRequest(&pb.SubmitWorkflowRequest{
		Id: id, Queue: queue, Specification: id, Steps: encoder.EncodeSteps(steps),
		Recurrence: encoder.EncodeRecurrence(times),
	}))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failures = append(r.failures, fmt.Sprintf("%s was not accepted: %v", id, err))
		return
	}
	r.accepted[id] = began
	r.submitted = append(r.submitted, id)
	if queue == queueUrgent {
		r.urgent = append(r.urgent, id)
	}
}

// load submits lasting tasks, then season work, and urgent workflows one after
// the other.
func (r *workflowRun) load(ctx context.Context) {
	r.submit(ctx, "index", queueLasting, lastingSteps())
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

// watch notes when workflows are completed until all are, but for the lasting
// one.
func (r *workflowRun) watch(ctx context.Context) error {
	err := until(ctx, jobsLimit, "the end of all workflows", func() bool {
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
		return fmt.Errorf("%w: %s", err, r.unfinished(ctx))
	}
	return err
}

// unfinished tells how far the workflows are that are not completed.
func (r *workflowRun) unfinished(ctx context.Context) string {
	m, err := r.client.ListWorkflows(ctx, connect.NewRequest(&pb.ListWorkflowsRequest{}))
	if err != nil {
		return err.Error()
	}
	var list []string
	for _, w := range m.Msg.GetWorkflows() {
		if w.GetPhase() != briarspring.PhaseCompleted.String() && w.GetQueue() != queueLasting {
			list = append(list, fmt.Sprintf("%s is %s in %v", w.GetId(), w.GetPhase(), w.GetTasksIn()))
		}
	}
	return strings.Join(list, ", ")
}

// atWork counts the lasting tasks that run.
func (r *workflowRun) atWork() int {
	n := 0
	for i := range lastingTasks {
		n += r.system.pool.Running(briarspring.TaskRef{Workflow: "index", Index: i})
	}
	return n
}

// summarize prints what became of the workflows and returns what was broken.
func (r *workflowRun) summarize(out io.Writer) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	for _, id := range r.urgent {
		if took := r.completed[id]; took == 0 || took > urgentObjective() {
			late++
		}
	}
	broken := r.system.pool.Broken()
	fmt.Fprintf(out, "workflows\taccepted %d\tcompleted %d\turgent late %d of %d\tstarts %d\tdoubled or overcommitted %d\n",
		len(r.submitted), len(r.completed), late, len(r.urgent), r.system.pool.Starts(), len(broken))
	account := r.system.pool.Account()
	fmt.Fprintf(out, "lasting tasks\tat work %d of %d\ttails over target %d of %d\tchanges of pace %d\n",
		r.atWork(), lastingTasks, account.TailsOverTarget, account.TailReports, account.Paces)
	problems := append(broken, r.failures...)
	if r.atWork() != lastingTasks {
		problems = append(problems, fmt.Sprintf("%d of %d lasting tasks are at work", r.atWork(), lastingTasks))
	}
	if len(r.completed) != workflowCount {
		problems = append(problems, fmt.Sprintf("%d of %d workflows completed", len(r.completed), workflowCount))
	}
	return problems
}

// urgentObjective is the time within which an urgent workflow should complete.
func urgentObjective() time.Duration {
	w := briarspring.Workflow{Steps: urgentSteps(), Stretch: urgentStretch, Allowance: urgentAllowance}
	return w.Objective()
}
