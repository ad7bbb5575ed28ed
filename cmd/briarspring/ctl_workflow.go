package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/declarer"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/gen/briarspring/v1/briarspringv1connect"
)

type workflowCmd struct {
	Submit   submitWorkflowCmd   `cmd:"" help:"Submit the workflow in a file; submitting the same name again has no effect."`
	List     listWorkflowsCmd    `cmd:"" help:"List workflows."`
	Describe describeWorkflowCmd `cmd:"" help:"Describe one workflow and its steps."`
	Cancel   cancelWorkflowsCmd  `cmd:"" help:"Cancel one or more workflows."`
	Wait     waitWorkflowsCmd    `cmd:"" help:"Wait until workflows have ended."`
	Runs     listRunsCmd         `cmd:"" help:"List the runs in the data centres that the answering host owns, with their pace."`
	Queues   listQueuesCmd       `cmd:"" help:"List queues with their priority, objective and number of waiting workflows."`
	Owners   listOwnersCmd       `cmd:"" help:"List data centres with their owners and load."`
}

// workflows returns a client for the workflow RPCs.
func (c *ctlCmd) workflows() briarspringv1connect.WorkflowsClient {
	return briarspringv1connect.NewWorkflowsClient(http.DefaultClient, "http://"+c.Address)
}

type submitWorkflowCmd struct {
	File string `arg:"" help:"File of a workflow (INI)." type:"existingfile"`
	ID   string `help:"Name of the workflow, instead of the one in the file."`
}

// Run submits the workflow. A call without an answer is retried, which is safe
// because a workflow is identified by its name.
func (c *submitWorkflowCmd) Run(ctl *ctlCmd) error {
	w, err := declarer.LoadWorkflow(c.File)
	if err != nil {
		return err
	}
	if c.ID != "" {
		if w.ID, err = briarspring.NewWorkflowID(c.ID); err != nil {
			return err
		}
	}
	s := ctl.session()
	m, err := change(s, ctl.workflows().SubmitWorkflow, &pb.SubmitWorkflowRequest{
		Recurrence: encoder.EncodeRecurrence(w.Recurrence),
		Id:         string(w.ID), Queue: w.Queue, Specification: w.Specification, Steps: encoder.EncodeSteps(w.Steps),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "workflow/%s: accepted, runs in %s\n", w.ID, m.GetDataCentre())
	return nil
}

type listWorkflowsCmd struct {
	Queue string `help:"Only workflows in this queue."`
	Phase string `help:"Only workflows in this phase." enum:",queued,running,completed,failed,cancelled" default:""`
	Limit int32  `help:"Maximum number of rows." default:"1000"`
}

// Run prints workflows.
func (c *listWorkflowsCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, ctl.workflows().ListWorkflows, &pb.ListWorkflowsRequest{Queue: c.Queue, Phase: c.Phase, Limit: c.Limit})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "WORKFLOW", "QUEUE", "PHASE", "PRIORITY", "TASKS", "OBJECTIVE", "DATA CENTRES")
		for _, d := range m.GetWorkflows() {
			writeRow(w, d.GetId(), d.GetQueue(), d.GetPhase(), d.GetPriority(), d.GetTasks(), milliseconds(d.GetObjectiveMs()), tasksIn(d))
		}
	})
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// tasksIn returns the data centre of all tasks, or the number of tasks in each
// data centre if there are several.
func tasksIn(d *pb.WorkflowDescription) string {
	if len(d.GetTasksIn()) == 1 {
		for name := range d.GetTasksIn() {
			return name
		}
	}
	var list []string
	for _, name := range slices.Sorted(maps.Keys(d.GetTasksIn())) {
		list = append(list, fmt.Sprintf("%s=%d", name, d.GetTasksIn()[name]))
	}
	return strings.Join(list, ",")
}

type describeWorkflowCmd struct {
	ID string `arg:"" help:"Name of the workflow."`
}

// Run prints one workflow.
func (c *describeWorkflowCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	m, err := query(s, ctl.workflows().DescribeWorkflow, &pb.DescribeWorkflowRequest{Id: c.ID})
	if err != nil {
		return err
	}
	return s.print(m, func(w *tabwriter.Writer) {
		writeRow(w, "workflow", m.GetId())
		writeRow(w, "queue", m.GetQueue())
		if m.GetOrganisation() != "" {
			writeRow(w, "organisation", m.GetOrganisation())
		}
		writeRow(w, "phase", m.GetPhase())
		writeRow(w, "submitted", time.UnixMilli(m.GetSubmittedMs()).Format(time.RFC3339))
		writeRow(w, "objective", milliseconds(m.GetObjectiveMs()))
		writeRow(w, "runs in", tasksIn(m))
		if r := m.GetRecurrence(); r != nil {
			writeRow(w, "occurrences", recurrenceText(r))
		}
		for i, step := range m.GetSteps() {
			writeRow(w, fmt.Sprintf("step %d", i), stepText(step))
		}
	})
}

// recurrenceText describes how often and when a recurring workflow runs.
func recurrenceText(m *pb.Recurrence) string {
	return fmt.Sprintf("%d, from %s on, every %s", m.GetTimes(),
		time.UnixMilli(m.GetFirstDueMs()).Format(time.RFC3339), milliseconds(m.GetIntervalMs()))
}

// stepText describes a step's resources and options.
func stepText(m *pb.WorkflowStep) string {
	text := fmt.Sprintf("%d tasks of %s, %s", m.GetTasks(), formatResources(&pb.Resources{
		MilliCpu: m.GetMilliCpu(), MemoryMib: m.GetMemoryMib(), Accelerators: m.GetAccelerators(),
	}), milliseconds(m.GetEstimateMs()))
	for _, option := range []struct {
		set  bool
		text string
	}{
		{len(m.GetAfter()) > 0, fmt.Sprintf("after %v", m.GetAfter())},
		{m.GetImage() != "", "image " + m.GetImage()},
		{m.GetRack() != "", "rack " + m.GetRack()},
		{m.GetRequirement() != "", "on " + m.GetRequirement()},
		{m.GetMaxPerWorker() > 0, fmt.Sprintf("at most %d on a worker", m.GetMaxPerWorker())},
		{m.GetLasting(), "lasting"},
		{m.GetFills(), "fills idle processors"},
		{m.GetSpeculative(), "copies allowed"},
		{m.GetCheckpoints(), "checkpoints"},
		{m.GetGang(), "a gang"},
		{m.GetOneRack(), "best on one rack"},
		{m.GetMaxMissing() > 0, fmt.Sprintf("at most %d stopped at a time", m.GetMaxMissing())},
	} {
		if option.set {
			text += ", " + option.text
		}
	}
	return text
}

type cancelWorkflowsCmd struct {
	IDs []string `arg:"" name:"id" help:"Names of workflows."`
	Yes bool     `help:"Skip the confirmation."`
}

// Run cancels the workflows.
func (c *cancelWorkflowsCmd) Run(ctl *ctlCmd) error {
	s := ctl.session()
	if err := s.confirm(c.Yes, "Cancel "+strings.Join(c.IDs, ", ")); err != nil {
		return err
	}
	m, err := change(s, ctl.workflows().CancelWorkflows, &pb.CancelWorkflowsRequest{Ids: c.IDs})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%d workflows cancelled\n", len(c.IDs)-len(m.GetUnknown()))
	if len(m.GetUnknown()) > 0 {
		return connect.NewError(connect.CodeNotFound, &briarspring.NotFoundError{Object: "workflow/" + strings.Join(m.GetUnknown(), ", ")})
	}
	return nil
}
