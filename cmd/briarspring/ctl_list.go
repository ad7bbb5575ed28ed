package main

import (
	"fmt"
	"text/tabwriter"

	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

type listCmd struct {
	Services    listServicesCmd    `cmd:"" help:"List services."`
	Jobs        listJobsCmd        `cmd:"" help:"List jobs."`
	Quotas      listQuotasCmd      `cmd:"" help:"List teams' quotas."`
	DataCentres listDataCentresCmd `cmd:"" help:"List data centres."`
	Workers     listWorkersCmd     `cmd:"" help:"List the workers of the answering scheduler's data centre."`
	Tasks       listTasksCmd       `cmd:"" help:"List the tasks in the answering scheduler's data centre."`
}

type (
	listServicesCmd    struct{}
	listJobsCmd        struct{}
	listQuotasCmd      struct{}
	listDataCentresCmd struct{}
	listWorkersCmd     struct{}
	listTasksCmd       struct {
		Workload string `arg:"" optional:"" help:"Only tasks of this service or job."`
		Limit    uint32 `help:"Maximum number of rows." default:"1000"`
	}
)

// Run prints all services.
func (listServicesCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, s.client.ListServices, &pb.ListServicesRequest{})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "SERVICE", "TEAM", "PREFIX", "EXECUTORS", "RUNNING", "VERSION", "PROBLEM")
		for _, d := range m.GetServices() {
			writeRow(w, d.GetService().GetName(), d.GetService().GetTeam(), d.GetService().GetPrefix(),
				d.GetService().GetExecutors(), totals(d.GetProgress()).GetRunning(), d.GetVersion(), d.GetProblem())
		}
	})
}

// totals sums the progress of all data centres.
func totals(list []*pb.Progress) *pb.Progress {
	sum := &pb.Progress{}
	for _, p := range list {
		sum.Assigned += p.GetAssigned()
		sum.Running += p.GetRunning()
		sum.Done += p.GetDone()
		sum.Failed += p.GetFailed()
		sum.Evictions += p.GetEvictions()
	}
	return sum
}

// Run prints all jobs.
func (listJobsCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, s.client.ListJobs, &pb.ListJobsRequest{})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "JOB", "TEAM", "STATE", "WEIGHT", "TASKS", "RUNNING", "DONE", "FAILED", "EVICTIONS", "VERSION", "PROBLEM")
		for _, d := range m.GetJobs() {
			p := totals(d.GetProgress())
			writeRow(w, d.GetJob().GetName(), d.GetJob().GetTeam(), d.GetState(), d.GetJob().GetWeight(), d.GetJob().GetTasks(),
				p.GetRunning(), p.GetDone(), p.GetFailed(), p.GetEvictions(), d.GetVersion(), d.GetProblem())
		}
	})
}

// Run prints all quotas.
func (listQuotasCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, s.client.ListQuotas, &pb.ListQuotasRequest{})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "TEAM", "RESOURCES", "REQUESTS/S", "VERSION")
		for _, d := range m.GetQuotas() {
			writeRow(w, d.GetQuota().GetTeam(), formatResources(d.GetQuota().GetResources()),
				d.GetQuota().GetRequestsPerSecond(), d.GetVersion())
		}
	})
}

func formatResources(m *pb.Resources) string { return encoder.DecodeResources(m).String() }

// Run prints all data centres.
func (listDataCentresCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, s.client.ListDataCentres, &pb.ListDataCentresRequest{})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "DATA CENTRE", "STATE", "OWNER", "WORKERS", "COMMITTED", "CAPACITY", "VERSION")
		for _, d := range m.GetDataCentres() {
			state := "in service"
			if d.GetOut() {
				state = "out of service"
			}
			writeRow(w, d.GetName(), state, d.GetOwner(), d.GetWorkers(), formatResources(d.GetCommitted()),
				formatResources(d.GetCapacity()), d.GetVersion())
		}
	})
}

// Run prints the workers of one data centre.
func (listWorkersCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, s.client.ListWorkers, &pb.ListWorkersRequest{})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "WORKER", "RACK", "STATE", "TASKS", "COMMITTED", "CAPACITY")
		for _, d := range m.GetWorkers() {
			writeRow(w, d.GetName(), d.GetRack(), d.GetState(), d.GetTasks(), formatResources(d.GetCommitted()), formatResources(d.GetCapacity()))
		}
	})
}

// Run prints the tasks of one data centre.
func (c *listTasksCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, s.client.ListTasks, &pb.ListTasksRequest{Workload: c.Workload, Limit: c.Limit})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "TASK", "ATTEMPT", "STATE", "WORKER", "ADDRESS")
		for _, t := range m.GetTasks() {
			printTask(w, t)
		}
	})
}

func printTask(w *tabwriter.Writer, t *pb.TaskDescription) {
	writeRow(w, fmt.Sprintf("%s/%d", t.GetWorkload(), t.GetIndex()), t.GetAttempt(), t.GetState(), t.GetWorker(), t.GetAddress())
}

type describeCmd struct {
	Kind string `arg:"" help:"Kind of the object: service, job or quota." enum:"service,job,quota"`
	Name string `arg:"" help:"Name of the object."`
}

// Run prints one object.
func (c *describeCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	q := &pb.DescribeRequest{Name: c.Name}
	switch c.Kind {
	case "service":
		m, err := query(s, s.client.DescribeService, q)
		if err != nil {
			return err
		}
		return s.print(m, func(w *tabwriter.Writer) {
			writeRow(w, "service", m.GetService().GetName())
			writeRow(w, "version", m.GetVersion())
			writeRow(w, "executors", m.GetService().GetExecutors())
			writeRow(w, "resources per executor", formatResources(m.GetService().GetResources()))
			printProgress(w, m.GetProgress())
		})
	case "job":
		m, err := query(s, s.client.DescribeJob, q)
		if err != nil {
			return err
		}
		return s.print(m, func(w *tabwriter.Writer) {
			writeRow(w, "job", m.GetJob().GetName())
			writeRow(w, "version", m.GetVersion())
			writeRow(w, "state", m.GetState())
			writeRow(w, "tasks", m.GetJob().GetTasks())
			writeRow(w, "resources per task", formatResources(m.GetJob().GetResources()))
			printProgress(w, m.GetProgress())
		})
	}
	m, err := query(s, s.client.DescribeQuota, q)
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "team", m.GetQuota().GetTeam())
		writeRow(w, "version", m.GetVersion())
		writeRow(w, "resources", formatResources(m.GetQuota().GetResources()))
		writeRow(w, "requests/s", m.GetQuota().GetRequestsPerSecond())
	})
}

func printProgress(w *tabwriter.Writer, list []*pb.Progress) {
	for _, p := range list {
		writeRow(w, "in "+p.GetDataCentre(), fmt.Sprintf("%d assigned, %d running, %d done, %d failed, %d evictions",
			p.GetAssigned(), p.GetRunning(), p.GetDone(), p.GetFailed(), p.GetEvictions()))
	}
}
