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

// Firm is one of the workloads that the example can run.
type Firm struct {
	DataCentres []string
	Objects     string // In the form that package declarer reads.
	Service     string
	Path        string
	Jobs        []string
	Rate        float64 // Requests a second.
	Out         string  // Data centre that leaves and returns.
}

// Firms are the workloads by name.
var Firms = map[string]Firm{
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
		Service: "ledger", Path: "/ledger/read", Jobs: []string{"season-bundle", "archive"}, Rate: 300, Out: "voru",
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
		Service: "prices", Path: "/prices/quote", Jobs: []string{"reprice-tills", "reprice-wholesale"}, Rate: 400, Out: "daegu",
	},
}

const (
	upLimit    = 20 * time.Second
	jobsLimit  = 60 * time.Second
	loadTime   = 15 * time.Second
	outAfter   = 4 * time.Second
	backAfter  = 5 * time.Second
	callLimit  = 10 * time.Second
	askTimeout = 2 * time.Second
	upPause    = 100 * time.Millisecond
)

// BrokenError tells which promise an example run broke.
type BrokenError struct {
	Problems []string
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("the example broke a promise: %q", e.Problems)
}

// example is one run of a firm's workloads.
type example struct {
	system *Demonstrator
	firm   Firm
	client briarspringv1connect.OperatorsClient
	flows  *workflowRun
	out    io.Writer
}

// Example runs a firm's workloads, takes a data centre out and back meanwhile,
// and prints a summary. It returns a *BrokenError when something was lost,
// doubled or wrong.
func Example(ctx context.Context, d *Demonstrator, firm Firm, out io.Writer) error {
	e := &example{system: d, firm: firm, out: out}
	e.client = briarspringv1connect.NewOperatorsClient(http.DefaultClient, "http://"+d.Places()[0].Operators[0])
	e.flows = newWorkflowRun(d.workflows, d.Places()[0].Hosts[0])
	if err := e.up(ctx); err != nil {
		return err
	}
	if err := e.flows.up(ctx); err != nil {
		return err
	}
	if err := e.create(ctx); err != nil {
		return err
	}
	if err := e.executorsUp(ctx); err != nil {
		return err
	}
	loaded := make(chan []*generator.Result, 1)
	go func() { loaded <- e.load(ctx) }()
	completed := make(chan error, 1)
	go e.flows.load(ctx)
	go func() { completed <- e.flows.watch(ctx) }()
	if err := e.move(ctx); err != nil {
		return err
	}
	results := <-loaded
	jobs, err := e.jobsDone(ctx)
	if err != nil {
		return err
	}
	if err := <-completed; err != nil {
		return err
	}
	return e.summarize(results[0], jobs)
}

