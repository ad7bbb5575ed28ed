package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/declarer"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
	"briarspring/generator"
	"briarspring/imitator"
)

// Organisation is an organisation whose workloads the example can run.
type Organisation struct {
	DataCentres []string
	Objects     string // In the format of package declarer.
	Service     string
	Path        string
	Jobs        []string
	Rate        float64 // Requests per second.
	TakenOut    string  // Data centre that is taken out of service and returned.
}

// Organisations are the organisations by name.
var Organisations = map[string]Organisation{
	"kask": {
		DataCentres: []string{"tartu", "viljandi", "voru"},
		Objects: `[service ledger]
team = counter
prefix = /ledger/
cpu = 2
memory = 4GiB
executors = 12
command = read time=20ms

[job season-bundle]
team = subsidies
class = bundle
tasks = 30
cpu = 2
memory = 2GiB
weight = 100
run-time = 2s
command = bundle time=2s noise-ledger=0.05

[job archive]
team = archive
class = archive-index
tasks = 60
cpu = 4
memory = 4GiB
weight = 5
run-time = 3s
command = index time=3s noise-ledger=0.4
`,
		Service: "ledger", Path: "/ledger/read", Jobs: []string{"season-bundle", "archive"}, Rate: 300, TakenOut: "voru",
	},
	"hanbit": {
		DataCentres: []string{"busan-a", "busan-b", "daegu", "ulsan"},
		Objects: `[service prices]
team = till
prefix = /prices/
cpu = 2
memory = 4GiB
executors = 16
command = quote time=10ms

[job reprice-tills]
team = pricing
class = reprice
tasks = 80
cpu = 2
memory = 2GiB
weight = 20
run-time = 2s
command = reprice time=2s noise-prices=0.1

[job reprice-wholesale]
team = wholesale
class = reprice-long
tasks = 40
cpu = 4
memory = 4GiB
weight = 10
run-time = 3s
command = reprice time=3s noise-prices=0.3
`,
		Service: "prices", Path: "/prices/quote", Jobs: []string{"reprice-tills", "reprice-wholesale"}, Rate: 400, TakenOut: "daegu",
	},
}

const (
	startupTimeout = 20 * time.Second
	jobsTimeout    = 60 * time.Second
	loadDuration   = 15 * time.Second
	takeOutDelay   = 4 * time.Second
	returnDelay    = 5 * time.Second
	callTimeout    = 10 * time.Second
	requestTimeout = 2 * time.Second
	pollInterval   = 100 * time.Millisecond
)

// FailedCheckError reports the checks that an example run failed.
type FailedCheckError struct {
	Problems []string
}

// Error implements error.
func (e *FailedCheckError) Error() string {
	return fmt.Sprintf("the example failed its checks: %q", e.Problems)
}

// example is one run of an organisation's workloads.
type example struct {
	system       *Demonstrator
	organisation Organisation
	client       briarspringv1connect.OperatorsClient
	workflowRun  *workflowRun
	out          io.Writer
}

// Example runs an organisation's workloads, meanwhile takes a data centre out
// of service and returns it, and prints a summary. It returns a
// *FailedCheckError when a request, task or workflow was lost or ran twice, or
// when an answer was wrong.
func Example(ctx context.Context, d *Demonstrator, organisation Organisation, out io.Writer) error {
	e := &example{system: d, organisation: organisation, out: out}
	e.client = briarspringv1connect.NewOperatorsClient(http.DefaultClient, "http://"+d.DataCentres()[0].Operators[0])
	e.workflowRun = newWorkflowRun(d.workflows, d.DataCentres()[0].Hosts[0])
	if err := e.waitUntilUp(ctx); err != nil {
		return err
	}
	if err := e.workflowRun.waitForOwners(ctx); err != nil {
		return err
	}
	if err := e.createObjects(ctx); err != nil {
		return err
	}
	if err := e.waitForExecutors(ctx); err != nil {
		return err
	}
	loaded := make(chan []*generator.Result, 1)
	go func() { loaded <- e.generateLoad(ctx) }()
	completed := make(chan error, 1)
	go e.workflowRun.submitAll(ctx)
	go func() { completed <- e.workflowRun.waitForCompletion(ctx) }()
	if err := e.takeOutAndReturn(ctx); err != nil {
		return err
	}
	results := <-loaded
	jobs, err := e.waitForJobs(ctx)
	if err != nil {
		return err
	}
	if err := <-completed; err != nil {
		return err
	}
	return e.summarize(results[0], jobs)
}

