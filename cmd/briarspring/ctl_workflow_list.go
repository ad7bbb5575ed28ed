package main

import (
	"fmt"
	"text/tabwriter"

	pb "briarspring/gen/briarspring/v1"
)

type listRunsCmd struct {
	Workflow string `arg:"" optional:"" help:"Only runs of this workflow."`
	Limit    int32  `help:"Maximum number of rows." default:"1000"`
}

// Run prints runs.
func (c *listRunsCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, ctl.workflows().ListRuns, &pb.ListRunsRequest{Workflow: c.Workflow, Limit: c.Limit})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "WORKFLOW", "OCCURRENCE", "STEP", "INDEX", "RUN", "DATA CENTRE", "WORKER", "STATE", "AGE", "PACE", "IMAGE", "TAIL")
		for _, r := range m.GetRuns() {
			writeRow(w, r.GetWorkflow(), r.GetOccurrence(), r.GetStep(), r.GetIndex(), r.GetRun(), r.GetDataCentre(), r.GetWorker(), r.GetState(),
				milliseconds(r.GetAgeMs()), fmt.Sprintf("%d%%", r.GetPacePercent()), r.GetImage(), tailText(r.GetTail()))
		}
	})
}

// tailText formats a tail latency given as a ratio to its target; empty for none.
func tailText(tail float64) string {
	if tail == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", tail)
}

type listQueuesCmd struct{}

// Run prints the queues.
func (listQueuesCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, ctl.workflows().ListQueues, &pb.ListQueuesRequest{})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "QUEUE", "SERVICE", "PRIORITY", "ATTEMPTS", "OBJECTIVE", "WAITING", "HOST", "PREFIX")
		for _, q := range m.GetQueues() {
			objective := fmt.Sprintf("%g x chain + %s", q.GetStretch(), milliseconds(q.GetAllowanceMs()))
			writeRow(w, q.GetName(), q.GetService(), q.GetPriority(), q.GetMaxAttempts(), objective, q.GetWaiting(), q.GetHost(), q.GetPrefix())
		}
	})
}

type listOwnersCmd struct{}

// Run prints the data centres.
func (listOwnersCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, ctl.workflows().ListOwners, &pb.ListOwnersRequest{})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "DATA CENTRE", "STATE", "OWNER", "TOKEN", "BEAT AGE", "FREE", "TOTAL", "BACKLOG")
		for _, o := range m.GetOwners() {
			state := "in service"
			if o.GetOut() {
				state = "out of service"
			}
			writeRow(w, o.GetDataCentre(), state, o.GetOwner(), o.GetToken(), milliseconds(o.GetBeatAgeMs()),
				o.GetFreeMilliCpu(), o.GetTotalMilliCpu(), fmt.Sprintf("%.1fs", o.GetBacklogSeconds()))
		}
	})
}