// until polls a condition.
func until(ctx context.Context, limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; {
		if condition() {
			return nil
		}
		time.Sleep(upPause)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return fmt.Errorf("%s did not happen within %s", what, limit)
}

// up waits until every data centre has an owner and workers.
func (e *example) up(ctx context.Context) error {
	return until(ctx, upLimit, "the start of all data centres", func() bool {
		list, err := e.dataCentres(ctx)
		if err != nil || len(list) < len(e.firm.DataCentres) {
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
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	m, err := e.client.ListDataCentres(ctx, connect.NewRequest(&pb.ListDataCentresRequest{}))
	if err != nil {
		return nil, err
	}
	return m.Msg.GetDataCentres(), nil
}

func (e *example) create(ctx context.Context) error {
	objects, err := declarer.Parse("example", []byte(e.firm.Objects))
	if err != nil {
		return err
	}
	for i, o := range objects {
		ctx, cancel := context.WithTimeout(ctx, callLimit)
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

// executorsUp waits until every gateway serves.
func (e *example) executorsUp(ctx context.Context) error {
	return until(ctx, upLimit, "the service at every gateway", func() bool {
		for _, g := range e.system.Gateways() {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g+e.firm.Path, nil)
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

func (e *example) load(ctx context.Context) []*generator.Result {
	return generator.Run(ctx, generator.Config{
		Arms: []generator.Arm{{Name: e.firm.Service, Addresses: e.system.Gateways()}},
		Rate: e.firm.Rate, Duration: loadTime, Path: e.firm.Path, Timeout: askTimeout,
		Body: "receipt ", Prefix: "example", Seed: 1,
	})
}

// move takes a data centre out and brings it back while the load goes on.
func (e *example) move(ctx context.Context) error {
	for _, step := range []struct {
		wait time.Duration
		out  bool
	}{{outAfter, true}, {backAfter, false}} {
		if err := until(ctx, step.wait+callLimit, "waiting", func() func() bool {
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
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	for _, d := range list {
		if d.GetName() != e.firm.Out {
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

func (e *example) jobsDone(ctx context.Context) ([]*pb.JobDescription, error) {
	var jobs []*pb.JobDescription
	var lastErr error
	err := until(ctx, jobsLimit, "the end of all jobs", func() bool {
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
		return jobs, fmt.Errorf("%w (error of the last call: %v): %s", err, lastErr, progressOf(jobs))
	}
	return jobs, nil
}

// progressOf tells how far jobs have come, for an error.
func progressOf(jobs []*pb.JobDescription) string {
	var list []string
	for _, j := range jobs {
		list = append(list, fmt.Sprintf("%s is %s with %v", j.GetJob().GetName(), j.GetState(), j.GetProgress()))
	}
	return strings.Join(list, "; ")
}

// summarize prints the table and checks the promises on the workers' and the
// executors' own account.
func (e *example) summarize(r *generator.Result, jobs []*pb.JobDescription) error {
	runs := map[string]uint32{}
	for _, x := range imitator.Executors(true) {
		for id, n := range x.Runs {
			runs[id] += n
		}
	}
	doubledRequests := len(generator.Doubled([]*generator.Result{r}, runs, false))
	done, doubledTasks, evictions := countTasks(e.system.Journal().Entries())
	wanted := uint32(0)
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\tserved %d\tnot-run %d\tunknown %d\twrong %d\tof %d\n", r.Served, r.NotRun, r.Unknown, r.Wrong, r.Sent)
	fmt.Fprintf(w, "latency\tp50 %s\tp99 %s\tp99.9 %s\n", r.Quantile(50), r.Quantile(99), r.Quantile(99.9))
	for _, j := range jobs {
		wanted += j.GetJob().GetTasks()
		fmt.Fprintf(w, "job %s\t%s\t%d tasks\n", j.GetJob().GetName(), j.GetState(), j.GetJob().GetTasks())
	}
	fmt.Fprintf(w, "tasks\tdone %d\tevictions %d\n", done, evictions)
	fmt.Fprintf(w, "doubled\trequests %d\ttasks %d\n", doubledRequests, doubledTasks)
	problems := e.flows.summarize(w)
	w.Flush()
	return verdict(r, problems, doubledRequests, doubledTasks, done, int(wanted))
}

// verdict returns a *BrokenError when a promise was broken, also one of those
// that were found already.
func verdict(r *generator.Result, problems []string, doubledRequests, doubledTasks, done, wanted int) error {
	if doubledRequests > 0 || doubledTasks > 0 {
		problems = append(problems, "something was doubled")
	}
	if done != wanted {
		problems = append(problems, fmt.Sprintf("%d of %d tasks are done", done, wanted))
	}
	if r.Unknown > 0 {
		problems = append(problems, fmt.Sprintf("the outcome of %d requests is unknown", r.Unknown))
	}
	if r.Wrong > 0 {
		problems = append(problems, "an answer was wrong")
	}
	if r.Served+r.NotRun+r.Unknown+r.Wrong != r.Sent {
		problems = append(problems, "a request was lost")
	}
	if len(problems) > 0 {
		return &BrokenError{Problems: problems}
	}
	return nil
}

// countTasks counts the tasks that ended well, those that ran in two places at
// once or twice to their end, and evictions.
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