// waitUntil polls a condition until it holds, ctx ends or the timeout has passed.
func waitUntil(ctx context.Context, timeout time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end) && ctx.Err() == nil; {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("%s did not happen within %s", what, timeout)
}

// waitUntilUp waits until every data centre has an owner and all its workers.
func (e *example) waitUntilUp(ctx context.Context) error {
	return waitUntil(ctx, startupTimeout, "the start of all data centres", func() bool {
		list, err := e.dataCentres(ctx)
		if err != nil || len(list) < len(e.organisation.DataCentres) {
			return false
		}
		for _, d := range list {
			if int(d.GetWorkers()) < e.system.config.Workers {
				return false
			}
		}
		return true
	})
}

func (e *example) dataCentres(ctx context.Context) ([]*pb.DataCentreDescription, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := e.client.ListDataCentres(ctx, connect.NewRequest(&pb.ListDataCentresRequest{}))
	if err != nil {
		return nil, err
	}
	return m.Msg.GetDataCentres(), nil
}

func (e *example) createObjects(ctx context.Context) error {
	objects, err := declarer.Parse("example", []byte(e.organisation.Objects))
	if err != nil {
		return err
	}
	for i, o := range objects {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		id := fmt.Sprintf("example-%d", i)
		switch {
		case o.Service != nil:
			_, err = e.client.CreateService(ctx, connect.NewRequest(&pb.CreateServiceRequest{
				RequestId: id, Service: encoder.EncodeService(*o.Service),
			}))
		case o.Job != nil:
			_, err = e.client.CreateJob(ctx, connect.NewRequest(&pb.CreateJobRequest{
				RequestId: id, Job: encoder.EncodeJob(*o.Job),
			}))
		}
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// waitForExecutors waits until every gateway serves the service.
func (e *example) waitForExecutors(ctx context.Context) error {
	return waitUntil(ctx, startupTimeout, "the service at every gateway", func() bool {
		for _, g := range e.system.Gateways() {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g+e.organisation.Path, nil)
			if err != nil {
				return false
			}
			answer, err := http.DefaultClient.Do(r)
			if err != nil {
				return false
			}
			answer.Body.Close()
			if answer.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (e *example) generateLoad(ctx context.Context) []*generator.Result {
	return generator.Run(ctx, generator.Config{
		Arms: []generator.Arm{{Name: e.organisation.Service, Addresses: e.system.Gateways()}},
		Rate: e.organisation.Rate, Duration: loadDuration, Path: e.organisation.Path, Timeout: requestTimeout,
		Body: "receipt ", Prefix: "example", Seed: 1,
	})
}

// takeOutAndReturn takes a data centre out of service and returns it, under load.
func (e *example) takeOutAndReturn(ctx context.Context) error {
	for _, step := range []struct {
		wait time.Duration
		out  bool
	}{{takeOutDelay, true}, {returnDelay, false}} {
		if err := waitUntil(ctx, step.wait+callTimeout, "waiting", func() func() bool {
			at := time.Now().Add(step.wait)
			return func() bool { return time.Now().After(at) }
		}()); err != nil {
			return err
		}
		if err := e.setOut(ctx, step.out); err != nil {
			return err
		}
	}
	return nil
}

func (e *example) setOut(ctx context.Context, out bool) error {
	list, err := e.dataCentres(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, d := range list {
		if d.GetName() != e.organisation.TakenOut {
			continue
		}
		q := connect.NewRequest(&pb.DataCentreRequest{
			RequestId: fmt.Sprintf("example-out-%t", out), ExpectedVersion: d.GetVersion(), DataCentre: d.GetName(),
		})
		if out {
			_, err = e.client.TakeOutDataCentre(ctx, q)
		} else {
			_, err = e.client.ReturnDataCentre(ctx, q)
		}
		e.system.workflows.setOut(d.GetName(), out)
		fmt.Fprintf(e.out, "%s out of service: %t\n", d.GetName(), out)
	}
	return err
}

func (e *example) waitForJobs(ctx context.Context) ([]*pb.JobDescription, error) {
	var jobs []*pb.JobDescription
	var lastErr error
	err := waitUntil(ctx, jobsTimeout, "the end of all jobs", func() bool {
		m, err := e.client.ListJobs(ctx, connect.NewRequest(&pb.ListJobsRequest{}))
		lastErr = err
		if err != nil {
			return false
		}
		jobs = m.Msg.GetJobs()
		for _, j := range jobs {
			if j.GetState() == "waiting" || j.GetState() == "running" {
				return false
			}
		}
		return true
	})
	if err != nil {
		return jobs, fmt.Errorf("%w (error of the last call: %v): %s", err, lastErr, describeProgress(jobs))
	}
	return jobs, nil
}

// describeProgress describes the progress of jobs, for an error message.
func describeProgress(jobs []*pb.JobDescription) string {
	var list []string
	for _, j := range jobs {
		list = append(list, fmt.Sprintf("%s is %s with %v", j.GetJob().GetName(), j.GetState(), j.GetProgress()))
	}
	return strings.Join(list, "; ")
}

// summarize prints the summary and checks the results against the workers' journal
// and the executors' counts.
func (e *example) summarize(r *generator.Result, jobs []*pb.JobDescription) error {
	runs := map[string]uint32{}
	for _, x := range imitator.Executors(true) {
		for id, n := range x.Runs {
			runs[id] += n
		}
	}
	doubledRequests := len(generator.ImproperRuns([]*generator.Result{r}, runs, false))
	done, doubledTasks, evictions := countTasks(e.system.Journal().Entries())
	expected := uint32(0)
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\tserved %d\tnot-run %d\tunknown %d\twrong %d\tof %d\n", r.Served, r.NotRun, r.Unknown, r.InvalidAnswers, r.Sent)
	fmt.Fprintf(w, "latency\tp50 %s\tp99 %s\tp99.9 %s\n", r.Quantile(50), r.Quantile(99), r.Quantile(99.9))
	for _, j := range jobs {
		expected += j.GetJob().GetTasks()
		fmt.Fprintf(w, "job %s\t%s\t%d tasks\n", j.GetJob().GetName(), j.GetState(), j.GetJob().GetTasks())
	}
	fmt.Fprintf(w, "tasks\tdone %d\tevictions %d\n", done, evictions)
	fmt.Fprintf(w, "doubled\trequests %d\ttasks %d\n", doubledRequests, doubledTasks)
	problems := e.workflowRun.summarize(w)
	w.Flush()
	return checkResults(r, problems, doubledRequests, doubledTasks, done, int(expected))
}

// checkResults returns a *FailedCheckError if a check fails or problems, which
// earlier checks found, is not empty.
func checkResults(r *generator.Result, problems []string, doubledRequests, doubledTasks, done, expected int) error {
	if doubledRequests > 0 || doubledTasks > 0 {
		problems = append(problems, "a request or a task ran twice")
	}
	if done != expected {
		problems = append(problems, fmt.Sprintf("%d of %d tasks are done", done, expected))
	}
	if r.Unknown > 0 {
		problems = append(problems, fmt.Sprintf("the outcome of %d requests is unknown", r.Unknown))
	}
	if r.InvalidAnswers > 0 {
		problems = append(problems, "an answer was wrong")
	}
	if r.Served+r.NotRun+r.Unknown+r.InvalidAnswers != r.Sent {
		problems = append(problems, "a request was lost")
	}
	if len(problems) > 0 {
		return &FailedCheckError{Problems: problems}
	}
	return nil
}

// countTasks counts tasks done, starts of tasks that were running or done, and
// evictions.
func countTasks(entries []imitator.JournalEntry) (done, doubled, evictions int) {
	running := map[briarspring.TaskID]bool{}
	ended := map[briarspring.TaskID]bool{}
	for _, e := range entries {
		task := e.Attempt.Task
		switch e.Kind {
		case imitator.JournalStart:
			if running[task] || ended[task] {
				doubled++
			}
			running[task] = true
			continue
		case imitator.JournalDone:
			done++
			ended[task] = true
		case imitator.JournalCheckpoint:
			evictions++
		}
		delete(running, task)
	}
	return done, doubled, evictions
}
